package entry

import (
	"context"
	"encoding/json"
	"time"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// Time-outs and intervals of the job calls of callers.
const (
	submitTimeout      = 10 * time.Second
	statusPollInterval = 100 * time.Millisecond
)

// jobBackend implements the methods of caller.Backend that concern jobs.
type jobBackend struct {
	e *Entry
}

// JobStatus returns the state of a job. It waits until the job has ended, but at most
// for wait.
func (b *jobBackend) JobStatus(ctx context.Context, id string, wait time.Duration) (structs.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+submitTimeout)
	defer cancel()
	deadline := time.Now().Add(wait)
	for {
		status, err := b.queryOwner(ctx, &peerv1.JobStatusRequest{Job: id})
		if err != nil || jobHasEnded(status.State) || time.Now().After(deadline) {
			return status, err
		}
		sleep(ctx, statusPollInterval)
		if ctx.Err() != nil {
			return status, nil
		}
	}
}

func jobHasEnded(s structs.JobState) bool {
	return s == structs.JobComplete || s == structs.JobFailed || s == structs.JobCancelled
}

// queryOwner asks the owner of a job for its state.
func (b *jobBackend) queryOwner(ctx context.Context, r *peerv1.JobStatusRequest) (structs.JobStatus, error) {
	var owner structs.Member
	var ok bool
	if !b.e.runOnControl(func() { owner, ok = b.e.core.table.OwnerOfJob(r.Job) }) {
		return structs.JobStatus{}, errShuttingDown()
	}
	if !ok || structs.JobGroup(r.Job) == "" {
		return structs.JobStatus{}, structs.NewError(structs.CodeNotFound, "no job %s", r.Job)
	}
	resp, err := b.e.peerClientFor(owner).JobStatus(ctx, r)
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

// jobStatus calls core.jobStatus on the control goroutine.
func (e *Entry) jobStatus(id string) (status structs.JobStatus, err error) {
	if !e.runOnControl(func() { status, err = e.core.jobStatus(id) }) {
		return structs.JobStatus{}, errShuttingDown()
	}
	return status, err
}

// jobStatus returns the state of a job that this entry owns, or of one in a jobs stream
// that it has read to its end.
func (c *core) jobStatus(id string) (structs.JobStatus, error) {
	if s, ok := c.jobs.Status(id, time.Now()); ok {
		s.Owner = c.self()
		if c.inventoryRound != nil && c.inventoryRound.incomplete {
			s.Reasons = append(s.Reasons, c.inventoryRound.incompleteReason)
		}
		return s, nil
	}
	s, j := c.jobRecord(id)
	if s == nil || !s.caughtUp {
		return structs.JobStatus{}, structs.NewError(structs.CodeNotOwner, "job %s is not owned by this entry", id)
	}
	if j == nil {
		return structs.JobStatus{}, structs.NewError(structs.CodeNotFound, "no job %s", id)
	}
	return endedStatus(c.self(), j), nil
}

// endedStatus returns the state of a job from its log records.
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
