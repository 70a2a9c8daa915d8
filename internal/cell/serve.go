package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// callOn runs a closure on the control goroutine and waits for its result.
func callOn[T any](ctx context.Context, l *lead, f func(now time.Time) T) (T, error) {
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

// await waits for the word on a job.
func (l *lead) await(ctx context.Context, ch chan error) error {
	select {
	case err := <-ch:
		return err
	case <-ctx.Done():
		return structs.NewError(structs.CodeUnknown, "not stored in time")
	case <-l.ctx.Done():
		return structs.NewError(structs.CodeUnknown, "the controller's term ended")
	}
}

// submit accepts a job; it returns once the job is stored.
func (l *lead) submit(ctx context.Context, job *workload.Job) error {
	if !l.serving() {
		return errNotLeading()
	}
	ch := make(chan error, 1)
	_, err := callOn(ctx, l, func(now time.Time) struct{} {
		l.submitNow(job, ch, now)
		return struct{}{}
	})
	if err != nil {
		return structs.NewError(structs.CodeUnknown, "%v", err)
	}
	return l.await(ctx, ch)
}

// submitNow takes a job on the control goroutine.
func (l *lead) submitNow(job *workload.Job, ch chan error, now time.Time) {
	if away := l.storeAway(now); away > 0 && !l.ctl.HasJob(job.ID) {
		l.refuse(job, ch, errStoreAway(away))
		return
	}
	what, err := l.ctl.Submit(job, now)
	if err != nil {
		l.refuse(job, ch, err)
		return
	}
	if what == controller.SubmitStored {
		ch <- nil
		return
	}
	l.accepts[job.ID] = append(l.accepts[job.ID], ch)
}

func (l *lead) refuse(job *workload.Job, ch chan error, err error) {
	l.n.record(event.Event{
		Type:   event.JobRefused,
		Job:    job.ID,
		Class:  job.Class,
		Code:   structs.CodeOf(err),
		Epoch:  l.epoch,
		Detail: structs.AsError(err).Message,
	})
	ch <- err
}

// cancel ends a job; it returns once that is stored.
func (l *lead) cancel(ctx context.Context, id string) error {
	if !l.serving() {
		return errNotLeading()
	}
	ch := make(chan error, 1)
	_, err := callOn(ctx, l, func(now time.Time) struct{} {
		known, stored := l.ctl.Cancel(id, now)
		switch {
		case !known:
			ch <- l.unknownJob(id, now)
		case stored:
			ch <- nil
		default:
			l.endWaits[id] = append(l.endWaits[id], ch)
		}
		return struct{}{}
	})
	if err != nil {
		return err
	}
	return l.await(ctx, ch)
}

// provenWithin is how fresh the proof of the term must be to say that a job does not
// exist: another controller may have accepted it since.
const provenWithin = 4 * time.Second

func (l *lead) unknownJob(id string, now time.Time) error {
	if now.Sub(time.Unix(0, l.proven.Load())) > provenWithin {
		return structs.NewError(structs.CodeUnavailable, "not certain whether job %s exists", id)
	}
	return structs.NewError(structs.CodeNotFound, "no job %s", id)
}

// state returns the state of a job.
func (l *lead) state(ctx context.Context, id string) (workload.JobState, error) {
	if !l.serving() {
		return "", errNotLeading()
	}
	type result struct {
		state workload.JobState
		err   error
	}
	got, err := callOn(ctx, l, func(now time.Time) result {
		state, known := l.ctl.JobState(id)
		if !known {
			return result{err: l.unknownJob(id, now)}
		}
		return result{state: state}
	})
	if err != nil {
		return "", err
	}
	return got.state, got.err
}
