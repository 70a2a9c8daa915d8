package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// answerRule finds answers that are wrong or truncated, and answers to requests
// that no endpoint ran.
type answerRule struct {
	report      *Report
	ranRequests map[string]bool
	// unkeyedAnswers excludes answers to requests with an idempotency key: such an
	// answer may come from the run of an earlier request with the same key.
	unkeyedAnswers []event.Event
	keyedRequests  map[string]bool
}

func newAnswerRule(r *Report) *answerRule {
	return &answerRule{report: r, ranRequests: map[string]bool{}, keyedRequests: map[string]bool{}}
}

func (c *answerRule) observe(e event.Event) {
	switch e.Type {
	case event.RequestRun:
		c.report.Checked.RequestRuns++
		c.ranRequests[e.Request] = true
	case event.CallerRequestSent:
		c.keyedRequests[e.Request] = e.Key != ""
	case event.CallerRequestEnded:
		c.checkOutcome(e)
	}
}

func (c *answerRule) checkOutcome(e event.Event) {
	switch e.Outcome {
	case structs.OutcomeNotRun:
		c.report.Checked.NotRun++
	case structs.OutcomeUnknown:
		c.report.Checked.Unknown++
	case structs.OutcomeAnswered:
		c.checkAnswer(e)
	}
}

func (c *answerRule) checkAnswer(e event.Event) {
	if e.ExpectedDigest != "" {
		c.report.Checked.Answers++
	}
	if e.ExpectedDigest != "" && e.Digest != e.ExpectedDigest {
		message := fmt.Sprintf("request %s was answered with %q, expected %q", e.Request, e.Digest, e.ExpectedDigest)
		c.report.add(WrongAnswer, message, e)
	}
	if e.Key == "" && !c.keyedRequests[e.Request] && e.Detail != "" {
		c.unkeyedAnswers = append(c.unkeyedAnswers, e)
	}
}

// finish reports answers to requests that no endpoint ran. Without any run in the
// workers' event logs, nothing can be compared.
func (c *answerRule) finish() {
	if len(c.ranRequests) == 0 {
		return
	}
	for _, e := range c.unkeyedAnswers {
		if !c.ranRequests[e.Detail] {
			message := fmt.Sprintf("request %s was answered, but no endpoint ran request %s", e.Request, e.Detail)
			c.report.add(AnswerWithoutRun, message, e)
		}
	}
}
