package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/workload"
)

// A start without an answer may be carried out long after its sending, by whichever boot of the worker is up then. A
// later boot remembers no stop and no fencing token, so no order prevents that. Until such a start can't arrive any
// more, its task is not started elsewhere, and ends of the task that count are not acknowledged.
//
// Starts with a ticket of the advisor are not tracked: a ticket is for one boot, and that boot refuses the start of a
// run that was stopped or has ended there, or whose lease deadline has passed. Neither are starts of tasks that allow
// copies, which may run twice.

// unansweredStart is a copy of a start order of which the controller does not know where it was carried out.
type unansweredStart struct {
	task   *task
	worker *worker
	// arrivesUntil is when the start can't be carried out any more.
	arrivesUntil time.Time
	// lateTime is how long after its sending an order may arrive, lease how long after that a lease which it extends
	// can last.
	lateTime, lease time.Duration
	// number is that of the run.
	number int64
	// inherited says that an earlier controller may have sent the start, until sentUntil.
	inherited bool
	sentUntil time.Time
}

// mayArrive reports whether the start may still be carried out after a time.
func (s *unansweredStart) mayArrive(now time.Time) bool { return now.Before(s.arrivesUntil) }

// mayHaveUnseenRun reports whether the worker may have, or get, a run by the start that it has not listed. On a silent
// worker, polls may have arrived as late as a start and have extended the lease.
func (s *unansweredStart) mayHaveUnseenRun(now time.Time) bool {
	if s.mayArrive(now) {
		return true
	}
	listed := !s.worker.runsListedAt.Before(s.arrivesUntil)
	lastGrant := s.worker.lastGrant
	if s.sentUntil.After(lastGrant) {
		lastGrant = s.sentUntil
	}
	return !listed && now.Before(lastGrant.Add(s.lateTime+s.lease))
}

// trackStart records the copy of a start order that is being sent.
func (c *Controller) trackStart(r *run, ticket string, now time.Time) {
	t := r.task
	if !c.tracksStart(t, ticket) {
		return
	}
	t.unansweredStarts = slices.DeleteFunc(t.unansweredStarts, func(s *unansweredStart) bool { return !s.mayHaveUnseenRun(now) })
	lateTime := c.timing.LateStartTime + c.orderDelay
	start := &unansweredStart{
		task: t, worker: r.worker, number: r.number, arrivesUntil: now.Add(lateTime), lateTime: lateTime, lease: c.longestLease(),
	}
	t.unansweredStarts = append(t.unansweredStarts, start)
	c.startsInFlight[r.id()] = start
}

// settleStart processes the result of the copy of a start order that is in flight. byKnownBoot says that the boot that
// is known has carried it out.
func (c *Controller) settleStart(run workload.Run, result OrderResult, byKnownBoot bool, now time.Time) {
	start := c.startsInFlight[run]
	if start == nil {
		return
	}
	delete(c.startsInFlight, run)
	switch {
	case result.Effect() == EffectUnknown:
		start.worker.lateStartsUntil = start.arrivesUntil
		return
	case result.Effect() == EffectDone && !byKnownBoot:
		start.arrivesUntil = now
		return
	}
	t := start.task
	t.unansweredStarts = slices.DeleteFunc(t.unansweredStarts, func(s *unansweredStart) bool { return s == start })
	c.requestPlacement(now)
}

// startMayArrive reports whether a start of the task may still be carried out.
func (t *task) startMayArrive(now time.Time) bool {
	return slices.ContainsFunc(t.unansweredStarts, func(s *unansweredStart) bool { return s.mayArrive(now) })
}

// awaitsLateStart reports whether a start that got no answer may give the task a run, or have given it one.
func (t *task) awaitsLateStart(now time.Time) bool {
	return slices.ContainsFunc(t.unansweredStarts, func(s *unansweredStart) bool { return s.mayHaveUnseenRun(now) })
}

// maxLateStartRetryTime is how long a start without a ticket is sent again before the run is stopped instead. The task
// would have to wait for the copies that may still arrive, while the worker starts a run only once.
const maxLateStartRetryTime = 2 * time.Second

// startRetryTime returns how long a start without an answer is sent again before the run is stopped instead.
func (t *task) startRetryTime(now time.Time) time.Duration {
	if t.startMayArrive(now) {
		return maxLateStartRetryTime
	}
	return maxStartRetryTime
}

// taskToHoldAckFor returns the task whose late starts the acknowledgment of an end has to wait for, nil if there is
// none: no start may follow the end of a done task, or the last failure that a task may have, once it is acknowledged.
func (c *Controller) taskToHoldAckFor(t *task, e *workload.EndedTask) *task {
	counts := e.Reason == workload.EndDone || e.Reason == workload.EndFailed
	switch {
	case !counts:
		return nil
	case t == nil:
		return c.closedTasks[e.Run.Task]
	case t.step.def.LongRunning:
		return nil
	}
	return t
}

// ackHeldEnds acknowledges the ends that need not wait for late starts any more.
func (c *Controller) ackHeldEnds(now time.Time) {
	held := c.heldAcks
	c.heldAcks = nil
	for _, ack := range held {
		c.ackEnd(ack, now)
	}
}
