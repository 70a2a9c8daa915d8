package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// notRunRule finds requests that ran, before or after their caller was told that
// they were not run.
type notRunRule struct {
	report         *Report
	runs           map[string]event.Event
	reportedNotRun map[string]event.Event
}

func newNotRunRule(r *Report) *notRunRule {
	return &notRunRule{report: r, runs: map[string]event.Event{}, reportedNotRun: map[string]event.Event{}}
}

func (c *notRunRule) observe(e event.Event) {
	switch e.Type {
	case event.RequestRun:
		c.recordRun(e)
	case event.CallerRequestEnded:
		c.recordOutcome(e)
	}
}

func (c *notRunRule) finish() {}

func (c *notRunRule) recordRun(e event.Event) {
	c.runs[e.Request] = e
	if reported, found := c.reportedNotRun[e.Request]; found {
		c.violate(reported, e)
	}
}

func (c *notRunRule) recordOutcome(e event.Event) {
	if e.Outcome != structs.OutcomeNotRun || e.Detail == "" {
		return
	}
	c.reportedNotRun[e.Detail] = e
	if run, found := c.runs[e.Detail]; found {
		c.violate(e, run)
	}
}

func (c *notRunRule) violate(reported, run event.Event) {
	message := fmt.Sprintf("request %s ran on worker %s, but was reported to its caller as not run", run.Request, run.Worker)
	c.report.add(RunAfterNotRun, message, reported, run)
}
