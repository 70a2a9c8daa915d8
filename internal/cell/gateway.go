package cell

import (
	"context"
	"encoding/json"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

const (
	// awaitLeader is how long a caller's call waits for a controller that serves.
	awaitLeader = 1200 * time.Millisecond
	// forwardTimeout bounds a call to the controller; calls without an answer are made
	// again.
	forwardTimeout = 1500 * time.Millisecond
	// forwardPause is the longest pause before a call is made again; a change of the
	// controller ends it. Calls that wait must not load those that they wait for.
	forwardPause = 400 * time.Millisecond
	// leaderRetryAfter is when a caller should come back while there is no controller.
	leaderRetryAfter = time.Second
)

// Config returns the configuration in force, nil while there is none.
func (n *Node) Config() *workload.Config {
	if v := n.config.Load(); v != nil {
		return v.Config
	}
	return nil
}

// Submit hands a job in and returns once it is stored.
func (n *Node) Submit(ctx context.Context, job *workload.Job) error {
	raw, err := json.Marshal(job)
	if err != nil {
		return structs.NewError(structs.CodeInvalid, "job: %v", err)
	}
	_, err = forward(ctx, n, call[struct{}]{
		local: func(ctx context.Context, l *lead) (struct{}, error) {
			own := *job
			return struct{}{}, l.submit(ctx, &own)
		},
		remote: func(ctx context.Context, addr string) (struct{}, error) {
			req := &cellv1.SubmitRequest{Job: raw, DeadlineMs: leftMs(ctx)}
			return struct{}{}, done(callPeer(ctx, n.peers, addr, forwardTimeout, (*peerClient).Submit, req))
		},
	})
	return err
}

// done is the outcome of a call whose answer tells no more than its failure.
func done[R interface{ GetError() *cellv1.Error }](resp R, err error) error {
	if err != nil {
		return err
	}
	return fromError(resp.GetError())
}

// RecordRefusal records that a caller's request was answered with an error, with what this member
// knew then: the controller, how long ago it was heard, the configuration.
func (n *Node) RecordRefusal(request, class, method string, held time.Duration, err error) {
	claim, _, _ := n.view.leader()
	since, _ := n.view.sinceHeard(time.Now())
	e := event.Event{
		Type:    event.RequestRefused,
		Request: request,
		Class:   class,
		Code:    structs.CodeOf(err),
		Member:  claim.Node,
		Epoch:   claim.Epoch,
		AgeMs:   since.Milliseconds(),
		Count:   int(held.Milliseconds()),
		Detail:  method + ": " + structs.AsError(err).Message,
	}
	if cfg := n.Config(); cfg != nil {
		e.Version = cfg.Version
	}
	n.stats.refused(e.Code)
	n.record(e)
}

// Cancel ends a job and returns once that is stored.
func (n *Node) Cancel(ctx context.Context, id string) error {
	_, err := forward(ctx, n, call[struct{}]{
		local: func(ctx context.Context, l *lead) (struct{}, error) { return struct{}{}, l.cancel(ctx, id) },
		remote: func(ctx context.Context, addr string) (struct{}, error) {
			req := &cellv1.CancelRequest{Id: id, DeadlineMs: leftMs(ctx)}
			return struct{}{}, done(callPeer(ctx, n.peers, addr, forwardTimeout, (*peerClient).Cancel, req))
		},
	})
	return err
}

// JobState returns the state of a job.
func (n *Node) JobState(ctx context.Context, id string) (workload.JobState, error) {
	return forward(ctx, n, call[workload.JobState]{
		local: func(ctx context.Context, l *lead) (workload.JobState, error) { return l.state(ctx, id) },
		remote: func(ctx context.Context, addr string) (workload.JobState, error) {
			req := &cellv1.JobStateRequest{Id: id}
			resp, err := callPeer(ctx, n.peers, addr, forwardTimeout, (*peerClient).JobState, req)
			if err != nil {
				return "", err
			}
			return workload.JobState(resp.State), fromError(resp.Error)
		},
	})
}

// WaitingJobs returns the number of accepted jobs of a class of which nothing has started, as
// the controller last said.
func (n *Node) WaitingJobs(ctx context.Context, class string) (int, error) {
	if l := n.lead.Load(); l != nil && l.serving() {
		if counts := l.waiting.Load(); counts != nil {
			return int((*counts)[class]), nil
		}
	}
	if !n.view.leaderServes(time.Now()) {
		return 0, structs.NewRetryAfterError(structs.CodeUnavailable, leaderRetryAfter, "no controller at present")
	}
	return n.view.waitingOf(class), nil
}

func (v *view) waitingOf(class string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return int(v.waiting[class])
}

// call is a caller's call that the controller answers.
type call[T any] struct {
	local  func(ctx context.Context, l *lead) (T, error)
	remote func(ctx context.Context, addr string) (T, error)
}

// forward makes a call at the controller. Calls are idempotent: one without an answer is
// made again, also at the next controller. Once an answer was lost the outcome is open
// until a controller gives one.
func forward[T any](ctx context.Context, n *Node, c call[T]) (T, error) {
	began := time.Now()
	open := false
	for {
		changed := n.view.wait()
		out, err := c.once(ctx, n)
		switch structs.CodeOf(err) {
		case structs.CodeNotOwner:
		case structs.CodeUnknown, structs.CodeDeadline:
			open = true
		case structs.CodeUnavailable, structs.CodeOverload:
			if !open {
				return out, err
			}
		default:
			return out, err
		}
		if ctx.Err() != nil || !open && time.Since(began) > awaitLeader {
			return out, outcome(open)
		}
		select {
		case <-ctx.Done():
			return out, outcome(open)
		case <-changed:
		case <-time.After(forwardPause):
		}
	}
}

// outcome is the failure of a call that no controller answered.
func outcome(open bool) error {
	if open {
		return structs.NewError(structs.CodeUnknown, "the controller did not answer in time")
	}
	return structs.NewRetryAfterError(structs.CodeUnavailable, leaderRetryAfter, "no controller at present")
}

// once makes a call at the controller as it is known now.
func (c call[T]) once(ctx context.Context, n *Node) (T, error) {
	if l := n.lead.Load(); l != nil {
		return c.local(ctx, l)
	}
	claim, _, _ := n.view.leader()
	if claim.Boot == n.self.Boot || !n.view.leaderServes(time.Now()) {
		var zero T
		return zero, errNotLeading()
	}
	out, err := c.remote(ctx, claim.Addr)
	switch structs.CodeOf(err) {
	case structs.CodeNotOwner:
		n.view.leaderHeard(claim.Epoch, false, nil, time.Now())
	case structs.CodeUnavailable:
		if !n.view.leaderServes(time.Now()) {
			return out, errNotLeading()
		}
	}
	return out, err
}

// leftMs is the time left until a context's deadline in milliseconds.
func leftMs(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return forwardTimeout.Milliseconds()
	}
	return max(time.Until(deadline).Milliseconds(), 1)
}
