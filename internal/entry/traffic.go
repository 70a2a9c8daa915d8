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

// requestService handles requests. It connects the caller interface, the dispatcher and
// the control goroutine.
type requestService struct {
	jobBackend
	e          *Entry
	dispatcher *dispatch.Dispatcher
	sender     *endpoint.Client
	slots      *slots
	// pool has separate connections for forwarded requests, so that their bytes are
	// counted separately from control traffic and no heartbeat waits for a large body.
	pool *peer.Pool
	// serviceMicros is a moving average of the service time of requests at endpoints.
	serviceMicros atomic.Int64
}

var _ caller.Backend = (*requestService)(nil)

func newRequestService(e *Entry) *requestService {
	t := &requestService{
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

// registerMetrics registers the byte counters of forwarded requests.
func (t *requestService) registerMetrics() {
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
func (t *requestService) Request(ctx context.Context, r structs.Request) structs.Answer {
	return t.dispatcher.HandleRequest(ctx, r)
}

func (t *requestService) queuedRequests() int { return t.dispatcher.QueueLength() }

func (t *requestService) meanServiceTime() time.Duration {
	return time.Duration(t.serviceMicros.Load()) * time.Microsecond
}

func (t *requestService) epoch() (epoch int64) {
	t.e.runOnControl(func() { epoch = t.e.core.table.Epoch() })
	return epoch
}

// Class implements dispatch.Classes. Until the entry has read the log to its end, an
// unknown class gives the retryable CodeBehind instead of CodeNotFound.
func (t *requestService) Class(name string) (class structs.Class, err error) {
	err = errShuttingDown()
	t.e.runOnControl(func() { class, err = t.e.core.classInForce(name) })
	return class, err
}

func (c *core) classInForce(name string) (structs.Class, error) {
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
func (t *requestService) Acquire(_ context.Context, a dispatch.SlotRequest) (dispatch.SlotLease, error) {
	var lease dispatch.SlotLease
	err := errShuttingDown()
	t.e.runOnControl(func() { lease, err = t.e.core.acquireSlot(a) })
	return lease, err
}

// Release implements dispatch.Slots.
func (t *requestService) Release(l dispatch.SlotLease, u dispatch.AttemptReport) {
	if u.Outcome == structs.OutcomeAnswered {
		old := time.Duration(t.serviceMicros.Load()) * time.Microsecond
		t.serviceMicros.Store(movingAverage(old, u.Duration).Microseconds())
	}
	t.e.runOnControl(func() { t.e.core.releaseSlot(l, u) })
}

// Loads implements dispatch.Peers.
func (t *requestService) Loads() (self dispatch.Load, peers []dispatch.Load) {
	t.e.runOnControl(func() { self, peers = t.e.core.loads() })
	return self, peers
}

// Dispatch implements dispatch.Peers.
func (t *requestService) Dispatch(ctx context.Context, member string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
	var m structs.Member
	var ok bool
	t.e.runOnControl(func() { m, ok = t.e.core.table.Table().Member(member) })
	if !ok {
		return nil, &dispatch.NotSentError{Cause: structs.NewError(structs.CodeUnavailable, "member %s is not in the membership table", member)}
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
		// The connection is kept if the attempt was cancelled, which shows nothing about
		// its health.
		t.pool.Reset(m)
	}
	return nil, typed
}

// Dispatch implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Dispatch(ctx context.Context, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
	return s.e.requests.dispatcher.ServeForwarded(ctx, r), nil
}

// updateLinkShare sets this entry's share of the link between regions: the configured
// budget of the region, divided by the number of its members. It also drops the
// connections to entries that have left.
func (c *core) updateLinkShare() {
	c.e.requests.pool.RetainOnly(c.control.Members())
	link := c.e.settings.Regions.LinkBytesPerSecond
	c.e.requests.dispatcher.SetCrossRegionBytesPerSecond(linkBytesPerMember(link, c.e.member.Region, c.control.Members()))
}

// linkBytesPerMember returns the bytes per second that each member of a region may send
// over the link.
func linkBytesPerMember(link int64, region string, members []structs.Member) int {
	n := 0
	for _, m := range members {
		if m.Region == region {
			n++
		}
	}
	return int(link / int64(max(n, 1)))
}

// loads returns the loads of this entry and of its responsive peers for the dispatcher.
func (c *core) loads() (self dispatch.Load, peers []dispatch.Load) {
	d := c.fleet.Nodes().Digest()
	self = dispatch.Load{
		SameRegion:  true,
		FreeSlots:   d.FreeSlots,
		TotalSlots:  c.e.requests.slots.picker.Slots(),
		ServiceTime: c.e.requests.meanServiceTime(),
	}
	now := time.Now()
	for _, m := range c.control.Members() {
		p := c.peers[m.ID]
		if !c.reportsLoadDirectly(m, now) || p.draining {
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
