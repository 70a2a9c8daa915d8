package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// lostRule finds accepted work that a run which came to its end has lost.
type lostRule struct {
	report   *Report
	jobs     map[string]event.Event
	ended    map[string]event.Event
	requests map[string]event.Event
	// complete and running hold tasks by job, by the workers' record.
	complete map[string]map[structs.TaskID]bool
	running  map[string]map[structs.TaskID]bool
	byWorker map[string]map[structs.TaskID]bool
}

func newLostRule(r *Report) *lostRule {
	return &lostRule{
		report:   r,
		jobs:     map[string]event.Event{},
		ended:    map[string]event.Event{},
		requests: map[string]event.Event{},
		complete: map[string]map[structs.TaskID]bool{},
		running:  map[string]map[structs.TaskID]bool{},
		byWorker: map[string]map[structs.TaskID]bool{},
	}
}

func (c *lostRule) observe(e event.Event) {
	switch e.Type {
	case event.CallerJobAccepted:
		c.jobs[e.Job] = e
	case event.JobEnded, event.CallerJobEnded:
		if finalState(e.State) {
			c.ended[e.Job] = e
		}
	case event.CallerRequestSent:
		c.requests[e.Request] = e
	case event.CallerRequestEnded:
		delete(c.requests, e.Request)
	case event.TaskRun:
		put(c.running, jobOf(e.Task), e.Task)
		put(c.byWorker, e.Worker, e.Task)
	case event.TaskEnd:
		c.endTask(e)
	case event.WorkerBoot, event.WorkerExit, event.FaultInjected:
		c.stopWorker(e)
	}
}

func (c *lostRule) endTask(e event.Event) {
	delete(c.running[jobOf(e.Task)], e.Task)
	delete(c.byWorker[e.Worker], e.Task)
	if e.State == string(structs.AllocComplete) {
		put(c.complete, jobOf(e.Task), e.Task)
	}
}

func (c *lostRule) stopWorker(e event.Event) {
	if e.Type == event.FaultInjected && e.State != FaultKilled {
		return
	}
	for task := range c.byWorker[e.Worker] {
		delete(c.running[jobOf(task)], task)
	}
	delete(c.byWorker, e.Worker)
}

func (c *lostRule) finish() {
	for _, sent := range c.jobs {
		c.report.Checked.Jobs++
		c.checkJob(sent)
	}
	for _, sent := range c.requests {
		c.report.add(RequestLost, fmt.Sprintf("request %s: its caller got no outcome", sent.Request), sent)
	}
}

// checkJob accepts a job that ended, and one whose tasks all run: a service.
func (c *lostRule) checkJob(sent event.Event) {
	end, ended := c.ended[sent.Job]
	if !ended {
		if len(c.running[sent.Job]) >= sent.Count && sent.Count > 0 {
			return
		}
		c.report.add(JobLost, fmt.Sprintf("job %s was accepted and neither ended nor runs", sent.Job), sent)
		return
	}
	done := len(c.complete[sent.Job])
	if end.State == string(structs.JobComplete) && done < sent.Count {
		message := fmt.Sprintf("job %s is said complete, but workers completed %d of %d tasks", sent.Job, done, sent.Count)
		c.report.add(TaskLost, message, sent, end)
	}
}

func jobOf(task structs.TaskID) string {
	job, _, err := task.Split()
	if err != nil {
		return ""
	}
	return job
}

func put(m map[string]map[structs.TaskID]bool, key string, task structs.TaskID) {
	if m[key] == nil {
		m[key] = map[structs.TaskID]bool{}
	}
	m[key][task] = true
}
