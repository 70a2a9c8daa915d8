package cell

import (
	"maps"
	"sync"
	"time"

	"dotterelhitch/internal/clock"
)

// relayFailureRetention is how long a failed call through a member counts against it.
const relayFailureRetention = 5 * time.Second

// relayFailures has the members through which calls to the store have failed lately. What members report
// of their paths is no newer than their last heartbeat, and a dead one reports nothing.
type relayFailures struct {
	mu       sync.Mutex
	failedAt map[string]time.Time // by Member.Node
}

// note records the result of a call through a member.
func (f *relayFailures) note(node string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !isPathFailure(err) {
		delete(f.failedAt, node)
		return
	}
	if f.failedAt == nil {
		f.failedAt = map[string]time.Time{}
	}
	f.failedAt[node] = clock.Now()
}

// recent returns when the last call through a member failed, for those that failed within
// relayFailureRetention.
func (f *relayFailures) recent(now time.Time) map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= relayFailureRetention })
	return maps.Clone(f.failedAt)
}
