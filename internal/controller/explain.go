package controller

import (
	"fmt"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// WaitReason says why a step waits.
type WaitReason uint8

// The reasons, from those that only an operator or a caller can mend to those that pass.
const (
	// WaitNoWorker: no worker of the class's service is listed.
	WaitNoWorker WaitReason = iota
	// WaitNoLabel: no listed worker bears the label that the step wants.
	WaitNoLabel
	// WaitTooLarge: one task is larger than any worker that bears the label.
	WaitTooLarge
	// WaitMayBeRunning: a former controller may have started it on a worker that is silent.
	WaitMayBeRunning
	// WaitRetryBackoff: its tasks failed a moment ago.
	WaitRetryBackoff
	// WaitAdvisor: the advisor has not said yet which workers may run it.
	WaitAdvisor
	// WaitAdvisorForbids: the advisor has ruled out every worker that would hold a task.
	WaitAdvisorForbids
	// WaitGangCapacity: the workers that may run the gang do not hold it at once, however empty.
	WaitGangCapacity
	// WaitCapacity: the workers that may run it are full.
	WaitCapacity
)

var waitReasonTexts = map[WaitReason]string{
	WaitNoWorker:       "no worker of the service is listed",
	WaitNoLabel:        "no listed worker bears the label",
	WaitTooLarge:       "a task is larger than any worker",
	WaitMayBeRunning:   "a former controller may have started it on a worker that is silent",
	WaitRetryBackoff:   "it failed and is tried again after a pause",
	WaitAdvisor:        "the advisor has not said which workers may run it",
	WaitAdvisorForbids: "the advisor allows none of the workers",
	WaitGangCapacity:   "the workers that are known to be allowed do not hold the gang",
	WaitCapacity:       "the workers that may run it are full",
}

// String returns the reason for a reader of the logs.
func (r WaitReason) String() string { return waitReasonTexts[r] }

// wait is why a step waits, with the number of workers that could run it but for that.
type wait struct {
	reason  WaitReason
	workers int
}

// whyWaiting returns why tasks of a step are not started.
func (c *Controller) whyWaiting(s *step, now time.Time) wait {
	if len(s.startable(now)) == 0 {
		return wait{reason: s.whyNotStartable(now)}
	}
	var ofService, suited, large, known, allowed, slots int
	for _, w := range c.workers {
		if !w.listed || w.info.Service != s.job().class.Service {
			continue
		}
		ofService++
		if !s.suits(w) {
			continue
		}
		suited++
		most := times(w.info.Capacity, s.size)
		if most == 0 {
			continue
		}
		large++
		if s.asked(w) {
			known++
		}
		if s.mayUse(w) {
			allowed++
			slots += most
		}
	}
	switch {
	case ofService == 0:
		return wait{reason: WaitNoWorker}
	case suited == 0:
		return wait{reason: WaitNoLabel, workers: ofService}
	case large == 0:
		return wait{reason: WaitTooLarge, workers: suited}
	case allowed == 0 && known < large:
		return wait{reason: WaitAdvisor, workers: large - known}
	case allowed == 0:
		return wait{reason: WaitAdvisorForbids, workers: large}
	case s.gang != nil && slots < len(s.tasks):
		return wait{reason: WaitGangCapacity, workers: allowed}
	default:
		return wait{reason: WaitCapacity, workers: allowed}
	}
}

// whyNotStartable returns why none of the tasks that wait may be started now.
func (s *step) whyNotStartable(now time.Time) WaitReason {
	for _, t := range s.tasks {
		if !t.done && now.Before(t.notBefore) {
			return WaitRetryBackoff
		}
	}
	return WaitMayBeRunning
}

// asked reports whether the advisor's word on a worker is known, or not needed.
func (s *step) asked(w *worker) bool {
	if s.job().class.Advisor == nil {
		return true
	}
	_, ok := s.verdict(w)
	return ok
}

const (
	// waitLinePeriod is the least time between two lines that tell why a step waits,
	// and between its becoming ready and the first.
	waitLinePeriod = 2 * time.Second
	// waitLinesPerPass bounds the lines of one pass: with many steps waiting those of
	// the most urgent ones tell enough.
	waitLinesPerPass = 20
)

// recordWaits tells why the most urgent steps wait.
func (c *Controller) recordWaits(steps []*step, now time.Time) {
	lines := 0
	for _, s := range steps {
		if now.Before(s.notBefore) || s.pending+s.copies == 0 {
			continue
		}
		if s.waitTold.IsZero() {
			s.waitTold = now
		}
		if now.Sub(s.waitTold) < waitLinePeriod {
			continue
		}
		if lines++; lines > waitLinesPerPass {
			return
		}
		s.waitTold = now
		c.recordWait(s, now)
	}
}

// recordWait tells why a step waits and, for a gang, in how long it is expected to start.
func (c *Controller) recordWait(s *step, now time.Time) {
	why := c.whyWaiting(s, now)
	e := event.Event{
		Type:       event.StepWaiting,
		Job:        s.job().spec.ID,
		Task:       structs.TaskID(s.id().String()),
		Class:      s.job().class.Name,
		Epoch:      c.epoch,
		Count:      s.pending,
		Candidates: why.workers,
		Detail:     why.reason.String(),
	}
	if why.reason == WaitNoLabel {
		e.Detail = fmt.Sprintf("%s %q", e.Detail, s.def.Label)
	}
	if s.late {
		e.Detail += "; it can't be in time any more"
	}
	if !s.startAt.IsZero() {
		e.AgeMs = s.startAt.Sub(now).Milliseconds()
	}
	c.record(e)
}
