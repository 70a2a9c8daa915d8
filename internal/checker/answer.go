package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// answerRule finds answers that are wrong or cut short, and answers to requests
// that no endpoint ran.
type answerRule struct {
	report *Report
	ran    map[string]bool
	// answered holds answers without a key; an answer to a repeated key may
	// come from the run of another request.
	answered []event.Event
	keyed    map[string]bool
}

func newAnswerRule(r *Report) *answerRule {
	return &answerRule{report: r, ran: map[string]bool{}, keyed: map[string]bool{}}
}

func (c *answerRule) observe(e event.Event) {
	switch e.Type {
	case event.RequestRun:
		c.report.Checked.RequestRuns++
		c.ran[e.Request] = true
	case event.CallerRequestSent:
		c.keyed[e.Request] = e.Key != ""
	case event.CallerRequestEnded:
		c.got(e)
	}
}

func (c *answerRule) got(e event.Event) {
	switch e.Outcome {
	case structs.OutcomeNotRun:
		c.report.Checked.NotRun++
	case structs.OutcomeUnknown:
		c.report.Checked.Unknown++
	case structs.OutcomeAnswered:
		c.answer(e)
	}
}

func (c *answerRule) answer(e event.Event) {
	if e.ExpectedDigest != "" {
		c.report.Checked.Answers++
	}
	if e.ExpectedDigest != "" && e.Digest != e.ExpectedDigest {
		message := fmt.Sprintf("request %s was answered with %q, expected %q", e.Request, e.Digest, e.ExpectedDigest)
		c.report.add(WrongAnswer, message, e)
	}
	if e.Key == "" && !c.keyed[e.Request] && e.Detail != "" {
		c.answered = append(c.answered, e)
	}
}

// finish joins answers to runs; without a worker's record there is nothing to
// join.
func (c *answerRule) finish() {
	if len(c.ran) == 0 {
		return
	}
	for _, e := range c.answered {
		if !c.ran[e.Detail] {
			message := fmt.Sprintf("request %s was answered, but no endpoint ran %s", e.Request, e.Detail)
			c.report.add(AnswerWithoutRun, message, e)
		}
	}
}
