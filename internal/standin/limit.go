package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes the connections that come while limit are open.
type limitListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// newLimitListener returns l unchanged for a limit of zero.
func newLimitListener(l net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return l
	}
	return &limitListener{Listener: l, limit: int64(limit)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitConn{Conn: conn, release: l.release}, nil
		}
		l.release()
		_ = conn.Close()
	}
}

func (l *limitListener) release() { l.open.Add(-1) }

// limitConn gives its place back when it is closed.
type limitConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
