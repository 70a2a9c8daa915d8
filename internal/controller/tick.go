package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/event"
)

// tick does the work that is due at a time: wake-ups, retries, polls and the expiry of
// leases.
func (c *Controller) tick(now time.Time) {
	if c.wakeups.popDue(now) {
		c.openDueOccurrences(now)
		c.requestPlacement(now)
	}
	if c.advisorQueue.HasOverdue(now) {
		c.requestPlacement(now)
	}
	c.ackHeldEnds(now)
	c.storePredecessorsEnd(now)
	c.refreshLeaseRecord(now)
	c.refreshElapsedRecord(now)
	c.refreshStartRecords(now)
	c.tickedAt = now
	c.sendRecordedStarts(now)
	c.withdrawStalledStarts(now)
	if c.HasLeaderLease(now) {
		c.sendRetries(now)
	}
	c.workerScanDue = now.Before(c.nextWorkerScan)
	if c.workerScanDue {
		return
	}
	c.nextWorkerScan = now.Add(minWorkerScanInterval)
	c.dropExpiredJobs(now)
	c.expireLeases(now)
	if c.HasLeaderLease(now) {
		c.sendPolls(now)
	}
}

// minWorkerScanInterval is the least time between two passes over all workers. Busy workers
// respond far more often than that.
const minWorkerScanInterval = 5 * time.Millisecond

// storePredecessorsEnd adds the record that no earlier controller issues orders any more,
// once that is so.
func (c *Controller) storePredecessorsEnd(now time.Time) {
	if c.predecessorsEndNoted || c.predecessorsExpiry.IsZero() || now.Before(c.predecessorsExpiry) {
		return
	}
	c.predecessorsEndNoted = true
	c.dirty.predecessorsEnded = true
}

// openDueOccurrences opens the occurrences of recurring jobs that are due.
func (c *Controller) openDueOccurrences(now time.Time) {
	for j := range c.recurring {
		c.openOccurrences(j, now)
	}
}

// sendPolls sends the polls that are due. The first poll under an epoch makes the worker
// refuse the orders of earlier epochs.
func (c *Controller) sendPolls(now time.Time) {
	for _, w := range c.workers {
		if w.polling || now.Before(w.nextPoll) || !c.needsPolling(w) {
			continue
		}
		w.polling = true
		w.pollSent = now
		w.polledAddr = w.info.Addr
		poll := Poll{Worker: w.info.ID, Addr: w.info.Addr, FencingToken: w.fencingToken, AckedSeq: w.ackedSeq, Route: w.route}
		switch {
		case w.pollFailures > 0 || w.otherBootAnswered:
			// The worker may run a new boot, whose ends are numbered from 1 again. Its lease
			// is not renewed while the boot is unknown, so that it expires.
			poll.AckedSeq = 0
		case w.bootAnswered:
			c.requestLeaseRecord(w)
			if !w.takesLeases() {
				break
			}
			poll.Wait = c.pollWait(w, now)
			poll.LeaseDeadlineMs = w.leaseDeadlineMs(now, c.timing.RequestedLease)
			w.maxLeaseDeadlineMs = max(w.maxLeaseDeadlineMs, poll.LeaseDeadlineMs)
		}
		c.setAcknowledgment(w, &poll, now)
		w.polledDeadlineMs = poll.LeaseDeadlineMs
		if poll.LeaseDeadlineMs > 0 {
			w.lastGrant = now
		}
		c.orders.Polls = append(c.orders.Polls, poll)
	}
}

// pollWait returns how long a worker may delay its response to a poll. A worker that tests a suspect
// is asked again soon, one whose late starts are waited for right after they can't arrive any more.
func (c *Controller) pollWait(w *worker, now time.Time) time.Duration {
	wait := c.timing.PollWait
	if w.suspectRuns > 0 {
		wait = min(wait, crashWindow)
	}
	if w.runsListedAt.Before(w.lateStartsUntil) {
		wait = min(wait, max(w.lateStartsUntil.Sub(now), 0))
	}
	return wait
}

// needsPolling reports whether a worker is listed, may have runs, or may show what became of them.
func (c *Controller) needsPolling(w *worker) bool {
	return w.listed || !w.settled() || len(w.runs)+len(w.orphans)+len(w.lapsedRuns) > 0
}

// expireLeases ends the runs on workers that have not answered for longer than any lease
// lasts.
func (c *Controller) expireLeases(now time.Time) {
	unsettled := false
	c.awaitsConfirmation = false
	for id, w := range c.workers {
		if w.settled() && (w.pollFailures == 0 || w.leaseExpired) {
			c.forgetWorker(id, w, now)
			continue
		}
		switch {
		case w.accountedFor && w.pollFailures == 0:
			unsettled = true // its ends are being read
		case c.leasesEnded(c.latestLeaseEnd(w), now):
			c.expireWorker(w, now)
		case w.bootAnswered && c.leasesEnded(w.leaseEnd(), now):
			c.expireKnownBoot(w, now)
		default:
			unsettled = unsettled || !w.settled()
		}
	}
	if !unsettled && !c.takeoverComplete {
		c.completeTakeover(now)
	}
}

// leasesEnded reports whether leases that end at a time, zero if that is not known, have ended. A confirmation of
// the epoch that began after the end shows that no other controller has renewed them.
func (c *Controller) leasesEnded(end, now time.Time) bool {
	if end.IsZero() || now.Before(end) {
		return false
	}
	confirmed := !c.lease.ConfirmedAt().Before(end)
	c.awaitsConfirmation = c.awaitsConfirmation || !confirmed
	return confirmed
}

// latestLeaseEnd returns the time by which every lease on an unreachable worker has ended,
// zero if that is not known. Orders for the known boot may have reached a later one.
func (c *Controller) latestLeaseEnd(w *worker) time.Time {
	end := c.predecessorsLeaseEnd(w)
	if w.bootAnswered {
		end = w.leaseEnd()
	}
	if laterBoot := c.laterBootLeaseEnd(w); !end.IsZero() && laterBoot.After(end) {
		return laterBoot
	}
	return end
}

// laterBootLeaseEnd returns the time by which the leases have ended that orders of this controller may have granted at a
// later boot of a worker, zero if it has sent none.
func (c *Controller) laterBootLeaseEnd(w *worker) time.Time {
	if w.lastGrant.IsZero() {
		return time.Time{}
	}
	arrival := w.lastGrant
	if w.otherBootAnswered || w.awaitsFence() {
		// That boot may have run a start. Polls for the former boot may reach it as late as starts, and extend its lease.
		arrival = arrival.Add(c.timing.LateStartTime)
	}
	if w.ticketedStartsUntil.After(arrival) {
		arrival = w.ticketedStartsUntil
	}
	return arrival.Add(c.longestLease())
}

// predecessorsLeaseEnd returns the time by which every lease of earlier controllers on a worker has ended, zero if
// that is not known.
func (c *Controller) predecessorsLeaseEnd(w *worker) time.Time {
	if c.predecessorsExpiry.IsZero() {
		return time.Time{}
	}
	end := c.predecessorsExpiry.Add(c.longestLease())
	if !w.leasesEndBy.IsZero() && w.leasesEndBy.Before(end) {
		return w.leasesEndBy
	}
	return end
}

// expireKnownBoot ends the runs on a worker that the known boot alone can have, whose leases have expired. With no
// other run there the worker is done with.
func (c *Controller) expireKnownBoot(w *worker, now time.Time) {
	lost := slices.DeleteFunc(w.runsByStart(), func(r *run) bool { return !r.onlyOnKnownBoot() })
	if len(lost) == len(w.runs) && len(w.orphans) == 0 {
		c.expireWorker(w, now)
		return
	}
	w.noteLapsed(lost, now)
	w.endLists = endLists{}
	for _, r := range lost {
		c.runLost(r, lostWithLease, now)
	}
}

// expireWorker ends all runs on a worker whose leases have expired.
func (c *Controller) expireWorker(w *worker, now time.Time) {
	c.recordLeasesExpired(w, now)
	w.noteLapsed(w.runsByStart(), now)
	c.loseWorker(w, lostWithLease, now)
}

// noteLapsed remembers the runs that are lost with the leases of a worker shortly after their start, unless the
// worker was draining and has left.
func (w *worker) noteLapsed(lost []*run, now time.Time) {
	w.lapsedAt = now
	if w.leaving {
		return
	}
	for _, r := range lost {
		if r.number > r.task.outlivedRun {
			w.lapsedRuns = append(w.lapsedRuns, r)
		}
	}
}

// lapsedRunsRetention is how long an unlisted worker is still polled for the sake of its lapsedRuns.
const lapsedRunsRetention = 30 * time.Second

// forgetWorker drops a worker that is neither listed nor in use. One with lapsed runs is kept for a while,
// but not in the store.
func (c *Controller) forgetWorker(id string, w *worker, now time.Time) {
	if w.listed || len(w.runs)+len(w.orphans) > 0 {
		return
	}
	if w.registered {
		w.registered = false
		c.dirty.unregister(id)
	}
	if now.Sub(w.lapsedAt) > lapsedRunsRetention {
		w.lapsedRuns = nil
	}
	if !w.polling && len(w.lapsedRuns) == 0 {
		c.retireWorker(w)
	}
}

// completeTakeover lets the tasks be started whose runs no worker has reported. It is called
// once every worker that an earlier controller may have used is settled.
func (c *Controller) completeTakeover(now time.Time) {
	c.takeoverComplete = true
	c.dropInheritedTests()
	for _, j := range c.active {
		for _, occ := range j.open {
			for _, s := range occ.steps {
				for _, t := range s.tasks {
					t.mayBeRunning = false
				}
			}
		}
	}
	for _, j := range c.unretiredJobs {
		c.deleteRecord(j)
	}
	c.unretiredJobs = nil
	c.inheritedJobs = nil
	c.record(event.Event{Type: event.CellSettled, Epoch: c.epoch, Count: len(c.active)})
	c.requestPlacement(now)
}
