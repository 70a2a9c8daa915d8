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
	// Peer is the member that was asked; empty for an own worker.
	Peer string
	Err  *structs.Error
	// Unsent is true if certainly no byte left the entry.
	Unsent bool
	// Final is true if the entry itself has refused the request, after it looked
	// at every place.
	Final bool
}

func (r Result) answered() bool { return r.Outcome == structs.OutcomeAnswered }

// History is what is known of a request after some attempts.
type History struct {
	Idempotent bool
	// RetryUnknown allows another attempt after one of unknown outcome.
	RetryUnknown bool
	// InDoubt is the first attempt of unknown outcome; nil if there is none.
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

// MayRetry reports whether another attempt may follow the last one, with left until
// the deadline. A request that may have reached an endpoint is tried again only if
// it is idempotent; withdraw is asked only when everything else allows a retry,
// and not for a failure before the first byte.
func (h *History) MayRetry(left time.Duration, withdraw func() bool) bool {
	if left < minAttempt || h.Last.Final {
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
	if !h.Last.answered() && h.InDoubt != nil {
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

// Bounds on the silence after which a second attempt starts beside the first.
const (
	// usualTimes is that silence in multiples of the usual time.
	usualTimes = 3
	minHedge   = 50 * time.Millisecond
)

// hedgeAfter is the silence after which a request that may run twice is sent a
// second time: well past the usual time, but early enough to meet the target. It is
// never before the usual time, since the first attempt is most likely running then and
// a second one would only take another slot. A usual time of zero is not known yet.
func hedgeAfter(usual, slack, left time.Duration) time.Duration {
	latest := slack / 2
	if latest <= 0 {
		latest = left / 2
	}
	if usual <= 0 {
		return latest
	}
	return max(min(max(usualTimes*usual, minHedge), latest), usual)
}
