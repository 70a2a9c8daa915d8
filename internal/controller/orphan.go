package controller

import (
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/usage"
	"dotterelhitch/internal/workload"
)

// orphanRun is a run on a worker that the controller does not count as a run of any task. It
// is being stopped.
type orphanRun struct {
	run       workload.Run
	task      *task // nil if the task is not known
	owner     usage.Owner
	size      structs.Resources
	sizeKnown bool // whether size is known
	// fencingToken is that of the orders when the worker listed the run. An order with a lower one may have brought it.
	fencingToken int64
	// stopInFlight says that a stop order is in flight, stopSent when the last one was sent.
	stopInFlight bool
	stopSent     time.Time
	// stopAcked is when the worker last said that the run is stopped or has ended, zero if it
	// has not.
	stopAcked time.Time
}

// addOrphan counts a run on its worker and stops the run.
func (c *Controller) addOrphan(w *worker, id workload.Run, t *task, now time.Time) {
	c.recordUncounted(w, id, t)
	orphan := &orphanRun{run: id, fencingToken: w.fencingToken}
	if t != nil {
		orphan.task = t
		t.orphanRuns++
		orphan.size = t.step.size
		orphan.sizeKnown = true
	} else if size, ok := c.sizeOfTask(id.Task); ok {
		orphan.size = size
		orphan.sizeKnown = true
	}
	if j := c.jobs[id.Task.Job]; j != nil {
		orphan.owner = j.owner()
	}
	w.orphans[id] = orphan
	c.occupy(w, orphan.owner, orphan.size)
	c.stopOrphan(w, orphan, now)
}

// sizeOfTask returns the size of a task, and false if its job is not known.
func (c *Controller) sizeOfTask(id workload.TaskID) (structs.Resources, bool) {
	j := c.jobs[id.Job]
	if j == nil || j.spec == nil || id.Step >= len(j.spec.Steps) {
		return structs.Resources{}, false
	}
	return j.spec.Steps[id.Step].ReservedSize(), true
}

func (c *Controller) stopOrphan(w *worker, orphan *orphanRun, now time.Time) {
	orphan.stopInFlight = true
	orphan.stopSent = now
	c.orders.Stops = append(c.orders.Stops, w.stopOrder(orphan.run))
}

// repeatOrphanStop sends the stop of an orphan run again if an earlier one was refused or got no
// response. Each poll gives the occasion.
func (c *Controller) repeatOrphanStop(w *worker, orphan *orphanRun, now time.Time) {
	if orphan.stopInFlight || now.Sub(orphan.stopSent) < refusedStopPause || !c.HasLeaderLease(now) {
		return
	}
	c.stopOrphan(w, orphan, now)
}

func (c *Controller) removeOrphan(w *worker, id workload.Run) {
	orphan := w.orphans[id]
	if orphan == nil {
		return
	}
	delete(w.orphans, id)
	c.release(w, orphan.owner, orphan.size)
	if orphan.task != nil {
		orphan.task.orphanRuns--
	}
}

// hasUnknownUsage reports whether an orphan run of unknown size is on the worker.
func (w *worker) hasUnknownUsage() bool {
	for _, orphan := range w.orphans {
		if !orphan.sizeKnown {
			return true
		}
	}
	return false
}
