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

// Server serves the callers' interface on a listener of its own. Its methods are
// safe for concurrent use.
type Server struct {
	backend Backend
	opts    Options
	http    *http.Server

	// inFlight and waiting hold one element for each call in the backend.
	inFlight chan struct{}
	waiting  chan struct{}
	open     atomic.Int64
	draining atomic.Bool
	counts   counters
}

// NewServer returns a server that is not listening yet.
func NewServer(b Backend, o Options) *Server {
	o = o.withDefaults()
	s := &Server{
		backend:  b,
		opts:     o,
		inFlight: make(chan struct{}, o.MaxInFlight),
		waiting:  make(chan struct{}, o.MaxWaitingCalls),
		counts:   newCounters(o.Metrics),
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

// Drain ends the service without cutting a request off. From now on the server
// says that it is not ready and asks callers to leave their connections; after
// linger, in which the balancer turns away, it stops listening and waits for the
// requests in flight until ctx ends.
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

// Close drops every connection at once.
func (s *Server) Close() error { return errors.Trace(s.http.Close()) }

// ready reports whether callers should be sent here.
func (s *Server) ready() error {
	if s.draining.Load() {
		return structs.NewError(structs.CodeDraining, "the entry is shutting down")
	}
	return s.opts.Ready()
}

// countConn follows the number of open connections.
func (s *Server) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// crowded reports whether callers should give up their connections: while the
// entry drains, and when three quarters of the connections are taken, so that
// idle ones do not shut new callers out.
func (s *Server) crowded() bool {
	return s.draining.Load() || 4*s.open.Load() >= 3*int64(s.opts.MaxConnections)
}

// acquire takes an element of a bound without waiting.
func acquire(bound chan struct{}) bool {
	select {
	case bound <- struct{}{}:
		return true
	default:
		return false
	}
}

func release(bound chan struct{}) { <-bound }
