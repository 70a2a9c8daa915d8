package health

import "time"

const (
	// retryRatio is the number of retries earned by one request.
	retryRatio = 0.1
	// retryReserve is the number of retries a second that are always allowed, so
	// that a caller with little traffic can retry at all.
	retryReserve = 1.0
	// retryWindow is how much of what was earned can be saved up.
	retryWindow = 10 * time.Second
)

// RetryBudget is a token bucket that lets retries be a fixed share of first attempts
// (Beyer et al., "Site Reliability Engineering", 2016, chapter 21). The zero value
// is ready to use.
type RetryBudget struct {
	tokens float64
	rate   float64
	last   time.Time
}

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit(now time.Time) {
	b.refill(now)
	b.rate += retryRatio / retryWindow.Seconds()
	b.tokens = min(b.tokens+retryRatio, b.limit())
}

// TryWithdraw takes the right to one retry and reports whether there was one.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// limit is the most tokens that can be saved: what a window earns.
func (b *RetryBudget) limit() float64 {
	return (b.rate + retryReserve) * retryWindow.Seconds()
}

// refill adds the reserve for the time passed and ages the rate.
func (b *RetryBudget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		b.tokens = retryReserve
		return
	}
	age := now.Sub(b.last)
	if age <= 0 {
		return
	}
	b.last = now
	b.rate -= b.rate * min(age.Seconds()/retryWindow.Seconds(), 1)
	b.tokens = min(b.tokens+retryReserve*age.Seconds(), b.limit())
}
