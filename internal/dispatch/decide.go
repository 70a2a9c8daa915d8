package dispatch

import (
	"time"

	"dotterelhitch/internal/structs"
)

// Limits on the attempts for one request.
const (
	maxAttempts = 4
	// minAttemptTime is the least time until the deadline with which another attempt is
	// made.
	minAttemptTime = 20 * time.Millisecond
	// peerMargin is how much earlier than the deadline a peer must answer, so that its
	// result arrives before the deadline.
	peerMargin = 30 * time.Millisecond
)

// Result is the result of one attempt at an own worker or at a peer.
type Result struct {
	Outcome structs.Outcome
	Body    []byte
	Worker  string
	// Peer is the member that the request was forwarded to; empty for an own worker.
	Peer string
	Err  *structs.Error
	// Unsent is true if certainly no byte of the request left the entry.
	Unsent bool
	// Final is true if the entry refused the request after it had considered all own
	// workers and peers.
	Final bool
}

func (r Result) answered() bool { return r.Outcome == structs.OutcomeAnswered }

// History is the state of a request after some attempts.
type History struct {
	Idempotent bool
	// RetryUnknown allows another attempt after one with unknown outcome.
	RetryUnknown bool
	// InDoubt is the first attempt with unknown outcome; nil if there is none.
	InDoubt *Result
	Last    Result
}

// Add records an attempt.
func (h *History) Add(r Result) {
	h.Last = r
	if r.Outcome == structs.OutcomeUnknown && h.InDoubt == nil {
		h.InDoubt = &r
	}
}

// MayRetry reports whether another attempt may follow the last one, with the remaining
// time until the deadline. A request that may have reached an endpoint is retried only
// if it is idempotent. spendBudget charges the retry budget; it is called only if
// everything else allows a retry, and not after a failure before the first byte was
// sent.
func (h *History) MayRetry(remaining time.Duration, spendBudget func() bool) bool {
	if remaining < minAttemptTime || h.Last.Final {
		return false
	}
	switch h.Last.Outcome {
	case structs.OutcomeNotRun:
		return h.mayRepeat() && retriable(h.Last.Err) && (h.Last.Unsent || spendBudget())
	case structs.OutcomeUnknown:
		return h.Idempotent && h.RetryUnknown && spendBudget()
	}
	return false
}

// mayRepeat reports whether the request may be sent again: it is idempotent, or no
// attempt can have run.
func (h *History) mayRepeat() bool {
	return h.Idempotent || h.InDoubt == nil
}

// Outcome returns the result over all attempts: an answer if there is one, otherwise
// unknown if any attempt is in doubt, otherwise not run.
func (h *History) Outcome() Result {
	if !h.Last.answered() && h.InDoubt != nil {
		return *h.InDoubt
	}
	return h.Last
}

// retriable reports whether another worker or peer may accept a request that failed
// with this error.
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

// Parameters of hedged requests.
const (
	// hedgeFactor is the delay before the second attempt in multiples of the typical
	// time.
	hedgeFactor   = 3
	minHedgeDelay = 50 * time.Millisecond
)

// hedgeDelay returns how long the first attempt of an idempotent request may go
// unanswered before a second one is sent in parallel (a hedged request). The delay is
// well above the typical time, but early enough to meet the target. It is never below
// the typical time: until then the first attempt is most likely running, and a second
// one would only occupy another slot. A typical time of zero means that it is not known
// yet.
func hedgeDelay(typical, slack, remaining time.Duration) time.Duration {
	latest := slack / 2
	if latest <= 0 {
		latest = remaining / 2
	}
	if typical <= 0 {
		return latest
	}
	return max(min(max(hedgeFactor*typical, minHedgeDelay), latest), typical)
}
