package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// SubmitStatus tells whether a submitted job is stored.
type SubmitStatus uint8

const (
	// SubmitStored means that the job is in the store.
	SubmitStored SubmitStatus = iota
	// SubmitPending means that the job is accepted once the next batch is stored.
	SubmitPending
)

// Submit adds a job. A repeated submission of the same ID refers to the same job. The error
// has CodeNotFound if the configuration has no such class, and CodeUnauthorized if it has no such team.
func (c *Controller) Submit(spec *workload.Job, now time.Time) (SubmitStatus, error) {
	if j := c.jobs[spec.ID]; j != nil {
		if j.stored {
			return SubmitStored, nil
		}
		return SubmitPending, nil
	}
	if c.Unreadable(spec.ID) {
		return 0, structs.NewError(structs.CodeInternal, "the stored record of job %s can't be read", spec.ID)
	}
	class := c.config.Classes[spec.Class]
	if class == nil {
		return 0, structs.NewError(structs.CodeNotFound, "no class %q in configuration version %d", spec.Class, c.config.Version)
	}
	if err := c.checkTeam(spec); err != nil {
		return 0, err
	}
	spec.AcceptedMs = now.UnixMilli()
	spec.AcceptedElapsedMs = c.elapsed.readingAt(now)
	spec.AcceptedClass = *class
	j := &job{spec: spec, acceptedAt: now}
	j.setClass(class)
	j.setTeam(c.config.Teams)
	c.jobs[spec.ID] = j
	c.activate(j)
	c.dirty.accept(j)
	c.openOccurrences(j, now)
	c.requestPlacement(now)
	return SubmitPending, nil
}

// checkTeam completes a new job with its team as configured. The error has CodeUnauthorized if the configuration has
// no such team any more.
func (c *Controller) checkTeam(spec *workload.Job) error {
	spec.AcceptedTeam = workload.Team{}
	if spec.Team == "" || c.config.Teams == nil {
		return nil
	}
	team := c.config.Teams.ByName(spec.Team)
	if team == nil {
		return structs.NewError(structs.CodeUnauthorized, "no team %q in configuration version %d", spec.Team, c.config.Version)
	}
	spec.AcceptedTeam = *team
	return nil
}

// activate adds a job to those that have not ended.
func (c *Controller) activate(j *job) {
	c.active[j.spec.ID] = j
	if j.spec.Recurring() {
		c.recurring[j] = struct{}{}
	}
}

// deactivate removes a job from those that have not ended.
func (c *Controller) deactivate(j *job) {
	delete(c.active, j.spec.ID)
	delete(c.recurring, j)
}

// Cancel ends a job at its caller's request. It returns whether the job is known, and whether
// its final state is stored.
func (c *Controller) Cancel(id string, now time.Time) (known, stored bool) {
	j := c.jobs[id]
	if j == nil {
		return false, false
	}
	if !j.ended() {
		c.endJob(j, workload.JobCancelled, "cancelled by its caller", now)
	}
	return true, j.endStored
}

// endJob gives a job its final state. The runs of a cancelled job are stopped only once that
// state is stored.
func (c *Controller) endJob(j *job, state workload.JobState, reason string, now time.Time) {
	if j.ended() {
		return
	}
	j.state = state
	j.endedAt = now
	c.deactivate(j)
	c.waiting.update(j)
	for _, occ := range j.open {
		for _, s := range occ.steps {
			c.updateStepSets(s)
		}
	}
	c.markProgressDirty(j)
	c.recordJob(event.JobEnded, j, reason, now)
	if state != workload.JobCancelled {
		c.stopRuns(j, now)
	}
	c.requestPlacement(now)
}

// stopRuns stops all runs of a job.
func (c *Controller) stopRuns(j *job, now time.Time) {
	for _, occ := range j.open {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				for _, r := range slices.Clone(t.runs) {
					c.stopRun(r, now)
				}
			}
		}
	}
}

// HasJob reports whether a job is known, stored or not.
func (c *Controller) HasJob(id string) bool { return c.jobs[id] != nil }

// JobState returns the state of a job as shown to callers, and false for a job that is not
// known or not stored. A final state is shown only once it is stored.
func (c *Controller) JobState(id string) (workload.JobState, bool) {
	j := c.jobs[id]
	if j == nil || !j.stored {
		return "", false
	}
	switch {
	case j.ended() && j.endStored:
		return j.state, true
	case j.started:
		return workload.JobRunning, true
	default:
		return workload.JobQueued, true
	}
}

// waitCounts counts by class the stored jobs of which no task has started.
type waitCounts struct {
	byClass map[string]int
	changed bool
}

// update adjusts the count of a job's class to the job's state.
func (w *waitCounts) update(j *job) {
	waiting := j.stored && !j.started && !j.ended()
	if waiting == j.countedWaiting {
		return
	}
	j.countedWaiting = waiting
	w.changed = true
	if waiting {
		w.byClass[j.spec.Class]++
	} else {
		w.byClass[j.spec.Class]--
	}
}

// WaitingJobs returns the number of stored jobs of a class of which no task has started.
func (c *Controller) WaitingJobs(class string) int { return c.waiting.byClass[class] }

// WaitingJobsByClass returns WaitingJobs for every class that has had waiting jobs, and
// whether any count has changed since the last call. The caller must not change the map.
func (c *Controller) WaitingJobsByClass() (counts map[string]int, changed bool) {
	changed = c.waiting.changed
	c.waiting.changed = false
	return c.waiting.byClass, changed
}

// endedQueue holds ended jobs in the order in which they ended.
type endedQueue []*job

// dropExpiredJobs drops ended jobs whose retention has passed.
func (c *Controller) dropExpiredJobs(now time.Time) {
	retention := c.timing.StatusRetention + statusMargin
	for len(c.ended) > 0 && now.Sub(c.ended[0].endedAt) > retention {
		j := c.ended[0]
		c.ended = c.ended[1:]
		delete(c.jobs, j.spec.ID)
		// Without its final state, the record of a job that is not retired yet would have it run again.
		c.deleteRecord(j)
		c.dirty.drop(j.spec.ID)
	}
}

// statusMargin is added to the retention of ended jobs, since the clocks of two machines may run at
// slightly different rates.
const statusMargin = 5 * time.Second
