package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/event"
)

// A run that stands still, or is far slower than its estimate, is moved: a copy of it is
// started elsewhere if the step allows copies, else it is stopped and started again where
// that pays.

const (
	// minStallTime and stallTimeShare, of the estimate, are how long a run must show no
	// progress to count as standing still.
	minStallTime   = 900 * time.Millisecond
	stallTimeShare = 0.12
	// expectedStallTime is how long a run that stands still is expected to go on doing so.
	expectedStallTime = 4 * time.Second
	// straggleFactor and straggleSlack say how much later than a new run a slow run
	// must be expected to end to be moved.
	straggleFactor = 1.6
	straggleSlack  = 500 * time.Millisecond
	// slowWorkerSpeed is the speed, against the mean, below which a worker counts as slow: a
	// single run that takes long says more of its estimate.
	slowWorkerSpeed = 0.55
	// expectedPlacementTime is the time of placing a task anew.
	expectedPlacementTime = 300 * time.Millisecond
	// maxMoves is how often a task is moved.
	maxMoves = 2
	// minSpeedSampleTime is the least time between two readings of a run's progress that tell
	// its speed.
	minSpeedSampleTime = 250 * time.Millisecond
)

// sampleSpeed takes a run's progress as a reading of its worker's speed.
func (c *Controller) sampleSpeed(r *run, percent int, now time.Time) {
	elapsed := now.Sub(r.percentAt)
	if r.percentAt.IsZero() || r.percent <= 0 || percent <= r.percent || elapsed < minSpeedSampleTime {
		return
	}
	done := time.Duration(percent-r.percent) * r.task.step.def.Estimate() / 100
	c.speeds.add(r.worker, done, elapsed)
}

// isStalled reports whether a run has stood still for longer than its kind does.
func (c *Controller) isStalled(r *run, now time.Time) bool {
	if r.state != runRunning || r.stopping || r.percent >= 100 || r.progressedAt.IsZero() || r.task.step.def.LongRunning {
		return false
	}
	if g := r.task.step.gang; g != nil && !g.allAtWork {
		return false
	}
	limit := max(minStallTime, time.Duration(stallTimeShare*float64(c.expectedRunTime(r.task.step, r.worker))))
	return r.percentAt.Sub(r.progressedAt) > limit
}

// findStragglers looks over the runs of a worker after a look at it.
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

// stalledRunsToAvoid is the number of runs standing still from which on the worker is avoided.
const stalledRunsToAvoid = 2

// isStraggler reports whether a run is expected to end later than a new run of its task would
// by far.
func (c *Controller) isStraggler(r *run, now time.Time) bool {
	t := r.task
	s := t.step
	if t.done || s.gang != nil || len(t.runs) > 1 || t.moves >= maxMoves || s.job().ended() {
		return false
	}
	if r.state != runRunning || r.stopping || r.confirmedAt.IsZero() || s.def.LongRunning || s.def.EstimateMs == 0 {
		return false
	}
	left, rerun := expectedStallTime, s.def.Estimate()
	if !c.isStalled(r, now) {
		speed := c.speeds.relativeSpeed(r.worker)
		if r.percent < minPercentForEstimate || speed > slowWorkerSpeed {
			return false
		}
		end := c.expectedEnd(r, now)
		left = end.Sub(now)
		rerun = time.Duration(speed * float64(end.Sub(r.confirmedAt)))
	}
	if s.def.SavesCheckpoints && t.checkpoint != "" {
		rerun = rerun*time.Duration(100-r.percent)/100 + c.timing.RestoreTime
	}
	return left > time.Duration(straggleFactor*float64(rerun))+expectedPlacementTime+straggleSlack
}

// taskAvoidTime is how long a task is kept off the worker that it was moved off or failed on:
// others may be full for longer, or not be allowed.
const taskAvoidTime = 1500 * time.Millisecond

// avoidWorker keeps a task off a worker for a while.
func (c *Controller) avoidWorker(t *task, w *worker, now time.Time) {
	t.avoidedWorker = w
	t.avoidUntil = now.Add(taskAvoidTime)
	c.wakeups.add(t.avoidUntil)
}

// moveRun starts a copy of a run, or stops it so that its task starts elsewhere.
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
