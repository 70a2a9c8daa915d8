package admission

import (
	"cmp"
	"time"
)

// Request is the part of a caller's request that admission needs.
type Request struct {
	ID    string
	Class string
	// Deadline is when the answer is due: arrival plus the class's target, or the
	// caller's own deadline if that is earlier.
	Deadline time.Time
	// Target is the answer target of the class.
	Target time.Duration
}

// compareRequests orders by deadline, then ID.
func compareRequests(a, b Request) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
}

// Verdict is the admission result of a request.
type Verdict uint8

const (
	// Run means that the request is sent to an endpoint now and occupies a slot.
	Run Verdict = iota + 1
	// Wait means that the request waits for a slot.
	Wait
	// Refuse means that the caller is told that the request was not run.
	Refuse
)

// Decision is the result of Controller.Admit.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which the caller should retry; set for Refuse only.
	RetryAfter time.Duration
	// Expected is the estimated time until the answer.
	Expected time.Duration
}
