// Package agent spreads the controller's calls to workers over other members of the cell. An
// agent is a member that sends the orders of the controller to a share of the workers and
// returns the results. It decides nothing: the orders bear the fencing tokens that the controller has
// given them, and an order that was delayed on its way to the agent is not sent.
package agent

import (
	"context"
	"time"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/workload"
)

// Workers sends orders to workers under a fencing token. It observes the DeliveryDeadline of a context.
type Workers interface {
	// Poll reads the state of a worker's runs and renews its lease. The poll result is nil
	// unless the order was carried out.
	Poll(ctx context.Context, token int64, p *controller.Poll) (*workload.PollResult, controller.OrderResult)
	// Start and Stop return the result of the order and the worker's clock in milliseconds,
	// zero if unknown.
	Start(ctx context.Context, token int64, s *controller.Start) (controller.OrderResult, int64)
	Stop(ctx context.Context, token int64, s *controller.Stop) (controller.OrderResult, int64)
}

type deliveryDeadlineKey struct{}

// WithDeliveryDeadline returns a context for an order that must not reach its worker after a time of the steady
// clock. The response may come later.
func WithDeliveryDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, deliveryDeadlineKey{}, deadline)
}

// DeliveryDeadline returns the delivery deadline of an order's context, false if it has none.
func DeliveryDeadline(ctx context.Context) (time.Time, bool) {
	deadline, ok := ctx.Value(deliveryDeadlineKey{}).(time.Time)
	return deadline, ok
}

// Result is the result of one order.
type Result struct {
	Code controller.OrderResult
	// ClockMs is the worker's clock in milliseconds, zero if unknown. Poll is set if a poll
	// was carried out.
	ClockMs int64
	Poll    *workload.PollResult
}

// SendPoll sends a poll to its worker and returns the result.
func SendPoll(ctx context.Context, w Workers, token int64, p *controller.Poll) Result {
	poll, code := w.Poll(ctx, token, p)
	return Result{Code: code, Poll: poll}
}

// SendStart sends a start to its worker and returns the result.
func SendStart(ctx context.Context, w Workers, token int64, s *controller.Start) Result {
	code, clockMs := w.Start(ctx, token, s)
	return Result{Code: code, ClockMs: clockMs}
}

// SendStop sends a stop to its worker and returns the result.
func SendStop(ctx context.Context, w Workers, token int64, s *controller.Stop) Result {
	code, clockMs := w.Stop(ctx, token, s)
	return Result{Code: code, ClockMs: clockMs}
}
