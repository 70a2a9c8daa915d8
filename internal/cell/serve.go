package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// callControl runs a closure on the control goroutine and returns its result. It returns
// CodeDeadline if ctx ends first and CodeUnknown if the term does; the closure may still run
// later.
func callControl[T any](ctx context.Context, l *leaderTerm, f func(now time.Time) T) (T, error) {
	done := make(chan T, 1)
	l.post(func(now time.Time) { done <- f(now) })
	var zero T
	select {
	case out := <-done:
		return out, nil
	case <-ctx.Done():
		return zero, structs.NewError(structs.CodeDeadline, "the controller did not answer in time")
	case <-l.ctx.Done():
		return zero, structs.NewError(structs.CodeUnknown, "the controller's term ended")
	}
}

// awaitResult waits until a change of a job is stored or refused.
func (l *leaderTerm) awaitResult(ctx context.Context, result chan error) error {
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return structs.NewError(structs.CodeUnknown, "the change of the job was not stored in time")
	case <-l.ctx.Done():
		return structs.NewError(structs.CodeUnknown, "the controller's term ended")
	}
}

// submit submits a job, which was accepted by the version of the configuration that accepted names, and
// returns once it is stored.
func (l *leaderTerm) submit(ctx context.Context, job *workload.Job, accepted configRef) error {
	if !l.serving() {
		return errNotController()
	}
	l.node.awaitConfig(ctx, accepted)
	result := make(chan error, 1)
	_, err := callControl(ctx, l, func(now time.Time) struct{} {
		l.submitOnControl(job, accepted.version, result, now)
		return struct{}{}
	})
	if err != nil {
		return structs.NewError(structs.CodeUnknown, "%v", err)
	}
	return l.awaitResult(ctx, result)
}

// submitOnControl submits a job to ctl. It runs on the control goroutine. The outcome is sent to
// result, once the job is stored or at once if it is refused.
func (l *leaderTerm) submitOnControl(job *workload.Job, configVersion int64, result chan error, now time.Time) {
	if !l.ctl.HasJob(job.ID) {
		if err := l.checkSubmission(configVersion, now); err != nil {
			l.refuseSubmission(job, result, err)
			return
		}
	}
	status, err := l.ctl.Submit(job, now)
	if err != nil {
		l.refuseSubmission(job, result, err)
		return
	}
	if status == controller.SubmitStored {
		result <- nil
		return
	}
	l.acceptWaiters[job.ID] = append(l.acceptWaiters[job.ID], result)
}

// checkSubmission returns the error of a new job that can't be stored at present, or that is accepted by a
// newer version of the configuration than the controller's.
func (l *leaderTerm) checkSubmission(configVersion int64, now time.Time) error {
	if outage := l.storeOutage(now); outage > 0 {
		return errStoreUnavailable(outage)
	}
	if have := l.ctl.Config().Version; have < configVersion {
		return errConfigBehind(have, configVersion)
	}
	return nil
}

func (l *leaderTerm) refuseSubmission(job *workload.Job, result chan error, err error) {
	l.node.record(event.Event{
		Type:   event.JobRefused,
		Job:    job.ID,
		Class:  job.Class,
		Code:   structs.CodeOf(err),
		Epoch:  l.epoch,
		Detail: structs.AsError(err).Message,
	})
	result <- err
}

// cancel cancels a job and returns once its end is stored.
func (l *leaderTerm) cancel(ctx context.Context, id string) error {
	if !l.serving() {
		return errNotController()
	}
	result := make(chan error, 1)
	_, err := callControl(ctx, l, func(now time.Time) struct{} {
		known, stored := l.ctl.Cancel(id, now)
		switch {
		case !known:
			result <- l.unknownJobError(id, now)
		case stored:
			result <- nil
		default:
			l.endWaiters[id] = append(l.endWaiters[id], result)
		}
		return struct{}{}
	})
	if err != nil {
		return err
	}
	return l.awaitResult(ctx, result)
}

// maxConfirmationAge is how recently the epoch must have been confirmed for the controller to
// answer that a job does not exist. With an older confirmation, another controller may have
// accepted the job since.
const maxConfirmationAge = 4 * time.Second

func (l *leaderTerm) unknownJobError(id string, now time.Time) error {
	if l.ctl.Unreadable(id) {
		return structs.NewError(structs.CodeInternal, "the stored record of job %s can't be read", id)
	}
	if now.Sub(loadTime(&l.confirmedAt)) > maxConfirmationAge {
		return structs.NewError(structs.CodeUnavailable, "not certain whether job %s exists", id)
	}
	return structs.NewError(structs.CodeNotFound, "no job %s", id)
}

// state returns the state of a job.
func (l *leaderTerm) state(ctx context.Context, id string) (workload.JobState, error) {
	if !l.serving() {
		return "", errNotController()
	}
	type result struct {
		state workload.JobState
		err   error
	}
	got, err := callControl(ctx, l, func(now time.Time) result {
		state, known := l.ctl.JobState(id)
		if !known {
			return result{err: l.unknownJobError(id, now)}
		}
		return result{state: state}
	})
	if err != nil {
		return "", err
	}
	return got.state, got.err
}
