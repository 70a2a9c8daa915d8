package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// run is one run of a task by a worker's own record.
type run struct {
	worker  string
	attempt int
	began   event.Event
}

// workerRuns is what one worker holds.
type workerRuns struct {
	boot event.Event
	size structs.Resources
	used structs.Resources
	runs map[structs.TaskID]run
	// frozen is true from a freeze until the worker takes up new work or commands:
	// a lease may have lapsed meanwhile, and then its task ends before that.
	frozen bool
}

// taskRule finds over-give and tasks in two places.
type taskRule struct {
	report  *Report
	workers map[string]*workerRuns
	// places holds the workers where a task runs now.
	places map[structs.TaskID]map[string]run
}

func newTaskRule(r *Report) *taskRule {
	return &taskRule{
		report:  r,
		workers: map[string]*workerRuns{},
		places:  map[structs.TaskID]map[string]run{},
	}
}

func (c *taskRule) observe(e event.Event) {
	c.wake(e)
	switch {
	case e.Type == event.WorkerBoot:
		c.boot(e)
	case e.Type == event.TaskRun:
		c.begin(e)
	case e.Type == event.TaskEnd:
		c.endFrozen(e)
		c.end(e.Worker, e.Task, e.Attempt)
	case e.Type == event.WorkerExit, isFault(e, FaultKilled):
		c.clear(e.Worker)
	case isFault(e, FaultFrozen):
		c.freeze(e.Worker)
	}
}

func (c *taskRule) finish() {}

// wake makes a frozen worker's tasks count again with the first new thing that
// the worker does.
func (c *taskRule) wake(e event.Event) {
	w := c.workers[e.Worker]
	if w == nil || !w.frozen || !newWork(e) {
		return
	}
	w.frozen = false
	for task, r := range w.runs {
		c.place(task, r, e)
	}
}

// newWork reports whether a worker obeyed a command or took work: it must have
// stopped the tasks whose lease had lapsed before.
func newWork(e event.Event) bool {
	switch e.Type {
	case event.WorkerFence, event.WorkerDrain, event.TaskRun, event.RequestRun:
		return true
	default:
		return false
	}
}

// endFrozen finds a task that ran to its end on a worker after a freeze, while
// it ran elsewhere.
func (c *taskRule) endFrozen(e event.Event) {
	w := c.workers[e.Worker]
	if w == nil || !w.frozen || e.State == string(structs.AllocStopped) {
		return
	}
	if r, running := w.runs[e.Task]; running && r.attempt == e.Attempt {
		c.place(e.Task, r, e)
	}
}

func (c *taskRule) boot(e event.Event) {
	c.clear(e.Worker)
	if c.workers[e.Worker] == nil {
		c.report.Checked.Workers++
	}
	w := &workerRuns{boot: e, runs: map[structs.TaskID]run{}}
	if e.Size != nil {
		w.size = *e.Size
	}
	c.workers[e.Worker] = w
}

func (c *taskRule) begin(e event.Event) {
	c.report.Checked.TaskRuns++
	w := c.workers[e.Worker]
	if w == nil {
		c.report.add(OverGive, fmt.Sprintf("worker %s runs a task without a boot on record", e.Worker), e)
		return
	}
	r := run{worker: e.Worker, attempt: e.Attempt, began: e}
	if old, running := w.runs[e.Task]; running {
		c.report.add(TwoPlaces, fmt.Sprintf("task %s runs twice on worker %s", e.Task, e.Worker), old.began, e)
		c.end(e.Worker, e.Task, old.attempt)
	}
	w.runs[e.Task] = r
	c.place(e.Task, r, e)
	c.give(w, e)
}

// give adds a task's size to its worker and reports when it passes what the
// worker has.
func (c *taskRule) give(w *workerRuns, e event.Event) {
	if e.Size == nil {
		c.report.add(OverGive, fmt.Sprintf("task %s runs without a size on record", e.Task), e)
		return
	}
	w.used = w.used.Add(*e.Size)
	if !w.used.Fits(w.size) {
		message := fmt.Sprintf("worker %s has %+v and was given %+v with task %s", e.Worker, w.size, w.used, e.Task)
		c.report.add(OverGive, message, w.boot, e)
	}
}

// place notes that a task runs somewhere and reports if it already does elsewhere.
func (c *taskRule) place(task structs.TaskID, r run, cause event.Event) {
	places := c.places[task]
	if places == nil {
		places = map[string]run{}
		c.places[task] = places
	}
	for _, other := range places {
		if other.worker != r.worker {
			message := fmt.Sprintf("task %s runs on workers %s and %s", task, other.worker, r.worker)
			c.report.add(TwoPlaces, message, other.began, r.began, cause)
		}
	}
	places[r.worker] = r
}

func (c *taskRule) end(worker string, task structs.TaskID, attempt int) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	r, running := w.runs[task]
	if !running || r.attempt != attempt {
		return
	}
	delete(w.runs, task)
	if r.began.Size != nil {
		w.used = w.used.Sub(*r.began.Size)
	}
	c.leave(worker, task)
}

func (c *taskRule) leave(worker string, task structs.TaskID) {
	delete(c.places[task], worker)
	if len(c.places[task]) == 0 {
		delete(c.places, task)
	}
}

// clear ends every task of a worker that has stopped or restarted.
func (c *taskRule) clear(worker string) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	for task := range w.runs {
		c.leave(worker, task)
	}
	w.runs = map[structs.TaskID]run{}
	w.used = structs.Resources{}
	w.frozen = false
}

// freeze takes the tasks of a worker that stands still out of their places.
func (c *taskRule) freeze(worker string) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	w.frozen = true
	for task := range w.runs {
		c.leave(worker, task)
	}
}
