package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/structs"
)

// pastDeadline is a deadline that ends a blocked call on a connection immediately.
var pastDeadline = time.Unix(1, 0)

// conn is one connection to an endpoint. It carries one request at a time. While the
// connection is idle a watcher reads from it, in order to detect a close by the endpoint
// or an unsolicited answer at once.
type conn struct {
	net.Conn
	target Target
	// limit bounds the bytes of one answer; reader reads through it.
	limit  *io.LimitedReader
	reader *bufio.Reader
	// lastAnswerAt is when the last answer on the connection was completely received.
	lastAnswerAt time.Time
	// reused is true from the second request on.
	reused bool
	// written counts the bytes that the connection accepted for this attempt.
	written int

	// stopRequested is set before the watcher is interrupted for a new request. watcherDone
	// is closed when the watcher returns; noInput is then true if nothing arrived.
	stopRequested atomic.Bool
	watcherDone   chan struct{}
	noInput       bool
}

func newConn(c net.Conn, t Target) *conn {
	limit := &io.LimitedReader{R: c, N: maxAnswerWireBytes}
	return &conn{Conn: c, target: t, limit: limit, reader: bufio.NewReader(limit)}
}

// maxAnswerWireBytes bounds the header and body of one answer together.
const maxAnswerWireBytes = maxHeaderBytes + structs.MaxAnswerBytes

// Write implements net.Conn and counts the bytes that the connection accepted.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

// startAttempt prepares the connection for one attempt that ends at the deadline or
// with ctx. The returned function ends the attempt; it reports false if ctx has
// ended, after which the connection can't be used again.
func (c *conn) startAttempt(ctx context.Context, deadline time.Time) func() bool {
	c.written = 0
	c.limit.N = maxAnswerWireBytes
	_ = c.SetDeadline(deadline)
	return context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
}

// startWatch starts the watcher of an idle connection. The pool has put the
// connection into its idle list under its lock, which it still holds.
func (c *conn) startWatch(idleFor time.Duration, ended func(c *conn, surplus bool)) {
	c.stopRequested.Store(false)
	c.watcherDone = make(chan struct{})
	c.noInput = false
	_ = c.SetDeadline(c.lastAnswerAt.Add(idleFor))
	go c.watch(ended)
}

// watch reads until stopWatch interrupts it, data arrives, the connection ends or its
// deadline passes. In all cases but the first it calls ended, with surplus true if data
// arrived.
func (c *conn) watch(ended func(c *conn, surplus bool)) {
	defer close(c.watcherDone)
	_, err := c.reader.Peek(1)
	if err != nil && c.stopRequested.Load() {
		c.noInput = isTimeout(err)
		return
	}
	ended(c, err == nil)
}

// stopWatch stops the watcher and reports whether the connection is usable: nothing
// arrived and it did not end. The pool must have removed the connection from its idle
// list.
func (c *conn) stopWatch() bool {
	c.stopRequested.Store(true)
	_ = c.SetReadDeadline(pastDeadline)
	<-c.watcherDone
	return c.noInput
}
