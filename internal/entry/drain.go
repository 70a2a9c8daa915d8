package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
)

// loadBalancerGrace is the time in which the balancer turns callers away.
const loadBalancerGrace = 500 * time.Millisecond

// drain ends the entry gracefully: no new callers, every request in flight is
// answered, then the table is left, so that others take over.
func (e *Entry) drain(callers *caller.Server) {
	e.events.Record(event.Event{Type: event.EntryDrain, Member: e.member.ID})
	ctx, cancel := context.WithTimeout(e.ctx, e.timing.Drain)
	defer cancel()
	e.runOnControl(func() { e.core.draining = true })
	e.runOnControl(func() { e.core.sendHeartbeats(true) })
	_ = callers.Drain(ctx, loadBalancerGrace)
	_ = e.requests.dispatcher.Drain(ctx)
	e.awaitSlots(ctx)
	e.leaveTable(ctx)
}

// drainAfterRemoval ends an entry that others have removed from the table, as one that was
// paused for long finds when it wakes. It grants nothing any more; what is at
// endpoints and at peers already is answered, everything else is refused.
func (e *Entry) drainAfterRemoval(callers *caller.Server) {
	ctx, cancel := context.WithTimeout(e.ctx, e.timing.Drain)
	defer cancel()
	_ = callers.Drain(ctx, 0)
	_ = e.requests.dispatcher.Drain(ctx)
	e.awaitSlots(ctx)
}

// slotPollInterval is the period at which the drain looks for open slots.
const slotPollInterval = 20 * time.Millisecond

// awaitSlots waits until no request is at an endpoint, forwarded ones included.
func (e *Entry) awaitSlots(ctx context.Context) {
	for ctx.Err() == nil {
		open := 0
		if !e.runOnControl(func() { open = len(e.requests.slots.open) }) || open == 0 {
			return
		}
		sleep(ctx, slotPollInterval)
	}
}
