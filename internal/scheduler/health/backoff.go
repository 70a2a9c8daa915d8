package health

import "time"

// backoff is a wait that doubles with each failure.
type backoff struct {
	wait        time.Duration
	nextAttempt time.Time
}

// increase doubles the wait, within the given bounds, and starts it at now.
func (b *backoff) increase(now time.Time, minWait, maxWait time.Duration) {
	b.wait = min(max(b.wait*2, minWait), maxWait)
	b.nextAttempt = now.Add(b.wait)
}
