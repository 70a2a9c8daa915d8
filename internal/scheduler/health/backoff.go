package health

import "time"

// backoff is a wait that doubles with each failure.
type backoff struct {
	wait time.Duration
	due  time.Time
}

// fail doubles the wait within bounds and starts it.
func (b *backoff) fail(now time.Time, least, most time.Duration) {
	b.wait = min(max(b.wait*2, least), most)
	b.due = now.Add(b.wait)
}
