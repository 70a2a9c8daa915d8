package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// maxOpenOccurrences bounds the open occurrences of one job, so that a schedule with a start
// long ago does not exhaust the memory.
const maxOpenOccurrences = 64

// scheduledAt returns the start time of an occurrence.
func (c *Controller) scheduledAt(j *job, number int, now time.Time) time.Time {
	if !j.spec.Recurring() {
		return j.acceptedAt
	}
	timeOfDay := now.Add(c.timeOfDayAhead).UnixMilli()
	return now.Add(time.Duration(j.spec.EarliestStartMs(number)-timeOfDay) * time.Millisecond)
}

// AwaitTimeOfDay has the occurrences of recurring jobs wait for SetTimeOfDay. It is called before Load.
func (c *Controller) AwaitTimeOfDay() { c.awaitsTimeOfDay = true }

// SetTimeOfDay sets how far the time of day is ahead of the controller's own clock. Scheduled times count by
// it; nothing else does.
func (c *Controller) SetTimeOfDay(ahead time.Duration, now time.Time) {
	if !c.awaitsTimeOfDay && ahead == c.timeOfDayAhead {
		return
	}
	c.awaitsTimeOfDay = false
	c.timeOfDayAhead = ahead
	for j := range c.recurring {
		for _, occ := range j.open {
			c.schedule(occ, c.scheduledAt(j, occ.number, now), now)
		}
		j.nextOpenAt = time.Time{}
		c.openOccurrences(j, now)
	}
	c.requestPlacement(now)
}

// openOccurrences opens the occurrences that are due or nearly due.
func (c *Controller) openOccurrences(j *job, now time.Time) {
	if c.awaitsTimeOfDay && j.spec.Recurring() {
		return
	}
	for j.nextOccurrence < j.spec.OccurrenceCount() && !j.ended() && len(j.open) < maxOpenOccurrences {
		scheduledAt := c.scheduledAt(j, j.nextOccurrence, now)
		if j.spec.Recurring() {
			if openAt := scheduledAt.Add(-j.openLeadTime()); openAt.After(now) {
				c.scheduleOpening(j, openAt, now)
				return
			}
		}
		if !j.occurrenceDone(j.nextOccurrence) && j.findOpen(j.nextOccurrence) == nil {
			c.openOccurrence(j, j.nextOccurrence, scheduledAt, now)
		}
		j.nextOccurrence++
	}
}

// scheduleOpening schedules a wake-up for opening the next occurrence of a job, unless an
// earlier one is scheduled.
func (c *Controller) scheduleOpening(j *job, openAt, now time.Time) {
	if j.nextOpenAt.After(now) && !openAt.Before(j.nextOpenAt) {
		return
	}
	j.nextOpenAt = openAt
	c.wakeups.add(openAt)
}

// openMargin is how long before its start time an occurrence has its tickets. It covers the
// round trip to the advisor.
const openMargin = 150 * time.Millisecond

// openLeadTime returns how long before its start time an occurrence is opened, so that the
// advisor has answered by then.
func (j *job) openLeadTime() time.Duration {
	if j.class.Advisor == nil {
		return 0
	}
	return j.class.Advisor.CallTime(assumedWorkersPerCall) + openMargin
}

// openOccurrence opens an occurrence.
func (c *Controller) openOccurrence(j *job, number int, scheduledAt, now time.Time) {
	occ := j.newOccurrence(number, scheduledAt)
	j.open = append(j.open, occ)
	c.schedule(occ, scheduledAt, now)
	for _, s := range occ.steps {
		c.updateStepSets(s)
	}
	if c.mayHaveBeenOpened(j, scheduledAt) {
		occ.markMayBeRunning()
	}
}

// occurrenceDone reports whether an occurrence is done.
func (j *job) occurrenceDone(number int) bool {
	return number < j.doneBelow || j.doneOccurrences[number]
}

// schedule sets the start time of an occurrence.
func (c *Controller) schedule(occ *occurrence, at, now time.Time) {
	occ.scheduledAt = at
	for _, s := range occ.steps {
		s.notBefore = at
	}
	if at.After(now) {
		c.wakeups.add(at)
	}
}

// endIfComplete ends a job of which all occurrences are done, those that are not due yet by this
// controller's clock included.
func (c *Controller) endIfComplete(j *job, now time.Time) {
	for j.nextOccurrence < j.spec.OccurrenceCount() && j.occurrenceDone(j.nextOccurrence) {
		j.nextOccurrence++
	}
	if len(j.open) == 0 && j.nextOccurrence >= j.spec.OccurrenceCount() {
		c.endJob(j, workload.JobCompleted, "", now)
	}
}

// findOpen returns an open occurrence of a job, nil if it is not open.
func (j *job) findOpen(number int) *occurrence {
	for _, occ := range j.open {
		if occ.number == number {
			return occ
		}
	}
	return nil
}

// maxClockLead is how far the clock of an earlier controller may have been ahead without being corrected, plus
// openMargin.
const maxClockLead = 1500 * time.Millisecond

// mayHaveBeenOpened reports whether an earlier controller may have started tasks of an occurrence that this one
// opens now: one that was due, or nearly due, when this controller took over.
func (c *Controller) mayHaveBeenOpened(j *job, scheduledAt time.Time) bool {
	return j.runNumberBase > 0 && !c.takeoverComplete && scheduledAt.Before(c.loadedAt.Add(maxClockLead))
}

// markMayBeRunning has the tasks wait until all workers of earlier controllers are accounted for.
func (occ *occurrence) markMayBeRunning() {
	for _, s := range occ.steps {
		for _, t := range s.tasks {
			t.mayBeRunning = true
		}
	}
}

// openByEarlierController opens an occurrence of which an earlier controller has started a task, if it is not open
// or done. By the clock of that controller it was due; by this one's it may be due later.
func (c *Controller) openByEarlierController(j *job, number int, now time.Time) {
	if !j.spec.Recurring() || j.ended() || number < j.nextOccurrence || number >= j.spec.OccurrenceCount() ||
		j.occurrenceDone(number) || j.findOpen(number) != nil {
		return
	}
	c.openOccurrence(j, number, c.scheduledAt(j, number, now), now)
	if !c.takeoverComplete {
		j.findOpen(number).markMayBeRunning()
	}
}

// findShownTask returns the task of a run that a worker shows, nil if it is of no open occurrence.
func (c *Controller) findShownTask(id workload.TaskID, now time.Time) *task {
	if j := c.jobs[id.Job]; j != nil && j.spec != nil {
		c.openByEarlierController(j, id.Occurrence, now)
	}
	return c.findTask(id)
}
