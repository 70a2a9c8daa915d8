package checker

import (
	"fmt"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/operator"
)

// leavingRule finds new work on an endpoint past the bound after an operator was
// told that it is declared as leaving.
type leavingRule struct {
	report  *Report
	bound   time.Duration
	leaving map[string]event.Event
}

func newLeavingRule(r *Report, bound time.Duration) *leavingRule {
	return &leavingRule{report: r, bound: bound, leaving: map[string]event.Event{}}
}

func (c *leavingRule) observe(e event.Event) {
	switch e.Type {
	case event.LeavingSaid:
		c.said(e)
	case event.TaskRun, event.RequestRun:
		c.work(e)
	}
}

func (c *leavingRule) finish() {}

func (c *leavingRule) said(e event.Event) {
	if e.State == operator.StateRemoved {
		delete(c.leaving, e.Worker)
		return
	}
	c.report.Checked.Leavings++
	if _, already := c.leaving[e.Worker]; !already {
		c.leaving[e.Worker] = e
	}
}

func (c *leavingRule) work(e event.Event) {
	said, leaving := c.leaving[e.Worker]
	if !leaving || !after(e, said, c.bound) {
		return
	}
	late := time.Duration(e.Time.Micros-said.Time.Micros) * time.Microsecond
	message := fmt.Sprintf("leaving worker %s got new work %s after the declaration, bound %s", e.Worker, late, c.bound)
	c.report.add(WorkOnLeaving, message, said, e)
}
