package controller

import (
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// SetWorker adds or updates a worker from the platform's list.
func (c *Controller) SetWorker(info workload.Worker, now time.Time) {
	w := c.workers[info.ID]
	if w == nil {
		w = c.newWorker(info, now)
		w.accountedFor = true
		c.workers[info.ID] = w
		c.recordWorker(event.WorkerListed, w, w.info.String())
	}
	draining := info.Draining && !w.info.Draining
	w.info = info
	if stored := (workerRecord{Addr: w.storedAddr, Capacity: w.storedCapacity}); w.registered && !w.describedBy(&stored) {
		w.registered = false
	}
	w.noteDraining()
	if !w.listed {
		w.listed = true
		w.nextPoll = now
	}
	if !w.registered {
		c.dirty.register(w)
	}
	if draining {
		c.recordWorker(event.WorkerDraining, w, "")
	}
	if info.BootMs != w.boot && w.boot != 0 {
		w.nextPoll = now
	}
	c.requestPlacement(now)
}

// UnlistWorker records that a worker is no longer in the platform's list. Its runs remain
// counted until its lease has ended.
func (c *Controller) UnlistWorker(id string, now time.Time) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	c.recordWorker(event.WorkerUnlisted, w, "")
	c.requestPlacement(now)
}

// PollDone processes a worker's response to a poll that was sent at sent.
func (c *Controller) PollDone(id string, result *workload.PollResult, sent, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	heard := w.lastHeard()
	w.polling = false
	w.pollFailures = 0
	w.answeredAddr = w.polledAddr
	w.nextPoll = now.Add(c.timing.PollPause)
	c.wakeups.add(w.nextPoll)
	if w.overtaken(result, sent) {
		return
	}
	if !sent.Before(w.otherBootSeenAt) {
		w.otherBootAnswered = false
	}
	if former := w.boot; result.BootMs != former {
		c.workerRebooted(w, result.BootMs, heard, now)
		if former != 0 {
			c.fenceEarlierOrders(w, now)
			return
		}
	}
	if w.unfenceable {
		w.nextPoll = now.Add(pollRetryPause)
		return
	}
	c.recordClock(w, result.ClockMs, sent, now)
	w.noteClockStart(result.ClockMs, sent)
	w.leaseReceived(w.polledDeadlineMs)
	if !w.bootAnswered {
		c.bootGained(w, result, now)
	}
	c.requestLeaseRecord(w)
	w.leaseExpired = false
	w.lapsedRuns = nil
	w.brokeOff = false
	w.skipAckedEnds(result)
	w.acks.confirmStarts(result, sent)
	c.applyRunning(w, result, now)
	c.noteOutlived(w, now)
	c.noteEnds(w, result, now)
	c.removeAbsentRuns(w, result, sent, now)
	c.findStragglers(w, now)
	c.requestPlacement(now)
}

// bootGained records the first answer of a worker's boot to a poll that makes it refuse the orders sent before.
func (c *Controller) bootGained(w *worker, result *workload.PollResult, now time.Time) {
	// An earlier controller may have just renewed the lease, or an order for an earlier boot have borne a
	// deadline by that boot's clock.
	w.maxLeaseDeadlineMs = w.clockMs + c.timing.MaxLease.Milliseconds()
	w.bootAnswered = true
	w.accountedFor = true
	w.endLists.begin(result, now)
	c.recordGained(w, result)
}

// overtaken reports whether a response to a poll that was sent at sent is of an earlier boot than the
// current one. Boots differ in their start times, which are readings of clocks that may be set back, so
// these do not order them. A boot that responds to a poll sent after another boot responded is the later.
func (w *worker) overtaken(result *workload.PollResult, sent time.Time) bool {
	return result.BootMs != w.boot && sent.Before(w.bootSeenAt)
}

// PollFailed processes a poll that got no response or was refused.
func (c *Controller) PollFailed(id string, result OrderResult, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.polling = false
	if result == RefusedStaleToken && !w.pollSent.Before(w.tokenSince) {
		c.markFenced(w)
	}
	if w.pollFailures == 0 {
		c.recordWorker(event.WorkerUnresponsive, w, result.String())
		c.withdrawStarts(w, now)
		w.noteSilence(result, c.timing.PollWait, now)
		c.testYoungRuns(w)
	}
	c.ackUnanswered(w, result, now)
	w.pollFailures++
	w.route++
	if result == RefusedBoot && w.mustHaveEnded() {
		c.workerReplaced(w, now)
	}
	w.nextPoll = now.Add(pollRetryPause)
	c.wakeups.add(w.nextPoll)
}

// pollRetryPause is the pause after a failed poll.
const pollRetryPause = 200 * time.Millisecond

// markFenced records that another controller has taken over.
func (c *Controller) markFenced(w *worker) {
	if !c.fenced {
		c.recordWorker(event.Fenced, w, "")
	}
	c.fenced = true
}

// recordClock records a reading of the worker's clock from a response.
func (c *Controller) recordClock(w *worker, clockMs int64, sent, now time.Time) {
	if sent.After(w.lastAnsweredCall) {
		w.lastAnsweredCall = sent
	}
	if clockMs > w.clockMs || w.clockAt.IsZero() {
		w.clockMs = clockMs
		w.clockAt = now
	}
}

// workerRebooted records that a worker was restarted, whose earlier boot was last heard at a given time: the
// runs of that boot have ended. A run of which a start order may have reached the new boot is left to the
// first answer of that boot under the next fencing token.
func (c *Controller) workerRebooted(w *worker, boot int64, heard, now time.Time) {
	c.withdrawStarts(w, now)
	crash := w.crashNow(crashByNewBoot, heard, now)
	if w.boot == 0 {
		c.checkInheritedTests(w, boot, now)
	} else {
		c.recordWorker(event.WorkerBoot, w, "")
	}
	w.boot = boot
	w.leaving = false
	w.noteDraining()
	w.brokeOff = false
	w.bootSeenAt = now
	w.bootAnswered = false
	w.clockMs = 0
	w.clockAt = time.Time{}
	w.maxLeaseDeadlineMs = 0
	w.heldDeadlineMs = 0
	w.polledDeadlineMs = 0
	w.clockStart = time.Time{}
	w.ackedSeq = 0
	w.acks.lowestListedEnd = 0
	clear(w.storedEnds)
	clear(w.processedEnds)
	w.endLists = endLists{}
	for _, orphan := range w.orphans {
		orphan.stopAcked = time.Time{}
	}
	for _, r := range w.runs {
		if r.onlyOnKnownBoot() {
			c.runLost(r, lostWithBoot, now)
			continue
		}
		r.forgetBoot()
	}
	c.blame(w, crash, now)
	c.requestPlacement(now)
}

// mustHaveEnded reports whether the process of the worker has ended if another worker answers at the
// address of the latest poll: it has answered there, or may have got runs of an earlier controller
// only there.
func (w *worker) mustHaveEnded() bool {
	if w.bootAnswered {
		return w.polledAddr == w.answeredAddr
	}
	return !w.accountedFor && w.polledAddr == w.storedAddr
}

// workerReplaced records that the process of a worker has ended, and all its runs with it, since
// another worker answers at its address.
func (c *Controller) workerReplaced(w *worker, now time.Time) {
	c.recordWorker(event.WorkerReplaced, w, "")
	w.bootAnswered = false
	crash := w.crashNow(crashByOtherWorker, w.lastHeard(), now)
	c.loseWorker(w, lostWithBoot, now)
	c.blame(w, crash, now)
	c.blameInheritedTests(w, now)
}

// loseWorker ends all runs on a worker that has none any more.
func (c *Controller) loseWorker(w *worker, reason string, now time.Time) {
	w.leaseExpired = true
	w.accountedFor = true
	w.endLists = endLists{}
	for _, r := range w.runs {
		c.runLost(r, reason, now)
	}
	for id := range w.orphans {
		c.removeOrphan(w, id)
	}
	c.requestPlacement(now)
}

// applyRunning updates the runs that a worker lists as running.
func (c *Controller) applyRunning(w *worker, result *workload.PollResult, now time.Time) {
	for i := range result.Running {
		status := &result.Running[i]
		c.noteInheritedRun(w, status.Run)
		r := w.runs[status.Run]
		if r == nil {
			r = c.adoptRun(w, status, now)
		}
		if r != nil {
			c.applyRunStatus(r, status, now)
		}
	}
}

// applyRunStatus updates a run that a worker lists as running.
func (c *Controller) applyRunStatus(r *run, status *workload.RunningTask, now time.Time) {
	r.listedByWorker = true
	c.markStarted(r.task.step.job(), now)
	if r.state == runStarting || r.state == runStartUnknown {
		r.state = runRunning
	}
	if r.confirmedAt.Before(r.worker.bootSeenAt) {
		r.confirmedAt = now
	}
	if _, waits := c.retries[r]; r.stopping && r.stopAcked.IsZero() && !r.inFlight && !waits {
		// Its stop was in force at the former boot.
		c.retryLater(r, 0, now)
	}
	c.sampleSpeed(r, status.Percent, now)
	if status.Percent > r.percent || r.progressedAt.IsZero() {
		r.progressedAt = now
	}
	if g := r.task.step.gang; g != nil && status.Percent > 0 {
		g.allRunning = true
	}
	r.percent = status.Percent
	r.percentAt = now
	if status.Checkpoint != "" {
		r.task.saveCheckpoint(r.number, status.Checkpoint)
	}
}

// saveCheckpoint stores a checkpoint unless a later run has saved one.
func (t *task) saveCheckpoint(number int64, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if g := t.step.gang; g != nil {
		if number >= g.checkpointRun {
			g.checkpoint = checkpoint
			g.checkpointRun = number
		}
		return
	}
	if number >= t.checkpointRun {
		t.checkpoint = checkpoint
		t.checkpointRun = number
	}
}

// adoptRun adds a run that an earlier controller has started. It has the run stopped instead,
// and returns nil, if the run should not go on.
func (c *Controller) adoptRun(w *worker, status *workload.RunningTask, now time.Time) *run {
	if orphan := w.orphans[status.Run]; orphan != nil {
		return nil
	}
	t := c.findShownTask(status.Run.Task, now)
	if t == nil || !c.adoptable(t, status.Run) {
		c.addOrphan(w, status.Run, t, now)
		return nil
	}
	r := &run{
		task:         t,
		number:       status.Run.Number,
		worker:       w,
		size:         t.step.size,
		state:        runRunning,
		startSent:    now,
		fencingToken: w.fencingToken,
		confirmedAt:  now,
		// The earlier controller may have sent other copies of its start.
		copyMayArrive: true,
		resumed:       true,
	}
	c.addRun(r)
	c.markStarted(t.step.job(), now)
	if t.step.gang != nil {
		t.step.gang.attempt = max(t.step.gang.attempt, r.number)
		if t.step.gang.startedAt.IsZero() {
			t.step.gang.startedAt = now
		}
	}
	c.recordRun(event.TaskAdopted, r, "")
	return r
}

// adoptable reports whether a run that is not known may go on.
func (c *Controller) adoptable(t *task, r workload.Run) bool {
	s := t.step
	if s.job().ended() || t.done {
		return false
	}
	if s.gang != nil {
		return !s.gang.aborting && len(t.runs) == 0 && (s.gang.attempt == 0 || s.gang.attempt == r.Number)
	}
	return len(t.runs) == 0 || s.def.AllowCopies
}

// findTask returns a task of an open occurrence, nil if there is none.
func (c *Controller) findTask(id workload.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	for _, occ := range j.open {
		if occ.number != id.Occurrence {
			continue
		}
		if id.Step >= len(occ.steps) || id.Index >= len(occ.steps[id.Step].tasks) {
			return nil
		}
		return occ.steps[id.Step].tasks[id.Index]
	}
	return nil
}

// removeAbsentRuns ends the runs that a worker lists neither as running nor as ended, in a
// response to a poll that was sent after they were confirmed or stopped.
func (c *Controller) removeAbsentRuns(w *worker, result *workload.PollResult, sent, now time.Time) {
	if !listsAllEnds(result) {
		return
	}
	w.runsListedAt = w.clockStart.Add(time.Duration(result.ClockMs) * time.Millisecond)
	present := make(map[workload.Run]bool, len(result.Running))
	for i := range result.Running {
		present[result.Running[i].Run] = true
	}
	for id, r := range w.runs {
		switch {
		case present[id], r.awaitsRecord:
		case r.fenced() && !sent.Before(w.tokenSince):
			c.runLost(r, lostFenced, now)
		case r.inFlight:
		case !r.confirmedAt.IsZero() && sent.After(r.confirmedAt):
			c.runLost(r, lostAfterStart, now)
		case !r.stopAcked.IsZero() && sent.After(r.stopAcked):
			c.runLost(r, lostAfterStop, now)
		}
	}
	for id, orphan := range w.orphans {
		fenced := orphan.fencingToken < w.fencingToken && !sent.Before(w.tokenSince)
		switch {
		case !present[id] && (fenced || !orphan.stopAcked.IsZero() && sent.After(orphan.stopAcked)):
			c.removeOrphan(w, id)
		case orphan.stopAcked.IsZero():
			c.repeatOrphanStop(w, orphan, now)
		}
	}
}
