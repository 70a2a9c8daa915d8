package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/dispatch"
	"dotterelhitch/internal/endpoint"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/peer"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// traffic carries requests: it stands between the callers' interface, the
// dispatcher and the control goroutine.
type traffic struct {
	jobBackend
	e          *Entry
	dispatcher *dispatch.Dispatcher
	sender     *endpoint.Client
	slots      *slots
	// pool carries forwarded requests on connections of their own: their bytes are
	// counted apart from those of control, and no heartbeat waits behind a body.
	pool *peer.Pool
	// serviceMicros is a smoothed time of a request at an endpoint.
	serviceMicros atomic.Int64
}

var _ caller.Backend = (*traffic)(nil)

func newTraffic(e *Entry) *traffic {
	t := &traffic{
		jobBackend: jobBackend{e: e},
		e:          e,
		slots:      newSlots(),
		pool:       peer.NewPool(e.settings.Auth.PeerKeys, e.clock, e.member.Region),
	}
	t.registerMetrics()
	t.sender = endpoint.NewClient(endpoint.Options{
		Keys:    e.settings.Auth.PlatformKeys,
		Clock:   e.clock,
		Metrics: e.metrics,
		OnLateAnswer: func(l endpoint.LateAnswer) {
			e.events.Record(event.Event{Type: event.LateAnswer, Request: l.Request, Worker: l.Worker, Bytes: l.Bytes})
		},
	})
	t.dispatcher = dispatch.New(dispatch.Options{
		Member:                    e.member.ID,
		Epoch:                     t.epoch,
		Slots:                     t,
		Peers:                     t,
		Keys:                      t,
		Sender:                    t.sender,
		Classes:                   t,
		MaxQueue:                  e.settings.Limits.RequestQueue,
		CrossRegionBytesPerSecond: int(e.settings.Regions.LinkBytesPerSecond),
		Events:                    e.events,
		Metrics:                   e.metrics,
	})
	return t
}

// registerMetrics adds the byte counts of forwarded requests.
func (t *traffic) registerMetrics() {
	for name, bytes := range map[string]*atomic.Int64{
		`hitch_peer_request_bytes{dir="out",link="local"}`: &t.pool.LocalTraffic.Out,
		`hitch_peer_request_bytes{dir="in",link="local"}`:  &t.pool.LocalTraffic.In,
		`hitch_peer_request_bytes{dir="out",link="cross"}`: &t.pool.CrossRegionTraffic.Out,
		`hitch_peer_request_bytes{dir="in",link="cross"}`:  &t.pool.CrossRegionTraffic.In,
	} {
		t.e.metrics.NewGauge(name, func() float64 { return float64(bytes.Load()) })
	}
}

// Request implements caller.Backend.
func (t *traffic) Request(ctx context.Context, r structs.Request) structs.Answer {
	return t.dispatcher.HandleRequest(ctx, r)
}

func (t *traffic) queued() int { return t.dispatcher.QueueLength() }

func (t *traffic) service() time.Duration {
	return time.Duration(t.serviceMicros.Load()) * time.Microsecond
}

func (t *traffic) epoch() (epoch int64) {
	t.e.do(func() { epoch = t.e.core.table.Epoch() })
	return epoch
}

// Class implements dispatch.Classes. An entry that has not read the log to its end
// does not say that there is no such class.
func (t *traffic) Class(name string) (class structs.Class, err error) {
	err = errEnding()
	t.e.do(func() { class, err = t.e.core.class(name) })
	return class, err
}

func (c *core) class(name string) (structs.Class, error) {
	class, ok := c.control.Class(name)
	if ok {
		return class, nil
	}
	if !c.caughtUp {
		return class, structs.NewRetryAfterError(structs.CodeBehind, c.e.timing.Heartbeat, "class %q: the log is still being read", name)
	}
	return class, structs.NewError(structs.CodeNotFound, "no class %q", name)
}

// Acquire implements dispatch.Slots.
func (t *traffic) Acquire(_ context.Context, a dispatch.SlotRequest) (dispatch.SlotLease, error) {
	var lease dispatch.SlotLease
	err := errEnding()
	t.e.do(func() { lease, err = t.e.core.acquireSlot(a) })
	return lease, err
}

// Release implements dispatch.Slots.
func (t *traffic) Release(l dispatch.SlotLease, u dispatch.AttemptReport) {
	if u.Outcome == structs.OutcomeAnswered {
		old := time.Duration(t.serviceMicros.Load()) * time.Microsecond
		t.serviceMicros.Store(smooth(old, u.Duration).Microseconds())
	}
	t.e.do(func() { t.e.core.releaseSlot(l, u) })
}

// Loads implements dispatch.Peers.
func (t *traffic) Loads() (self dispatch.Load, peers []dispatch.Load) {
	t.e.do(func() { self, peers = t.e.core.loads() })
	return self, peers
}

// Dispatch implements dispatch.Peers.
func (t *traffic) Dispatch(ctx context.Context, member string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
	var m structs.Member
	var ok bool
	t.e.do(func() { m, ok = t.e.core.table.Table().Member(member) })
	if !ok {
		return nil, &dispatch.NotSentError{Cause: structs.NewError(structs.CodeUnavailable, "member %s has left", member)}
	}
	resp, err := t.pool.Client(m).Dispatch(ctx, r)
	if err == nil {
		return resp, nil
	}
	typed := callError(err)
	if structs.CodeOf(typed) != structs.CodeUnknown {
		return nil, &dispatch.NotSentError{Cause: typed}
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		// An attempt that was given up says nothing of its connection.
		t.pool.Reset(m)
	}
	return nil, typed
}

// Dispatch implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Dispatch(ctx context.Context, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
	return s.e.traffic.dispatcher.ServeForwarded(ctx, r), nil
}

// shareLink gives this entry its share of the link between regions: what the
// settings allow the region, divided by the region's members. Connections to entries
// that have left are dropped.
func (c *core) shareLink() {
	c.e.traffic.pool.RetainOnly(c.control.Members())
	link := c.e.settings.Regions.LinkBytesPerSecond
	c.e.traffic.dispatcher.SetCrossRegionBytesPerSecond(linkShare(link, c.e.member.Region, c.control.Members()))
}

// linkShare is the bytes a second that each member of a region may send over the
// link.
func linkShare(link int64, region string, members []structs.Member) int {
	n := 0
	for _, m := range members {
		if m.Region == region {
			n++
		}
	}
	return int(link / int64(max(n, 1)))
}

// loads returns the dispatcher's view of this entry and its peers.
func (c *core) loads() (self dispatch.Load, peers []dispatch.Load) {
	d := c.fleet.Nodes().Digest()
	self = dispatch.Load{
		SameRegion:  true,
		FreeSlots:   d.FreeSlots,
		TotalSlots:  c.e.traffic.slots.picker.Slots(),
		ServiceTime: c.e.traffic.service(),
	}
	now := time.Now()
	for _, m := range c.control.Members() {
		p := c.peers[m.ID]
		if !c.heardLately(m, now) || p.draining {
			continue
		}
		peers = append(peers, dispatch.Load{
			Member:      m.ID,
			SameRegion:  m.Region == c.e.member.Region,
			FreeSlots:   int(p.digest.FreeSlots),
			TotalSlots:  int(p.digest.TotalSlots),
			Queued:      int(p.digest.QueuedRequests),
			ServiceTime: time.Duration(p.digest.ServiceMicros) * time.Microsecond,
			RoundTrip:   p.roundTrip,
		})
	}
	return self, peers
}
