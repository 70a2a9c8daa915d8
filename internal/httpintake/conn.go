package httpintake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"dotterelhitch/internal/intake"
)

// Buffers are the sizes of a connection's buffers in the kernel, in bytes. The system decides about one that is zero.
type Buffers struct{ Receive, Send int }

// Listen opens a TCP listener whose connections have buffers of the given sizes. The connections take over the sizes
// from the listener.
func Listen(addr string, buffers Buffers) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = errors.Join(setBuffer(fd, syscall.SO_RCVBUF, buffers.Receive), setBuffer(fd, syscall.SO_SNDBUF, buffers.Send))
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// setBuffer sets the size of a socket's buffer unless it is zero.
func setBuffer(fd uintptr, option, size int) error {
	if size == 0 {
		return nil
	}
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size)
}

// Listener returns a listener that refuses connections beyond the interface's limit.
func (i *Interface) Listener(l net.Listener) net.Listener { return &listener{Listener: l, iface: i} }

type listener struct {
	net.Listener
	iface *Interface
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, iface: l.iface}
		c.client.Owner = c
		g := l.iface.gate
		g.mu.Lock()
		victim, ok := l.iface.pool.Connect(&c.client, g.now())
		g.mu.Unlock()
		if victim != nil {
			cutOff([]*intake.Client{victim})
		}
		if ok {
			return c, nil
		}
		l.iface.refused[intake.OutOfConnections].Inc()
		_ = accepted.Close() // nothing was sent on it
	}
}

// http2Preface is what a client of HTTP/2 sends first, and no client of HTTP/1.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// conn is an accounted connection. Of a connection of HTTP/2, the requests are accounted for by stream.
type conn struct {
	net.Conn
	iface  *Interface
	client intake.Client // guarded by the gate's mutex

	// The fields below are used by the goroutine that reads.
	preface     int   // how much of http2Preface has arrived, -1 after anything else
	http2       bool  // the whole preface has arrived
	headerBytes int64 // how much of the current header has arrived
	draining    bool  // what arrives is not accounted for, since the request was refused
	body        connBody

	// answering is true once something of the answer to the request under way was written.
	answering atomic.Bool
	// writingSince is when the write under way began, in Unix nanoseconds; zero while there is none.
	writingSince atomic.Int64
	closed       atomic.Bool
}

func (c *conn) parent() *Interface { return c.iface }

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if c.http2 || c.draining {
		return n, err
	}
	if c.preface >= 0 && c.iface.http2 {
		c.matchPreface(b[:n])
	}
	if refusal := c.receive(b[:n]); refusal != nil {
		return 0, refusal
	}
	return n, err
}

// matchPreface compares the first bytes of a connection with the preface. Until it is complete, they count as a header.
func (c *conn) matchPreface(b []byte) {
	b = b[:min(len(b), len(http2Preface)-c.preface)]
	if string(b) != http2Preface[c.preface:c.preface+len(b)] {
		c.preface = -1
		return
	}
	c.preface += len(b)
	if c.preface == len(http2Preface) {
		c.http2 = true
		c.iface.locked(func() { c.client.HeaderRead(c.iface.gate.now()) })
	}
}

// receive accounts for bytes that have arrived. The error is io.EOF in a header: the server then closes the connection
// without a response of its own.
func (c *conn) receive(arrived []byte) error {
	g := c.iface.gate
	g.mu.Lock()
	before := c.client.Phase()
	if before == intake.Handling && !c.http2 && !c.answering.Load() {
		c.client.SentAhead()
	}
	victims, ok := c.client.Receive(arrived, g.now())
	phase, reason := c.client.Phase(), c.client.Reason()
	g.mu.Unlock()
	cutOff(victims)
	if !ok {
		if before != intake.Ended {
			c.iface.refused[reason].Inc()
		}
		if !c.body.open.Load() {
			if before != intake.Ended {
				c.respond(outOfMemory)
			}
			return io.EOF
		}
		if before != intake.Ended {
			c.drain()
		}
		return errRefused(reason)
	}
	if phase != intake.ReadingHeader {
		return nil
	}
	if before == intake.Waiting {
		c.headerBytes = 0
	}
	if c.headerBytes += int64(len(arrived)); c.headerBytes-headerSlack > g.headerBytes.Load() {
		c.iface.refused[oversizedHeader].Inc()
		c.respond(headerTooLarge)
		return io.EOF
	}
	return nil
}

// drain has the server read on for a short time from a client whose body is refused.
func (c *conn) drain() {
	c.draining = true
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusedReadTime)) // fails on a closed connection only
}

// Responses to headers that are refused.
const (
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	outOfMemory    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// respond answers a header that is refused. The server does not write meanwhile, since it reads a header.
func (c *conn) respond(text string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusedReadTime)) // fails on a closed connection only
	_, _ = io.WriteString(c.Conn, text)                          // the connection is closed in any case
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.answering.Store(true)
	c.writingSince.Store(time.Now().UnixNano())
	n, err := c.Conn.Write(b)
	c.writingSince.Store(0)
	return n, err
}

// writeBlocked reports whether the client has not accepted an answer for too long.
func (c *conn) writeBlocked(now time.Time) bool {
	since := c.writingSince.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) > writeStall
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.iface.locked(c.client.Close)
	}
	return c.Conn.Close()
}

// CloseWrite lets the server end its side first, so that a client that still sends gets the response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// cutOff implements owner. If a handler reads the request's body, that fails, and the response says so; otherwise the
// connection is closed.
func (c *conn) cutOff() {
	if c.body.open.Load() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection only
		return
	}
	// The server closes the connection when it has stopped using it, and its memory is free then.
	_ = c.Conn.Close() // there is nobody to tell
}

// state follows the server's use of a connection.
func (i *Interface) state(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		i.locked(c.headerRead)
	case http.StateIdle:
		i.locked(func() { c.client.Answered(i.gate.now()) })
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// headerRead accounts for a header that was read. The gate's mutex is locked. A header of HTTP/1 of which nothing has
// arrived since the last answer has arrived with the request before it.
func (c *conn) headerRead() {
	if !c.http2 && c.client.Phase() == intake.Waiting {
		c.client.SentAhead()
	}
	c.client.HeaderRead(c.iface.gate.now())
	c.answering.Store(false)
}

// locked calls a function with the gate's mutex locked.
func (i *Interface) locked(f func()) {
	i.gate.mu.Lock()
	defer i.gate.mu.Unlock()
	f()
}
