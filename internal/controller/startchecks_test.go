package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// Bounds on the starts of a task that crashes its workers: after maxCrashesUnderTask workers have
// crashed under it, fewer than maxStartsAfterCrashes starts may follow.
const (
	maxCrashesUnderTask   = 3
	maxStartsAfterCrashes = 3
)

// checkCrashBudget checks how often a task is started after several workers crashed under it.
func (sim *simulation) checkCrashBudget(s *Start) {
	id := s.Run.Task
	if sim.crashesUnder[id] < maxCrashesUnderTask {
		return
	}
	sim.startsAfterCrashes[id]++
	if n := sim.startsAfterCrashes[id]; n >= maxStartsAfterCrashes {
		sim.violation("%s is start %d after %d workers crashed under its task", s.Run, n, maxCrashesUnderTask)
	}
}

// checkStart checks the guarantees of the controller for a start.
func (sim *simulation) checkStart(f *fakeWorker, s *Start) {
	id := s.Run.Task
	job := sim.jobs[id.Job]
	if job == nil || !sim.accepted[id.Job] && !sim.stored(id.Job) {
		sim.violation("%s starts, but its job was not accepted", s.Run)
		return
	}
	step := &job.Steps[id.Step]
	if !f.used().Add(step.ReservedSize()).Fits(f.capacity) {
		sim.violation("%s does not fit %s", s.Run, f.id)
	}
	for _, other := range sim.workers {
		if r := other.runs[id]; r != nil && !step.AllowCopies {
			sim.violation("%s starts on %s while %s runs on %s", s.Run, f.id, r.id, other.id)
		}
	}
	if sim.ackedDone[id] && !step.AllowCopies {
		sim.violation("%s starts after the end of its task was acknowledged", s.Run)
	}
	if limit := sim.config.Classes[job.Class].AttemptLimit(); sim.ackedFailures[id] >= limit && !step.Gang && !step.LongRunning {
		sim.violation("%s starts after %d failures", s.Run, sim.ackedFailures[id])
	}
	if at, ok := sim.cancelAckedAt[id.Job]; ok && sim.now.Sub(at) > 3*time.Second {
		sim.violation("%s starts after its job was cancelled", s.Run)
	}
	if job.Recurring() {
		late := sim.now.Sub(time.UnixMilli(job.EarliestStartMs(id.Occurrence)))
		if late < 0 {
			sim.violation("%s starts %v before its scheduled time", s.Run, -late)
		}
		sim.maxStartDelay[job.Class] = max(sim.maxStartDelay[job.Class], late)
	}
	sim.checkQuota(s, step)
	if sim.deadly != nil && sim.deadly(id) {
		sim.checkCrashBudget(s)
	}
	if s.Payload != job.Payload {
		sim.violation("%s has a payload other than its job's", s.Run)
	}
}

// checkAckedEnd checks that a task has not been started after the end as done that is acknowledged now. starts is the number
// of its starts when it ended.
func (sim *simulation) checkAckedEnd(id workload.TaskID, starts int) {
	if step := &sim.jobs[id.Job].Steps[id.Step]; sim.startsOf[id] > starts && !step.AllowCopies {
		sim.violation("%s was started again after an end that is acknowledged now", id)
	}
}

func (sim *simulation) stored(job string) bool {
	_, ok := sim.store[jobPrefix+job]
	return ok
}
