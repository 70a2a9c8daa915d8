package controller

import (
	"time"

	"dotterelhitch/internal/event"
)

// tick does what time brings about.
func (c *Controller) tick(now time.Time) {
	if c.wakes.drop(now) {
		c.openDue(now)
		c.needPlan(now)
	}
	c.noteFormers(now)
	if c.HasLeaderLease(now) {
		c.sendRetries(now)
	}
	c.surveyDue = now.Before(c.surveyAt)
	if c.surveyDue {
		return
	}
	c.surveyAt = now.Add(surveyGap)
	c.forgetEnded(now)
	c.lapse(now)
	if c.HasLeaderLease(now) {
		c.look(now)
	}
}

// surveyGap is the least time between two passes over all workers. Answers of busy workers
// come far more often.
const surveyGap = 5 * time.Millisecond

// noteFormers has it stored that no former controller orders any more.
func (c *Controller) noteFormers(now time.Time) {
	if c.formersNoted || c.formerEnd.IsZero() || now.Before(c.formerEnd) {
		return
	}
	c.formersNoted = true
	c.dirty.formersEnded = true
}

// openDue opens the occurrences of timed jobs that have come due.
func (c *Controller) openDue(now time.Time) {
	for j := range c.timed {
		c.openOccurrences(j, now)
	}
}

// look sends the looks that are due. The first look under an epoch raises the fence.
func (c *Controller) look(now time.Time) {
	for _, w := range c.workers {
		if w.looking || now.Before(w.nextLook) || !c.lookable(w) {
			continue
		}
		w.looking = true
		w.lookSent = now
		l := Poll{Worker: w.info.ID, Addr: w.info.Addr, AckedSeq: w.seenSeq}
		switch {
		case w.failures > 0:
			// It may run a new boot by now, whose ends count from 1. Its lease is not
			// renewed unseen, so that it ends.
			l.AckedSeq = 0
		case w.seen:
			l.Wait = c.timing.PollWait
			l.LeaseDeadlineMs = w.deadline(now, c.timing.RequestedLease)
			w.granted = max(w.granted, l.LeaseDeadlineMs)
		}
		c.orders.Polls = append(c.orders.Polls, l)
	}
}

// lookable reports whether a worker is worth a look: it is listed, or something may run
// there.
func (c *Controller) lookable(w *worker) bool {
	return w.listed || !w.accounted || len(w.runs)+len(w.alien) > 0
}

// lapse ends what ran on workers that have been silent for longer than any lease lasts.
func (c *Controller) lapse(now time.Time) {
	unaccounted := false
	for id, w := range c.workers {
		if w.accounted && (w.failures == 0 || w.lapsed) {
			c.forgetWorker(id, w)
			continue
		}
		if !w.accounted && !w.registered {
			w.accounted = true
			continue
		}
		end := c.leasesEnd(w)
		// A proof that began after the end shows that nobody has renewed since.
		if end.IsZero() || now.Before(end) || c.proven.Before(end) {
			unaccounted = unaccounted || !w.accounted
			continue
		}
		c.lapseWorker(w, now)
	}
	if !unaccounted && !c.settled {
		c.settle(now)
	}
}

// leasesEnd returns when every lease on a silent worker has certainly ended, zero if
// that is not known.
func (c *Controller) leasesEnd(w *worker) time.Time {
	if w.seen {
		return w.leaseEnd()
	}
	if c.formerEnd.IsZero() {
		return time.Time{}
	}
	return c.formerEnd.Add(c.timing.longestLease())
}

// lapseWorker ends everything on a worker by time.
func (c *Controller) lapseWorker(w *worker, now time.Time) {
	w.lapsed = true
	w.accounted = true
	c.recordWorker(event.WorkerLeasesExpired, w, "")
	for _, r := range w.runs {
		c.lose(r, now)
	}
	for id := range w.alien {
		c.dropAlien(w, id)
	}
	c.needPlan(now)
}

// forgetWorker drops a worker that is neither listed nor in use.
func (c *Controller) forgetWorker(id string, w *worker) {
	if w.listed || w.looking || len(w.runs)+len(w.alien) > 0 {
		return
	}
	delete(c.workers, id)
	if w.registered {
		c.dirty.unregister(id)
	}
}

// settle frees the tasks that no worker showed: every worker that a former controller
// may have used is accounted for.
func (c *Controller) settle(now time.Time) {
	c.settled = true
	for _, j := range c.active {
		for _, occ := range j.open {
			for _, s := range occ.steps {
				for _, t := range s.tasks {
					t.uncertain = false
				}
			}
		}
	}
	for _, j := range c.unretired {
		c.dirty.retire(j)
	}
	c.unretired = nil
	c.record(event.Event{Type: event.CellSettled, Epoch: c.epoch, Count: len(c.active)})
	c.needPlan(now)
}
