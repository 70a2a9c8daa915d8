package dispatch

import (
	"context"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// errQueued returns the error for a request that has to wait behind others for a slot.
func errQueued() error {
	return structs.NewError(structs.CodeNoCapacity, "the request waits behind requests with an earlier target")
}

// makeAttempt sends a request once, to an own worker or a peer, and waits for a slot
// first if necessary.
func (d *Dispatcher) makeAttempt(ctx context.Context, a *attempt) Result {
	d.refreshSlots()
	t := d.gate.admit(a.admissionRequest(d.gate.typicalServiceTime(a.req.Class)))
	defer func() { t.release(0) }()
	for {
		if t.mayRun() {
			res, done := d.sendToOwnWorker(ctx, a, t)
			if done {
				return res
			}
			continue
		}
		if dest := d.chooseDestination(a, errQueued()); dest.Peer.Member != "" {
			t.release(0)
			return d.forward(ctx, a, dest)
		}
		if err := t.refusal(); err != nil {
			if d.waitForSlots(ctx, a) {
				t.release(0)
				t = d.gate.admit(a.admissionRequest(d.gate.typicalServiceTime(a.req.Class)))
				continue
			}
			d.counts.refused.Inc()
			return Result{Outcome: structs.OutcomeNotRun, Err: structs.AsError(err), Unsent: true, Final: true}
		}
		if err := t.wait(ctx, recheckInterval); err != nil {
			return notRun(err)
		}
	}
}

// waitForSlots waits for a short time while the entry has no slots at all, for example
// while workers change owners. It reports whether the request should try again to get a
// slot. It gives up once the target leaves too little time; a request forwarded by a
// peer never waits.
func (d *Dispatcher) waitForSlots(ctx context.Context, a *attempt) bool {
	if a.forwarded || d.gate.slotCount() > 0 || a.slack() <= d.gate.typicalServiceTime(a.req.Class) {
		return false
	}
	if sleep(ctx, noSlotRetryDelay) != nil {
		return false
	}
	d.refreshSlots()
	return true
}

// sendToOwnWorker sends an admitted request to an own worker, or to a peer if no slot
// is free in spite of the admission. It returns false after a pause in which no slot
// was found; the request stays admitted.
func (d *Dispatcher) sendToOwnWorker(ctx context.Context, a *attempt, t *ticket) (Result, bool) {
	lease, reason := d.acquireSlot(ctx, a, a.avoidWorkers)
	if reason == nil {
		return d.send(ctx, a, lease, t), true
	}
	if dest := d.chooseDestination(a, reason); dest.Peer.Member != "" {
		t.release(0)
		return d.forward(ctx, a, dest), true
	}
	if structs.CodeOf(reason) != structs.CodeNoCapacity {
		return notRun(reason), true
	}
	if len(a.avoidWorkers) > 0 {
		// No other worker is left: one that failed this request before, on another
		// connection, is better than none.
		if lease, err := d.acquireSlot(ctx, a, nil); err == nil {
			return d.send(ctx, a, lease, t), true
		}
	}
	if err := sleep(ctx, noSlotRetryDelay); err != nil {
		return notRun(err), true
	}
	return Result{}, false
}

// acquireSlot leases a slot on a worker that is not excluded.
func (d *Dispatcher) acquireSlot(ctx context.Context, a *attempt, exclude []string) (SlotLease, error) {
	return d.opts.Slots.Acquire(ctx, SlotRequest{Class: a.req.Class, Slack: a.slack(), ExcludeWorkers: exclude})
}

// send makes one attempt at the worker of a slot lease.
func (d *Dispatcher) send(ctx context.Context, a *attempt, l SlotLease, t *ticket) Result {
	d.opts.Events.Record(event.Event{
		Type: event.RequestAttempt, Request: a.req.ID, Key: a.req.Key, Class: a.req.Class,
		Idempotent: a.req.Idempotent,
		Worker:     l.Target.Worker, Attempt: a.number, Epoch: l.Fence.Epoch,
	})
	a.onSent(recipient{worker: l.Target.Worker})
	start := time.Now()
	sent := d.opts.Sender.Send(ctx, l.Target, l.Fence, a.req, a.deadline)
	report := AttemptReport{Outcome: sent.Outcome, Code: codeOf(sent.Err), Unsent: sent.Unsent, Duration: time.Since(start)}
	report.Abandoned = sent.Outcome == structs.OutcomeUnknown && ctx.Err() != nil && a.remaining() > 0
	d.opts.Slots.Release(l, report)
	if sent.Outcome == structs.OutcomeAnswered {
		t.release(report.Duration)
	}
	return Result{Outcome: sent.Outcome, Body: sent.Body, Worker: l.Target.Worker, Err: sent.Err, Unsent: sent.Unsent}
}

// refreshSlots updates the gate's number of slots, at most once per slotRefreshInterval
// unless the gate has none.
func (d *Dispatcher) refreshSlots() {
	now := time.Now().UnixNano()
	last := d.slotsReadAt.Load()
	if now-last < int64(slotRefreshInterval) && d.gate.slotCount() > 0 {
		return
	}
	d.slotsReadAt.Store(now)
	self, _ := d.opts.Peers.Loads()
	d.gate.setSlots(self.TotalSlots)
}

// sleep waits for d. It fails with CodeDeadline if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return structs.NewError(structs.CodeDeadline, "the deadline passed before a slot was free")
	}
}
