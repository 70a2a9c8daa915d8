package entry

import (
	"context"

	"github.com/google/uuid"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// CancelJobs cancels the jobs that a filter selects, in the group named by the filter's
// job ID or else in every group, and returns their number. If it fails, some groups may
// have cancelled their jobs. It can be repeated safely with the same change ID.
func (b *jobBackend) CancelJobs(ctx context.Context, f structs.JobFilter, changeID string) (int, error) {
	if err := f.Validate(); err != nil {
		return 0, err
	}
	if changeID == "" {
		changeID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var groups []string
	if !b.e.runOnControl(func() { groups = b.e.core.candidateGroups(f) }) {
		return 0, errShuttingDown()
	}
	type outcome struct {
		n   int
		err error
	}
	outcomes := make(chan outcome, len(groups))
	for _, group := range groups {
		go func() {
			n, err := b.e.cancelInGroup(ctx, group, f, changeID)
			outcomes <- outcome{n: n, err: err}
		}()
	}
	total := 0
	var lastErr error
	for range groups {
		o := <-outcomes
		total += o.n
		if o.err != nil {
			lastErr = o.err
		}
	}
	return total, lastErr
}

// candidateGroups returns the groups in which a filter may select jobs.
func (c *core) candidateGroups(f structs.JobFilter) []string {
	if group := structs.JobGroup(f.ID); group != "" {
		return []string{group}
	}
	var groups []string
	for _, g := range c.table.Groups() {
		groups = append(groups, g.Name)
	}
	return groups
}

// cancelInGroup cancels the selected jobs of one group: locally if this entry reads the
// group's jobs stream, otherwise through a member that does.
func (e *Entry) cancelInGroup(ctx context.Context, group string, f structs.JobFilter, changeID string) (int, error) {
	readsStream, others := e.streamReaders(group)
	if readsStream {
		return e.cancelLocally(ctx, group, f, changeID)
	}
	err := structs.NewError(structs.CodeUnavailable, "no member of group %q answers", group)
	for _, m := range others {
		var n int
		if n, err = e.cancelViaMember(ctx, m, group, f, changeID); err == nil {
			return n, nil
		}
	}
	return 0, err
}

func (e *Entry) cancelViaMember(ctx context.Context, m structs.Member, group string, f structs.JobFilter, changeID string) (int, error) {
	resp, err := e.pool.Client(m).CancelJobs(ctx, &peerv1.CancelJobsRequest{
		ChangeId: changeID,
		Group:    group,
		Id:       f.ID,
		Class:    f.Class,
		Team:     f.Team,
	})
	if err != nil {
		return 0, callError(err)
	}
	return int(resp.Cancelled), toError(resp.Error)
}

// CancelJobs implements peerv1connect.PeerServiceHandler.
func (s *peerServer) CancelJobs(ctx context.Context, r *peerv1.CancelJobsRequest) (*peerv1.CancelJobsResponse, error) {
	f := structs.JobFilter{ID: r.Id, Class: r.Class, Team: r.Team}
	if err := f.Validate(); err != nil {
		return &peerv1.CancelJobsResponse{Error: fromError(err)}, nil
	}
	n, err := s.e.cancelLocally(ctx, r.Group, f, r.ChangeId)
	return &peerv1.CancelJobsResponse{Cancelled: int32(n), Error: fromError(err)}, nil
}

// cancelLocally appends the cancellation to a jobs stream that this entry reads, after
// it has read every job that was accepted before the call.
func (e *Entry) cancelLocally(ctx context.Context, group string, f structs.JobFilter, changeID string) (int, error) {
	if err := e.readJobsToTail(ctx, group); err != nil {
		return 0, err
	}
	var s *jobStream
	var base int64
	var n int
	if !e.runOnControl(func() { s, base, n = e.core.prepareCancel(group, f) }) {
		return 0, errShuttingDown()
	}
	if s == nil {
		return 0, structs.NewError(structs.CodeBehind, "this entry does not read the jobs stream of group %q", group)
	}
	if n == 0 {
		return 0, nil
	}
	r, err := e.commit(ctx, s, state.Change{ID: changeID, Type: state.JobCancel, Base: base, Filter: &f})
	if err != nil {
		return 0, err
	}
	if !r.Accepted {
		return 0, r.Err
	}
	return n, nil
}

// prepareCancel returns the stream of a group, the offset of its last applied record,
// and the number of jobs that the filter selects there. The stream is nil if this entry
// has not read it to its end.
func (c *core) prepareCancel(group string, f structs.JobFilter) (*jobStream, int64, int) {
	s, next := c.caughtUpStream(group)
	if s == nil {
		return nil, 0, 0
	}
	n := 0
	for _, j := range s.table.All() {
		if !j.Ended() && f.Match(j.Job) {
			n++
		}
	}
	return s, next - 1, n
}
