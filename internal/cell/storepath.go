package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// directProbePeriod is the period of probes while direct calls fail.
const directProbePeriod = 500 * time.Millisecond

// pathState tells whether a member's direct calls to the platform's log succeed.
type pathState struct {
	// fastestCall is the shortest duration of a successful direct call, in nanoseconds; zero
	// before the first.
	fastestCall atomic.Int64

	mu sync.Mutex
	// failingSince is when direct calls began to fail, zero while they succeed.
	failingSince time.Time
	// recovered is closed when direct calls succeed again, nil while they do.
	recovered chan struct{}
	// failed is closed while direct calls fail.
	failed chan struct{}
	// probeDue has a value once direct calls begin to fail.
	probeDue chan struct{}
}

func (s *pathState) init() {
	s.probeDue = make(chan struct{}, 1)
	s.failed = make(chan struct{})
}

// fail records that direct calls fail. It returns false if they did before.
func (s *pathState) fail(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failingSince.IsZero() {
		return false
	}
	s.failingSince = now
	s.recovered = make(chan struct{})
	close(s.failed)
	select {
	case s.probeDue <- struct{}{}:
	default:
	}
	return true
}

// recover records that a direct call succeeded. It returns since when direct calls had failed, zero if
// they had not.
func (s *pathState) recover() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.failingSince
	if since.IsZero() {
		return since
	}
	s.failingSince = time.Time{}
	close(s.recovered)
	s.recovered = nil
	s.failed = make(chan struct{})
	return since
}

// recovery returns a channel that is closed when direct calls succeed again, nil while they do.
func (s *pathState) recovery() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recovered
}

// failure returns a channel that is closed once direct calls fail.
func (s *pathState) failure() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// directFailing reports whether direct calls currently fail.
func (r *relayLog) directFailing() bool { return r.path.recovery() != nil }

// probeDirect makes a direct call when direct calls begin to fail, and then at each directProbePeriod
// while they do. The end of the failure is thus found without delaying other calls.
func (r *relayLog) probeDirect() {
	for r.node.ctx.Err() == nil {
		select {
		case <-r.node.ctx.Done():
			return
		case <-r.path.probeDue:
		case <-time.After(directProbePeriod):
		}
		if !r.directFailing() {
			continue
		}
		_, end, _ := r.node.view.latestClaim()
		_, err := r.direct.Read(r.node.ctx, election.Topic, end, 0)
		r.recordResult(r.node.ctx, err)
	}
}

// recordLatency updates fastestCall with a direct call that began at began.
func (r *relayLog) recordLatency(began time.Time, err error) {
	if err != nil {
		return
	}
	took := int64(clock.Since(began))
	for {
		old := r.path.fastestCall.Load()
		if old != 0 && old <= took || r.path.fastestCall.CompareAndSwap(old, took) {
			return
		}
	}
}

// storeLatency returns the shortest duration of a direct call, and whether direct calls currently
// succeed.
func (r *relayLog) storeLatency() (time.Duration, bool) {
	return time.Duration(r.path.fastestCall.Load()), !r.directFailing()
}

// recordResult updates the state of the path with the result of a direct call. The results of calls
// that were cancelled or ran into their caller's deadline are ignored.
func (r *relayLog) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := clock.Now()
	if isPathFailure(err) {
		r.markDirectFailing(err, now)
		return
	}
	if since := r.path.recover(); !since.IsZero() {
		r.node.record(event.Event{Type: event.StoreRecovered, AgeMs: now.Sub(since).Milliseconds()})
	}
}

// markDirectFailing records that direct calls fail.
func (r *relayLog) markDirectFailing(err error, now time.Time) {
	if r.path.fail(now) {
		r.node.record(event.Event{Type: event.StoreLost, Code: structs.CodeOf(err), Detail: structs.AsError(err).Message})
	}
}

// markDirectUnresponsive marks direct calls as failing because a call through another member was
// answered although the same direct call, sent earlier, was not. The next calls then need not wait
// for the timeout of a direct call.
func (r *relayLog) markDirectUnresponsive() {
	r.markDirectFailing(structs.NewError(structs.CodeDeadline, "no answer, but a call through another member got one"), clock.Now())
}
