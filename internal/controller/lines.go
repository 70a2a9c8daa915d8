package controller

import (
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// The lines of the time line that tell the controller's decisions.

func (c *Controller) recordWorker(typ event.Type, w *worker, detail string) {
	c.record(event.Event{Type: typ, Worker: w.info.ID, Epoch: c.epoch, Count: len(w.runs), Detail: detail})
}

func (c *Controller) recordRun(typ event.Type, r *run, detail string) {
	c.record(event.Event{
		Type:    typ,
		Job:     r.task.step.job().spec.ID,
		Task:    structs.TaskID(r.task.id().String()),
		Attempt: int(r.num),
		Worker:  r.w.info.ID,
		Epoch:   c.epoch,
		Detail:  detail,
	})
}

func (c *Controller) recordEnd(t *task, r *run, e *workload.EndedTask) {
	ev := event.Event{
		Type:    event.TaskEndObserved,
		Job:     t.step.job().spec.ID,
		Task:    structs.TaskID(t.id().String()),
		Attempt: int(e.Run.Number),
		Epoch:   c.epoch,
		State:   string(e.Reason),
	}
	if r != nil {
		ev.Worker = r.w.info.ID
	}
	c.record(ev)
}

// begin notes that a worker has begun some task of a job.
func (c *Controller) begin(j *job, now time.Time) {
	if j.begun {
		return
	}
	j.begun = true
	c.waiting.count(j)
	c.recordJob(event.JobStarted, j, "", now)
}

// recordAccepted tells that a job is stored.
func (c *Controller) recordAccepted(j *job, now time.Time) {
	c.record(event.Event{
		Type:  event.JobAccepted,
		Job:   j.spec.ID,
		Class: j.spec.Class,
		Epoch: c.epoch,
		Count: len(j.spec.Steps),
		AgeMs: now.Sub(j.acceptedAt).Milliseconds(),
	})
}

func (c *Controller) recordJob(typ event.Type, j *job, detail string, now time.Time) {
	c.record(event.Event{
		AgeMs:  now.Sub(j.acceptedAt).Milliseconds(),
		Type:   typ,
		Job:    j.spec.ID,
		Class:  j.spec.Class,
		Epoch:  c.epoch,
		State:  string(j.state),
		Detail: detail,
	})
}

func (c *Controller) recordAsk(typ event.Type, s *step, ask *AdvisorCall, good int, now time.Time) {
	c.record(event.Event{
		Type:       typ,
		Job:        ask.Step.Job,
		Task:       structs.TaskID(ask.Step.String()),
		Class:      s.job().class.Name,
		Member:     ask.Entry,
		Epoch:      c.epoch,
		Candidates: len(ask.Workers),
		Count:      good,
		AgeMs:      now.Sub(ask.Sent).Milliseconds(),
	})
}
