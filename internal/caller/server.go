package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/netutil"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// Server serves the callers' interface on its own listener. Its methods are safe
// for concurrent use.
type Server struct {
	backend Backend
	opts    Options
	http    *http.Server

	// Semaphores: each call that the backend is handling occupies one element of
	// inFlightSlots or waitingSlots.
	inFlightSlots chan struct{}
	waitingSlots  chan struct{}
	openConns     atomic.Int64
	draining      atomic.Bool
	counts        counters
}

// NewServer returns a server that is not listening yet.
func NewServer(b Backend, o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		backend:       b,
		opts:          o,
		inFlightSlots: make(chan struct{}, o.MaxInFlight),
		waitingSlots:  make(chan struct{}, o.MaxWaitingCalls),
		counts:        newCounters(o.Metrics),
	}
	s.http = httpx.NewServer(s.Handler())
	s.http.ConnState = s.countConn
	return s
}

// Serve accepts callers on l until Drain or Close; it then returns nil.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(netutil.LimitListener(l, s.opts.MaxConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// Drain shuts the server down gracefully. The server at once reports not ready and
// asks callers to close their connections. After linger, which gives the load
// balancer time to stop routing to this entry, the server stops listening and
// waits for the requests in flight until ctx ends.
func (s *Server) Drain(ctx context.Context, linger time.Duration) error {
	s.draining.Store(true)
	timer := time.NewTimer(linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return errors.Trace(s.http.Shutdown(ctx))
}

// Close closes the listener and every connection immediately.
func (s *Server) Close() error { return errors.Trace(s.http.Close()) }

// ready returns nil if the load balancer may route callers to this entry, and
// otherwise the reason why not.
func (s *Server) ready() error {
	if s.draining.Load() {
		return structs.NewError(structs.CodeDraining, "the entry is shutting down")
	}
	return s.opts.Ready()
}

// countConn keeps openConns up to date as connections open and close.
func (s *Server) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
}

// shouldCloseConns reports whether callers should be asked to close their
// connections: while the entry drains, and when at least three quarters of
// MaxConnections are open, so that idle connections do not block new callers.
func (s *Server) shouldCloseConns() bool {
	return s.draining.Load() || 4*s.openConns.Load() >= 3*int64(s.opts.MaxConnections)
}

// tryAcquire acquires one slot of the semaphore bound without blocking and reports
// whether a slot was free.
func tryAcquire(bound chan struct{}) bool {
	select {
	case bound <- struct{}{}:
		return true
	default:
		return false
	}
}

func release(bound chan struct{}) { <-bound }
