package checker

import (
	"fmt"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/operator"
)

// leavingRule finds new work on an endpoint past the bound after an operator was
// told that it is declared as leaving. It accepts what a worker that a test had frozen
// begins when it wakes, if the freeze began and the work was sent within the bound: the
// work lay in the worker's buffers.
type leavingRule struct {
	report  *Report
	bound   time.Duration
	leaving map[string]event.Event
	// sent holds when work was last sent to a worker, away and thawed when a worker was
	// last frozen and woken.
	sent         map[workID]event.Event
	away, thawed map[string]event.Event
}

// workID names what was sent to a worker.
type workID struct{ worker, name string }

func workOf(e event.Event) workID {
	if e.Request != "" {
		return workID{e.Worker, e.Request}
	}
	return workID{e.Worker, fmt.Sprintf("%s/%d", e.Task, e.Attempt)}
}

func newLeavingRule(r *Report, bound time.Duration) *leavingRule {
	return &leavingRule{
		report: r, bound: bound, leaving: map[string]event.Event{},
		sent: map[workID]event.Event{}, away: map[string]event.Event{}, thawed: map[string]event.Event{},
	}
}

func (c *leavingRule) observe(e event.Event) {
	switch e.Type {
	case event.LeavingAccepted:
		c.said(e)
	case event.RequestAttempt, event.TaskPlaced:
		c.sent[workOf(e)] = e
	case event.TaskRun, event.RequestRun:
		c.work(e)
	}
	switch {
	case isFault(e, FaultFrozen):
		c.away[e.Worker] = e
	case isFault(e, FaultThawed):
		c.thawed[e.Worker] = e
	}
}

// buffered reports whether work lay in the buffers of a worker that a test had frozen:
// the worker woke past the bound, and the work was sent before that and within it.
func (c *leavingRule) buffered(e, said event.Event) bool {
	thawed, woke := c.thawed[e.Worker]
	sent, found := c.sent[workOf(e)]
	return woke && found && after(thawed, said, c.bound) && !after(c.away[e.Worker], said, c.bound) &&
		!after(sent, said, c.bound) && sent.Time.Before(thawed.Time)
}

func (c *leavingRule) finish() {}

func (c *leavingRule) said(e event.Event) {
	if e.State == operator.StateRemoved {
		delete(c.leaving, e.Worker)
		return
	}
	c.report.Checked.LeavingDeclarations++
	if _, already := c.leaving[e.Worker]; !already {
		c.leaving[e.Worker] = e
	}
}

func (c *leavingRule) work(e event.Event) {
	said, leaving := c.leaving[e.Worker]
	if !leaving || !after(e, said, c.bound) || c.buffered(e, said) {
		return
	}
	late := time.Duration(e.Time.Micros-said.Time.Micros) * time.Microsecond
	message := fmt.Sprintf("leaving worker %s got new work %s after the declaration, bound %s", e.Worker, late, c.bound)
	c.report.add(WorkOnLeaving, message, said, e)
}
