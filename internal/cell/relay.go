package cell

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/stream"
)

// relayLog calls the platform's log directly and, while direct calls fail, through other members
// that may have a path to it.
type relayLog struct {
	direct   Log
	node     *Node
	path     pathState
	failures relayFailures
}

const (
	// relayTimeout bounds a call through another member, in addition to the wait time that the
	// call asks for.
	relayTimeout = 1500 * time.Millisecond
	// maxRelays is the maximum number of members through which a call is tried.
	maxRelays = 2
)

func newRelayLog(direct Log, n *Node) *relayLog {
	r := &relayLog{direct: direct, node: n}
	r.path.init()
	return r
}

// relayCandidates returns up to maxRelays members through which the store may be reached.
// Members through which a call has failed lately come last. Members that report that they reach the store
// come first, and among equals those with more processor time: a weak machine takes long to relay a
// batch of records.
func (n *Node) relayCandidates() []Member {
	others := n.view.otherMembers(time.Time{})
	failedAt := n.log.failures.recent(clock.Now())
	slices.SortStableFunc(others, func(a, b Member) int {
		return cmp.Or(
			failedAt[a.Node].Compare(failedAt[b.Node]),
			cmp.Compare(storeReachRank(a), storeReachRank(b)),
			cmp.Compare(b.Cores, a.Cores),
		)
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
	return writeStore(ctx, r, a.Producer != nil,
		func() (stream.AppendResult, error) { return r.direct.Append(ctx, a) },
		func(m Member) (stream.AppendResult, error) { return r.node.relayAppend(ctx, m, a) })
}

// Read implements stream.Reader.
func (r *relayLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	return readStore(ctx, r, wait, readCall[stream.Batch]{
		direct: func(ctx context.Context, wait time.Duration) (stream.Batch, error) {
			return r.direct.Read(ctx, topic, from, wait)
		},
		relayed: func(m Member, wait time.Duration) (stream.Batch, error) {
			return r.node.relayRead(ctx, m, topic, from, wait)
		},
	})
}

// Newest implements stream.Reader.
func (r *relayLog) Newest(ctx context.Context, topic, after string) (stream.Page, error) {
	return readStore(ctx, r, 0, readCall[stream.Page]{
		direct: func(ctx context.Context, _ time.Duration) (stream.Page, error) {
			began := clock.Now()
			page, err := r.direct.Newest(ctx, topic, after)
			r.recordLatency(began, err)
			return page, err
		},
		relayed: func(m Member, _ time.Duration) (stream.Page, error) { return r.node.relayNewest(ctx, m, topic, after) },
	})
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
