package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/agent"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
)

// directOrder is an order that the controller sends to a worker itself.
type directOrder struct {
	kind      string // for metrics
	worker    string
	decidedAt time.Time
	// wait is how long the worker may delay its response.
	wait time.Duration
	send func(context.Context) agent.Result
	done func(agent.Result)
}

// Reasons why an order is not sent.
const (
	orderTooOld  = "too old"
	orderNoLease = "the leader lease has lapsed"
)

// sendDirectly sends an order on a goroutine and has its result processed.
func (l *leaderTerm) sendDirectly(o *directOrder) {
	go func() { o.done(l.callWorker(o)) }()
}

// callWorker sends an order, unless it is too old or the leader lease has lapsed since the decision: the process
// may have been paused, and a later boot of the worker, which no successor has reached, would carry the order out. An
// order that is not sent has the result NotDelivered. One that is sent arrives within Timing.DeliveryTime of the
// decision.
//
// A pause between the check and the call is not noticed, and timers do not count the time for which the machine is
// suspended. A request that is written after such a pause may arrive late; only the worker's fencing token keeps it
// from being carried out then.
func (l *leaderTerm) callWorker(o *directOrder) agent.Result {
	now := clock.Now()
	age := now.Sub(o.decidedAt)
	if reason := l.reasonNotToSend(age, now); reason != "" {
		l.node.stats.countOrder(o.kind, controller.NotDelivered)
		l.node.record(event.Event{
			Type: event.OrdersStale, Worker: o.worker, Epoch: l.epoch, Count: 1, AgeMs: age.Milliseconds(), Detail: reason,
		})
		return agent.Result{Code: controller.NotDelivered}
	}
	l.node.stats.countDirectOrder(o.kind)
	ctx, cancel := l.boundCall(o, age)
	defer cancel()
	return o.send(ctx)
}

// reasonNotToSend returns why an order of an age is not sent, empty if it is.
func (l *leaderTerm) reasonNotToSend(age time.Duration, now time.Time) string {
	switch {
	case age > maxDirectOrderAge(l.node.opts.Timing.DeliveryTime):
		return orderTooOld
	case l.leaseLeft(now) <= 0:
		return orderNoLease
	default:
		return ""
	}
}

// boundCall returns the context of the call for an order of an age. Its times are those of the decision, not of the
// call.
func (l *leaderTerm) boundCall(o *directOrder, age time.Duration) (context.Context, context.CancelFunc) {
	deliveryTime := l.node.opts.Timing.DeliveryTime
	if deliveryTime <= 0 {
		return context.WithCancel(l.ctx)
	}
	ctx := agent.WithDeliveryDeadline(l.ctx, o.decidedAt.Add(deliveryTime))
	return context.WithTimeout(ctx, deliveryTime-age+o.wait)
}

// unboundedOrderAge is the age up to which an order is sent if Timing.DeliveryTime is not set.
const unboundedOrderAge = time.Second

// maxDirectOrderAge returns the age up to which an order is sent. A quarter of the delivery time is left for its way to
// the worker.
func maxDirectOrderAge(deliveryTime time.Duration) time.Duration {
	if deliveryTime <= 0 {
		return unboundedOrderAge
	}
	return deliveryTime * 3 / 4
}
