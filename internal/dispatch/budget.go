package dispatch

import (
	"sync"
	"time"

	"dotterelhitch/internal/scheduler/health"
)

// budget is a retry budget that is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	budget health.RetryBudget
}

// earn counts a request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Deposit(time.Now())
}

// spend reports whether a retry may be made, and counts it.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryWithdraw(time.Now())
}
