package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// SubmitStatus says what became of a submission.
type SubmitStatus uint8

const (
	// SubmitStored: the job is in the store already.
	SubmitStored SubmitStatus = iota
	// SubmitPending: the job is accepted once the next batch is stored.
	SubmitPending
)

// Submit takes a job. A repeat of an ID is the same job.
func (c *Controller) Submit(spec *workload.Job, now time.Time) (SubmitStatus, error) {
	if j := c.jobs[spec.ID]; j != nil {
		if j.stored {
			return SubmitStored, nil
		}
		return SubmitPending, nil
	}
	class := c.config.Classes[spec.Class]
	if class == nil {
		return 0, structs.NewError(structs.CodeNotFound, "no class %q in version %d", spec.Class, c.config.Version)
	}
	spec.AcceptedMs = now.UnixMilli()
	spec.AcceptedClass = *class
	j := &job{spec: spec, acceptedAt: now}
	j.setClass(class)
	c.jobs[spec.ID] = j
	c.activate(j)
	c.dirty.accept(j)
	c.openOccurrences(j, now)
	c.needPlan(now)
	return SubmitPending, nil
}

// activate counts a job as one that goes on.
func (c *Controller) activate(j *job) {
	c.active[j.spec.ID] = j
	if j.spec.Recurring() {
		c.timed[j] = struct{}{}
	}
}

// deactivate ends that.
func (c *Controller) deactivate(j *job) {
	delete(c.active, j.spec.ID)
	delete(c.timed, j)
}

// maxOpenOccurrences bounds the occurrences of one job that are open at a time, so that a
// timetable that began long ago does not fill the memory.
const maxOpenOccurrences = 64

// openOccurrences opens the occurrences whose time is near.
func (c *Controller) openOccurrences(j *job, now time.Time) {
	for j.next < j.spec.OccurrenceCount() && !j.over() && len(j.open) < maxOpenOccurrences {
		dueAt := j.acceptedAt
		if j.spec.Recurring() {
			dueAt = now.Add(time.Duration(j.spec.EarliestStartMs(j.next)-now.UnixMilli()) * time.Millisecond)
			if opens := dueAt.Add(-j.openLead()); opens.After(now) {
				c.wakeToOpen(j, opens, now)
				return
			}
		}
		if !j.closed[j.next] {
			c.openOccurrence(j, j.next, dueAt, now)
		}
		j.next++
	}
}

// wakeToOpen asks for a call when the next occurrence of a job has to be opened, unless one
// is on its way.
func (c *Controller) wakeToOpen(j *job, at, now time.Time) {
	if j.opensAt.After(now) && !at.Before(j.opensAt) {
		return
	}
	j.opensAt = at
	c.wakes.add(at)
}

// openMargin is how long before its time an occurrence has its tickets: it covers the way
// to the advisor and back.
const openMargin = 150 * time.Millisecond

// openLead is how long before its time an occurrence is opened, so that the advisor has
// answered by then.
func (j *job) openLead() time.Duration {
	if j.class.Advisor == nil {
		return 0
	}
	return j.class.Advisor.CallTime(chainAdviceWorkers) + openMargin
}

func (c *Controller) openOccurrence(j *job, k int, dueAt, now time.Time) {
	occ := j.newOccurrence(k, dueAt)
	j.open = append(j.open, occ)
	for _, s := range occ.steps {
		s.notBefore = dueAt
		c.sortStep(s)
	}
	if dueAt.After(now) {
		c.wakes.add(dueAt)
	}
}

// Cancel ends a job at a caller's wish. It returns false for a job that is not known.
func (c *Controller) Cancel(id string, now time.Time) (known, stored bool) {
	j := c.jobs[id]
	if j == nil {
		return false, false
	}
	if !j.over() {
		c.endJob(j, workload.JobCancelled, "by its caller", now)
	}
	return true, j.shown
}

// endJob gives a job its final state and stops what is left of it once that is stored.
func (c *Controller) endJob(j *job, state workload.JobState, why string, now time.Time) {
	if j.over() {
		return
	}
	j.state = state
	j.endedAt = now
	c.deactivate(j)
	c.waiting.count(j)
	for _, occ := range j.open {
		for _, s := range occ.steps {
			c.sortStep(s)
		}
	}
	c.change(j)
	c.recordJob(event.JobEnded, j, why, now)
	if state != workload.JobCancelled {
		c.stopRuns(j, now)
	}
	c.needPlan(now)
}

// stopRuns stops everything that is left of a job.
func (c *Controller) stopRuns(j *job, now time.Time) {
	for _, occ := range j.open {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				for _, r := range slices.Clone(t.runs) {
					c.stop(r, now)
				}
			}
		}
	}
}

// HasJob reports whether a job is known, be it stored or on its way to the store.
func (c *Controller) HasJob(id string) bool { return c.jobs[id] != nil }

// JobState returns the state of a job as callers may be told: a final state is shown only
// once it is stored.
func (c *Controller) JobState(id string) (workload.JobState, bool) {
	j := c.jobs[id]
	if j == nil || !j.stored {
		return "", false
	}
	switch {
	case j.over() && j.shown:
		return j.state, true
	case j.begun:
		return workload.JobRunning, true
	default:
		return workload.JobQueued, true
	}
}

// waitCounts counts the accepted jobs of each class of which nothing has started.
type waitCounts struct {
	byClass map[string]int
	changed bool
}

// count keeps the count of a job's class up to date.
func (w *waitCounts) count(j *job) {
	waits := j.stored && !j.begun && !j.over()
	if waits == j.counted {
		return
	}
	j.counted = waits
	w.changed = true
	if waits {
		w.byClass[j.spec.Class]++
	} else {
		w.byClass[j.spec.Class]--
	}
}

// WaitingJobs returns the number of accepted jobs of a class of which nothing has started.
func (c *Controller) WaitingJobs(class string) int { return c.waiting.byClass[class] }

// WaitingJobsByClass returns Waiting for every class that has had waiting jobs, and whether it
// has changed since the last call. The map is the controller's own.
func (c *Controller) WaitingJobsByClass() (counts map[string]int, changed bool) {
	changed = c.waiting.changed
	c.waiting.changed = false
	return c.waiting.byClass, changed
}

// endedQueue holds ended jobs in the order of their end.
type endedQueue []*job

// forgetEnded drops jobs whose state has been kept for long enough.
func (c *Controller) forgetEnded(now time.Time) {
	keep := c.timing.StatusRetention + statusMargin
	for len(c.ended) > 0 && now.Sub(c.ended[0].endedAt) > keep {
		j := c.ended[0]
		c.ended = c.ended[1:]
		delete(c.jobs, j.spec.ID)
		c.dirty.drop(j.spec.ID)
	}
}

// statusMargin is added to the time for which the state of ended jobs is kept, for
// the difference of clocks.
const statusMargin = 5 * time.Second
