package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// Sizes of a forwarded request on the link between regions, in bytes.
const (
	// callOverheadBytes is the framing of a call in both directions.
	callOverheadBytes = 512
	// expectedAnswerBytes is charged for an answer's body until its size is known.
	expectedAnswerBytes = 1 << 10
	// minCrossRegionBurst is the smallest burst that allows the largest request and
	// answer.
	minCrossRegionBurst = structs.MaxRequestBytes + structs.MaxAnswerBytes + callOverheadBytes
)

// chooseDestination chooses a destination for a request that found no free slot on an
// own worker for the given reason.
func (d *Dispatcher) chooseDestination(a *attempt, reason error) Destination {
	if a.forwarded {
		return Destination{}
	}
	self, peers := d.opts.Peers.Loads()
	self.Member = ""
	self.FreeSlots = 0
	self.Queued = d.gate.queueLength()
	if structs.CodeOf(reason) != structs.CodeNoCapacity {
		self.TotalSlots = 0
	}
	return chooseDestination(self, d.inFlight.adjust(peers), a.avoidPeers, d.opts.Random, func() bool {
		return d.crossRegion.AllowN(time.Now(), len(a.req.Body)+callOverheadBytes+expectedAnswerBytes)
	})
}

// forward makes one attempt at a peer.
func (d *Dispatcher) forward(ctx context.Context, a *attempt, dest Destination) Result {
	member := dest.Peer.Member
	remaining := a.remaining() - peerMargin - dest.Peer.RoundTrip
	if remaining < time.Millisecond {
		return notRun(structs.NewError(structs.CodeDeadline, "too little time is left to forward the request"))
	}
	d.inFlight.add(member, 1)
	defer d.inFlight.add(member, -1)
	d.counts.forwarded(dest.OtherRegion).Inc()
	a.onSent(recipient{peer: member})
	start := time.Now()
	resp, err := d.opts.Peers.Dispatch(ctx, member, &peerv1.DispatchRequest{
		Member: d.opts.Member, Epoch: d.opts.Epoch(), Id: a.req.ID, Class: a.req.Class, Key: a.req.Key,
		Idempotent: a.req.Idempotent, Body: a.req.Body, DeadlineMs: remaining.Milliseconds(),
	})
	res := resultFromPeer(a.req.ID, resp, err)
	res.Peer = member
	if res.answered() {
		d.peerTimes.record(a.req.Class, time.Since(start))
	}
	if dest.OtherRegion {
		d.crossRegion.ReserveN(time.Now(), max(len(res.Body)-expectedAnswerBytes, 0))
	}
	return res
}

// resultFromPeer returns the result of a forwarded request. It is not run only if the
// call failed before it was sent or if the peer said so.
func resultFromPeer(id string, resp *peerv1.DispatchResponse, err error) Result {
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return notRun(structs.NewError(structs.CodeUnavailable, "%v", err))
	}
	if err != nil {
		return unknown(structs.NewError(structs.CodeUnknown, "the peer's answer was lost: %v", err))
	}
	if resp.GetId() != id {
		return unknown(structs.NewError(structs.CodeUnknown, "the peer returned the answer to request %.80q", resp.GetId()))
	}
	res := Result{Worker: resp.GetWorker(), Err: errorFromPeer(resp.GetError())}
	switch structs.Outcome(resp.GetOutcome()) {
	case structs.OutcomeAnswered:
		res.Outcome, res.Body, res.Err = structs.OutcomeAnswered, resp.GetBody(), nil
	case structs.OutcomeNotRun:
		res.Outcome = structs.OutcomeNotRun
	default:
		res.Outcome = structs.OutcomeUnknown
	}
	if res.Err == nil && res.Outcome != structs.OutcomeAnswered {
		res.Err = structs.AsError(structs.NewError(structs.CodeUnknown, "the peer returned no error"))
	}
	return res
}

func errorFromPeer(e *peerv1.Error) *structs.Error {
	if e == nil {
		return nil
	}
	return &structs.Error{Code: structs.Code(e.GetCode()), Message: e.GetMessage(), RetryAfterMs: e.GetRetryAfterMs()}
}

// inFlightCounter counts the requests in flight at each peer, which the peers' digests
// may not include yet. It is safe for concurrent use.
type inFlightCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func newInFlightCounter() *inFlightCounter {
	return &inFlightCounter{counts: make(map[string]int)}
}

func (f *inFlightCounter) add(member string, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[member] += by
	if f.counts[member] == 0 {
		delete(f.counts, member)
	}
}

// adjust returns the loads with the requests in flight subtracted from the free slots.
func (f *inFlightCounter) adjust(loads []Load) []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Load, len(loads))
	for i, l := range loads {
		l.FreeSlots -= f.counts[l.Member]
		out[i] = l
	}
	return out
}
