package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/structs"
)

// isPathFailure reports whether a call to the store got no answer or certainly had no effect, so
// that another path may be tried. Refusals by the store itself with status 503, 507 or 429 also
// count as path failures: their codes are CodeUnavailable and CodeOverload.
func isPathFailure(err error) bool {
	switch structs.CodeOf(err) {
	case structs.CodeUnknown, structs.CodeDeadline:
		return true
	}
	return certainlyNotDone(err)
}

// hedgeDelay is how long an idempotent call to the store goes without an answer before it is
// also made through other members.
const hedgeDelay = 350 * time.Millisecond

// result is the result of a call to the store.
type result[T any] struct {
	out T
	err error
}

// start makes a call on a goroutine of its own.
func start[T any](call func() (T, error)) <-chan result[T] {
	done := make(chan result[T], 1)
	go func() {
		out, err := call()
		done <- result[T]{out, err}
	}()
	return done
}

// startRelays makes an idempotent call through other members on a goroutine of its own.
func startRelays[T any](r *relayLog, relayed func(Member) (T, error)) <-chan result[T] {
	return start(func() (T, error) { return callRelays(r, true, relayed) })
}

// writeStore makes a write directly, and through other members if direct calls fail or, for an
// idempotent one, take longer than hedgeDelay. A call that is not idempotent is retried through others
// only if it certainly was not done.
func writeStore[T any](
	ctx context.Context,
	r *relayLog,
	idempotent bool,
	direct func() (T, error),
	relayed func(Member) (T, error),
) (T, error) {
	var relayErr error
	failed := r.path.failure()
	if r.directFailing() {
		failed = nil
		out, err := callRelays(r, idempotent, relayed)
		if isFinal(err, idempotent) {
			return out, err
		}
		relayErr = err
	}
	directDone := start(func() (T, error) {
		out, err := direct()
		r.recordResult(ctx, err)
		return out, err
	})
	if !idempotent {
		got := <-directDone
		if isFinal(got.err, idempotent) {
			return got.out, got.err
		}
		return callRelays(r, idempotent, relayed)
	}
	out, err := hedge(r, directDone, failed, relayed)
	return out, combineErrors(err, relayErr)
}

// combineErrors returns the error of a call that was attempted twice: err is that of the last
// attempt, other that of the attempt before. If the last attempt is no path failure, its result
// counts. Otherwise the outcome of the call is unknown if that of either attempt is.
func combineErrors(err, other error) error {
	if isPathFailure(err) && other != nil && !certainlyNotDone(other) {
		return other
	}
	return err
}

// certainlyNotDone reports whether an error says that a call to the store had no effect.
func certainlyNotDone(err error) bool {
	switch structs.CodeOf(err) {
	case structs.CodeUnavailable, structs.CodeOverload:
		return true
	}
	return false
}

// hedge waits for a direct call, and makes the call through other members too if the direct one fails or takes longer
// than hedgeDelay, or as soon as failed is closed because another call has shown that direct calls fail. The first
// result that is no path failure counts. Both are awaited, since the outcome is unknown while one of them may still be
// done.
func hedge[T any](r *relayLog, directDone <-chan result[T], failed <-chan struct{}, relayed func(Member) (T, error)) (T, error) {
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case got := <-directDone:
		if !isPathFailure(got.err) {
			return got.out, got.err
		}
		out, err := callRelays(r, true, relayed)
		return out, combineErrors(err, got.err)
	case <-failed:
	case <-timer.C:
	}
	relayDone := startRelays(r, relayed)
	var got result[T]
	other := relayDone
	select {
	case got = <-directDone:
	case got = <-relayDone:
		other = directDone
		if !isPathFailure(got.err) {
			r.markDirectUnresponsive()
		}
	}
	if !isPathFailure(got.err) {
		return got.out, got.err
	}
	last := <-other
	return last.out, combineErrors(last.err, got.err)
}

// callRelays makes a call through other members: through all of them at once if the call is
// idempotent, else through one after the other. The first result that isFinal accepts counts.
func callRelays[T any](r *relayLog, idempotent bool, relayed func(Member) (T, error)) (T, error) {
	var out T
	err := structs.NewError(structs.CodeUnavailable, "no other member is known")
	relays := r.node.relayCandidates()
	if !idempotent {
		for _, m := range relays {
			out, err = relayed(m)
			r.failures.note(m.Node, err)
			if isFinal(err, idempotent) {
				return out, err
			}
		}
		return out, err
	}
	var combined error
	answers := make(chan result[T], len(relays))
	for _, m := range relays {
		go func() {
			out, err := relayed(m)
			r.failures.note(m.Node, err)
			answers <- result[T]{out, err}
		}()
	}
	for range relays {
		got := <-answers
		if !isPathFailure(got.err) {
			return got.out, got.err
		}
		combined = combineErrors(got.err, combined)
		out, err = got.out, combined
	}
	return out, err
}

// isFinal reports whether a call is not to be attempted again: its result is no path failure, or
// the call may have been done and is not idempotent.
func isFinal(err error, idempotent bool) bool {
	return !isPathFailure(err) || !idempotent && !certainlyNotDone(err)
}
