package controller

import (
	"time"

	"dotterelhitch/internal/event"
)

// tick does what time brings about.
func (c *Controller) tick(now time.Time) {
	if c.wakeups.popDue(now) {
		c.openDueOccurrences(now)
		c.requestPlacement(now)
	}
	c.storePredecessorsEnd(now)
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

// minWorkerScanInterval is the least time between two passes over all workers. Answers of busy workers
// come far more often.
const minWorkerScanInterval = 5 * time.Millisecond

// storePredecessorsEnd has it stored that no former controller orders any more.
func (c *Controller) storePredecessorsEnd(now time.Time) {
	if c.predecessorsEndNoted || c.predecessorsExpiry.IsZero() || now.Before(c.predecessorsExpiry) {
		return
	}
	c.predecessorsEndNoted = true
	c.dirty.predecessorsEnded = true
}

// openDueOccurrences opens the occurrences of timed jobs that have come due.
func (c *Controller) openDueOccurrences(now time.Time) {
	for j := range c.recurring {
		c.openOccurrences(j, now)
	}
}

// sendPolls sends the looks that are due. The first look under an epoch raises the fence.
func (c *Controller) sendPolls(now time.Time) {
	for _, w := range c.workers {
		if w.polling || now.Before(w.nextPoll) || !c.needsPolling(w) {
			continue
		}
		w.polling = true
		w.pollSent = now
		poll := Poll{Worker: w.info.ID, Addr: w.info.Addr, AckedSeq: w.ackedSeq}
		switch {
		case w.pollFailures > 0:
			// It may run a new boot by now, whose ends count from 1. Its lease is not
			// renewed unseen, so that it ends.
			poll.AckedSeq = 0
		case w.bootAnswered:
			poll.Wait = c.timing.PollWait
			poll.DeadlineMs = w.leaseDeadlineMs(now, c.timing.Lease)
			w.maxLeaseDeadlineMs = max(w.maxLeaseDeadlineMs, poll.DeadlineMs)
		}
		c.orders.Polls = append(c.orders.Polls, poll)
	}
}

// needsPolling reports whether a worker is worth a look: it is listed, or something may run
// there.
func (c *Controller) needsPolling(w *worker) bool {
	return w.listed || !w.accountedFor || len(w.runs)+len(w.orphans) > 0
}

// expireLeases ends what ran on workers that have been silent for longer than any lease lasts.
func (c *Controller) expireLeases(now time.Time) {
	unaccounted := false
	for id, w := range c.workers {
		if w.accountedFor && (w.pollFailures == 0 || w.leaseExpired) {
			c.forgetWorker(id, w)
			continue
		}
		if !w.accountedFor && !w.registered {
			w.accountedFor = true
			continue
		}
		end := c.latestLeaseEnd(w)
		// A proof that began after the end shows that nobody has renewed since.
		if end.IsZero() || now.Before(end) || c.epochConfirmedAt.Before(end) {
			unaccounted = unaccounted || !w.accountedFor
			continue
		}
		c.expireWorker(w, now)
	}
	if !unaccounted && !c.takeoverComplete {
		c.completeTakeover(now)
	}
}

// latestLeaseEnd returns when every lease on a silent worker has certainly ended, zero if
// that is not known.
func (c *Controller) latestLeaseEnd(w *worker) time.Time {
	if w.bootAnswered {
		return w.leaseEnd()
	}
	if c.predecessorsExpiry.IsZero() {
		return time.Time{}
	}
	return c.predecessorsExpiry.Add(c.timing.longestLease())
}

// expireWorker ends everything on a worker by time.
func (c *Controller) expireWorker(w *worker, now time.Time) {
	w.leaseExpired = true
	w.accountedFor = true
	c.recordWorker(event.WorkerLapsed, w, "")
	for _, r := range w.runs {
		c.runLost(r, now)
	}
	for id := range w.orphans {
		c.removeOrphan(w, id)
	}
	c.requestPlacement(now)
}

// forgetWorker drops a worker that is neither listed nor in use.
func (c *Controller) forgetWorker(id string, w *worker) {
	if w.listed || w.polling || len(w.runs)+len(w.orphans) > 0 {
		return
	}
	delete(c.workers, id)
	if w.registered {
		c.dirty.unregister(id)
	}
}

// completeTakeover frees the tasks that no worker showed: every worker that a former controller
// may have used is accounted for.
func (c *Controller) completeTakeover(now time.Time) {
	c.takeoverComplete = true
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
		c.dirty.retire(j)
	}
	c.unretiredJobs = nil
	c.record(event.Event{Type: event.CellSettled, Epoch: c.epoch, Count: len(c.active)})
	c.requestPlacement(now)
}
