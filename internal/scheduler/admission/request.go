package admission

import (
	"cmp"
	"time"
)

// Request is a caller's request as far as admission needs it.
type Request struct {
	ID    string
	Class string
	// Deadline is when the answer is due: arrival plus the class's target, or the
	// caller's own deadline if that is earlier.
	Deadline time.Time
	// Target is the class's target for an answer.
	Target time.Duration
}

// compareRequests orders by deadline, then ID.
func compareRequests(a, b Request) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.ID, b.ID))
}

// Verdict is what becomes of a request.
type Verdict uint8

const (
	// Run means that the request goes to an endpoint now and holds a slot.
	Run Verdict = iota + 1
	// Wait means that the request waits for a slot.
	Wait
	// Refuse means that the request is answered as not run.
	Refuse
)

// Decision is the answer to an offered request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when the caller should try again; set for Refuse only.
	RetryAfter time.Duration
	// Expected is the estimated time until the answer.
	Expected time.Duration
}
