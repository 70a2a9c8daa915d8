package health

import "time"

const (
	// breakerFailures is the number of consecutive failures that open a breaker.
	breakerFailures = 5
	// minBreakerWait and maxBreakerWait bound the time that a breaker stays open before
	// the next probe.
	minBreakerWait = time.Second
	maxBreakerWait = time.Minute
)

// Breaker is a circuit breaker that blocks requests to an endpoint that fails them. It
// opens after breakerFailures consecutive failures and then permits single probe
// requests, at increasing intervals, until one succeeds. The zero value is closed.
type Breaker struct {
	failures int
	open     bool
	probing  bool
	backoff  backoff
}

// IsOpen reports whether the breaker blocks requests other than probes.
func (b *Breaker) IsOpen() bool { return b.open }

// Allow reports whether a request may be sent now. If the breaker is open and Allow
// returns true, the request is its probe.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.open {
		return true
	}
	if b.probing || now.Before(b.backoff.nextAttempt) {
		return false
	}
	b.probing = true
	return true
}

// WouldAllow reports whether Allow would return true. It does not change the breaker.
func (b *Breaker) WouldAllow(now time.Time) bool {
	return !b.open || !b.probing && !now.Before(b.backoff.nextAttempt)
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
		return // the attempt was sent before the breaker opened
	}
	b.open = true
	b.probing = false
	b.backoff.increase(now, minBreakerWait, maxBreakerWait)
}

// AbandonProbe ends a probe without a result, such as one refused because no slot was
// free.
func (b *Breaker) AbandonProbe() { b.probing = false }
