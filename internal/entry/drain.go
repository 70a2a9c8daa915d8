package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
)

// loadBalancerGrace is the time for which the listener stays open during a drain, so
// that the load balancer notices and sends no further callers.
const loadBalancerGrace = 500 * time.Millisecond

// drain shuts the entry down gracefully: it refuses new calls of callers, waits for the
// answers to all requests in flight, and leaves the membership table so that other
// members take over.
func (e *Entry) drain(callerServer *caller.Server) {
	e.events.Record(event.Event{Type: event.EntryDrain, Member: e.member.ID})
	ctx, cancel := context.WithTimeout(e.ctx, e.timing.Drain)
	defer cancel()
	e.runOnControl(func() { e.core.draining = true })
	e.runOnControl(func() { e.core.sendHeartbeats(true) })
	_ = callerServer.Drain(ctx, loadBalancerGrace)
	_ = e.requests.dispatcher.Drain(ctx)
	e.awaitSlots(ctx)
	e.leaveTable(ctx)
}

// drainAfterRemoval ends an entry that other members have removed from the table, for
// example while its process was paused for long. The entry no longer has authority: it
// still answers requests that are already at endpoints and peers, and refuses all
// others.
func (e *Entry) drainAfterRemoval(callerServer *caller.Server) {
	ctx, cancel := context.WithTimeout(e.ctx, e.timing.Drain)
	defer cancel()
	_ = callerServer.Drain(ctx, 0)
	_ = e.requests.dispatcher.Drain(ctx)
	e.awaitSlots(ctx)
}

// slotPollInterval is the interval at which a drain checks for open slots.
const slotPollInterval = 20 * time.Millisecond

// awaitSlots waits until no request is in flight to an endpoint of an owned worker,
// including requests that other entries forwarded.
func (e *Entry) awaitSlots(ctx context.Context) {
	for ctx.Err() == nil {
		openSlots := 0
		if !e.runOnControl(func() { openSlots = len(e.requests.slots.open) }) || openSlots == 0 {
			return
		}
		sleep(ctx, slotPollInterval)
	}
}
