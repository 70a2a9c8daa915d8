package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// lostRule finds accepted work that was lost, in a run that came to its end.
type lostRule struct {
	report       *Report
	sentJobs     map[string]event.Event
	endedJobs    map[string]event.Event
	openRequests map[string]event.Event
	// completeTasks and runningTasks hold tasks by job, as the workers recorded them.
	completeTasks map[string]map[structs.TaskID]bool
	runningTasks  map[string]map[structs.TaskID]bool
	tasksByWorker map[string]map[structs.TaskID]bool
}

func newLostRule(r *Report) *lostRule {
	return &lostRule{
		report:        r,
		sentJobs:      map[string]event.Event{},
		endedJobs:     map[string]event.Event{},
		openRequests:  map[string]event.Event{},
		completeTasks: map[string]map[structs.TaskID]bool{},
		runningTasks:  map[string]map[structs.TaskID]bool{},
		tasksByWorker: map[string]map[structs.TaskID]bool{},
	}
}

func (c *lostRule) observe(e event.Event) {
	switch e.Type {
	case event.CallerJobAccepted:
		c.sentJobs[e.Job] = e
	case event.JobEnded, event.CallerJobEnded:
		if finalState(e.State) {
			c.endedJobs[e.Job] = e
		}
	case event.CallerRequestSent:
		c.openRequests[e.Request] = e
	case event.CallerRequestEnded:
		delete(c.openRequests, e.Request)
	case event.TaskRun:
		addTask(c.runningTasks, jobOf(e.Task), e.Task)
		addTask(c.tasksByWorker, e.Worker, e.Task)
	case event.TaskEnd:
		c.endTask(e)
	case event.WorkerBoot, event.WorkerExit, event.FaultInjected:
		c.stopWorker(e)
	}
}

func (c *lostRule) endTask(e event.Event) {
	delete(c.runningTasks[jobOf(e.Task)], e.Task)
	delete(c.tasksByWorker[e.Worker], e.Task)
	if e.State == string(structs.AllocComplete) {
		addTask(c.completeTasks, jobOf(e.Task), e.Task)
	}
}

func (c *lostRule) stopWorker(e event.Event) {
	if e.Type == event.FaultInjected && e.State != FaultKilled {
		return
	}
	for task := range c.tasksByWorker[e.Worker] {
		delete(c.runningTasks[jobOf(task)], task)
	}
	delete(c.tasksByWorker, e.Worker)
}

func (c *lostRule) finish() {
	for _, sent := range c.sentJobs {
		c.report.Checked.Jobs++
		c.checkJob(sent)
	}
	for _, sent := range c.openRequests {
		c.report.add(RequestLost, fmt.Sprintf("request %s: the caller received no outcome", sent.Request), sent)
	}
}

// checkJob accepts a job that ended, and a service, all of whose tasks run.
func (c *lostRule) checkJob(sent event.Event) {
	end, ended := c.endedJobs[sent.Job]
	if !ended {
		if len(c.runningTasks[sent.Job]) >= sent.Count && sent.Count > 0 {
			return
		}
		c.report.add(JobLost, fmt.Sprintf("job %s was accepted, but it neither ended nor has all tasks running", sent.Job), sent)
		return
	}
	done := len(c.completeTasks[sent.Job])
	if end.State == string(structs.JobComplete) && done < sent.Count {
		message := fmt.Sprintf("job %s was reported complete, but workers completed %d of %d tasks", sent.Job, done, sent.Count)
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

func addTask(m map[string]map[structs.TaskID]bool, key string, task structs.TaskID) {
	if m[key] == nil {
		m[key] = map[structs.TaskID]bool{}
	}
	m[key][task] = true
}
