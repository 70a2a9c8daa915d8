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
	// stillLeast and stillShare, of the estimate, are how long a run must show no
	// progress to count as standing still.
	stillLeast = 900 * time.Millisecond
	stillShare = 0.12
	// stillWait is how long a run that stands still is expected to go on doing so.
	stillWait = 4 * time.Second
	// straggleFactor and straggleSlack say how much later than a new run a slow run
	// must be expected to end to be moved.
	straggleFactor = 1.6
	straggleSlack  = 500 * time.Millisecond
	// slowWorker is the speed, against the mean, below which a worker counts as slow: a
	// single run that takes long says more of its estimate.
	slowWorker = 0.55
	// placeTakes is the time of placing a task anew.
	placeTakes = 300 * time.Millisecond
	// movesMost is how often a task is moved.
	movesMost = 2
	// sampleLeast is the least time between two readings of a run's progress that tell
	// its speed.
	sampleLeast = 250 * time.Millisecond
)

// progressed takes a run's progress as a reading of its worker's speed.
func (c *Controller) progressed(r *run, percent int, now time.Time) {
	since := now.Sub(r.percentAt)
	if r.percentAt.IsZero() || r.percent <= 0 || percent <= r.percent || since < sampleLeast {
		return
	}
	done := time.Duration(percent-r.percent) * r.task.step.def.Estimate() / 100
	c.speeds.add(r.w, done, since)
}

// still reports whether a run has stood still for longer than its kind does.
func (c *Controller) still(r *run, now time.Time) bool {
	if r.state != runRunning || r.stopping || r.percent >= 100 || r.movedAt.IsZero() || r.task.step.def.LongRunning {
		return false
	}
	if g := r.task.step.gang; g != nil && !g.whole {
		return false
	}
	patience := max(stillLeast, time.Duration(stillShare*float64(c.expected(r.task.step, r.w))))
	return r.percentAt.Sub(r.movedAt) > patience
}

// findStragglers looks over the runs of a worker after a look at it.
func (c *Controller) findStragglers(w *worker, now time.Time) {
	stuck := 0
	var slow []*run
	for _, r := range w.runs {
		if c.still(r, now) {
			stuck++
		}
		if c.straggles(r, now) {
			slow = append(slow, r)
		}
	}
	if stuck >= stuckRuns {
		w.stuck(now)
	}
	slices.SortFunc(slow, func(a, b *run) int { return a.sent.Compare(b.sent) })
	for _, r := range slow {
		c.move(r, now)
	}
}

// stuckRuns is the number of runs standing still from which on the worker is avoided.
const stuckRuns = 2

// straggles reports whether a run is expected to end later than a new run of its task would
// by far.
func (c *Controller) straggles(r *run, now time.Time) bool {
	t := r.task
	s := t.step
	if t.done || s.gang != nil || len(t.runs) > 1 || t.moves >= movesMost || s.job().over() {
		return false
	}
	if r.state != runRunning || r.stopping || r.confirmed.IsZero() || s.def.LongRunning || s.def.EstimateMs == 0 {
		return false
	}
	left, again := stillWait, s.def.Estimate()
	if !c.still(r, now) {
		speed := c.speeds.of(r.w)
		if r.percent < tellingPercent || speed > slowWorker {
			return false
		}
		end := c.expectedEnd(r, now)
		left = end.Sub(now)
		again = time.Duration(speed * float64(end.Sub(r.confirmed)))
	}
	if s.def.SavesCheckpoints && t.saved != "" {
		again = again*time.Duration(100-r.percent)/100 + c.timing.RestoreTime
	}
	return left > time.Duration(straggleFactor*float64(again))+placeTakes+straggleSlack
}

// keptOff is how long a task is kept off the worker that it was moved off or failed on:
// others may be full for longer, or not be allowed.
const keptOff = 1500 * time.Millisecond

// keepOff keeps a task off a worker for a while.
func (c *Controller) keepOff(t *task, w *worker, now time.Time) {
	t.avoid = w
	t.avoidTo = now.Add(keptOff)
	c.wakes.add(t.avoidTo)
}

// move starts a copy of a run, or stops it so that its task starts elsewhere.
func (c *Controller) move(r *run, now time.Time) {
	t := r.task
	t.moves++
	c.keepOff(t, r.w, now)
	c.recordRun(event.TaskMoved, r, "")
	if t.step.def.AllowCopies {
		t.copyWanted = true
		t.step.copies++
		c.sortStep(t.step)
		c.needPlan(now)
		return
	}
	c.stop(r, now)
}
