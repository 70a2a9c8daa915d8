package cell

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
)

// relayLog calls the platform's log directly and, while that fails, through other
// members that may have a path to it.
type relayLog struct {
	direct Log
	n      *Node
	// badSince is when the direct way began to fail, in Unix nanoseconds, zero while it
	// works.
	badSince atomic.Int64
	// fastest is the shortest time of a direct call in nanoseconds, zero before one.
	fastest atomic.Int64
}

const (
	// probePeriod is that of trying the direct way while it fails.
	probePeriod = 500 * time.Millisecond
	// relayTimeout bounds a call through another member beyond what it waits for.
	relayTimeout = 1500 * time.Millisecond
	// relayTries is the number of members that are tried.
	relayTries = 2
)

func newRelayLog(direct Log, n *Node) *relayLog { return &relayLog{direct: direct, n: n} }

// bad reports whether the direct way fails at present.
func (r *relayLog) bad() bool { return r.badSince.Load() != 0 }

// probe tries the direct way while it fails, so that calls need not wait for that.
func (r *relayLog) probe() {
	for r.n.sleep(probePeriod) {
		if !r.bad() {
			continue
		}
		_, end, _ := r.n.view.leader()
		_, err := r.direct.Read(r.n.ctx, election.Topic, end, 0)
		r.note(r.n.ctx, err)
	}
}

// timed notes how long a direct call took.
func (r *relayLog) timed(began time.Time, err error) {
	if err != nil {
		return
	}
	took := int64(time.Since(began))
	for {
		old := r.fastest.Load()
		if old != 0 && old <= took || r.fastest.CompareAndSwap(old, took) {
			return
		}
	}
}

// distance is the shortest time of a direct call, and whether the direct way works.
func (r *relayLog) distance() (time.Duration, bool) {
	return time.Duration(r.fastest.Load()), !r.bad()
}

// note takes the result of a direct call, unless its caller has given it up.
func (r *relayLog) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if !pathFailed(err) {
		if since := r.badSince.Swap(0); since != 0 {
			r.n.record(event.Event{Type: event.StoreRecovered, AgeMs: (now.UnixNano() - since) / 1e6})
		}
		return
	}
	r.lost(err, now)
}

// lost notes that the direct way fails.
func (r *relayLog) lost(err error, now time.Time) {
	if r.badSince.CompareAndSwap(0, now.UnixNano()) {
		r.n.record(event.Event{Type: event.StoreLost, Code: structs.CodeOf(err), Detail: structs.AsError(err).Message})
	}
}

// overtaken notes that a call through another member was answered while the same call made
// directly before it was not: the next calls need not wait for the direct way's timeout.
func (r *relayLog) overtaken() {
	r.lost(structs.NewError(structs.CodeDeadline, "no answer, while another member got one"), time.Now())
}

// pathFailed reports whether an error says that the store can't be reached, rather than
// that it refused the call.
func pathFailed(err error) bool {
	switch structs.CodeOf(err) {
	case structs.CodeUnknown, structs.CodeDeadline:
		return true
	}
	return certain(err)
}

// hedgeAfter is how long a call of the store that may be repeated goes without an answer
// before it is made through another member besides.
const hedgeAfter = 350 * time.Millisecond

// result is what a call of the store came to.
type result[T any] struct {
	out T
	err error
}

// viaRelay makes a call directly, and through others while that fails or takes long. A
// call that may not be repeated goes through others only if it certainly was not done.
func viaRelay[T any](
	ctx context.Context,
	r *relayLog,
	repeatable bool,
	wait time.Duration,
	direct func() (T, error),
	relayed func(Member) (T, error),
) (T, error) {
	var before error
	if r.bad() {
		out, err := throughOthers(r, repeatable, relayed)
		if final(err, repeatable) {
			return out, err
		}
		before = err
	}
	first := make(chan result[T], 1)
	go func() {
		out, err := direct()
		r.note(ctx, err)
		first <- result[T]{out, err}
	}()
	if !repeatable {
		got := <-first
		if final(got.err, repeatable) {
			return got.out, got.err
		}
		return throughOthers(r, repeatable, relayed)
	}
	out, err := hedge(r, first, wait+hedgeAfter, relayed)
	return out, openOf(err, before)
}

// openOf joins the failures of two tries of one call: if one of them leaves open whether
// the call was done, so does the whole. A try that was answered ends the question.
func openOf(err, other error) error {
	if pathFailed(err) && other != nil && !certain(other) {
		return other
	}
	return err
}

// certain reports whether a failure says that a call of the store was not done.
func certain(err error) bool {
	switch structs.CodeOf(err) {
	case structs.CodeUnavailable, structs.CodeOverload:
		return true
	}
	return false
}

// hedge waits for a direct call and makes it through others too if that fails or takes
// longer than patience. The first answer counts.
func hedge[T any](r *relayLog, first chan result[T], patience time.Duration, relayed func(Member) (T, error)) (T, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case got := <-first:
		if !pathFailed(got.err) {
			return got.out, got.err
		}
		out, err := throughOthers(r, true, relayed)
		return out, openOf(err, got.err)
	case <-timer.C:
	}
	second := make(chan result[T], 1)
	go func() {
		out, err := throughOthers(r, true, relayed)
		second <- result[T]{out, err}
	}()
	var got result[T]
	other := second
	select {
	case got = <-first:
	case got = <-second:
		other = first
		if !pathFailed(got.err) {
			r.overtaken()
		}
	}
	if !pathFailed(got.err) {
		return got.out, got.err
	}
	last := <-other
	return last.out, openOf(last.err, got.err)
}

// throughOthers makes a call through other members: one after the other, or through all of
// them at once if it may be repeated. The first answer counts.
func throughOthers[T any](r *relayLog, repeatable bool, relayed func(Member) (T, error)) (T, error) {
	var out T
	err := structs.NewError(structs.CodeUnavailable, "no other member is known")
	relays := r.n.relays()
	if !repeatable {
		for _, m := range relays {
			out, err = relayed(m)
			if final(err, repeatable) {
				return out, err
			}
		}
		return out, err
	}
	var before error
	answers := make(chan result[T], len(relays))
	for _, m := range relays {
		go func() {
			out, err := relayed(m)
			answers <- result[T]{out, err}
		}()
	}
	for range relays {
		got := <-answers
		if !pathFailed(got.err) {
			return got.out, got.err
		}
		before = openOf(got.err, before)
		out, err = got.out, before
	}
	return out, err
}

// final reports whether the result of a try is that of the whole call: the store answered,
// or the call may have been done and may not be repeated.
func final(err error, repeatable bool) bool {
	return !pathFailed(err) || !repeatable && !certain(err)
}

// relays returns the members through which the store may be reached: those first that said
// that they reach it, and among them the strongest, since a batch of records takes a weak
// machine long.
func (n *Node) relays() []Member {
	others := n.view.others(time.Time{})
	slices.SortStableFunc(others, func(a, b Member) int {
		return cmp.Or(cmp.Compare(reachRank(a), reachRank(b)), cmp.Compare(b.Cores, a.Cores))
	})
	return others[:min(len(others), relayTries)]
}

// reachRank orders members that reach the store before others.
func reachRank(m Member) int {
	if m.ReachesStore {
		return 0
	}
	return 1
}

// present is this member as others should see it now.
func (n *Node) present() Member {
	m := n.self
	m.ReachesStore = !n.log.bad()
	return m
}

// Append implements Log.
func (r *relayLog) Append(ctx context.Context, a stream.Append) (stream.AppendResult, error) {
	return viaRelay(ctx, r, a.Producer != nil, 0,
		func() (stream.AppendResult, error) { return r.direct.Append(ctx, a) },
		func(m Member) (stream.AppendResult, error) { return r.n.relayAppend(ctx, m, a) })
}

// Read implements stream.Reader.
func (r *relayLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	return viaRelay(ctx, r, true, wait,
		func() (stream.Batch, error) { return r.direct.Read(ctx, topic, from, wait) },
		func(m Member) (stream.Batch, error) { return r.n.relayRead(ctx, m, topic, from, wait) })
}

// Newest implements stream.Reader.
func (r *relayLog) Newest(ctx context.Context, topic, after string) (stream.Page, error) {
	return viaRelay(ctx, r, true, 0,
		func() (stream.Page, error) {
			began := time.Now()
			page, err := r.direct.Newest(ctx, topic, after)
			r.timed(began, err)
			return page, err
		},
		func(m Member) (stream.Page, error) { return r.n.relayNewest(ctx, m, topic, after) })
}

func (n *Node) relayAppend(ctx context.Context, m Member, a stream.Append) (stream.AppendResult, error) {
	req := &cellv1.AppendRequest{Topic: a.Topic, Records: toRecords(a.Records), AsOf: a.ExpectedEnd}
	if p := a.Producer; p != nil {
		req.Producer = p.Name
		req.Epoch = p.Epoch
		req.Sequence = p.Sequence
	}
	resp, err := callPeer(ctx, n.peers, m.Addr, relayTimeout, (*peerClient).Append, req)
	if err != nil {
		return stream.AppendResult{}, err
	}
	return stream.AppendResult{Offset: resp.Offset, End: resp.End}, fromError(resp.Error)
}

func (n *Node) relayRead(ctx context.Context, m Member, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	req := &cellv1.ReadRequest{Topic: topic, From: from, WaitMs: wait.Milliseconds()}
	resp, err := callPeer(ctx, n.peers, m.Addr, relayTimeout+wait, (*peerClient).Read, req)
	if err != nil {
		return stream.Batch{}, err
	}
	return stream.Batch{
		Records: fromRecords(resp.Records),
		Next:    resp.Next,
		End:     resp.End,
		First:   resp.First,
	}, fromError(resp.Error)
}

func (n *Node) relayNewest(ctx context.Context, m Member, topic, after string) (stream.Page, error) {
	req := &cellv1.NewestRequest{Topic: topic, After: after}
	resp, err := callPeer(ctx, n.peers, m.Addr, relayTimeout, (*peerClient).Newest, req)
	if err != nil {
		return stream.Page{}, err
	}
	return stream.Page{Records: fromRecords(resp.Records), HasMore: resp.More, End: resp.End}, fromError(resp.Error)
}

func toRecords(records []stream.Record) []*cellv1.Record {
	out := make([]*cellv1.Record, 0, len(records))
	for _, r := range records {
		out = append(out, &cellv1.Record{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	return out
}

func fromRecords(records []*cellv1.Record) []stream.Record {
	out := make([]stream.Record, 0, len(records))
	for _, r := range records {
		out = append(out, stream.Record{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	return out
}
