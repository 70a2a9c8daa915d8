package dispatch

import (
	"sync"
	"time"

	"dotterelhitch/internal/scheduler/health"
)

// retryBudget makes health.RetryBudget safe for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	budget health.RetryBudget
}

// earn adds the allowance of one first attempt to the budget.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Deposit(time.Now())
}

// spend takes one retry from the budget and reports whether the budget allowed it.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryWithdraw(time.Now())
}
