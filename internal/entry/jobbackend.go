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

// Bounds of the callers' job interface.
const (
	submitTimeout = 10 * time.Second
	statusPoll    = 100 * time.Millisecond
)

// jobBackend is the job half of caller.Backend.
type jobBackend struct {
	e *Entry
}

// SubmitJob accepts a job: its record is in the log, and was read back, before the
// caller is told so. A repeat of the change ID finds the same job, also through an
// entry of another group unless that group can't be reached.
func (b *jobBackend) SubmitJob(ctx context.Context, j structs.Job, changeID string) (string, error) {
	if err := j.Validate(); err != nil {
		return "", err
	}
	if changeID == "" {
		changeID = uuid.NewString()
	}
	var s *jobStream
	var base int64
	var err error
	if !b.e.do(func() { s, base, err = b.e.core.prepareJob(&j, changeID) }) {
		return "", errEnding()
	}
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if id := b.acceptedElsewhere(ctx, j, changeID); id != "" {
		return id, nil
	}
	r, err := b.e.commit(ctx, s, state.Change{ID: changeID, Type: state.JobAccept, Base: base, Job: &j})
	if err != nil {
		return "", err
	}
	if !r.Accepted {
		return "", r.Err
	}
	return j.ID, nil
}

// jobID names a job by its change ID, so that a repeat has the same name.
func jobID(group, team, changeID string) string {
	return structs.NewJobID(group, team, strconv.FormatUint(xxhash.Sum64String(changeID), 36))
}

// elsewhereTimeout bounds the question whether another group has a job already.
const elsewhereTimeout = 500 * time.Millisecond

// acceptedElsewhere returns the ID under which another group has accepted the job,
// empty if none says so in time.
func (b *jobBackend) acceptedElsewhere(ctx context.Context, j structs.Job, changeID string) string {
	ctx, cancel := context.WithTimeout(ctx, elsewhereTimeout)
	defer cancel()
	var groups []string
	b.e.do(func() { groups = b.e.core.groupsOf(structs.JobFilter{}) })
	found := make(chan string, len(groups))
	asked := 0
	for _, group := range groups {
		id := jobID(group, j.Team, changeID)
		if id == j.ID {
			continue
		}
		asked++
		go func() {
			if _, err := b.once(ctx, &peerv1.JobStatusRequest{Job: id, Lagging: true}); err != nil {
				id = ""
			}
			found <- id
		}()
	}
	accepted := ""
	for range asked {
		if id := <-found; id != "" {
			accepted = id
		}
	}
	return accepted
}

// prepareJob completes a job from its class and names its stream.
func (c *core) prepareJob(j *structs.Job, changeID string) (*jobStream, int64, error) {
	class, ok := c.control.Class(j.Class)
	if !ok {
		return nil, 0, structs.NewError(structs.CodeNotFound, "class %s", j.Class)
	}
	if !c.joined || c.draining {
		return nil, 0, errEnding()
	}
	if err := c.everFits(j.Size); err != nil {
		return nil, 0, err
	}
	group, _ := c.table.GroupOfMember(c.self())
	s := c.streams[group.Name]
	if s == nil || !s.caughtUp {
		return nil, 0, structs.NewError(structs.CodeBehind, "the jobs of group %s were not read yet", group.Name)
	}
	j.Kind = class.Kind
	if j.Team == "" {
		j.Team = class.Team
	}
	j.AcceptedMs = time.Now().UnixMilli()
	j.ID = jobID(group.Name, j.Team, changeID)
	return s, s.table.Next() - 1, nil
}

// everFits refuses a task size that no listed worker could ever hold.
func (c *core) everFits(size structs.Resources) error {
	if c.instances.fits(size) {
		return nil
	}
	return structs.NewError(structs.CodeNeverFits, "no worker could ever hold a task of %d mCPU, %d MiB, %d accelerators",
		size.CPUMilli, size.MemoryMiB, size.Accelerators)
}

// JobStatus returns the state of a job, after at most wait if it has not ended.
func (b *jobBackend) JobStatus(ctx context.Context, id string, wait time.Duration) (structs.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+submitTimeout)
	defer cancel()
	until := time.Now().Add(wait)
	for {
		status, err := b.once(ctx, &peerv1.JobStatusRequest{Job: id})
		if err != nil || over(status.State) || time.Now().After(until) {
			return status, err
		}
		pause(ctx, statusPoll)
		if ctx.Err() != nil {
			return status, nil
		}
	}
}

func over(s structs.JobState) bool {
	return s == structs.JobComplete || s == structs.JobFailed || s == structs.JobCancelled
}

// once asks the owner of a job for its state.
func (b *jobBackend) once(ctx context.Context, r *peerv1.JobStatusRequest) (structs.JobStatus, error) {
	var owner structs.Member
	var ok bool
	if !b.e.do(func() { owner, ok = b.e.core.table.OwnerOfJob(r.Job) }) {
		return structs.JobStatus{}, errEnding()
	}
	if !ok || structs.JobGroup(r.Job) == "" {
		return structs.JobStatus{}, structs.NewError(structs.CodeNotFound, "job %s", r.Job)
	}
	resp, err := b.e.peerOf(owner).JobStatus(ctx, r)
	if err != nil {
		return structs.JobStatus{}, callError(err)
	}
	if resp.Error != nil {
		return structs.JobStatus{}, toError(resp.Error)
	}
	var status structs.JobStatus
	if err := json.Unmarshal(resp.Json, &status); err != nil {
		return structs.JobStatus{}, structs.NewError(structs.CodeInternal, "status of job %s: %v", r.Job, err)
	}
	return status, nil
}

// jobStatus is what this entry knows of a job now.
func (e *Entry) jobStatus(id string) (status structs.JobStatus, err error) {
	if !e.do(func() { status, err = e.core.jobStatus(id) }) {
		return structs.JobStatus{}, errEnding()
	}
	return status, err
}

// jobStatus is what this entry knows of a job that it owns or owned.
func (c *core) jobStatus(id string) (structs.JobStatus, error) {
	if s, ok := c.jobs.Status(id, time.Now()); ok {
		s.Owner = c.self()
		if c.round != nil && c.round.incomplete {
			s.Reasons = append(s.Reasons, c.round.reason)
		}
		return s, nil
	}
	s, j := c.jobRecord(id)
	if s == nil || !s.caughtUp {
		return structs.JobStatus{}, structs.NewError(structs.CodeNotOwner, "job %s is not decided here", id)
	}
	if j == nil {
		return structs.JobStatus{}, structs.NewError(structs.CodeNotFound, "job %s", id)
	}
	return endedStatus(c.self(), j), nil
}

// endedStatus renders a job as the log has it.
func endedStatus(owner string, j *state.Job) structs.JobStatus {
	s := structs.JobStatus{Job: j.Job, Owner: owner, State: jobState(j), StartedMs: j.StartedMs}
	sum := j.Settled()
	s.Complete, s.Failed = sum.Complete, sum.Failed
	if j.Cancelled {
		s.Cancelled = j.Job.Count - sum.Settled
	}
	if j.Parked != "" {
		s.Reasons = append(s.Reasons, j.Parked)
	}
	return s
}
