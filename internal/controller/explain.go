package controller

import (
	"fmt"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// WaitReason is the reason for which a step waits.
type WaitReason uint8

// The reasons, beginning with those that only an operator or a caller can remove. The last
// ones pass by themselves.
const (
	// WaitNoWorker means that no worker of the class's service is listed.
	WaitNoWorker WaitReason = iota
	// WaitNoLabel means that no listed worker has the label that the step requires.
	WaitNoLabel
	// WaitTooLarge means that one task is larger than any worker with the label.
	WaitTooLarge
	// WaitMayBeRunning means that an earlier controller may have started the tasks on a
	// worker that does not answer.
	WaitMayBeRunning
	// WaitLateStart means that a start of the tasks got no answer and may still be carried out.
	WaitLateStart
	// WaitRetryBackoff means that tasks have failed and are retried after a pause.
	WaitRetryBackoff
	// WaitSuspicionStored means that workers crashed shortly after starting the tasks, and that this
	// is not stored yet.
	WaitSuspicionStored
	// WaitQuota means that the team of the step has used up its quota.
	WaitQuota
	// WaitAdvisor means that the advisor has not yet answered which workers may run the step.
	WaitAdvisor
	// WaitAdvisorForbids means that the advisor allows none of the workers that are large
	// enough.
	WaitAdvisorForbids
	// WaitGangCapacity means that the workers allowed for the gang are too small for all its
	// tasks at once, even when empty.
	WaitGangCapacity
	// WaitCapacity means that the workers that may run the step are full.
	WaitCapacity
)

var waitReasonTexts = map[WaitReason]string{
	WaitNoWorker:        "no worker of the service is listed",
	WaitNoLabel:         "no listed worker bears the label",
	WaitTooLarge:        "a task is larger than any worker",
	WaitMayBeRunning:    "a former controller may have started it on a worker that is silent",
	WaitLateStart:       "a start without an answer may still arrive",
	WaitRetryBackoff:    "it failed and is tried again after a pause",
	WaitSuspicionStored: "a worker crashed under it, and that is not stored yet",
	WaitQuota:           "its team has used up its quota",
	WaitAdvisor:         "the advisor has not said which workers may run it",
	WaitAdvisorForbids:  "the advisor allows none of the workers",
	WaitGangCapacity:    "the workers that are known to be allowed do not hold the gang",
	WaitCapacity:        "the workers that may run it are full",
}

// String returns the text of the reason for events.
func (r WaitReason) String() string { return waitReasonTexts[r] }

var waitReasonNames = map[WaitReason]string{
	WaitNoWorker:        "no_worker",
	WaitNoLabel:         "no_label",
	WaitTooLarge:        "too_large",
	WaitMayBeRunning:    "may_be_running",
	WaitLateStart:       "late_start",
	WaitRetryBackoff:    "retry_backoff",
	WaitSuspicionStored: "suspicion_stored",
	WaitQuota:           "quota",
	WaitAdvisor:         "advisor",
	WaitAdvisorForbids:  "advisor_forbids",
	WaitGangCapacity:    "gang_capacity",
	WaitCapacity:        "capacity",
}

// Name returns the name of the reason in metrics.
func (r WaitReason) Name() string { return waitReasonNames[r] }

// waitCause is the reason for which a step waits, with the number of workers that could run
// it otherwise.
type waitCause struct {
	reason  WaitReason
	workers int
}

// waitCauseOf returns why tasks of a step are not started.
func (c *Controller) waitCauseOf(s *step, now time.Time) waitCause {
	if s.startableCount(now) == 0 {
		return waitCause{reason: s.whyNotStartable(now)}
	}
	var ofService, labelled, largeEnough, withRoom, withVerdict, allowed, slots int
	for _, w := range c.workers {
		if !w.listed || w.info.Service != s.job().class.Service {
			continue
		}
		ofService++
		if !s.matchesWorker(w) {
			continue
		}
		labelled++
		fits := countFits(w.info.Capacity, s.size)
		if fits == 0 {
			continue
		}
		largeEnough++
		if c.fitCount(s, w, now) > 0 {
			withRoom++
		}
		if s.verdictKnown(w) {
			withVerdict++
		}
		if s.mayUse(w) {
			allowed++
			slots += fits
		}
	}
	switch {
	case ofService == 0:
		return waitCause{reason: WaitNoWorker}
	case labelled == 0:
		return waitCause{reason: WaitNoLabel, workers: ofService}
	case largeEnough == 0:
		return waitCause{reason: WaitTooLarge, workers: labelled}
	case c.quotaRoom(s, len(s.tasks)) == 0:
		return waitCause{reason: WaitQuota, workers: largeEnough}
	case s.gang == nil && allowed == 0 && withVerdict < largeEnough && withRoom == 0:
		// The advisor is asked only about workers with room.
		return waitCause{reason: WaitCapacity, workers: largeEnough}
	case allowed == 0 && withVerdict < largeEnough:
		return waitCause{reason: WaitAdvisor, workers: largeEnough - withVerdict}
	case allowed == 0:
		return waitCause{reason: WaitAdvisorForbids, workers: largeEnough}
	case s.gang != nil && slots < len(s.tasks):
		return waitCause{reason: WaitGangCapacity, workers: allowed}
	default:
		return waitCause{reason: WaitCapacity, workers: allowed}
	}
}

// whyNotStartable returns why none of the pending tasks may be started now.
func (s *step) whyNotStartable(now time.Time) WaitReason {
	for _, t := range s.tasks {
		if !t.done && now.Before(t.notBefore) {
			return WaitRetryBackoff
		}
		if !t.done && !t.suspicionStored() {
			return WaitSuspicionStored
		}
		if !t.done && len(t.runs) == 0 && t.awaitsLateStart(now) {
			return WaitLateStart
		}
	}
	return WaitMayBeRunning
}

// verdictKnown reports whether the advisor's verdict on a worker is known or not needed.
func (s *step) verdictKnown(w *worker) bool {
	if s.job().class.Advisor == nil {
		return true
	}
	_, ok := s.verdict(w)
	return ok
}

const (
	// minWaitEventInterval is the least time between two events that report why a step waits,
	// and between the step's becoming ready and the first such event.
	minWaitEventInterval = 2 * time.Second
	// maxWaitEventsPerPass bounds the events of one placement pass. With many waiting steps,
	// the most urgent ones suffice. Each event takes a scan of all workers.
	maxWaitEventsPerPass = 5
)

// recordWaits records why the most urgent steps wait.
func (c *Controller) recordWaits(steps []*step, now time.Time) {
	events := 0
	for _, s := range steps {
		if now.Before(s.notBefore) || s.pending+s.copiesWanted == 0 {
			continue
		}
		if s.lastWaitEvent.IsZero() {
			s.lastWaitEvent = now
		}
		if now.Sub(s.lastWaitEvent) < minWaitEventInterval {
			continue
		}
		if events++; events > maxWaitEventsPerPass {
			return
		}
		s.lastWaitEvent = now
		c.recordWait(s, now)
	}
}

// recordWait records why a step waits and, for a gang, the time until its expected start.
func (c *Controller) recordWait(s *step, now time.Time) {
	cause := c.waitCauseOf(s, now)
	e := event.Event{
		Type:       event.StepWaiting,
		Job:        s.job().spec.ID,
		Task:       structs.TaskID(s.id().String()),
		Class:      s.job().class.Name,
		Epoch:      c.epoch,
		Count:      s.pending,
		Candidates: cause.workers,
		State:      cause.reason.Name(),
		Detail:     cause.reason.String(),
	}
	if cause.reason == WaitNoLabel {
		e.Detail = fmt.Sprintf("%s %q", e.Detail, s.def.Label)
	}
	if cause.reason == WaitQuota {
		e.Detail += ": " + c.quotaDetail(s)
	}
	if cause.reason == WaitCapacity && c.shareUtilization(s) >= 1 {
		e.Detail += "; " + c.shareDetail(s)
	}
	if s.late {
		e.Detail += "; it can no longer be on time"
	}
	if !s.startAt.IsZero() {
		e.AgeMs = s.startAt.Sub(now).Milliseconds()
	}
	c.record(e)
}
