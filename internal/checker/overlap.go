package checker

import (
	"fmt"
	"slices"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

// overlap is a task that began on one worker while another had not recorded its
// end. It is no violation if the other turns out to have stood still: its lease
// had lapsed before, and it stops the task before it does anything else.
type overlap struct {
	task  structs.TaskID
	old   run
	began event.Event
	// frozen is true if a test had frozen the old worker by then.
	frozen bool
}

// overlaps holds those that are not decided yet, by the old run's worker.
type overlaps struct {
	report *Report
	open   map[string][]overlap
}

func newOverlaps(r *Report) *overlaps {
	return &overlaps{report: r, open: map[string][]overlap{}}
}

func (o *overlaps) add(v overlap) {
	o.open[v.old.worker] = append(o.open[v.old.worker], v)
}

// ended decides the overlaps of a run that has ended: it is none if its lease
// lapsed, by its worker's clock, before the task began elsewhere.
func (o *overlaps) ended(e event.Event) {
	before, lapsed := workersvc.ParseLeaseLapse(e.Detail)
	end := e.Time.Micros - before.Microseconds()
	o.open[e.Worker] = slices.DeleteFunc(o.open[e.Worker], func(v overlap) bool {
		if v.task != e.Task {
			return false
		}
		if !lapsed || end > v.began.Time.Micros {
			o.violate(v, e)
		}
		return true
	})
}

// worked decides the overlaps of a worker that obeys or takes work again while
// it still holds the task.
func (o *overlaps) worked(e event.Event) {
	for _, v := range o.open[e.Worker] {
		o.violate(v, e)
	}
	delete(o.open, e.Worker)
}

// gone decides the overlaps of a worker that has stopped for good: it did
// nothing if it was frozen.
func (o *overlaps) gone(worker string) {
	for _, v := range o.open[worker] {
		if !v.frozen {
			o.violate(v, v.began)
		}
	}
	delete(o.open, worker)
}

func (o *overlaps) finish() {
	for worker := range o.open {
		o.gone(worker)
	}
}

func (o *overlaps) violate(v overlap, shown event.Event) {
	message := fmt.Sprintf("task %s runs on workers %s and %s", v.task, v.old.worker, v.began.Worker)
	o.report.add(ConcurrentTaskRuns, message, v.old.began, v.began, shown)
}
