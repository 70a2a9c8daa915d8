// Package checker reads the merged time line of a run and finds where the system
// broke what must always hold. What ran is taken from the workers' own record,
// never from the system's word.
package checker

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/event"
)

// Kind is the sort of a violation.
type Kind string

// The violations that are found.
const (
	// OverCommit is a worker whose running tasks hold more than it has.
	OverCommit Kind = "over_give"
	// ConcurrentTaskRuns is a task that runs twice at a time.
	ConcurrentTaskRuns Kind = "task_in_two_places"
	// TaskRunAfterEnd is a task that runs after its job ended or after the system
	// recorded it as complete.
	TaskRunAfterEnd Kind = "task_run_after_end"
	// WrongAnswer is an answer that is not the whole answer to its request.
	WrongAnswer Kind = "wrong_answer"
	// AnswerWithoutRun is an answer to a request that no endpoint ran.
	AnswerWithoutRun Kind = "answer_without_run"
	// RunAfterNotRun is a run of a request that a caller was told was not run.
	RunAfterNotRun Kind = "run_after_not_run"
	// SecondRun is a second run of a non-idempotent request or key.
	SecondRun Kind = "second_run"
	// WorkOnLeaving is new work on an endpoint that was declared as leaving.
	WorkOnLeaving Kind = "work_on_leaving"
	// RequestCutOff is a request that a graceful shutdown cut off.
	RequestCutOff Kind = "cut_off"
	// ConfigReverted is a member that went back to an older configuration.
	ConfigReverted Kind = "config_reverted"
	// ConfigLate is a member without an accepted change past its bound.
	ConfigLate Kind = "config_late"
	// JobLost is an accepted job that neither ended nor runs.
	JobLost Kind = "job_lost"
	// TaskLost is a task that never ran to its end in a job said complete.
	TaskLost Kind = "task_lost"
	// RequestLost is a request whose caller never got an outcome.
	RequestLost Kind = "request_lost"
)

// Violation is one broken promise with the events that show it.
type Violation struct {
	Kind    Kind          `json:"kind"`
	Message string        `json:"message"`
	Events  []event.Event `json:"events"`
}

// Counts says how much was checked, so that an empty run does not pass for a
// good one.
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

// Options state the bounds of the promises that have one.
type Options struct {
	// LeavingBound is the time after which a leaving endpoint gets no new work.
	LeavingBound time.Duration
	// ConfigBound is the time within which an accepted change is in force at
	// every member; zero leaves that unchecked.
	ConfigBound time.Duration
	// RunEnded says that the run came to its end: everything accepted must
	// have ended.
	RunEnded bool
}

// Report is the result of a check.
type Report struct {
	Violations []Violation `json:"violations"`
	Checked    Counts      `json:"checked"`
}

// Empty reports whether the run held no work that could have been checked.
func (r *Report) Empty() bool {
	return r.Checked.TaskRuns+r.Checked.RequestRuns == 0
}

// OK reports whether work was checked and nothing was found.
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

// rule checks one promise. observe gets every event in order, finish is called
// after the last.
type rule interface {
	observe(e event.Event)
	finish()
}

// Check reads events in the order that timeline.Merge gives.
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
	slices.SortStableFunc(r.Violations, compare)
	return r
}

// compare orders violations by their last event, so that a report is the same
// every time.
func compare(a, b Violation) int {
	return cmp.Or(
		cmp.Compare(a.last().Time.Micros, b.last().Time.Micros),
		cmp.Compare(a.last().Time.Counter, b.last().Time.Counter),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Message, b.Message),
	)
}

func (v Violation) last() event.Event { return v.Events[len(v.Events)-1] }

func (r *Report) add(k Kind, message string, events ...event.Event) {
	r.Violations = append(r.Violations, Violation{Kind: k, Message: message, Events: events})
}

// after reports whether e is more than d later than start.
func after(e, start event.Event, d time.Duration) bool {
	return e.Time.Micros-start.Time.Micros > d.Microseconds()
}
