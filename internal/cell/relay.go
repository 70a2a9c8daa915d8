package cell

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
)

// relayLog calls the platform's log directly and, while direct calls fail, through other members
// that may have a path to it.
type relayLog struct {
	direct Log
	node   *Node
	// directFailingSince is when direct calls began to fail, in Unix nanoseconds; zero while
	// they succeed.
	directFailingSince atomic.Int64
	// fastestCall is the shortest duration of a successful direct call, in nanoseconds; zero
	// before the first.
	fastestCall atomic.Int64
}

const (
	// directProbePeriod is the period of probes while direct calls fail.
	directProbePeriod = 500 * time.Millisecond
	// relayTimeout bounds a call through another member, in addition to the wait time that the
	// call asks for.
	relayTimeout = 1500 * time.Millisecond
	// maxRelays is the maximum number of members through which a call is tried.
	maxRelays = 2
)

func newRelayLog(direct Log, n *Node) *relayLog { return &relayLog{direct: direct, node: n} }

// directFailing reports whether direct calls currently fail.
func (r *relayLog) directFailing() bool { return r.directFailingSince.Load() != 0 }

// probeDirect makes a direct call at each directProbePeriod while direct calls fail. The end of
// the failure is thus found without delaying other calls.
func (r *relayLog) probeDirect() {
	for r.node.sleep(directProbePeriod) {
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
		old := r.fastestCall.Load()
		if old != 0 && old <= took || r.fastestCall.CompareAndSwap(old, took) {
			return
		}
	}
}

// storeLatency returns the shortest duration of a direct call, and whether direct calls currently
// succeed.
func (r *relayLog) storeLatency() (time.Duration, bool) {
	return time.Duration(r.fastestCall.Load()), !r.directFailing()
}

// recordResult updates directFailingSince with the result of a direct call. The results of calls
// that were cancelled or ran into their caller's deadline are ignored.
func (r *relayLog) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := clock.Now()
	if !isPathFailure(err) {
		if since := r.directFailingSince.Swap(0); since != 0 {
			r.node.record(event.Event{Type: event.StoreRecovered, AgeMs: (now.UnixNano() - since) / 1e6})
		}
		return
	}
	r.markDirectFailing(err, now)
}

// markDirectFailing records that direct calls fail.
func (r *relayLog) markDirectFailing(err error, now time.Time) {
	if r.directFailingSince.CompareAndSwap(0, now.UnixNano()) {
		r.node.record(event.Event{Type: event.StoreLost, Code: structs.CodeOf(err), Detail: structs.AsError(err).Message})
	}
}

// markDirectUnresponsive marks direct calls as failing because a call through another member was
// answered although the same direct call, sent earlier, was not. The next calls then need not wait
// for the timeout of a direct call.
func (r *relayLog) markDirectUnresponsive() {
	r.markDirectFailing(structs.NewError(structs.CodeDeadline, "no answer, but a call through another member got one"), clock.Now())
}

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

// callStore makes a call directly, and through other members if direct calls fail or take
// longer than wait plus hedgeDelay. A call that is not idempotent is retried through others only
// if it certainly was not done.
func callStore[T any](
	ctx context.Context,
	r *relayLog,
	idempotent bool,
	wait time.Duration,
	direct func() (T, error),
	relayed func(Member) (T, error),
) (T, error) {
	var relayErr error
	if r.directFailing() {
		out, err := callRelays(r, idempotent, relayed)
		if isFinal(err, idempotent) {
			return out, err
		}
		relayErr = err
	}
	directDone := make(chan result[T], 1)
	go func() {
		out, err := direct()
		r.recordResult(ctx, err)
		directDone <- result[T]{out, err}
	}()
	if !idempotent {
		got := <-directDone
		if isFinal(got.err, idempotent) {
			return got.out, got.err
		}
		return callRelays(r, idempotent, relayed)
	}
	out, err := hedge(r, directDone, wait+hedgeDelay, relayed)
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

// hedge waits for a direct call, and makes the call through other members too if the direct one
// fails or takes longer than delay. The first result that is no path failure counts.
func hedge[T any](r *relayLog, directDone chan result[T], delay time.Duration, relayed func(Member) (T, error)) (T, error) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case got := <-directDone:
		if !isPathFailure(got.err) {
			return got.out, got.err
		}
		out, err := callRelays(r, true, relayed)
		return out, combineErrors(err, got.err)
	case <-timer.C:
	}
	relayDone := make(chan result[T], 1)
	go func() {
		out, err := callRelays(r, true, relayed)
		relayDone <- result[T]{out, err}
	}()
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

// relayCandidates returns up to maxRelays members through which the store may be reached.
// Members that report that they reach the store come first, and among equals those with more
// processor time: a weak machine takes long to relay a batch of records.
func (n *Node) relayCandidates() []Member {
	others := n.view.otherMembers(time.Time{})
	slices.SortStableFunc(others, func(a, b Member) int {
		return cmp.Or(cmp.Compare(storeReachRank(a), storeReachRank(b)), cmp.Compare(b.Cores, a.Cores))
	})
	return others[:min(len(others), maxRelays)]
}

// storeReachRank is a sort key that puts members that reach the store before others.
func storeReachRank(m Member) int {
	if m.ReachesStore {
		return 0
	}
	return 1
}

// describeSelf returns the description of this member for the others, with the current value of
// ReachesStore.
func (n *Node) describeSelf() Member {
	m := n.self
	m.ReachesStore = !n.log.directFailing()
	return m
}

// Append implements Log.
func (r *relayLog) Append(ctx context.Context, a stream.Append) (stream.AppendResult, error) {
	return callStore(ctx, r, a.Producer != nil, 0,
		func() (stream.AppendResult, error) { return r.direct.Append(ctx, a) },
		func(m Member) (stream.AppendResult, error) { return r.node.relayAppend(ctx, m, a) })
}

// Read implements stream.Reader.
func (r *relayLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	return callStore(ctx, r, true, wait,
		func() (stream.Batch, error) { return r.direct.Read(ctx, topic, from, wait) },
		func(m Member) (stream.Batch, error) { return r.node.relayRead(ctx, m, topic, from, wait) })
}

// Newest implements stream.Reader.
func (r *relayLog) Newest(ctx context.Context, topic, after string) (stream.Page, error) {
	return callStore(ctx, r, true, 0,
		func() (stream.Page, error) {
			began := clock.Now()
			page, err := r.direct.Newest(ctx, topic, after)
			r.recordLatency(began, err)
			return page, err
		},
		func(m Member) (stream.Page, error) { return r.node.relayNewest(ctx, m, topic, after) })
}

func (n *Node) relayAppend(ctx context.Context, m Member, a stream.Append) (stream.AppendResult, error) {
	req := &cellv1.AppendRequest{Topic: a.Topic, Records: recordsToProto(a.Records), AsOf: a.ExpectedEnd}
	if p := a.Producer; p != nil {
		req.Producer = p.Name
		req.Epoch = p.Epoch
		req.Sequence = p.Sequence
	}
	resp, err := callPeer(ctx, n.peers, m.Addr, relayTimeout, (*peerClient).Append, req)
	if err != nil {
		return stream.AppendResult{}, err
	}
	return stream.AppendResult{Offset: resp.Offset, End: resp.End}, errorFromProto(resp.Error)
}

func (n *Node) relayRead(ctx context.Context, m Member, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	req := &cellv1.ReadRequest{Topic: topic, From: from, WaitMs: wait.Milliseconds()}
	resp, err := callPeer(ctx, n.peers, m.Addr, relayTimeout+wait, (*peerClient).Read, req)
	if err != nil {
		return stream.Batch{}, err
	}
	return stream.Batch{
		Records: recordsFromProto(resp.Records),
		Next:    resp.Next,
		End:     resp.End,
		First:   resp.First,
		Relay:   m.Node,
	}, errorFromProto(resp.Error)
}

func (n *Node) relayNewest(ctx context.Context, m Member, topic, after string) (stream.Page, error) {
	req := &cellv1.NewestRequest{Topic: topic, After: after}
	resp, err := callPeer(ctx, n.peers, m.Addr, relayTimeout, (*peerClient).Newest, req)
	if err != nil {
		return stream.Page{}, err
	}
	return stream.Page{Records: recordsFromProto(resp.Records), HasMore: resp.More, End: resp.End, Relay: m.Node}, errorFromProto(resp.Error)
}

// recordsToProto converts records. Keys of other writers may not be UTF-8, which a message can't
// hold; a page of newest records has the same replacement in them. Appended keys are UTF-8.
func recordsToProto(records []stream.Record) []*cellv1.Record {
	out := make([]*cellv1.Record, 0, len(records))
	for _, r := range records {
		key := strings.ToValidUTF8(r.Key, "\uFFFD")
		out = append(out, &cellv1.Record{Offset: r.Offset, Key: key, Value: r.Value})
	}
	return out
}

func recordsFromProto(records []*cellv1.Record) []stream.Record {
	out := make([]stream.Record, 0, len(records))
	for _, r := range records {
		out = append(out, stream.Record{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	return out
}
