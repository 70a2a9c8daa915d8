// Package entry is the daemon of an entry instance. One goroutine, the control
// goroutine, owns all control state (the core). All other goroutines carry traffic, and
// send the control goroutine closures to run. An entry persists nothing itself: the
// platform's log holds the intended state, and the workers hold the state of the runs.
package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/instancelist"
	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/peer"
	"dotterelhitch/internal/platformlog"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// Config holds what New needs to create an Entry.
type Config struct {
	Settings settings.Entry
	// Events receives the event log; nil disables it.
	Events io.Writer
	Logger *slog.Logger
	// OnEvent is called with every event, if it is not nil.
	OnEvent func(event.Event)
}

// Entry is the daemon of one entry instance.
type Entry struct {
	settings settings.Entry
	timing   settings.Timing
	// forwardTimeout equals the constant of that name, except in tests.
	forwardTimeout time.Duration
	member         structs.Member
	logger         *slog.Logger
	clock          *event.Clock
	events         *event.Recorder
	metrics        *metrics.Set

	log      *platformlog.Client
	list     *instancelist.Client
	pool     *peer.Pool
	requests *requestService
	// controlLog appends changes to the control stream.
	controlLog *journal.Committer

	// controlQueue holds the closures that the control goroutine runs, in order.
	controlQueue chan func()
	// core belongs to the control goroutine; no other goroutine may access it.
	core *core

	peerListener     net.Listener
	callerListener   net.Listener
	operatorListener net.Listener
	metricsListener  net.Listener
	// servedPeerTraffic counts the bytes of the peer calls that this entry serves.
	servedPeerTraffic httpx.TrafficCounter
	// platformTraffic counts the bytes of calls to the log and the instance list,
	// workerTraffic those of task commands and inventories of workers.
	platformTraffic httpx.TrafficCounter
	workerTraffic   httpx.TrafficCounter

	// stop ends Run at once; closing leaveRequested ends it gracefully.
	stop           context.CancelFunc
	leaveRequested chan struct{}
	leaveOnce      sync.Once
	// removed is closed once other members have removed this one from the membership
	// table.
	removed     chan struct{}
	removedOnce sync.Once
	ctx         context.Context
	goroutines  sync.WaitGroup
}

// controlQueueCapacity is the number of closures that can be queued for the control
// goroutine; beyond it the senders block.
const controlQueueCapacity = 4096

// New creates an entry and opens its listeners, so that its addresses are known before
// Run.
func New(cfg Config) (*Entry, error) {
	s := cfg.Settings
	id := s.Identity.IDPrefix + "-" + uuid.NewString()[:8]
	clock := &event.Clock{}
	e := &Entry{
		settings:       s,
		timing:         s.Timing,
		forwardTimeout: forwardTimeout,
		logger:         cfg.Logger.With("member", id),
		clock:          clock,
		events:         event.NewRecorder(id, clock, cfg.Events),
		metrics:        metrics.NewSet(),
		controlQueue:   make(chan func(), controlQueueCapacity),
		leaveRequested: make(chan struct{}),
		removed:        make(chan struct{}),
	}
	if cfg.OnEvent != nil {
		e.events.OnEvent(cfg.OnEvent)
	}
	if err := e.listen(); err != nil {
		return nil, errors.Trace(err)
	}
	e.member = structs.Member{
		ID:              id,
		PeerAddr:        e.advertisedPeerAddr(),
		CrossRegionAddr: s.Listen.AdvertiseCrossRegion,
		Region:          s.Identity.Region,
		Domain:          s.Identity.Domain,
	}
	e.log = platformlog.New(platformlog.Config{BaseURL: s.Platform.LogURL, Keys: s.Auth.PlatformKeys, Clock: clock, Traffic: &e.platformTraffic})
	e.list = instancelist.New(instancelist.Config{BaseURL: s.Platform.ListURL, Keys: s.Auth.PlatformKeys, Clock: clock, Traffic: &e.platformTraffic})
	e.pool = peer.NewPool(s.Auth.PeerKeys, clock, e.member.Region)
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.core = newCore(e)
	e.requests = newRequestService(e)
	e.controlLog = journal.NewCommitter(e.log, state.ControlStream, 0, e.logger)
	e.registerMetrics()
	return e, nil
}

// listen opens the listeners of the peer, caller, operator and metrics interfaces.
func (e *Entry) listen() error {
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{
		{e.settings.Listen.Peer, &e.peerListener},
		{e.settings.Listen.Caller, &e.callerListener},
		{e.settings.Listen.Operator, &e.operatorListener},
		{e.settings.Listen.Metrics, &e.metricsListener},
	} {
		listener, err := net.Listen("tcp", l.addr)
		if err != nil {
			return structs.NewError(structs.CodeUnavailable, "listen on %s: %v", l.addr, err)
		}
		*l.to = listener
	}
	return nil
}

// advertisedPeerAddr returns the peer address that other members dial: the configured
// one, with the listener's port if the configured port is 0 or missing.
func (e *Entry) advertisedPeerAddr() string {
	addr := e.settings.Listen.AdvertisePeer
	host, port, err := net.SplitHostPort(addr)
	if err == nil && port != "0" {
		return addr
	}
	_, port, _ = net.SplitHostPort(e.peerListener.Addr().String())
	if host == "" {
		host = "127.0.0.1"
	}
	return net.JoinHostPort(host, port)
}

// Member returns the entry as it appears in the membership table.
func (e *Entry) Member() structs.Member { return e.member }

// CallerAddr returns the listen address of the caller interface.
func (e *Entry) CallerAddr() string { return e.callerListener.Addr().String() }

// OperatorAddr returns the listen address of the operator interface.
func (e *Entry) OperatorAddr() string { return e.operatorListener.Addr().String() }

// PeerAddr returns the listen address of the peer interface.
func (e *Entry) PeerAddr() string { return e.peerListener.Addr().String() }

// MetricsAddr returns the listen address of the metrics interface.
func (e *Entry) MetricsAddr() string { return e.metricsListener.Addr().String() }

// Leave starts a graceful shutdown and returns at once: new calls of callers are
// refused, requests in flight are answered, and the ownership of workers, jobs and keys
// is handed over to other members.
func (e *Entry) Leave() { e.leaveOnce.Do(func() { close(e.leaveRequested) }) }

// Kill stops the entry at once without handing anything over, like the death of its
// process.
func (e *Entry) Kill() {
	e.stop()
	e.closeListeners()
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.peerListener, e.callerListener, e.operatorListener, e.metricsListener} {
		_ = l.Close()
	}
}

// Run serves until a shutdown that Leave started is complete, other members have removed
// this one, Kill is called or ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	defer e.closeListeners()
	stopped := context.AfterFunc(ctx, e.stop)
	defer stopped()
	e.events.Record(event.Event{Type: event.EntryStart, Member: e.member.ID})

	callerServer := caller.NewServer(e.requests, caller.Options{
		MaxConnections: e.settings.Limits.CallerConnections,
		Ready:          e.Ready,
		NewJobKey:      e.newJobKey,
		Clock:          e.clock,
		Metrics:        e.metrics,
	})
	peerHTTPServer := peer.NewServer(&peerServer{e: e}, e.settings.Auth.PeerKeys, e.clock, e.metrics)
	operatorServer := httpx.NewServer(operator.NewHandler(&operatorBackend{e: e}, e.settings.Auth.OperatorKeys))
	metricsServer := httpx.NewServer(e.metricsMux())

	e.spawn(e.runControl)
	e.spawn(func() { e.serve(peerHTTPServer, httpx.CountListener(e.peerListener, &e.servedPeerTraffic)) })
	e.spawn(func() { e.serve(operatorServer, e.operatorListener) })
	e.spawn(func() { e.serve(metricsServer, e.metricsListener) })
	e.spawn(func() { _ = callerServer.Serve(e.callerListener) })
	e.spawn(func() { e.controlLog.Run(e.ctx) })
	e.spawn(e.followControl)
	e.spawn(e.join)
	e.spawn(e.followList)
	e.spawn(e.heartbeatLoop)

	select {
	case <-e.leaveRequested:
		e.drain(callerServer)
	case <-e.removed:
		e.drainAfterRemoval(callerServer)
	case <-e.ctx.Done():
	}
	e.stop()
	_ = callerServer.Close()
	_ = peerHTTPServer.Close()
	_ = operatorServer.Close()
	_ = metricsServer.Close()
	e.goroutines.Wait()
	e.events.Record(event.Event{Type: event.EntryExit, Member: e.member.ID})
	return nil
}

func (e *Entry) serve(s *http.Server, l net.Listener) {
	err := s.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && e.ctx.Err() == nil {
		e.logger.Error("listener failed", "address", l.Addr().String(), "error", err.Error())
	}
}

func (e *Entry) spawn(f func()) {
	e.goroutines.Go(f)
}

// tickPeriod is the period of the control goroutine's periodic work.
const tickPeriod = 20 * time.Millisecond

// runControl is the loop of the control goroutine.
func (e *Entry) runControl() {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case f := <-e.controlQueue:
			now := time.Now()
			e.core.beginIteration(now)
			f()
			e.core.scheduleSoon(now)
		case <-tick.C:
			now := time.Now()
			e.core.beginIteration(now)
			e.core.tick(now)
		case <-e.ctx.Done():
			return
		}
	}
}

// postToControl queues a closure for the control goroutine and does not wait for it to
// run. The closure is dropped if the entry ends first.
func (e *Entry) postToControl(f func()) {
	select {
	case e.controlQueue <- f:
	case <-e.ctx.Done():
	}
}

// States of a closure that runOnControl has queued.
const (
	closurePending int32 = iota
	closureStarted
	closureAbandoned
)

// runOnControl runs a closure on the control goroutine and waits until it has run. It
// returns false if the entry ended first; then the closure never runs.
func (e *Entry) runOnControl(f func()) bool {
	var state atomic.Int32
	done := make(chan struct{})
	e.postToControl(func() {
		if state.CompareAndSwap(closurePending, closureStarted) {
			f()
			close(done)
		}
	})
	select {
	case <-done:
		return true
	case <-e.ctx.Done():
	}
	if state.CompareAndSwap(closurePending, closureAbandoned) {
		return false
	}
	<-done
	return true
}

// errShuttingDown returns the error of a call that arrives while the entry ends.
func errShuttingDown() error {
	return structs.NewError(structs.CodeDraining, "the entry is shutting down")
}

// PeerBytes returns the number of bytes received from and sent to other entries, over
// the calls that this entry made and those that it served. Forwarded requests that this
// entry sent are not included.
func (e *Entry) PeerBytes() (in, out int64) {
	in = e.pool.LocalTraffic.In.Load() + e.pool.CrossRegionTraffic.In.Load() + e.servedPeerTraffic.In.Load()
	out = e.pool.LocalTraffic.Out.Load() + e.pool.CrossRegionTraffic.Out.Load() + e.servedPeerTraffic.Out.Load()
	return in, out
}

// Class returns a class as configured by the changes that this entry has applied.
func (e *Entry) Class(name string) (class structs.Class, ok bool) {
	e.runOnControl(func() { class, ok = e.core.control.Class(name) })
	return class, ok
}
