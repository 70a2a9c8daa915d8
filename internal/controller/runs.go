package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// addRun counts a run on its worker and for its task.
func (c *Controller) addRun(r *run) {
	t := r.task
	s := t.step
	if len(t.runs) == 0 {
		s.pending--
	}
	if t.copyWanted {
		t.cancelCopy()
	}
	t.runs = append(t.runs, r)
	t.highestRun = max(t.highestRun, r.number)
	t.mayBeRunning = false
	s.lastWaitEvent = time.Time{}
	r.worker.runs[r.id()] = r
	c.occupy(r.worker, s.job().owner(), r.size)
	c.beginSuspectTest(r)
	if s.perWorker != nil {
		s.perWorker[r.worker]++
	}
	s.job().runCount++
	c.updateStepSets(s)
}

// removeRun undoes addRun.
func (c *Controller) removeRun(r *run) {
	t := r.task
	s := t.step
	r.awaitsRecord = false
	t.removeRun(r)
	delete(r.worker.runs, r.id())
	c.release(r.worker, s.job().owner(), r.size)
	c.endSuspectTest(r)
	if s.perWorker != nil {
		s.perWorker[r.worker]--
	}
	if len(t.runs) == 0 && !t.done {
		t.cancelCopy()
		s.pending++
	}
	s.job().runCount--
	c.updateStepSets(s)
	if s.job().ended() && s.job().runCount == 0 {
		c.retire(s.job())
	}
}

// updateStepSets adds a step to readySteps or stepsAwaitingStore, or removes it.
func (c *Controller) updateStepSets(s *step) {
	delete(c.readySteps, s)
	delete(c.stepsAwaitingStore, s)
	switch {
	case !s.unblocked() || s.pending+s.copiesWanted == 0:
	case s.job().stored:
		c.readySteps[s] = struct{}{}
	case s.job().class.Advisor != nil:
		c.stepsAwaitingStore[s] = struct{}{}
	}
}

// The reasons why a run is known to have ended although no worker lists its end, in events.
const (
	lostAfterStart = "absent after its start was answered"
	lostAfterStop  = "absent after its stop was carried out"
	lostWithBoot   = "its worker was restarted"
	lostFenced     = "absent, and its worker refuses its start by the fencing token"
	lostWithLease  = "its worker's lease expired"
)

// runLost ends a run that has certainly ended but whose end no worker will list. The reason is
// for the event.
func (c *Controller) runLost(r *run, reason string, now time.Time) {
	t := r.task
	c.recordRun(event.TaskLost, r, reason)
	c.removeRun(r)
	if t.done || t.step.job().ended() {
		return
	}
	end := workload.EndedTask{Run: r.id(), Reason: workload.EndLost}
	c.handleRunEnd(t, r, &end, now)
	c.requestPlacement(now)
}

// handleRunEnd processes the end of a run and reports whether the job's progress has to be
// stored. r is nil if the run was not known.
func (c *Controller) handleRunEnd(t *task, r *run, e *workload.EndedTask, now time.Time) bool {
	c.recordEnd(t, r, e)
	t.saveCheckpoint(e.Run.Number, e.Checkpoint)
	c.updateWorkerStats(t, r, e, now)
	switch {
	case t.done:
		return false
	case e.Reason == workload.EndDone && !t.step.def.LongRunning:
		return c.taskDone(t, r, now)
	case e.Reason == workload.EndFailed:
		return c.taskFailed(t, r, e, now)
	default:
		c.rescheduleTask(t, e, now)
		return e.Checkpoint != ""
	}
}

// taskDone marks a task, or all tasks of a gang, as done.
func (c *Controller) taskDone(t *task, r *run, now time.Time) bool {
	if r == nil && c.superseded(t) {
		return false
	}
	s := t.step
	if s.gang != nil {
		for _, member := range s.tasks {
			c.markDone(member)
		}
	} else {
		c.markDone(t)
		for _, other := range slices.Clone(t.runs) {
			c.stopRun(other, now)
		}
	}
	if s.complete() {
		c.stepDone(s, now)
	}
	c.updateStepSets(s)
	return true
}

// superseded reports whether a newer run of the task exists, so that the late end of an
// earlier run does not count. The lease of the earlier run had expired.
func (c *Controller) superseded(t *task) bool {
	return len(t.runs) > 0 && !t.step.def.AllowCopies
}

// cancelCopy withdraws the request for a speculative copy.
func (t *task) cancelCopy() {
	if t.copyWanted {
		t.copyWanted = false
		t.step.copiesWanted--
	}
}

func (c *Controller) markDone(t *task) {
	if t.done {
		return
	}
	t.cancelCopy()
	t.done = true
	t.step.doneTasks++
	if len(t.runs) == 0 {
		t.step.pending--
	}
}

// stepDone unblocks the steps that depend on a step, and ends the occurrence with its last
// step.
func (c *Controller) stepDone(s *step, now time.Time) {
	occ := s.occ
	occ.stepsLeft--
	for _, next := range occ.steps {
		if !slices.Contains(next.def.DependsOn, s.index) {
			continue
		}
		for _, dependency := range next.def.DependsOn {
			if dependency == s.index {
				next.openDependencies--
			}
		}
		c.updateStepSets(next)
	}
	if occ.stepsLeft == 0 {
		c.closeOccurrence(occ, now)
	}
	c.requestPlacement(now)
}

// closeOccurrence closes an occurrence that is done, and ends the job with its last one.
func (c *Controller) closeOccurrence(occ *occurrence, now time.Time) {
	j := occ.job
	j.open = slices.DeleteFunc(j.open, func(o *occurrence) bool { return o == occ })
	if j.spec.Recurring() {
		j.markOccurrenceDone(occ.number)
		c.openOccurrences(j, now)
	}
	c.endIfComplete(j, now)
}

// taskFailed counts a failed attempt and fails the job if no attempts are left.
func (c *Controller) taskFailed(t *task, r *run, e *workload.EndedTask, now time.Time) bool {
	failed := &t.failedRuns
	if g := t.step.gang; g != nil {
		failed = &g.failedRuns
	}
	if slices.Contains(*failed, e.Run.Number) {
		c.rescheduleTask(t, e, now)
		return false
	}
	*failed = append(*failed, e.Run.Number)
	j := t.step.job()
	longRunning := t.step.def.LongRunning
	if !longRunning && len(*failed) >= j.class.AttemptLimit() {
		c.endJob(j, workload.JobFailed, "a task reached its maximum number of attempts", now)
		return true
	}
	if r != nil {
		c.avoidWorker(t, r.worker, now)
	}
	t.notBefore = now.Add(failureBackoff(len(*failed), longRunning))
	c.wakeups.add(t.notBefore)
	c.rescheduleTask(t, e, now)
	return true
}

// Limits of the pause before a failed task is restarted.
const (
	minFailureBackoff = 10 * time.Millisecond
	// Long-running tasks may be down for a few seconds at most, including their start.
	maxFailureBackoff = time.Second
)

// failureBackoff returns the pause after the nth failure. It is short for tasks with few
// attempts, and grows for long-running tasks, which may fail any number of times.
func failureBackoff(n int, longRunning bool) time.Duration {
	if !longRunning {
		return minFailureBackoff
	}
	return min(minFailureBackoff<<min(n, 16), maxFailureBackoff)
}

// rescheduleTask makes a task whose run has ended startable again.
func (c *Controller) rescheduleTask(t *task, e *workload.EndedTask, now time.Time) {
	if g := t.step.gang; g != nil && e.Run.Number == g.attempt {
		c.abortGang(t.step, now)
	}
	c.updateStepSets(t.step)
	c.requestPlacement(now)
}

// abortGang stops the remaining members of a gang's attempt.
func (c *Controller) abortGang(s *step, now time.Time) {
	s.gang.aborting = true
	for _, t := range s.tasks {
		for _, r := range slices.Clone(t.runs) {
			c.stopRun(r, now)
		}
	}
	c.finishGangAbort(s)
}

// finishGangAbort makes a gang startable again once no member of the aborted attempt is left.
func (c *Controller) finishGangAbort(s *step) {
	if s.gang == nil || !s.gang.aborting {
		return
	}
	for _, t := range s.tasks {
		if len(t.runs) > 0 {
			return
		}
	}
	s.gang.aborting = false
	s.gang.allRunning = false
	s.gang.attempt = 0
	s.gang.startedAt = time.Time{}
}

// stopRun requests the stop of a run. The run's capacity stays in use until the worker lists
// the end.
func (c *Controller) stopRun(r *run, now time.Time) {
	if r.stopping {
		return
	}
	if r.awaitsRecord {
		c.withdrawStart(r, now)
		return
	}
	r.stopping = true
	c.sendStop(r, now)
}

// sendStop sends the stop order for a run. This also covers a start order that is still in
// flight, since the worker refuses to start a run that was stopped.
func (c *Controller) sendStop(r *run, now time.Time) {
	r.stopSent = now
	r.inFlight = true
	c.recordRun(event.TaskStopSent, r, "")
	c.orders.Stops = append(c.orders.Stops, r.worker.stopOrder(r.id()))
}

// workerForResult returns the worker that an order was sent to, nil if it is no longer
// known. It also records the clock reading in the worker's response, if there was one.
func (c *Controller) workerForResult(id string, run workload.Run, result OrderResult, clockMs int64, sent, now time.Time) *worker {
	w := c.workers[id]
	if w == nil {
		return nil
	}
	w.refusesConnections = result == NotDelivered
	// An order that was sent before the controller knew of the boot may have met the earlier one.
	if result == RefusedBoot || sent.Before(w.bootSeenAt) {
		return w
	}
	switch {
	case w.clockMatches(clockMs, sent, now):
		c.recordClock(w, clockMs, sent, now)
	case clockMs > 0 && !w.clockAt.IsZero():
		w.otherBootAnswered = true
		w.otherBootSeenAt = now
		c.recordOtherBoot(w, run, result)
	}
	return w
}

// StartDone processes the result of a start order.
func (c *Controller) StartDone(id string, run workload.Run, result OrderResult, clockMs int64, sent, now time.Time) {
	w := c.workerForResult(id, run, result, clockMs, sent, now)
	byKnownBoot := w != nil && result == CarriedOut && !sent.Before(w.bootSeenAt) && w.clockMatches(clockMs, sent, now)
	c.settleStart(run, result, byKnownBoot, now)
	if w == nil {
		return
	}
	c.noteStartResult(w, run, result, sent, now)
	r := w.runs[run]
	if r == nil {
		return
	}
	r.inFlight = false
	if byKnownBoot {
		r.acceptedByBoot = true
		if r.testsSuspect {
			c.testRun(r)
		}
		w.leaseReceived(r.startDeadlineMs)
	}
	c.handleStartResult(r, result, now)
	c.finishGangAbort(r.task.step)
	c.requestPlacement(now)
}

// handleStartResult updates a run from the result of its start order.
func (c *Controller) handleStartResult(r *run, result OrderResult, now time.Time) {
	if result != CarriedOut {
		c.recordRun(event.TaskRefused, r, result.String())
	}
	switch {
	case result.Effect() == EffectDone:
		c.markStarted(r.task.step.job(), now)
		r.confirmedAt = now
		if r.state != runRunning {
			r.state = runRunning
			r.progressedAt = now
		}
	case result == RefusedStaleToken:
		if !r.fenced() {
			c.markFenced(r.worker)
		}
	case result == RefusedEndedRun:
		// Either the worker lists the end of the run or the run was stopped before it
		// started. The next poll shows which.
		r.confirmedAt = now
	case result.Effect() == EffectUnknown:
		r.copyMayArrive = true
		r.worker.noteUnansweredTicket(r.ticketUntil)
		if result == ConnectionBroken {
			r.reached = true
			c.testRun(r)
		}
		if !r.confirmedAt.IsZero() || !r.stopAcked.IsZero() {
			break
		}
		r.state = runStartUnknown
		c.retryLater(r, orderRetryPause, now)
	default:
		c.startRefused(r, result, now)
	}
	if r.stopping && r.stopSent.IsZero() {
		c.sendStop(r, now)
	}
}

const (
	// orderRetryPause is the pause before an order without a response is sent again.
	orderRetryPause = 30 * time.Millisecond
	// refusedStopPause is the pause before a stop that was refused is sent again.
	refusedStopPause = 150 * time.Millisecond
)

// startRefused processes the refusal of a start. The run is removed, unless an earlier start
// order may have taken effect. A run that the worker has confirmed goes on.
func (c *Controller) startRefused(r *run, result OrderResult, now time.Time) {
	switch result {
	case RefusedTicket:
		r.task.step.dropTicket(r.worker)
	case RefusedNoCapacity, RefusedUnhealthy, RefusedMalformed, NotDelivered:
		r.worker.noStartsUntil = now.Add(refusalBackoff)
		c.wakeups.add(r.worker.noStartsUntil)
	case RefusedBoot:
		r.worker.nextPoll = now
	}
	if r.copyMayArrive {
		// An earlier start order of this run may have taken effect, or may still arrive.
		if r.confirmedAt.IsZero() {
			c.stopRun(r, now)
		}
		return
	}
	t := r.task
	c.removeRun(r)
	if g := t.step.gang; g != nil && r.number == g.attempt && !t.step.job().ended() {
		c.abortGang(t.step, now)
	}
}

// refusalBackoff is how long no other task is started on a worker that refused a start.
const refusalBackoff = 300 * time.Millisecond

// StopDone processes the result of a stop order.
func (c *Controller) StopDone(id string, run workload.Run, result OrderResult, clockMs int64, sent, now time.Time) {
	w := c.workerForResult(id, run, result, clockMs, sent, now)
	if w == nil {
		return
	}
	if result == RefusedStaleToken && !sent.Before(w.tokenSince) {
		c.markFenced(w)
	}
	// A stop that was sent before the controller knew of the boot may have met the earlier one.
	inForce := stopInForce(result) && !sent.Before(w.bootSeenAt)
	if orphan := w.orphans[run]; orphan != nil {
		orphan.stopInFlight = false
		if inForce {
			orphan.stopAcked = now
		}
	}
	r := w.runs[run]
	if r == nil {
		return
	}
	r.inFlight = false
	c.recordRun(event.TaskStopAnswered, r, result.String())
	if inForce {
		r.state = runStopping
		r.stopAcked = now
		return
	}
	if result == RefusedUnhealthy {
		c.fenceLateStarts(r, now)
	}
	c.retryLater(r, stopRetryPause(result), now)
}

// stopInForce reports whether the worker refuses every start of the run from now on: it has carried
// out the stop, or it says that the run has ended there.
func stopInForce(result OrderResult) bool {
	return result.Effect() == EffectDone || result == RefusedEndedRun
}

// stopRetryPause returns the pause before a stop that is not in force is sent again.
func stopRetryPause(result OrderResult) time.Duration {
	if result.Effect() == EffectUnknown {
		return orderRetryPause
	}
	return refusedStopPause
}

// retryLater schedules the order for a run to be sent again.
func (c *Controller) retryLater(r *run, pause time.Duration, now time.Time) {
	r.retryAt = now.Add(pause)
	c.retries[r] = struct{}{}
	c.wakeups.add(r.retryAt)
}

// sendRetries resends the orders that are not in force and whose pause has passed.
func (c *Controller) sendRetries(now time.Time) {
	for r := range c.retries {
		if r.worker.runs[r.id()] != r {
			delete(c.retries, r)
			continue
		}
		if r.inFlight || now.Before(r.retryAt) || !r.stopping && !r.worker.takesStarts() || !r.worker.takesRetry(now) {
			continue
		}
		delete(c.retries, r)
		switch {
		case r.stopping:
			c.sendStop(r, now)
		case r.state == runStartUnknown:
			c.resendStart(r, now)
		}
	}
}

// resendStart resends a start order that got no response. The worker starts a run only once. The
// worker may have shrunk or been restarted with other properties since the first order.
func (c *Controller) resendStart(r *run, now time.Time) {
	s := r.task.step
	ticket, ok := s.ticket(r.worker, now)
	if g := s.gang; g != nil && now.Sub(g.startedAt) > c.gangPatience() {
		c.abortGang(s, now)
		return
	}
	if !ok || now.Sub(r.startSent) > r.task.startRetryTime(now) || !r.worker.describesBoot() || !s.matchesWorker(r.worker) || r.worker.free().HasNegative() {
		c.stopRun(r, now)
		return
	}
	if ticket == "" && !c.repetitionRecorded(r) || !r.worker.acksAllowStart(now) {
		c.retryLater(r, orderRetryPause, now)
		return
	}
	c.sendStart(r, ticket, now)
}

// maxStartRetryTime is how long a start order without a response is resent before the run is stopped instead, if no
// copy of it is waited for (maxLateStartRetryTime).
const maxStartRetryTime = time.Second

// sendStart sends the start order for a run.
func (c *Controller) sendStart(r *run, ticket string, now time.Time) {
	deadline := r.worker.leaseDeadlineMs(now, c.timing.RequestedLease)
	if r.startDeadlineMs == 0 {
		r.startDeadlineMs = deadline
	}
	r.worker.maxLeaseDeadlineMs = max(r.worker.maxLeaseDeadlineMs, deadline)
	r.worker.lastGrant = now
	r.worker.acks.noteStart(r.id(), ticket, !r.startSent.IsZero(), now)
	r.fencingToken = r.worker.fencingToken
	r.ticketUntil = r.task.step.ticketExpiry(r.worker, ticket)
	r.inFlight = true
	if r.startSent.IsZero() {
		r.startSent = now
	}
	c.trackStart(r, ticket, now)
	t := r.task
	checkpoint := t.checkpoint
	if t.step.gang != nil {
		checkpoint = t.step.gang.attemptCheckpoint
	}
	r.resumed = checkpoint != ""
	c.orders.Starts = append(c.orders.Starts, Start{
		Worker:          r.worker.info.ID,
		Addr:            r.worker.info.Addr,
		FencingToken:    r.worker.fencingToken,
		Run:             r.id(),
		Payload:         t.step.job().spec.Payload,
		LeaseDeadlineMs: deadline,
		Checkpoint:      checkpoint,
		Ticket:          ticket,
		Route:           r.worker.route,
	})
}
