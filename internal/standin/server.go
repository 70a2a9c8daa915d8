package standin

import (
	"net"
	"net/http"

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

// close breaks all connections.
func (s *server) close() { _ = s.http.Close() }
