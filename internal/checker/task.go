package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// run is one run of a task as its worker recorded it.
type run struct {
	worker  string
	attempt int
	start   event.Event
}

// workerRuns is the size of a worker and the tasks that run on it.
type workerRuns struct {
	boot   event.Event
	size   structs.Resources
	used   structs.Resources
	runs   map[structs.TaskID]run
	frozen bool
}

// taskRule finds overcommitted workers and concurrent runs of one task.
type taskRule struct {
	report  *Report
	workers map[string]*workerRuns
	// runsByTask holds the current runs of a task by worker.
	runsByTask map[structs.TaskID]map[string]run
	overlaps   *overlaps
}

func newTaskRule(r *Report) *taskRule {
	return &taskRule{
		report:     r,
		workers:    map[string]*workerRuns{},
		runsByTask: map[structs.TaskID]map[string]run{},
		overlaps:   newOverlaps(r),
	}
}

func (c *taskRule) observe(e event.Event) {
	if newWork(e) {
		c.overlaps.resolveNewWork(e)
	}
	switch {
	case e.Type == event.WorkerBoot:
		c.boot(e)
	case e.Type == event.TaskRun:
		c.startTask(e)
	case e.Type == event.TaskEnd:
		c.endTask(e)
	case e.Type == event.WorkerExit, isFault(e, FaultKilled):
		c.clearWorker(e.Worker)
	case isFreeze(e):
		c.setFrozen(e.Worker, true)
	case isFault(e, FaultThawed):
		c.setFrozen(e.Worker, false)
	}
}

func (c *taskRule) finish() { c.overlaps.finish() }

// newWork reports whether a worker obeyed a command or started work, before which it
// must stop every task whose lease has lapsed.
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
	c.clearWorker(e.Worker)
	w := &workerRuns{boot: e, runs: map[structs.TaskID]run{}}
	if e.Size != nil {
		w.size = *e.Size
	}
	c.workers[e.Worker] = w
}

func (c *taskRule) startTask(e event.Event) {
	c.report.Checked.TaskRuns++
	w := c.workers[e.Worker]
	if w == nil {
		c.report.add(OverCommit, fmt.Sprintf("worker %s runs a task, but its log has no boot before it", e.Worker), e)
		return
	}
	if earlier, running := w.runs[e.Task]; running {
		c.report.add(ConcurrentTaskRuns, fmt.Sprintf("task %s runs twice on worker %s", e.Task, e.Worker), earlier.start, e)
		c.endRun(w, e.Task, earlier)
	}
	r := run{worker: e.Worker, attempt: e.Attempt, start: e}
	w.runs[e.Task] = r
	c.addRun(e.Task, r)
	c.addUsage(w, e)
}

// addUsage adds a task's size to its worker's usage and reports a violation if the
// usage exceeds the worker's size.
func (c *taskRule) addUsage(w *workerRuns, e event.Event) {
	if e.Size == nil {
		c.report.add(OverCommit, fmt.Sprintf("task %s runs, but its start event has no size", e.Task), e)
		return
	}
	w.used = w.used.Add(*e.Size)
	if !w.used.Fits(w.size) {
		message := fmt.Sprintf("worker %s is overcommitted: size %+v, granted %+v with task %s", e.Worker, w.size, w.used, e.Task)
		c.report.add(OverCommit, message, w.boot, e)
	}
}

// addRun adds a run of a task, and an overlap with each of its runs on other workers.
func (c *taskRule) addRun(task structs.TaskID, r run) {
	runs := c.runsByTask[task]
	if runs == nil {
		runs = map[string]run{}
		c.runsByTask[task] = runs
	}
	for _, earlier := range runs {
		frozen := c.workers[earlier.worker].frozen
		c.overlaps.add(overlap{task: task, earlier: earlier, laterStart: r.start, earlierFrozen: frozen})
	}
	runs[r.worker] = r
}

func (c *taskRule) endTask(e event.Event) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r, running := w.runs[e.Task]
	if !running || r.attempt != e.Attempt {
		return
	}
	c.overlaps.resolveEnded(e)
	c.endRun(w, e.Task, r)
}

func (c *taskRule) endRun(w *workerRuns, task structs.TaskID, r run) {
	delete(w.runs, task)
	if r.start.Size != nil {
		w.used = w.used.Sub(*r.start.Size)
	}
	c.removeRun(r.worker, task)
}

func (c *taskRule) removeRun(worker string, task structs.TaskID) {
	delete(c.runsByTask[task], worker)
	if len(c.runsByTask[task]) == 0 {
		delete(c.runsByTask, task)
	}
}

// clearWorker removes every run of a worker that has stopped or restarted.
func (c *taskRule) clearWorker(worker string) {
	w := c.workers[worker]
	if w == nil {
		return
	}
	c.overlaps.resolveStopped(worker)
	for task := range w.runs {
		c.removeRun(worker, task)
	}
	w.runs = map[structs.TaskID]run{}
	w.used = structs.Resources{}
	w.frozen = false
}

func (c *taskRule) setFrozen(worker string, frozen bool) {
	if w := c.workers[worker]; w != nil {
		w.frozen = frozen
	}
}
