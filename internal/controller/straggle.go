package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/event"
)

// Straggler handling: a run that is stalled, or far slower than its estimate, is moved. If
// the step allows speculative copies, a copy is started on another worker. Otherwise the run
// is stopped and the task restarted, if that is expected to be faster.

const (
	// A run counts as stalled if it makes no progress for minStallTime, or for stallTimeShare
	// of its expected run time if that is longer.
	minStallTime   = 900 * time.Millisecond
	stallTimeShare = 0.12
	// expectedStallTime is how long a stalled run is expected to remain stalled.
	expectedStallTime = 4 * time.Second
	// A run is moved if its remaining time is expected to exceed the run time of a new run by
	// straggleFactor, and by straggleSlack in addition.
	straggleFactor = 1.6
	straggleSlack  = 500 * time.Millisecond
	// slowWorkerSpeed is the speed relative to the median up to which a worker counts as slow.
	// A slow run on a faster worker is not moved, since its estimate is more likely wrong.
	slowWorkerSpeed = 0.55
	// expectedPlacementTime is the time that starting a task on another worker takes.
	expectedPlacementTime = 300 * time.Millisecond
	// maxMoves is the largest number of times that a task is moved.
	maxMoves = 2
	// minSpeedSampleTime is the least time between two progress reports that give a speed
	// sample.
	minSpeedSampleTime = 250 * time.Millisecond
)

// sampleSpeed adds a speed sample of a worker from the progress of a run.
func (c *Controller) sampleSpeed(r *run, percent int, now time.Time) {
	elapsed := now.Sub(r.percentAt)
	if r.percentAt.IsZero() || r.percent <= 0 || percent <= r.percent || elapsed < minSpeedSampleTime {
		return
	}
	done := time.Duration(percent-r.percent) * c.runTimeForSpeed(r, now) / 100
	c.speeds.add(r.worker, c.workers, done, elapsed)
}

// isStalled reports whether a run has made no progress for longer than is normal for its run
// time.
func (c *Controller) isStalled(r *run, now time.Time) bool {
	if r.state != runRunning || r.stopping || r.percent >= 100 || r.progressedAt.IsZero() || r.task.step.def.LongRunning {
		return false
	}
	if g := r.task.step.gang; g != nil && !g.allRunning {
		return false
	}
	limit := max(minStallTime, time.Duration(stallTimeShare*float64(c.expectedRunTime(r.task.step, r.worker, now).Median)))
	return r.percentAt.Sub(r.progressedAt) > limit
}

// findStragglers checks the runs of a worker after a poll, and moves the stragglers.
func (c *Controller) findStragglers(w *worker, now time.Time) {
	stalled := 0
	var slow []*run
	for _, r := range w.runs {
		if c.isStalled(r, now) {
			stalled++
		}
		if c.isStraggler(r, now) {
			slow = append(slow, r)
		}
	}
	if stalled >= stalledRunsToAvoid {
		w.noteStalled(now)
	}
	slices.SortFunc(slow, func(a, b *run) int { return a.startSent.Compare(b.startSent) })
	for _, r := range slow {
		c.moveRun(r, now)
	}
}

// stalledRunsToAvoid is the least number of stalled runs for which their worker is avoided.
const stalledRunsToAvoid = 2

// isStraggler reports whether a run is stalled or far slower than a new run of its task would
// be.
func (c *Controller) isStraggler(r *run, now time.Time) bool {
	t := r.task
	s := t.step
	if t.done || s.gang != nil || len(t.runs) > 1 || t.moves >= maxMoves || s.job().ended() {
		return false
	}
	if r.state != runRunning || r.stopping || r.confirmedAt.IsZero() || s.def.LongRunning || s.def.EstimateMs == 0 {
		return false
	}
	remaining, rerunTime := expectedStallTime, c.expectation(s, now).Median
	if !c.isStalled(r, now) {
		speed := c.speeds.relativeSpeed(r.worker)
		if r.percent < minPercentForEstimate || speed > slowWorkerSpeed {
			return false
		}
		end := c.expectedEnd(r, now)
		remaining = end.Sub(now)
		if !r.resumed {
			rerunTime = time.Duration(speed * float64(end.Sub(r.confirmedAt)))
		}
	}
	if s.def.SavesCheckpoints && t.checkpoint != "" {
		rerunTime = rerunTime*time.Duration(100-r.percent)/100 + c.timing.RestoreTime
	}
	return remaining > time.Duration(straggleFactor*float64(rerunTime))+expectedPlacementTime+straggleSlack
}

// taskAvoidTime is how long a task is not started on the worker that it was moved off or
// failed on. It is short because other workers may be full for longer, or not be allowed.
const taskAvoidTime = 1500 * time.Millisecond

// avoidWorker makes a task avoid a worker for a time.
func (c *Controller) avoidWorker(t *task, w *worker, now time.Time) {
	t.avoidedWorker = w
	t.avoidUntil = now.Add(taskAvoidTime)
	c.wakeups.add(t.avoidUntil)
}

// moveRun requests a speculative copy of a run, or stops the run so that its task is
// restarted elsewhere.
func (c *Controller) moveRun(r *run, now time.Time) {
	t := r.task
	t.moves++
	c.avoidWorker(t, r.worker, now)
	c.recordRun(event.TaskMoved, r, "")
	if t.step.def.AllowCopies {
		t.copyWanted = true
		t.step.copiesWanted++
		c.updateStepSets(t.step)
		c.requestPlacement(now)
		return
	}
	c.stopRun(r, now)
}
