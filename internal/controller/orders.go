package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// Orders is what the controller wants done. The caller carries it out in any order and
// reports each result.
type Orders struct {
	Polls        []Poll
	Starts       []Start
	Stops        []Stop
	AdvisorCalls []AdvisorCall
}

// Poll reads what a worker runs and renews its lease.
type Poll struct {
	Worker string
	Addr   string
	// LeaseDeadlineMs is the end of the lease by the worker's clock; zero renews nothing.
	LeaseDeadlineMs int64
	// AckedSeq is the end up to which the worker may forget.
	AckedSeq int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Start starts a run.
type Start struct {
	Worker          string
	Addr            string
	Run             workload.Run
	Payload         string
	LeaseDeadlineMs int64
	Checkpoint      string
	Ticket          string
}

// Stop stops a run.
type Stop struct {
	Worker string
	Addr   string
	Run    workload.Run
}

// AdvisorCall asks the placement advisor through a lane about a step.
type AdvisorCall struct {
	Entry   string
	Step    workload.StepID
	Workers []string
	Sent    time.Time
	// ExpectedDuration is how long the call is stated to take.
	ExpectedDuration time.Duration
}

// OrderResult is a worker's answer to an order.
type OrderResult uint8

// The answers to an order.
const (
	// CarriedOut: the run is there, or it was stopped.
	CarriedOut OrderResult = iota
	// RefusedStaleToken: a higher fencing token has been seen there.
	RefusedStaleToken
	// RefusedEndedRun: the run, or a later one, was stopped or has ended there.
	RefusedEndedRun
	// RefusedLeaseExpired: the lease that the start named had ended.
	RefusedLeaseExpired
	// RefusedNoCapacity: it does not fit.
	RefusedNoCapacity
	// RefusedTicket: the advisor's ticket is not valid.
	RefusedTicket
	// RefusedBoot: the worker runs another boot.
	RefusedBoot
	// RefusedUnhealthy: the worker is unhealthy and has done nothing.
	RefusedUnhealthy
	// RefusedMalformed: the worker holds the order to be malformed.
	RefusedMalformed
	// NotDelivered: the order certainly did not arrive.
	NotDelivered
	// NoResponse: the order may have been carried out, or may be later.
	NoResponse
)

// String names the answer.
func (a OrderResult) String() string {
	names := [...]string{"obeyed", "fence", "old", "late", "room", "ticket", "boot", "sick", "bad", "unreached", "unanswered"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// HasResponse reports whether the worker has spoken.
func (a OrderResult) HasResponse() bool { return a != NotDelivered && a != NoResponse }

// NextOrders returns the orders that are due now and forgets them. Nothing is ordered without
// authority.
func (c *Controller) NextOrders(now time.Time) Orders {
	c.tick(now)
	if c.planNeed && !now.Before(c.planAt) {
		c.plan(now)
	}
	out := c.orders
	c.orders = Orders{}
	return out
}

// NextWake returns when Take has to be called next without an event.
func (c *Controller) NextWake(now time.Time) time.Time {
	next := now.Add(idleWake)
	if c.planNeed && c.planAt.Before(next) {
		next = c.planAt
	}
	if at, ok := c.wakes.next(); ok && at.Before(next) {
		next = at
	}
	if c.surveyDue && c.surveyAt.Before(next) {
		next = c.surveyAt
	}
	return next
}

const (
	// idleWake is the longest time between two calls of Take.
	idleWake = 100 * time.Millisecond
	// planGap is the least time between two passes of placement in a cell of up to
	// smallPool workers; it grows with their number, as the work of a pass does.
	planGap   = 8 * time.Millisecond
	smallPool = 100
)

// needPlan asks for a pass of placement.
func (c *Controller) needPlan(now time.Time) {
	if c.planNeed {
		return
	}
	c.planNeed = true
	if c.planAt.Before(now) {
		c.planAt = now
	}
}
