package health

import "time"

const (
	// retriesPerRequest is the budget that one first attempt adds.
	retriesPerRequest = 0.1
	// reservedRetriesPerSecond is the rate of retries that is always allowed, so that
	// callers with few requests can retry at all.
	reservedRetriesPerSecond = 1.0
	// retryBudgetWindow limits the accumulated budget to what is added within that
	// time.
	retryBudgetWindow = 10 * time.Second
)

// RetryBudget is a token bucket that limits retries to a fixed share of first attempts
// (Beyer et al., "Site Reliability Engineering", 2016, chapter 21). The zero value is
// ready to use.
type RetryBudget struct {
	tokens      float64
	depositRate float64
	lastRefill  time.Time
}

// Deposit adds the budget for one first attempt.
func (b *RetryBudget) Deposit(now time.Time) {
	b.refill(now)
	b.depositRate += retriesPerRequest / retryBudgetWindow.Seconds()
	b.tokens = min(b.tokens+retriesPerRequest, b.maxTokens())
}

// TryWithdraw uses budget for one retry and reports whether there was enough.
func (b *RetryBudget) TryWithdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxTokens returns the maximum number of accumulated tokens: what is added within
// retryBudgetWindow.
func (b *RetryBudget) maxTokens() float64 {
	return (b.depositRate + reservedRetriesPerSecond) * retryBudgetWindow.Seconds()
}

// refill adds the reserved tokens for the elapsed time and decays the deposit rate.
func (b *RetryBudget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
		b.tokens = reservedRetriesPerSecond
		return
	}
	elapsed := now.Sub(b.lastRefill)
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now
	b.depositRate -= b.depositRate * min(elapsed.Seconds()/retryBudgetWindow.Seconds(), 1)
	b.tokens = min(b.tokens+reservedRetriesPerSecond*elapsed.Seconds(), b.maxTokens())
}
