package checker

import (
	"fmt"
	"slices"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

// overlap is a task that started on one worker before another worker had recorded the
// end of an earlier run. There is no violation if the earlier worker turns out to have
// been frozen: its lease had lapsed before the start, and it stops the task before it
// does any other work.
type overlap struct {
	task       structs.TaskID
	earlier    run
	laterStart event.Event
	// earlierFrozen is true if a test had frozen the earlier worker at the later start.
	earlierFrozen bool
}

// overlaps holds the undecided overlaps by the worker of the earlier run.
type overlaps struct {
	report    *Report
	undecided map[string][]overlap
}

func newOverlaps(r *Report) *overlaps {
	return &overlaps{report: r, undecided: map[string][]overlap{}}
}

func (o *overlaps) add(v overlap) {
	o.undecided[v.earlier.worker] = append(o.undecided[v.earlier.worker], v)
}

// resolveEnded decides the overlaps of a run that has ended. There is no violation if
// the run's lease lapsed, by its worker's clock, before the task started elsewhere.
func (o *overlaps) resolveEnded(e event.Event) {
	lapsedFor, lapsed := workersvc.ParseLeaseLapse(e.Detail)
	lapseMicros := e.Time.Micros - lapsedFor.Microseconds()
	o.undecided[e.Worker] = slices.DeleteFunc(o.undecided[e.Worker], func(v overlap) bool {
		if v.task != e.Task {
			return false
		}
		if !lapsed || lapseMicros > v.laterStart.Time.Micros {
			o.violate(v, e)
		}
		return true
	})
}

// resolveNewWork decides the overlaps of a worker that obeyed a command or started new
// work before it stopped the earlier run.
func (o *overlaps) resolveNewWork(e event.Event) {
	for _, v := range o.undecided[e.Worker] {
		o.violate(v, e)
	}
	delete(o.undecided, e.Worker)
}

// resolveStopped decides the overlaps of a worker that has stopped for good: a worker
// that was frozen ran nothing.
func (o *overlaps) resolveStopped(worker string) {
	for _, v := range o.undecided[worker] {
		if !v.earlierFrozen {
			o.violate(v, v.laterStart)
		}
	}
	delete(o.undecided, worker)
}

func (o *overlaps) finish() {
	for worker := range o.undecided {
		o.resolveStopped(worker)
	}
}

func (o *overlaps) violate(v overlap, evidence event.Event) {
	message := fmt.Sprintf("task %s runs on workers %s and %s", v.task, v.earlier.worker, v.laterStart.Worker)
	o.report.add(ConcurrentTaskRuns, message, v.earlier.start, v.laterStart, evidence)
}
