package dispatch

import (
	"time"

	"dotterelhitch/internal/structs"
)

// Bounds on the attempts at one request.
const (
	maxAttempts = 4
	// minAttempt is the least time that an attempt is worth.
	minAttempt = 20 * time.Millisecond
	// peerMargin is the time that a peer is given less than the deadline, so
	// that its verdict arrives before the deadline.
	peerMargin = 30 * time.Millisecond
)

// Result is what became of one attempt, at an own worker or at a peer.
type Result struct {
	Outcome structs.Outcome
	Body    []byte
	Worker  string
	Err     *structs.Error
	// Unsent is true if certainly no byte left the entry.
	Unsent bool
}

// History is what is known of a request after some attempts.
type History struct {
	Idempotent bool
	// RetryUnknown allows another attempt after one of unknown outcome.
	RetryUnknown bool
	Attempts     int
	// InDoubt is the first attempt of unknown outcome; nil if there is none.
	InDoubt *Result
	Last    Result
}

// Add records an attempt.
func (h *History) Add(r Result) {
	h.Attempts++
	h.Last = r
	if r.Outcome == structs.OutcomeUnknown && h.InDoubt == nil {
		h.InDoubt = &r
	}
}

// Retry reports whether another attempt may follow, with left until the
// deadline. A request that may have reached an endpoint is tried again only if
// it is idempotent; withdraw is asked only when everything else allows a retry,
// and not for a failure before the first byte.
func (h *History) Retry(left time.Duration, withdraw func() bool) bool {
	if h.Attempts >= maxAttempts || left < minAttempt {
		return false
	}
	switch h.Last.Outcome {
	case structs.OutcomeNotRun:
		return h.mayRepeat() && retriable(h.Last.Err) && (h.Last.Unsent || withdraw())
	case structs.OutcomeUnknown:
		return h.Idempotent && h.RetryUnknown && withdraw()
	}
	return false
}

// mayRepeat reports whether running the request cannot be a second run, or would
// do no harm.
func (h *History) mayRepeat() bool {
	return h.Idempotent || h.InDoubt == nil
}

// Outcome is the verdict over all attempts: a whole answer if there is one, else
// unknown if any attempt is in doubt, else not run.
func (h *History) Outcome() Result {
	if h.Last.Outcome != structs.OutcomeAnswered && h.InDoubt != nil {
		return *h.InDoubt
	}
	return h.Last
}

// retriable reports whether another worker or peer may take what one refused.
func retriable(e *structs.Error) bool {
	if e == nil {
		return false
	}
	switch e.Code {
	case structs.CodeOverload, structs.CodeNoCapacity, structs.CodeStaleEpoch,
		structs.CodeNotOwner, structs.CodeNoAuthority, structs.CodeBehind,
		structs.CodeDraining, structs.CodeLeaving, structs.CodeUnavailable:
		return true
	}
	return false
}

// attemptDeadline bounds one attempt. An idempotent request leaves half of the
// time for another attempt, in case the connection has gone silent.
func attemptDeadline(now, deadline time.Time, h *History) time.Time {
	half := deadline.Sub(now) / 2
	last := h.Attempts+1 >= maxAttempts
	if !h.Idempotent || !h.RetryUnknown || last || half < minAttempt {
		return deadline
	}
	return now.Add(half)
}
