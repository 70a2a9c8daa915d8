package cell

import (
	"context"
	"encoding/json"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

const (
	// leaderWait is how long a caller's request waits for a serving controller.
	leaderWait = 1200 * time.Millisecond
	// forwardTimeout bounds one call to the controller. Calls without an answer are retried.
	forwardTimeout = 1500 * time.Millisecond
	// forwardRetryPause is the pause before a call to the controller is retried; a change of
	// the controller ends it early. The pause keeps waiting requests from loading a controller
	// that is taking over.
	forwardRetryPause = 400 * time.Millisecond
	// noLeaderRetryAfter is the retry delay that callers are given while there is no
	// controller.
	noLeaderRetryAfter = time.Second
)

// Config returns the configuration in force, nil while there is none.
func (n *Node) Config() *workload.Config {
	if v := n.config.version.Load(); v != nil {
		return v.Config
	}
	return nil
}

// Submit submits a job and returns once it is stored. CodeUnavailable and CodeOverload mean
// that the job was certainly not accepted; CodeUnknown means that it may have been.
func (n *Node) Submit(ctx context.Context, job *workload.Job) error {
	raw, err := json.Marshal(job)
	if err != nil {
		return structs.NewError(structs.CodeInvalid, "job: %v", err)
	}
	ref := configRef{n.config.number(), n.self.Addr}
	_, err = forward(ctx, n, leaderCall[struct{}]{
		local: func(ctx context.Context, l *leaderTerm) (struct{}, error) {
			jobCopy := *job
			return struct{}{}, l.submit(ctx, &jobCopy, ref)
		},
		remote: func(ctx context.Context, addr string) (struct{}, error) {
			req := &cellv1.SubmitRequest{Job: raw, DeadlineMs: remainingMs(ctx), ConfigVersion: ref.version, ConfigAddr: ref.addr}
			return struct{}{}, responseError(callPeer(ctx, n.peers, addr, forwardTimeout, (*peerClient).Submit, req))
		},
	})
	return err
}

// responseError returns the error of a call whose response contains nothing but an error.
func responseError[R interface{ GetError() *cellv1.Error }](resp R, err error) error {
	if err != nil {
		return err
	}
	return errorFromProto(resp.GetError())
}

// RecordRefusal records that a caller's request was answered with an error. The event has the
// state of this member: the known controller, how long ago it last answered, the version of the
// configuration, and how long ago that was known to be the newest.
func (n *Node) RecordRefusal(jobID, class, method string, elapsed time.Duration, err error) {
	claim, _, _ := n.view.latestClaim()
	since, _ := n.view.sinceLeaderHeard(clock.Now())
	e := event.Event{
		Type:        event.RequestRefused,
		Request:     jobID,
		Class:       class,
		Code:        structs.CodeOf(err),
		Member:      claim.Node,
		Epoch:       claim.Epoch,
		AgeMs:       since.Milliseconds(),
		Count:       int(elapsed.Milliseconds()),
		Version:     n.config.number(),
		ConfigAgeMs: n.config.ageMs(clock.Now()),
		Detail:      method + ": " + structs.AsError(err).Message,
	}
	n.stats.countRefused(e.Code)
	n.record(e)
}

// Cancel cancels a job and returns once its end is stored.
func (n *Node) Cancel(ctx context.Context, id string) error {
	_, err := forward(ctx, n, leaderCall[struct{}]{
		local: func(ctx context.Context, l *leaderTerm) (struct{}, error) { return struct{}{}, l.cancel(ctx, id) },
		remote: func(ctx context.Context, addr string) (struct{}, error) {
			req := &cellv1.CancelRequest{Id: id, DeadlineMs: remainingMs(ctx)}
			return struct{}{}, responseError(callPeer(ctx, n.peers, addr, forwardTimeout, (*peerClient).Cancel, req))
		},
	})
	return err
}

// JobState returns the state of a job.
func (n *Node) JobState(ctx context.Context, id string) (workload.JobState, error) {
	return forward(ctx, n, leaderCall[workload.JobState]{
		local: func(ctx context.Context, l *leaderTerm) (workload.JobState, error) { return l.state(ctx, id) },
		remote: func(ctx context.Context, addr string) (workload.JobState, error) {
			req := &cellv1.JobStateRequest{Id: id}
			resp, err := callPeer(ctx, n.peers, addr, forwardTimeout, (*peerClient).JobState, req)
			if err != nil {
				return "", err
			}
			return workload.JobState(resp.State), errorFromProto(resp.Error)
		},
	})
}

// maxCountsAge is how old the controller's counts of waiting jobs may be.
const maxCountsAge = 2 * time.Second

// WaitingJobs returns the number of accepted jobs of a class of which no task has started. On a
// member that is not the controller the number is that of the last heartbeat, or of one sent now if
// that is too old. Only one call at a time sends one: the controller may be loaded.
func (n *Node) WaitingJobs(_ context.Context, class string) (int, error) {
	if l := n.term.Load(); l != nil && l.serving() {
		if counts := l.waitingJobs.Load(); counts != nil {
			return int(counts.ByClass[class]), nil
		}
	}
	if !n.leaderServing() {
		return 0, structs.NewRetryAfterError(structs.CodeUnavailable, noLeaderRetryAfter, "no controller at present")
	}
	count, known := n.view.waitingJobsOf(class, clock.Now(), maxCountsAge)
	claim, _, _ := n.view.latestClaim()
	if !known && claim.Boot != n.self.Boot && n.refreshingCounts.CompareAndSwap(false, true) {
		n.heartbeatLeader(claim)
		n.refreshingCounts.Store(false)
		count, known = n.view.waitingJobsOf(class, clock.Now(), maxCountsAge)
	}
	if !known {
		return 0, structs.NewRetryAfterError(structs.CodeUnavailable, noLeaderRetryAfter, "the controller has not reported its waiting jobs lately")
	}
	return count, nil
}

// waitingJobsOf returns the controller's count of waiting jobs of a class, and whether the controller
// has reported its counts within a time before now.
func (v *cellView) waitingJobsOf(class string, now time.Time, within time.Duration) (count int, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.waitingJobs == nil || now.Sub(v.waitingAt) >= within {
		return 0, false
	}
	return int(v.waitingJobs.ByClass[class]), true
}

// leaderCall is a call that only the controller can answer: local makes it on the controller
// itself, remote sends it to the controller at addr.
type leaderCall[T any] struct {
	local  func(ctx context.Context, l *leaderTerm) (T, error)
	remote func(ctx context.Context, addr string) (T, error)
}

// forward makes a call to the controller. Calls are idempotent: one without an answer is
// retried, also with the next controller. Once an answer has been lost, the outcome is unknown
// until a controller answers.
func forward[T any](ctx context.Context, n *Node, c leaderCall[T]) (T, error) {
	began := clock.Now()
	outcomeUnknown := false
	for {
		changed := n.view.nextChange()
		out, err := c.attempt(ctx, n)
		switch structs.CodeOf(err) {
		case structs.CodeNotOwner:
		case structs.CodeUnknown, structs.CodeDeadline:
			outcomeUnknown = true
		case structs.CodeUnavailable, structs.CodeOverload:
			if !outcomeUnknown {
				return out, err
			}
		default:
			return out, err
		}
		if ctx.Err() != nil || !outcomeUnknown && clock.Since(began) > leaderWait {
			return out, noAnswerError(outcomeUnknown)
		}
		select {
		case <-ctx.Done():
			return out, noAnswerError(outcomeUnknown)
		case <-changed:
		case <-time.After(forwardRetryPause):
		}
	}
}

// noAnswerError returns the error of a call that no controller answered.
func noAnswerError(outcomeUnknown bool) error {
	if outcomeUnknown {
		return structs.NewError(structs.CodeUnknown, "the controller did not answer in time")
	}
	return structs.NewRetryAfterError(structs.CodeUnavailable, noLeaderRetryAfter, "no controller at present")
}

// attempt makes the call once, to the controller that this member knows at present.
func (c leaderCall[T]) attempt(ctx context.Context, n *Node) (T, error) {
	if l := n.term.Load(); l != nil {
		return c.local(ctx, l)
	}
	claim, _, _ := n.view.latestClaim()
	if claim.Boot == n.self.Boot || !n.leaderServing() {
		var zero T
		return zero, errNotController()
	}
	out, err := c.remote(ctx, claim.Addr)
	switch structs.CodeOf(err) {
	case "":
		n.view.recordLeaderAnswer(claim.Epoch, true, nil, clock.Now())
	case structs.CodeNotOwner:
		n.view.recordLeaderAnswer(claim.Epoch, false, nil, clock.Now())
	case structs.CodeUnavailable:
		if !n.leaderServing() {
			return out, errNotController()
		}
	}
	return out, err
}

// remainingMs returns the time until the deadline of ctx in milliseconds, at least 1, or
// forwardTimeout if ctx has no deadline.
func remainingMs(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return forwardTimeout.Milliseconds()
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}
