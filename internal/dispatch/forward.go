package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// Sizes of a forwarded request on the link between regions.
const (
	// farOverhead is the framing of a call, both ways.
	farOverhead = 512
	// expectedAnswer stands for an answer's body until it is there.
	expectedAnswer = 1 << 10
	// minFarBurst lets the largest request and answer pass at all.
	minFarBurst = structs.MaxRequestBytes + structs.MaxAnswerBytes + farOverhead
)

// choose finds the place for a request that got no own slot for the given
// reason.
func (d *Dispatcher) choose(a *attempt, reason error) Destination {
	if a.forwarded {
		return Destination{}
	}
	self, peers := d.opts.Peers.Loads()
	self.Member = ""
	self.FreeSlots = 0
	self.Queued = d.gate.length()
	if structs.CodeOf(reason) != structs.CodeNoCapacity {
		self.TotalSlots = 0
	}
	return choose(self, d.forwards.adjust(peers), a.avoidPeers, d.opts.Random, func() bool {
		return d.far.AllowN(time.Now(), len(a.req.Body)+farOverhead+expectedAnswer)
	})
}

// forward makes one attempt at a peer.
func (d *Dispatcher) forward(ctx context.Context, a *attempt, c Destination) Result {
	member := c.Peer.Member
	left := a.left() - peerMargin - c.Peer.RoundTrip
	if left < time.Millisecond {
		return notRun(structs.NewError(structs.CodeDeadline, "too little time is left to ask a peer"))
	}
	d.forwards.add(member, 1)
	defer d.forwards.add(member, -1)
	d.counts.forwards(c.OtherRegion).Inc()
	a.sent(place{peer: member})
	start := time.Now()
	resp, err := d.opts.Peers.Dispatch(ctx, member, &peerv1.DispatchRequest{
		Member: d.opts.Member, Epoch: d.opts.Epoch(), Id: a.req.ID, Class: a.req.Class, Key: a.req.Key,
		Idempotent: a.req.Idempotent, Body: a.req.Body, DeadlineMs: left.Milliseconds(),
	})
	res := fromPeer(a.req.ID, resp, err)
	res.Peer = member
	if res.answered() {
		d.peerTimes.record(a.req.Class, time.Since(start))
	}
	if c.OtherRegion {
		d.far.ReserveN(time.Now(), max(len(res.Body)-expectedAnswer, 0))
	}
	return res
}

// fromPeer gives the verdict on a forwarded request. Only a failure marked as
// not sent, and the peer's own word, say that it was not run.
func fromPeer(id string, resp *peerv1.DispatchResponse, err error) Result {
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return notRun(structs.NewError(structs.CodeUnavailable, "%v", err))
	}
	if err != nil {
		return unknown(structs.NewError(structs.CodeUnknown, "the peer's answer was lost: %v", err))
	}
	if resp.GetId() != id {
		return unknown(structs.NewError(structs.CodeUnknown, "the peer answered request %.80q", resp.GetId()))
	}
	res := Result{Worker: resp.GetWorker(), Err: peerError(resp.GetError())}
	switch structs.Outcome(resp.GetOutcome()) {
	case structs.OutcomeAnswered:
		res.Outcome, res.Body, res.Err = structs.OutcomeAnswered, resp.GetBody(), nil
	case structs.OutcomeNotRun:
		res.Outcome = structs.OutcomeNotRun
	default:
		res.Outcome = structs.OutcomeUnknown
	}
	if res.Err == nil && res.Outcome != structs.OutcomeAnswered {
		res.Err = structs.AsError(structs.NewError(structs.CodeUnknown, "the peer gave no reason"))
	}
	return res
}

func peerError(e *peerv1.Error) *structs.Error {
	if e == nil {
		return nil
	}
	return &structs.Error{Code: structs.Code(e.GetCode()), Message: e.GetMessage(), RetryAfterMs: e.GetRetryAfterMs()}
}

// forwardCount counts the requests under way at each peer, which the peers'
// digests may not show yet. It is safe for concurrent use.
type forwardCount struct {
	mu     sync.Mutex
	counts map[string]int
}

func newForwardCount() *forwardCount {
	return &forwardCount{counts: make(map[string]int)}
}

func (f *forwardCount) add(member string, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[member] += by
	if f.counts[member] == 0 {
		delete(f.counts, member)
	}
}

// adjust returns the loads with the requests under way taken off the free slots.
func (f *forwardCount) adjust(loads []Load) []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Load, len(loads))
	for i, l := range loads {
		l.FreeSlots -= f.counts[l.Member]
		out[i] = l
	}
	return out
}
