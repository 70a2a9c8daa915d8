package controller

import (
	"fmt"
	"time"

	"dotterelhitch/internal/advisorqueue"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// The functions below record the controller's decisions as events of the timeline.

func (c *Controller) recordWorker(typ event.Type, w *worker, detail string) {
	c.record(event.Event{Type: typ, Worker: w.info.ID, Epoch: c.epoch, Boot: w.boot, Count: len(w.runs), Detail: detail})
}

// recordGained records how many runs and ends a boot lists in its first answer.
func (c *Controller) recordGained(w *worker, result *workload.PollResult) {
	c.recordWorker(event.WorkerGained, w, fmt.Sprintf("%d runs and %d ends listed", len(result.Running), len(result.Ended)))
}

// recordEndsRead records that all ends on a worker from before its first answer are read.
func (c *Controller) recordEndsRead(w *worker, now time.Time) {
	c.record(event.Event{
		Type:   event.WorkerEndsRead,
		Worker: w.info.ID,
		Epoch:  c.epoch,
		Boot:   w.boot,
		Count:  w.endLists.readEnds,
		AgeMs:  now.Sub(w.endLists.firstAt).Milliseconds(),
	})
}

func (c *Controller) recordRun(typ event.Type, r *run, detail string) {
	c.record(event.Event{
		Type:    typ,
		Job:     r.task.step.job().spec.ID,
		Task:    structs.TaskID(r.task.id().String()),
		Attempt: int(r.number),
		Worker:  r.worker.info.ID,
		Epoch:   c.epoch,
		Boot:    r.worker.boot,
		Detail:  detail,
	})
}

// recordLeasesExpired records that all leases on a worker have expired, and how long ago this controller may
// have granted the latest.
func (c *Controller) recordLeasesExpired(w *worker, now time.Time) {
	ev := event.Event{Type: event.WorkerLeasesExpired, Worker: w.info.ID, Epoch: c.epoch, Boot: w.boot, Count: len(w.runs)}
	if !w.lastGrant.IsZero() {
		ev.AgeMs = now.Sub(w.lastGrant).Milliseconds()
	}
	c.record(ev)
}

// recordOtherBoot records that another boot of a worker than the one that is known has answered an order.
func (c *Controller) recordOtherBoot(w *worker, run workload.Run, result OrderResult) {
	c.record(event.Event{
		Type:    event.OtherBootAnswered,
		Worker:  w.info.ID,
		Epoch:   c.epoch,
		Boot:    w.boot,
		Job:     run.Task.Job,
		Task:    structs.TaskID(run.Task.String()),
		Attempt: int(run.Number),
		State:   result.String(),
	})
}

// Why a run that a worker lists does not count, in events.
const (
	uncountedUnknown  = "unknown"
	uncountedJobEnded = "job_ended"
	uncountedTaskDone = "task_done"
	uncountedOtherRun = "other_run"
	uncountedGang     = "gang"
)

// uncountedReason returns why a run of a task, nil if the task is not known, does not count.
func uncountedReason(t *task) string {
	switch {
	case t == nil:
		return uncountedUnknown
	case t.step.job().ended():
		return uncountedJobEnded
	case t.done:
		return uncountedTaskDone
	case len(t.runs) > 0:
		return uncountedOtherRun
	default:
		return uncountedGang
	}
}

// recordUncounted records that a worker lists a run that is not counted as a run of its task, nil if that is not known.
func (c *Controller) recordUncounted(w *worker, run workload.Run, t *task) {
	ev := event.Event{
		Type:    event.TaskUncounted,
		Job:     run.Task.Job,
		Task:    structs.TaskID(run.Task.String()),
		Attempt: int(run.Number),
		Worker:  w.info.ID,
		Epoch:   c.epoch,
		Boot:    w.boot,
		State:   uncountedReason(t),
	}
	if t != nil {
		ev.Candidates = len(t.runs)
	}
	c.record(ev)
}

// recordAckUnanswered records that a poll that acknowledges ends got no response.
func (c *Controller) recordAckUnanswered(w *worker, result OrderResult) {
	c.record(event.Event{
		Type:   event.AckUnanswered,
		Worker: w.info.ID,
		Epoch:  c.epoch,
		Boot:   w.boot,
		Count:  int(w.ackedSeq),
		Detail: result.String(),
	})
}

// recordTaskCrash records that a crash is counted for a task, and its counts.
func (c *Controller) recordTaskCrash(t *task, crash workload.TaskCrash, evidence string) {
	c.record(event.Event{
		Type:       event.TaskCrashed,
		Job:        t.step.job().spec.ID,
		Task:       structs.TaskID(t.id().String()),
		Attempt:    int(crash.Run),
		Worker:     crash.Worker,
		Epoch:      c.epoch,
		State:      crash.Finding.String(),
		Count:      t.certainCrashes(),
		Candidates: t.crashesAtStart(),
		Detail:     evidence,
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
		ev.Worker = r.worker.info.ID
	}
	c.record(ev)
}

// markStarted records that a worker has started some task of a job.
func (c *Controller) markStarted(j *job, now time.Time) {
	if j.started {
		return
	}
	j.started = true
	c.waiting.update(j)
	c.recordJob(event.JobStarted, j, "", now)
}

// recordAccepted records that a job is stored.
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

func (c *Controller) recordAdvisorCall(typ event.Type, s *step, call *AdvisorCall, allowed int, err error, now time.Time) {
	c.record(event.Event{
		Code:       structs.CodeOf(err),
		Type:       typ,
		Job:        call.Step.Job,
		Task:       structs.TaskID(call.Step.String()),
		Class:      s.job().class.Name,
		Member:     call.Entry,
		Epoch:      c.epoch,
		Candidates: len(call.Workers),
		Count:      allowed,
		AgeMs:      now.Sub(call.Sent).Milliseconds(),
	})
}

func (c *Controller) recordOverdueCall(s *step, call *advisorqueue.Call, now time.Time) {
	c.record(event.Event{
		Type:   event.AdviceOverdue,
		Job:    call.Step.Job,
		Task:   structs.TaskID(call.Step.String()),
		Class:  s.job().class.Name,
		Member: call.Entry,
		Epoch:  c.epoch,
		AgeMs:  now.Sub(call.Sent).Milliseconds(),
	})
}
