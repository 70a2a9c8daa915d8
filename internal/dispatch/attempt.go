package dispatch

import (
	"context"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// errWaiting is the reason of a request that has to wait its turn.
func errWaiting() error {
	return structs.NewError(structs.CodeNoCapacity, "requests with an earlier target wait")
}

// attempt finds a place for a request, waiting if need be, and sends it there
// once.
func (d *Dispatcher) attempt(ctx context.Context, a *attempt) Result {
	d.refreshSlots()
	t := d.gate.offer(a.offer(d.gate.usual(a.req.Class)))
	defer func() { t.end(0) }()
	for {
		if t.may() {
			res, done := d.here(ctx, a, t)
			if done {
				return res
			}
			continue
		}
		if choice := d.choose(a, errWaiting()); choice.Peer.Member != "" {
			t.end(0)
			return d.forward(ctx, a, choice)
		}
		if err := t.refusal(); err != nil {
			if d.awaitSlots(ctx, a) {
				t.end(0)
				t = d.gate.offer(a.offer(d.gate.usual(a.req.Class)))
				continue
			}
			d.counts.refused.Inc()
			return Result{Outcome: structs.OutcomeNotRun, Err: structs.AsError(err), Unsent: true, Final: true}
		}
		if err := t.wait(ctx, recheckEvery); err != nil {
			return notRun(err)
		}
	}
}

// awaitSlots waits a little while the entry has no slot at all, as while workers
// change owners, and reports whether the request should look for a place again. It
// does so as long as the target allows, for requests of the entry's own callers.
func (d *Dispatcher) awaitSlots(ctx context.Context, a *attempt) bool {
	if a.forwarded || d.gate.capacity() > 0 || a.slack() <= d.gate.usual(a.req.Class) {
		return false
	}
	if pause(ctx, blockedPause) != nil {
		return false
	}
	d.refreshSlots()
	return true
}

// here sends a request that the gate let pass to an own worker, or to a peer if
// there is no slot after all. It reports false after a pause in which no slot was
// found; the request keeps its turn.
func (d *Dispatcher) here(ctx context.Context, a *attempt, t *ticket) (Result, bool) {
	lease, reason := d.acquire(ctx, a, a.avoidWorkers)
	if reason == nil {
		return d.send(ctx, a, lease, t), true
	}
	if choice := d.choose(a, reason); choice.Peer.Member != "" {
		t.end(0)
		return d.forward(ctx, a, choice), true
	}
	if structs.CodeOf(reason) != structs.CodeNoCapacity {
		return notRun(reason), true
	}
	if len(a.avoidWorkers) > 0 {
		// Nobody else is left: a worker that failed it before, on another
		// connection, is better than none.
		if lease, err := d.acquire(ctx, a, nil); err == nil {
			return d.send(ctx, a, lease, t), true
		}
	}
	if err := pause(ctx, blockedPause); err != nil {
		return notRun(err), true
	}
	return Result{}, false
}

func (d *Dispatcher) acquire(ctx context.Context, a *attempt, exclude []string) (SlotLease, error) {
	return d.opts.Slots.Acquire(ctx, SlotRequest{Class: a.req.Class, Slack: a.slack(), ExcludeWorkers: exclude})
}

// send makes one attempt under a lease.
func (d *Dispatcher) send(ctx context.Context, a *attempt, l SlotLease, t *ticket) Result {
	d.opts.Events.Record(event.Event{
		Type: event.RequestAttempt, Request: a.req.ID, Key: a.req.Key, Class: a.req.Class,
		Idempotent: a.req.Idempotent,
		Worker:     l.Target.Worker, Attempt: a.number, Epoch: l.Fence.Epoch,
	})
	a.sent(place{worker: l.Target.Worker})
	start := time.Now()
	sent := d.opts.Sender.Send(ctx, l.Target, l.Fence, a.req, a.deadline)
	usage := AttemptReport{Outcome: sent.Outcome, Code: codeOf(sent.Err), Unsent: sent.Unsent, Duration: time.Since(start)}
	usage.Abandoned = sent.Outcome == structs.OutcomeUnknown && ctx.Err() != nil && a.left() > 0
	d.opts.Slots.Release(l, usage)
	if sent.Outcome == structs.OutcomeAnswered {
		t.end(usage.Duration)
	}
	return Result{Outcome: sent.Outcome, Body: sent.Body, Worker: l.Target.Worker, Err: sent.Err, Unsent: sent.Unsent}
}

// refreshSlots tells the gate from time to time how many slots there are, and
// always while it knows of none.
func (d *Dispatcher) refreshSlots() {
	now := time.Now().UnixNano()
	last := d.refreshed.Load()
	if now-last < int64(refreshEvery) && d.gate.capacity() > 0 {
		return
	}
	d.refreshed.Store(now)
	self, _ := d.opts.Peers.Loads()
	d.gate.setSlots(self.TotalSlots)
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return structs.NewError(structs.CodeDeadline, "the deadline passed before a slot was free")
	}
}
