package health

import "time"

const (
	// breakerFailures is the number of failures in a row that open a breaker.
	breakerFailures = 5
	// breakerLeast and breakerMost bound the time for which it stays open.
	breakerLeast = time.Second
	breakerMost  = time.Minute
)

// Breaker keeps requests from an endpoint that fails them. It opens after some
// failures in a row, then lets a single request through from time to time until one
// succeeds. The zero value is closed.
type Breaker struct {
	failures int
	open     bool
	probing  bool
	backoff  backoff
}

// IsOpen reports whether requests are kept away.
func (b *Breaker) IsOpen() bool { return b.open }

// Allow reports whether a request may be sent now. While the breaker is open, a true
// answer makes the request its probe.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.open {
		return true
	}
	if b.probing || now.Before(b.backoff.due) {
		return false
	}
	b.probing = true
	return true
}

// WouldAllow reports whether Allow would return true, and changes nothing.
func (b *Breaker) WouldAllow(now time.Time) bool {
	return !b.open || !b.probing && !now.Before(b.backoff.due)
}

// RecordSuccess records an answer and closes the breaker.
func (b *Breaker) RecordSuccess() { *b = Breaker{} }

// RecordFailure records a failed attempt.
func (b *Breaker) RecordFailure(now time.Time) {
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	if b.open && !b.probing {
		return // an attempt from before the breaker opened
	}
	b.open = true
	b.probing = false
	b.backoff.fail(now, breakerLeast, breakerMost)
}

// AbandonProbe ends a probe of which nothing was learnt, such as one that was refused for
// want of a slot.
func (b *Breaker) AbandonProbe() { b.probing = false }
