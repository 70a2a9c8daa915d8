package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// notRunRule finds requests that ran although a caller was told that they did
// not, before or after it was told.
type notRunRule struct {
	report *Report
	runs   map[string]event.Event
	told   map[string]event.Event
}

func newNotRunRule(r *Report) *notRunRule {
	return &notRunRule{report: r, runs: map[string]event.Event{}, told: map[string]event.Event{}}
}

func (c *notRunRule) observe(e event.Event) {
	switch e.Type {
	case event.RequestRun:
		c.run(e)
	case event.CallerRequestEnded:
		c.got(e)
	}
}

func (c *notRunRule) finish() {}

func (c *notRunRule) run(e event.Event) {
	c.runs[e.Request] = e
	if told, found := c.told[e.Request]; found {
		c.violate(told, e)
	}
}

func (c *notRunRule) got(e event.Event) {
	if e.Outcome != structs.OutcomeNotRun || e.Detail == "" {
		return
	}
	c.told[e.Detail] = e
	if run, found := c.runs[e.Detail]; found {
		c.violate(e, run)
	}
}

func (c *notRunRule) violate(told, run event.Event) {
	message := fmt.Sprintf("request %s ran on worker %s, its caller was told that it was not run", run.Request, run.Worker)
	c.report.add(RunAfterNotRun, message, told, run)
}
