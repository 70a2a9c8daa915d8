// Package checker reads the merged timeline of a run and finds violations of the
// system's invariants. Which work ran is taken from the workers' own event logs,
// never from the entries' logs.
package checker

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/event"
)

// Kind is the kind of a violation.
type Kind string

// Kinds of violations.
const (
	// OverCommit is a worker whose running tasks are granted more resources than the worker has.
	OverCommit Kind = "over_give"
	// ConcurrentTaskRuns is a task with two runs at the same time.
	ConcurrentTaskRuns Kind = "task_in_two_places"
	// TaskRunAfterEnd is a task that runs after its job ended or after the system
	// recorded it as complete.
	TaskRunAfterEnd Kind = "task_run_after_end"
	// WrongAnswer is an answer that is not the complete answer to its request.
	WrongAnswer Kind = "wrong_answer"
	// AnswerWithoutRun is an answer to a request that no endpoint ran.
	AnswerWithoutRun Kind = "answer_without_run"
	// RunAfterNotRun is a run of a request that was reported to its caller as not run.
	RunAfterNotRun Kind = "run_after_not_run"
	// SecondRun is a second run of a non-idempotent request or idempotency key.
	SecondRun Kind = "second_run"
	// WorkOnLeaving is new work on an endpoint after its declaration as leaving.
	WorkOnLeaving Kind = "work_on_leaving"
	// RequestCutOff is a request that a graceful shutdown aborted.
	RequestCutOff Kind = "cut_off"
	// ConfigReverted is a member that returned to an older configuration version.
	ConfigReverted Kind = "config_reverted"
	// ConfigLate is a member that did not apply an accepted change within the bound.
	ConfigLate Kind = "config_late"
	// JobLost is an accepted job that neither ended nor has all of its tasks running.
	JobLost Kind = "job_lost"
	// TaskLost is a task that no worker completed although its job was reported complete.
	TaskLost Kind = "task_lost"
	// RequestLost is a request whose caller never received an outcome.
	RequestLost Kind = "request_lost"
)

// Violation is one violated invariant with the events that prove the violation.
type Violation struct {
	Kind    Kind          `json:"kind"`
	Message string        `json:"message"`
	Events  []event.Event `json:"events"`
}

// Counts is the number of items checked, which tells a run without work from a
// run without violations.
type Counts struct {
	Events              int `json:"events"`
	Workers             int `json:"workers"`
	TaskRuns            int `json:"task_runs"`
	RequestRuns         int `json:"request_runs"`
	Answers             int `json:"answers"`
	NotRun              int `json:"not_run"`
	Unknown             int `json:"unknown"`
	NonIdempotent       int `json:"non_idempotent"`
	LeavingDeclarations int `json:"leavings"`
	Drains              int `json:"drains"`
	ConfigChanges       int `json:"config_changes"`
	ConfigsInForce      int `json:"configs_in_force"`
	Jobs                int `json:"jobs"`
	Faults              int `json:"faults"`
}

// Options are the time bounds of the invariants that have one, and the extent of the check.
type Options struct {
	// LeavingBound is the time after which a leaving endpoint gets no new work.
	LeavingBound time.Duration
	// ConfigBound is the time within which an accepted change must be in force at
	// every member; zero disables the check.
	ConfigBound time.Duration
	// RunEnded is true if the run came to its end, so that all accepted work must
	// have ended.
	RunEnded bool
}

// Report is the result of a check.
type Report struct {
	Violations []Violation `json:"violations"`
	Checked    Counts      `json:"checked"`
}

// Empty reports whether no worker recorded any work, so that nothing was checked.
func (r *Report) Empty() bool {
	return r.Checked.TaskRuns+r.Checked.RequestRuns == 0
}

// OK reports whether work was checked and no violation was found.
func (r *Report) OK() bool { return !r.Empty() && len(r.Violations) == 0 }

// Count returns the number of violations of a kind.
func (r *Report) Count(k Kind) int {
	n := 0
	for _, v := range r.Violations {
		if v.Kind == k {
			n++
		}
	}
	return n
}

// rule checks one invariant. observe receives every event in order; finish is called
// after the last event.
type rule interface {
	observe(e event.Event)
	finish()
}

// Check checks events, which must be in the order that timeline.Merge returns.
func Check(events []event.Event, o Options) *Report {
	r := &Report{Violations: []Violation{}}
	rules := []rule{
		newTaskRule(r),
		newTaskEndRule(r),
		newAnswerRule(r),
		newNotRunRule(r),
		newAtMostOnceRule(r),
		newLeavingRule(r, o.LeavingBound),
		newDrainRule(r),
		newConfigOrderRule(r),
		newConfigBoundRule(r, o.ConfigBound),
	}
	if o.RunEnded {
		rules = append(rules, newLostRule(r))
	}
	r.Checked.Events = len(events)
	for _, e := range events {
		if e.Type == event.FaultInjected {
			r.Checked.Faults++
		}
		for _, rule := range rules {
			rule.observe(e)
		}
	}
	for _, rule := range rules {
		rule.finish()
	}
	slices.SortStableFunc(r.Violations, compareViolations)
	return r
}

// compareViolations orders violations by their last event, which makes reports
// deterministic.
func compareViolations(a, b Violation) int {
	return cmp.Or(
		cmp.Compare(a.lastEvent().Time.Micros, b.lastEvent().Time.Micros),
		cmp.Compare(a.lastEvent().Time.Counter, b.lastEvent().Time.Counter),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Message, b.Message),
	)
}

func (v Violation) lastEvent() event.Event { return v.Events[len(v.Events)-1] }

func (r *Report) add(k Kind, message string, events ...event.Event) {
	r.Violations = append(r.Violations, Violation{Kind: k, Message: message, Events: events})
}

// laterBy reports whether e occurred more than d after start.
func laterBy(e, start event.Event, d time.Duration) bool {
	return e.Time.Micros-start.Time.Micros > d.Microseconds()
}
