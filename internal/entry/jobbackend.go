package entry

import (
	"context"
	"encoding/json"
	"time"

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
	sum := j.TaskCounts()
	s.Complete, s.Failed = sum.Complete, sum.Failed
	if j.Cancelled {
		s.Cancelled = j.Job.Count - sum.Settled
	}
	if j.FailReason != "" {
		s.Reasons = append(s.Reasons, j.FailReason)
	}
	return s
}
