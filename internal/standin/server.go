package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"dotterelhitch/internal/httpx"
)

// server serves one handler on one TCP address.
type server struct {
	addr string
	http *http.Server
}

// serve listens on addr, whose port may be 0, and serves h there. Of open
// connections it keeps at most limit, any number if that is zero.
func serve(addr string, h http.Handler, limit int) (*server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Annotatef(err, "listening on %s", addr)
	}
	s := &server{addr: l.Addr().String(), http: httpx.NewServer(h)}
	go func() { _ = s.http.Serve(newLimitListener(l, limit)) }()
	return s, nil
}

// shutdown waits up to within for calls in progress, then closes.
func (s *server) shutdown(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.close()
	}
}

// close breaks all connections.
func (s *server) close() { _ = s.http.Close() }
