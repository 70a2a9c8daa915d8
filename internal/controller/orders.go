package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// Orders are the calls that the controller wants made. The caller makes them in any order and
// reports each result.
type Orders struct {
	Polls        []Poll
	Starts       []Start
	Stops        []Stop
	AdvisorCalls []AdvisorCall
}

// Poll reads the runs on a worker and renews its lease.
type Poll struct {
	Worker string
	Addr   string
	// FencingToken makes the worker refuse orders with a lower one from then on.
	FencingToken int64
	// LeaseDeadlineMs is the end of the lease in milliseconds on the worker's clock. Zero
	// renews nothing.
	LeaseDeadlineMs int64
	// AckedSeq is the number of the last end that the worker may drop from its list.
	AckedSeq int64
	// Wait is how long the worker may delay its response while no run ends.
	Wait  time.Duration
	Route Route
}

// Route selects one of the ways to a worker if there are several. It changes with each failed poll,
// and stays while polls are answered.
type Route int

// Start starts a run on a worker.
type Start struct {
	Worker          string
	Addr            string
	FencingToken    int64
	Run             workload.Run
	Payload         string
	LeaseDeadlineMs int64
	Checkpoint      string
	Ticket          string
	Route           Route
}

// Stop stops a run on a worker.
type Stop struct {
	Worker       string
	Addr         string
	FencingToken int64
	Run          workload.Run
	Route        Route
}

// AdvisorCall asks the placement advisor, through an entry, which of some workers may run a
// step.
type AdvisorCall struct {
	// ID identifies the call within the controller's term.
	ID      int64
	Entry   string
	Step    workload.StepID
	Workers []string
	Sent    time.Time
	// ExpectedDuration is the time for which the advisor works on the call.
	ExpectedDuration time.Duration
}

// OrderResult is the result of a poll, start or stop on a worker.
type OrderResult uint8

// The results of an order.
const (
	// CarriedOut means that the worker has done what the order asks for.
	CarriedOut OrderResult = iota
	// RefusedStaleToken means that the worker has seen a higher fencing token.
	RefusedStaleToken
	// RefusedEndedRun means that the run, or a later one of its task, was stopped or has
	// ended there. So a stop has no effect, but its purpose is reached.
	RefusedEndedRun
	// RefusedLeaseExpired means that the lease deadline in the start had passed.
	RefusedLeaseExpired
	// RefusedNoCapacity means that the task does not fit on the worker.
	RefusedNoCapacity
	// RefusedTicket means that the worker did not accept the advisor's ticket.
	RefusedTicket
	// RefusedBoot means that the worker has been restarted.
	RefusedBoot
	// RefusedUnhealthy means that the worker is unhealthy and has done nothing.
	RefusedUnhealthy
	// RefusedMalformed means that the worker rejects the order as malformed.
	RefusedMalformed
	// NotDelivered means that the order certainly did not reach the worker.
	NotDelivered
	// NoResponse means that the order may have been carried out, or may be carried out later.
	NoResponse
	// ConnectionBroken is like NoResponse, but the connection broke: the worker, or its process, was not
	// merely silent.
	ConnectionBroken

	// lastOrderResult is the highest known result.
	lastOrderResult = ConnectionBroken
)

// Known reports whether this version knows the result.
func (r OrderResult) Known() bool { return r <= lastOrderResult }

// String returns the name of the result in logs and metrics.
func (r OrderResult) String() string {
	names := [...]string{"obeyed", "fence", "old", "late", "room", "ticket", "boot", "sick", "bad", "unreached", "unanswered", "broken"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Effect is what the sender of an order knows of its effect on the worker. The three cases must
// never be confused: what was refused, and what may still happen, has not happened.
type Effect uint8

// The effects of an order.
const (
	// EffectUnknown means that the order may have been carried out, or may be carried out later.
	EffectUnknown Effect = iota
	// EffectNone means that this order certainly has no effect and never will. An earlier copy of
	// it may.
	EffectNone
	// EffectDone means that the worker has done what the order asks for.
	EffectDone
)

// Effect returns what the result says of the order's effect. A result that is not known says
// nothing.
func (r OrderResult) Effect() Effect {
	switch r {
	case CarriedOut:
		return EffectDone
	case RefusedStaleToken, RefusedEndedRun, RefusedLeaseExpired, RefusedNoCapacity, RefusedTicket,
		RefusedBoot, RefusedUnhealthy, RefusedMalformed, NotDelivered:
		return EffectNone
	default:
		return EffectUnknown
	}
}

// NextOrders returns the orders that are due and removes them from the controller. Without a
// leader lease it adds no polls, starts, repeated orders or advisor calls.
func (c *Controller) NextOrders(now time.Time) Orders {
	c.tick(now)
	if c.placementNeeded && !now.Before(c.nextPlacement) {
		c.runPlacementPass(now)
	}
	out := c.orders
	c.orders = Orders{}
	c.setStopTokens(out.Stops)
	return out
}

// NextWake returns when NextOrders has to be called next if no event occurs before.
func (c *Controller) NextWake(now time.Time) time.Time {
	next := now.Add(maxWakeInterval)
	if c.placementNeeded && c.nextPlacement.Before(next) {
		next = c.nextPlacement
	}
	if at, ok := c.wakeups.earliest(); ok && at.Before(next) {
		next = at
	}
	if c.workerScanDue && c.nextWorkerScan.Before(next) {
		next = c.nextWorkerScan
	}
	return next
}

const (
	// maxWakeInterval is the longest time between two calls of NextOrders.
	maxWakeInterval = 100 * time.Millisecond
	// minPlacementInterval is the least time between two placement passes. All results that arrive meanwhile are
	// processed by one pass.
	minPlacementInterval = 8 * time.Millisecond
	// The time between passes grows with what a pass has to look at, so that on a slow machine most of the processor
	// time is left for results and answers. What a pass costs grows with the number of workers, and so does the number
	// of results that each request one, up to maxPlacementTimePerWorker. At 350 workers and 1,000 waiting steps urgent
	// work is still decided within 50 ms.
	placementTimePerWorkerSquared = 55 * time.Nanosecond
	maxPlacementTimePerWorker     = 80 * time.Microsecond
	placementTimePerStep          = 25 * time.Microsecond
)

// placementInterval returns the time between a placement pass and the next one.
func (c *Controller) placementInterval() time.Duration {
	n := time.Duration(len(c.workers))
	forWorkers := min(n*n*placementTimePerWorkerSquared, n*maxPlacementTimePerWorker)
	return max(minPlacementInterval, forWorkers+placementTimePerStep*time.Duration(len(c.readySteps)))
}

// requestPlacement requests a placement pass.
func (c *Controller) requestPlacement(now time.Time) {
	if c.placementNeeded {
		return
	}
	c.placementNeeded = true
	if c.nextPlacement.Before(now) {
		c.nextPlacement = now
	}
}
