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
	boot   event.Event
	size   structs.Resources
	used   structs.Resources
	runs   map[structs.TaskID]run
	frozen bool
}

// taskRule finds over-give and tasks in two places.
type taskRule struct {
	report  *Report
	workers map[string]*workerRuns
	// places holds the workers where a task runs now.
	places   map[structs.TaskID]map[string]run
	overlaps *overlaps
}

func newTaskRule(r *Report) *taskRule {
	return &taskRule{
		report:   r,
		workers:  map[string]*workerRuns{},
		places:   map[structs.TaskID]map[string]run{},
		overlaps: newOverlaps(r),
	}
}

func (c *taskRule) observe(e event.Event) {
	if newWork(e) {
		c.overlaps.worked(e)
	}
	switch {
	case e.Type == event.WorkerBoot:
		c.boot(e)
	case e.Type == event.TaskRun:
		c.begin(e)
	case e.Type == event.TaskEnd:
		c.end(e)
	case e.Type == event.WorkerExit, isFault(e, FaultKilled):
		c.clear(e.Worker)
	case isFreeze(e):
		c.freeze(e.Worker, true)
	case isFault(e, FaultThawed):
		c.freeze(e.Worker, false)
	}
}

func (c *taskRule) finish() { c.overlaps.finish() }

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

func (c *taskRule) boot(e event.Event) {
	if c.workers[e.Worker] == nil {
		c.report.Checked.Workers++
	}
	c.clear(e.Worker)
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
		c.report.add(OverCommit, fmt.Sprintf("worker %s runs a task without a boot on record", e.Worker), e)
		return
	}
	if old, running := w.runs[e.Task]; running {
		c.report.add(ConcurrentTaskRuns, fmt.Sprintf("task %s runs twice on worker %s", e.Task, e.Worker), old.began, e)
		c.remove(w, e.Task, old)
	}
	r := run{worker: e.Worker, attempt: e.Attempt, began: e}
	w.runs[e.Task] = r
	c.place(e.Task, r)
	c.give(w, e)
}

// give adds a task's size to its worker and reports when it passes what the
// worker has.
func (c *taskRule) give(w *workerRuns, e event.Event) {
	if e.Size == nil {
		c.report.add(OverCommit, fmt.Sprintf("task %s runs without a size on record", e.Task), e)
		return
	}
	w.used = w.used.Add(*e.Size)
	if !w.used.Fits(w.size) {
		message := fmt.Sprintf("worker %s has %+v and was given %+v with task %s", e.Worker, w.size, w.used, e.Task)
		c.report.add(OverCommit, message, w.boot, e)
	}
}

// place notes that a task runs somewhere, and every place where it still does.
func (c *taskRule) place(task structs.TaskID, r run) {
	places := c.places[task]
	if places == nil {
		places = map[string]run{}
		c.places[task] = places
	}
	for _, old := range places {
		frozen := c.workers[old.worker].frozen
		c.overlaps.add(overlap{task: task, old: old, began: r.began, frozen: frozen})
	}
	places[r.worker] = r
}

func (c *taskRule) end(e event.Event) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r, running := w.runs[e.Task]
	if !running || r.attempt != e.Attempt {
		return
	}
	c.overlaps.ended(e)
	c.remove(w, e.Task, r)
}

func (c *taskRule) remove(w *workerRuns, task structs.TaskID, r run) {
	delete(w.runs, task)
	if r.began.Size != nil {
		w.used = w.used.Sub(*r.began.Size)
	}
	c.leave(r.worker, task)
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
	c.overlaps.gone(worker)
	for task := range w.runs {
		c.leave(worker, task)
	}
	w.runs = map[structs.TaskID]run{}
	w.used = structs.Resources{}
	w.frozen = false
}

func (c *taskRule) freeze(worker string, frozen bool) {
	if w := c.workers[worker]; w != nil {
		w.frozen = frozen
	}
}
