package dispatch

import "sync"

// The shares of a RatioBudget.
const (
	retryPercent   = 10
	retryBurst     = 20
	depositPerFull = 100
)

// RatioBudget allows retries up to a share of the requests: every request puts a
// tenth of a token in, every retry takes one out. It starts full and holds at
// most retryBurst tokens. It is safe for concurrent use.
type RatioBudget struct {
	mu sync.Mutex
	// hundredths of a token.
	hundredths int
}

// NewRatioBudget returns a full budget.
func NewRatioBudget() *RatioBudget {
	return &RatioBudget{hundredths: retryBurst * depositPerFull}
}

// Deposit counts a request.
func (b *RatioBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hundredths = min(b.hundredths+retryPercent, retryBurst*depositPerFull)
}

// Withdraw takes a token if there is a whole one.
func (b *RatioBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hundredths < depositPerFull {
		return false
	}
	b.hundredths -= depositPerFull
	return true
}
