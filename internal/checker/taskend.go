package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// taskEndRule finds tasks that run after the system recorded their end: after
// their job ended, or after they were settled as complete.
type taskEndRule struct {
	report *Report
	tasks  map[structs.TaskID]event.Event
	jobs   map[string]event.Event
}

func newTaskEndRule(r *Report) *taskEndRule {
	return &taskEndRule{
		report: r,
		tasks:  map[structs.TaskID]event.Event{},
		jobs:   map[string]event.Event{},
	}
}

func (c *taskEndRule) observe(e event.Event) {
	switch e.Type {
	case event.TaskSettled:
		if e.State == string(structs.AllocComplete) {
			c.tasks[e.Task] = e
		}
	case event.JobEnded, event.CallerJobEnded:
		c.endJob(e)
	case event.TaskRun:
		c.begin(e)
	}
}

func (c *taskEndRule) finish() {}

func (c *taskEndRule) endJob(e event.Event) {
	if finalState(e.State) {
		c.jobs[e.Job] = e
	}
}

func (c *taskEndRule) begin(e event.Event) {
	if end, settled := c.tasks[e.Task]; settled {
		c.report.add(TaskRunAfterEnd, fmt.Sprintf("task %s runs after it was recorded as complete", e.Task), end, e)
		return
	}
	job, _, err := e.Task.Split()
	if err != nil {
		return
	}
	if end, ended := c.jobs[job]; ended {
		c.report.add(TaskRunAfterEnd, fmt.Sprintf("task %s runs after its job ended as %s", e.Task, end.State), end, e)
	}
}

// finalState reports whether a job in this state has ended.
func finalState(state string) bool {
	switch structs.JobState(state) {
	case structs.JobComplete, structs.JobFailed, structs.JobCancelled:
		return true
	default:
		return false
	}
}
