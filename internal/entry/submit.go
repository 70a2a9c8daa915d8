package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// SubmitJob accepts a job and returns its ID, after the job's record was committed to
// the log and read back. A repeat with the same change ID returns the same job through
// any entry, because the change ID is bound to the group whose stream contains the job.
func (b *jobBackend) SubmitJob(ctx context.Context, j structs.Job, changeID string) (string, error) {
	if err := j.Validate(); err != nil {
		return "", err
	}
	if changeID == "" {
		changeID = b.e.newJobKey()
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var ownGroup, namedGroup string
	var err error
	if !b.e.runOnControl(func() { ownGroup, namedGroup, err = b.e.core.admitJob(&j, changeID) }) {
		return "", errShuttingDown()
	}
	if err != nil {
		return "", err
	}
	if namedGroup != "" {
		return b.e.submitToGroup(ctx, namedGroup, j, changeID)
	}
	group, err := b.bindJob(ctx, ownGroup, j, changeID)
	if err != nil {
		return "", err
	}
	if id := b.acceptedByOtherGroup(ctx, group, j, changeID); id != "" {
		return id, nil
	}
	return b.e.submitToGroup(ctx, group, j, changeID)
}

// newJobKey returns a new change ID that contains the name of this entry's group, so
// that the group needs no lookup.
func (e *Entry) newJobKey() string {
	var group string
	e.runOnControl(func() {
		g, _ := e.core.table.GroupOfMember(e.core.self())
		group = g.Name
	})
	return structs.NewJobID(group, "", uuid.NewString())
}

// admitJob checks a job and fills in the defaults of its class. It returns this entry's
// group, and the group that the change ID names if that group exists.
func (c *core) admitJob(j *structs.Job, changeID string) (ownGroup, namedGroup string, err error) {
	class, ok := c.control.Class(j.Class)
	if !ok {
		return "", "", structs.NewError(structs.CodeNotFound, "no class %q", j.Class)
	}
	if !c.joined || c.draining {
		return "", "", errShuttingDown()
	}
	if err := c.checkFitsSomeWorker(j.Size); err != nil {
		return "", "", err
	}
	j.Kind = class.Kind
	if j.Team == "" {
		j.Team = class.Team
	}
	group, _ := c.table.GroupOfMember(c.self())
	for _, g := range c.table.Groups() {
		if g.Name == structs.JobGroup(changeID) {
			namedGroup = g.Name
		}
	}
	return group.Name, namedGroup, nil
}

// checkFitsSomeWorker returns an error with CodeNeverFits if no listed worker is large
// enough for a task size.
func (c *core) checkFitsSomeWorker(size structs.Resources) error {
	if c.instances.fitsSomeWorker(size) {
		return nil
	}
	return structs.NewError(structs.CodeNeverFits, "no listed worker is large enough for a task of %d mCPU, %d MiB, %d accelerators",
		size.CPUMilli, size.MemoryMiB, size.Accelerators)
}

// jobID derives the ID of a job from its change ID, so that a repeat gets the same ID.
func jobID(group, team, changeID string) string {
	return structs.NewJobID(group, team, strconv.FormatUint(xxhash.Sum64String(changeID), 36))
}

// jobKeyPrefix separates the change IDs of jobs from the keys of requests, which contain
// no spaces.
const jobKeyPrefix = "job "

// bindJob binds a change ID to a group at the home of the key, and returns the group to
// which it is bound. If the home has lost older keys, it can't tell whether the change
// ID was bound before. Then the own group is returned, unless another group has the job.
func (b *jobBackend) bindJob(ctx context.Context, ownGroup string, j structs.Job, changeID string) (string, error) {
	spec, err := json.Marshal(j)
	if err != nil {
		return "", structs.NewError(structs.CodeInvalid, "encoding the job: %v", err)
	}
	fingerprint := strconv.FormatUint(xxhash.Sum64(spec), 36)
	key := jobKeyPrefix + jobID("", j.Team, changeID)
	group, err := b.e.requests.bind(ctx, key, fingerprint, ownGroup)
	if structs.CodeOf(err) != structs.CodeUnknown {
		return group, err
	}
	found, allAnswered := b.findInOtherGroups(ctx, ownGroup, j, changeID, false)
	switch {
	case found != "":
		return structs.JobGroup(found), nil
	case allAnswered:
		return ownGroup, nil
	default:
		return "", err
	}
}

// otherGroupsTimeout limits the query whether another group has already accepted a job.
const otherGroupsTimeout = 500 * time.Millisecond

// acceptedByOtherGroup returns the ID under which a group other than the given one has
// accepted the job, or an empty ID if none answers so in time. It detects a repeat that
// arrives after the binding of its change ID has expired.
func (b *jobBackend) acceptedByOtherGroup(ctx context.Context, group string, j structs.Job, changeID string) string {
	ctx, cancel := context.WithTimeout(ctx, otherGroupsTimeout)
	defer cancel()
	id, _ := b.findInOtherGroups(ctx, group, j, changeID, true)
	return id
}

// findInOtherGroups asks all groups except one for a job, and reports whether all of
// them answered. If lagging is set, they answer from what they have read of the log so
// far.
func (b *jobBackend) findInOtherGroups(ctx context.Context, exceptGroup string, j structs.Job, changeID string, lagging bool) (id string, allAnswered bool) {
	var groups []string
	b.e.runOnControl(func() { groups = b.e.core.candidateGroups(structs.JobFilter{}) })
	type answer struct {
		id  string
		err error
	}
	answers := make(chan answer, len(groups))
	askedGroups := 0
	for _, group := range groups {
		if group == exceptGroup {
			continue
		}
		askedGroups++
		go func() {
			id := jobID(group, j.Team, changeID)
			_, err := b.queryOwner(ctx, &peerv1.JobStatusRequest{Job: id, Lagging: lagging})
			answers <- answer{id: id, err: err}
		}()
	}
	allAnswered = true
	for range askedGroups {
		a := <-answers
		switch structs.CodeOf(a.err) {
		case "":
			id = a.id
		case structs.CodeNotFound:
		default:
			allAnswered = false
		}
	}
	return id, allAnswered
}

// submitToGroup accepts a job into the stream of a group: locally if this entry reads
// the stream, otherwise through a member that does.
func (e *Entry) submitToGroup(ctx context.Context, group string, j structs.Job, changeID string) (string, error) {
	readsStream, others := e.streamReaders(group)
	if readsStream {
		return e.submitLocally(ctx, group, j, changeID)
	}
	err := structs.NewError(structs.CodeUnavailable, "the change ID belongs to group %q, of which no member answers", group)
	for _, m := range others {
		id, callErr := e.submitViaMember(ctx, m, group, j, changeID)
		if callErr == nil {
			return id, nil
		}
		err = callErr
	}
	return "", err
}

// submitViaMember asks another member to accept a job. If the call fails, it returns
// CodeUnknown, since the member may have accepted the job.
func (e *Entry) submitViaMember(ctx context.Context, m structs.Member, group string, j structs.Job, changeID string) (string, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return "", structs.NewError(structs.CodeInvalid, "encoding the job: %v", err)
	}
	resp, err := e.pool.Client(m).SubmitJob(ctx, &peerv1.SubmitJobRequest{ChangeId: changeID, Group: group, Job: body})
	if err != nil {
		return "", structs.NewError(structs.CodeUnknown, "change %s at group %q: %v", changeID, group, callError(err))
	}
	return resp.Id, toError(resp.Error)
}

// SubmitJob implements peerv1connect.PeerServiceHandler.
func (s *peerServer) SubmitJob(ctx context.Context, r *peerv1.SubmitJobRequest) (*peerv1.SubmitJobResponse, error) {
	var j structs.Job
	if err := json.Unmarshal(r.Job, &j); err != nil {
		err = structs.NewError(structs.CodeInvalid, "job: %v", err)
		return &peerv1.SubmitJobResponse{Error: fromError(err)}, nil
	}
	if err := j.Validate(); err != nil {
		return &peerv1.SubmitJobResponse{Error: fromError(err)}, nil
	}
	id, err := s.e.submitLocally(ctx, r.Group, j, r.ChangeId)
	return &peerv1.SubmitJobResponse{Id: id, Error: fromError(err)}, nil
}

// submitLocally appends the acceptance of a job to a stream that this entry reads.
func (e *Entry) submitLocally(ctx context.Context, group string, j structs.Job, changeID string) (string, error) {
	var s *jobStream
	var base, epoch int64
	if !e.runOnControl(func() {
		s, base = e.core.caughtUpStream(group)
		epoch = e.core.table.Epoch()
	}) {
		return "", errShuttingDown()
	}
	if s == nil {
		return "", structs.NewError(structs.CodeBehind, "this entry has not read the jobs stream of group %s to its end", group)
	}
	j.ID = jobID(group, j.Team, changeID)
	j.AcceptedMs = time.Now().UnixMilli()
	r, err := e.commit(ctx, s, state.Change{ID: changeID, Type: state.JobAccept, Base: base - 1, Epoch: epoch, Job: &j})
	if err != nil {
		return "", err
	}
	if !r.Accepted {
		return "", r.Err
	}
	return j.ID, nil
}
