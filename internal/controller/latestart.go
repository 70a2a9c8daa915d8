package controller

import (
	"maps"
	"time"

	"dotterelhitch/internal/workload"
)

// lateStart is a run of which a start order got no response. The worker may carry the order out later.
type lateStart struct {
	task *task
	at   time.Time
}

// lateStartRetention is how long after its time-out a start order may still arrive.
const lateStartRetention = 30 * time.Second

// noteLateStart notes that a start order of a run got no response.
func (w *worker) noteLateStart(r *run, now time.Time) {
	maps.DeleteFunc(w.lateStarts, func(_ workload.Run, late lateStart) bool { return now.Sub(late.at) > lateStartRetention })
	w.lateStarts[r.id()] = lateStart{task: r.task, at: now}
}

// fenceLateStarts stops the runs on a restarted worker whose starts may still arrive: the new boot knows
// nothing of the runs that the earlier one has started, stopped or ended. Their tasks are not started
// elsewhere until the stops are in force.
func (c *Controller) fenceLateStarts(w *worker, now time.Time) {
	for id, late := range w.lateStarts {
		if now.Sub(late.at) > lateStartRetention {
			continue
		}
		r := w.runs[id]
		if r == nil {
			c.addOrphan(w, id, late.task, now)
			continue
		}
		r.confirmedAt = time.Time{}
		r.stopAcked = time.Time{}
		if !r.stopping {
			c.stopRun(r, now)
		} else if !r.inFlight {
			c.retryLater(r, 0, now)
		}
	}
}
