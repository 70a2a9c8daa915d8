// Package entry is the daemon of an entry instance. One goroutine, the control
// goroutine, owns all control state (the core); other goroutines carry traffic
// and hand it closures to run. Nothing here outlives the process: intent is in
// the platform's log, fact is on the workers.
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

// Config is what an Entry needs besides its settings.
type Config struct {
	Settings settings.Entry
	// Events gets the event log; nil for none.
	Events io.Writer
	Logger *slog.Logger
	// OnEvent sees every event; nil for nobody.
	OnEvent func(event.Event)
}

// Entry is one entry instance.
type Entry struct {
	settings settings.Entry
	timing   settings.Timing
	// forwardTimeout is the package's constant but in tests.
	forwardTimeout time.Duration
	member         structs.Member
	logger         *slog.Logger
	clock          *event.Clock
	events         *event.Recorder
	metrics        *metrics.Set

	log     *platformlog.Client
	list    *instancelist.Client
	pool    *peer.Pool
	traffic *traffic
	// controlLog appends to the control stream.
	controlLog *journal.Committer

	// control runs closures on the control goroutine, in order.
	control chan func()
	// core is touched by the control goroutine only.
	core *core

	peerListener     net.Listener
	callerListener   net.Listener
	operatorListener net.Listener
	metricsListener  net.Listener
	inbound          httpx.TrafficCounter
	// platformTraffic and workerTraffic count the bytes of calls to the log and
	// the instance list, and of the task path of workers.
	platformTraffic httpx.TrafficCounter
	workerTraffic   httpx.TrafficCounter

	// stop ends Run at once, leave ends it gracefully.
	stop      context.CancelFunc
	leave     chan struct{}
	leaveOnce sync.Once
	// expelled is closed once others have removed this member.
	expelled  chan struct{}
	expelOnce sync.Once
	ctx       context.Context
	group     sync.WaitGroup
}

// controlQueue is the number of closures that may wait for the control goroutine.
const controlQueue = 4096

// New opens the listeners of an entry, so that its addresses are known before
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
		control:        make(chan func(), controlQueue),
		leave:          make(chan struct{}),
		expelled:       make(chan struct{}),
	}
	if cfg.OnEvent != nil {
		e.events.OnEvent(cfg.OnEvent)
	}
	if err := e.listen(); err != nil {
		return nil, errors.Trace(err)
	}
	e.member = structs.Member{
		ID:              id,
		PeerAddr:        e.advertised(),
		CrossRegionAddr: s.Listen.AdvertiseCrossRegion,
		Region:          s.Identity.Region,
		Domain:          s.Identity.Domain,
	}
	e.log = platformlog.New(platformlog.Config{BaseURL: s.Platform.LogURL, Keys: s.Auth.PlatformKeys, Clock: clock, Traffic: &e.platformTraffic})
	e.list = instancelist.New(instancelist.Config{BaseURL: s.Platform.ListURL, Keys: s.Auth.PlatformKeys, Clock: clock, Traffic: &e.platformTraffic})
	e.pool = peer.NewPool(s.Auth.PeerKeys, clock, e.member.Region)
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.core = newCore(e)
	e.traffic = newTraffic(e)
	e.controlLog = journal.NewCommitter(e.log, state.ControlStream, 0, e.logger)
	e.registerMetrics()
	return e, nil
}

// listen opens the four interfaces.
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

// advertised is the peer address that others dial: the stated one, unless its
// port was left to the system.
func (e *Entry) advertised() string {
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

// CallerAddr returns the address of the callers' interface.
func (e *Entry) CallerAddr() string { return e.callerListener.Addr().String() }

// OperatorAddr returns the address of the operators' interface.
func (e *Entry) OperatorAddr() string { return e.operatorListener.Addr().String() }

// PeerAddr returns the address on which the peers' interface listens.
func (e *Entry) PeerAddr() string { return e.peerListener.Addr().String() }

// MetricsAddr returns the address of the metrics interface.
func (e *Entry) MetricsAddr() string { return e.metricsListener.Addr().String() }

// Leave asks for a graceful shutdown: callers are turned away, what is in flight
// is answered, workers, jobs and keys are handed over.
func (e *Entry) Leave() { e.leaveOnce.Do(func() { close(e.leave) }) }

// Kill ends the entry at once, as the death of its process would.
func (e *Entry) Kill() {
	e.stop()
	e.closeListeners()
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.peerListener, e.callerListener, e.operatorListener, e.metricsListener} {
		_ = l.Close()
	}
}

// Run serves until Leave has been carried out, Kill is called or ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	defer e.closeListeners()
	stopped := context.AfterFunc(ctx, e.stop)
	defer stopped()
	e.events.Record(event.Event{Type: event.EntryStart, Member: e.member.ID})

	callers := caller.NewServer(e.traffic, caller.Options{
		MaxConnections: e.settings.Limits.CallerConnections,
		Ready:          e.Ready,
		NewJobKey:      e.newJobKey,
		Clock:          e.clock,
		Metrics:        e.metrics,
	})
	peers := peer.NewServer(&peerServer{e: e}, e.settings.Auth.PeerKeys, e.clock, e.metrics)
	operators := httpx.NewServer(operator.NewHandler(&operatorBackend{e: e}, e.settings.Auth.OperatorKeys))
	observers := httpx.NewServer(e.observerMux())

	e.spawn(e.runControl)
	e.spawn(func() { e.serve(peers, httpx.CountListener(e.peerListener, &e.inbound)) })
	e.spawn(func() { e.serve(operators, e.operatorListener) })
	e.spawn(func() { e.serve(observers, e.metricsListener) })
	e.spawn(func() { _ = callers.Serve(e.callerListener) })
	e.spawn(func() { e.controlLog.Run(e.ctx) })
	e.spawn(e.followControl)
	e.spawn(e.join)
	e.spawn(e.followList)
	e.spawn(e.exchangeLoop)

	select {
	case <-e.leave:
		e.drain(callers)
	case <-e.expelled:
		e.finish(callers)
	case <-e.ctx.Done():
	}
	e.stop()
	_ = callers.Close()
	_ = peers.Close()
	_ = operators.Close()
	_ = observers.Close()
	e.group.Wait()
	e.events.Record(event.Event{Type: event.EntryExit, Member: e.member.ID})
	return nil
}

func (e *Entry) serve(s *http.Server, l net.Listener) {
	err := s.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && e.ctx.Err() == nil {
		e.logger.Error("interface failed", "address", l.Addr().String(), "error", err.Error())
	}
}

func (e *Entry) spawn(f func()) {
	e.group.Go(f)
}

// tickPeriod is that of the control goroutine's own work.
const tickPeriod = 20 * time.Millisecond

// runControl is the control goroutine.
func (e *Entry) runControl() {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case f := <-e.control:
			now := time.Now()
			e.core.turn(now)
			f()
			e.core.scheduleSoon(now)
		case <-tick.C:
			now := time.Now()
			e.core.turn(now)
			e.core.tick(now)
		case <-e.ctx.Done():
			return
		}
	}
}

// post hands a closure to the control goroutine.
func (e *Entry) post(f func()) {
	select {
	case e.control <- f:
	case <-e.ctx.Done():
	}
}

// States of a closure that do has handed over.
const (
	closureWaits int32 = iota
	closureTaken
	closureDropped
)

// do runs a closure on the control goroutine and waits for it. It returns false,
// and the closure never runs, if the entry ended first.
func (e *Entry) do(f func()) bool {
	var state atomic.Int32
	done := make(chan struct{})
	e.post(func() {
		if state.CompareAndSwap(closureWaits, closureTaken) {
			f()
			close(done)
		}
	})
	select {
	case <-done:
		return true
	case <-e.ctx.Done():
	}
	if state.CompareAndSwap(closureWaits, closureDropped) {
		return false
	}
	<-done
	return true
}

// errEnding is what a call gets that comes while the entry ends.
func errEnding() error {
	return structs.NewError(structs.CodeDraining, "the entry is shutting down")
}

// PeerBytes returns the bytes that this entry has received from and sent to other
// entries, in calls that it made and in calls that it served.
func (e *Entry) PeerBytes() (in, out int64) {
	in = e.pool.LocalTraffic.In.Load() + e.pool.CrossRegionTraffic.In.Load() + e.inbound.In.Load()
	out = e.pool.LocalTraffic.Out.Load() + e.pool.CrossRegionTraffic.Out.Load() + e.inbound.Out.Load()
	return in, out
}

// Class returns a class as this entry has it in force.
func (e *Entry) Class(name string) (class structs.Class, ok bool) {
	e.do(func() { class, ok = e.core.control.Class(name) })
	return class, ok
}
