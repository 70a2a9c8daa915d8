package cell

import (
	"context"
	"time"
)

// readTimeout bounds a direct read of the store, in addition to the time for which it waits for
// records.
const readTimeout = 900 * time.Millisecond

// readCall is a read of the store: direct makes it on this member's own path, relayed through another
// member. Both wait for records up to wait.
type readCall[T any] struct {
	direct  func(ctx context.Context, wait time.Duration) (T, error)
	relayed func(m Member, wait time.Duration) (T, error)
}

// readStore makes a read directly or, while direct calls fail, through other members. No dead call holds
// up the reader once a new one would be answered: the read does not outlast the recovery of the direct
// path, nor a direct call that has failed while other members were asked.
func readStore[T any](ctx context.Context, r *relayLog, wait time.Duration, call readCall[T]) (T, error) {
	recovered := r.path.recovery()
	if recovered == nil {
		return call.hedged(ctx, r, wait)
	}
	select {
	case relay := <-call.startRelays(r, wait):
		if !isPathFailure(relay.err) {
			return relay.out, relay.err
		}
		got := <-call.startDirect(ctx, r, 0)
		return got.out, combineErrors(got.err, relay.err)
	case <-recovered:
		return call.hedged(ctx, r, wait)
	}
}

// hedged makes the read directly, and through other members if it fails or takes longer than wait plus
// hedgeDelay.
func (c readCall[T]) hedged(ctx context.Context, r *relayLog, wait time.Duration) (T, error) {
	directDone := c.startDirect(ctx, r, wait)
	timer := time.NewTimer(wait + hedgeDelay)
	defer timer.Stop()
	select {
	case got := <-directDone:
		if isPathFailure(got.err) {
			return c.relayedAfter(r, wait, got)
		}
		return got.out, got.err
	case <-timer.C:
	}
	// The answer is due: the others are asked for what there is now.
	relayDone := c.startRelays(r, 0)
	select {
	case got := <-directDone:
		return got.out, got.err
	case relay := <-relayDone:
		if !isPathFailure(relay.err) {
			r.markDirectUnresponsive()
			return relay.out, relay.err
		}
		got := <-directDone
		return got.out, combineErrors(got.err, relay.err)
	}
}

// relayedAfter makes the read through other members after the direct call has failed. It returns the result of
// the latter if direct calls succeed again meanwhile.
func (c readCall[T]) relayedAfter(r *relayLog, wait time.Duration, direct result[T]) (T, error) {
	recovered := r.path.recovery()
	if recovered == nil {
		return direct.out, direct.err
	}
	select {
	case relay := <-c.startRelays(r, wait):
		return relay.out, combineErrors(relay.err, direct.err)
	case <-recovered:
		return direct.out, direct.err
	}
}

// startDirect makes the direct call on a goroutine of its own.
func (c readCall[T]) startDirect(ctx context.Context, r *relayLog, wait time.Duration) <-chan result[T] {
	return start(func() (T, error) {
		callCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
		defer cancel()
		out, err := c.direct(callCtx, wait)
		r.recordResult(ctx, err)
		return out, err
	})
}

// startRelays makes the call through other members on a goroutine of its own.
func (c readCall[T]) startRelays(r *relayLog, wait time.Duration) <-chan result[T] {
	return startRelays(r, func(m Member) (T, error) { return c.relayed(m, wait) })
}
