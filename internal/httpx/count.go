package httpx

import (
	"context"
	"net"
	"sync/atomic"
)

// TrafficCounter counts the traffic of some connections.
type TrafficCounter struct {
	In  atomic.Int64
	Out atomic.Int64
}

// countedConn adds what passes through a connection to its counters.
type countedConn struct {
	net.Conn
	bytes []*TrafficCounter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for _, counter := range c.bytes {
		counter.In.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	for _, counter := range c.bytes {
		counter.Out.Add(int64(n))
	}
	return n, err
}

// CountListener wraps a listener so that its connections are counted.
func CountListener(l net.Listener, bytes *TrafficCounter) net.Listener {
	return &countedListener{Listener: l, bytes: bytes}
}

type countedListener struct {
	net.Listener
	bytes *TrafficCounter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: []*TrafficCounter{l.bytes}}, nil
}

// CountDialer returns a dial function whose connections are counted.
func CountDialer(bytes ...*TrafficCounter) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, bytes: bytes}, nil
	}
}
