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

// longPast is a deadline that wakes a blocked call on a connection at once.
var longPast = time.Unix(1, 0)

// conn is one connection to an endpoint. It carries one request at a time; while
// it is idle a watcher reads from it, so that a close by the endpoint and an
// answer that nobody asked for are seen at once.
type conn struct {
	net.Conn
	target Target
	// limit bounds what one answer may bring; reader reads through it.
	limit  *io.LimitedReader
	reader *bufio.Reader
	// answeredAt is when the last answer on the connection was whole.
	answeredAt time.Time
	// reused is true from the second request on.
	reused bool
	// written counts the bytes that the connection accepted for this attempt.
	written int

	// woken tells the watcher that the connection is wanted; stopped is closed
	// when it has ended, and quiet is its verdict: nothing was seen.
	woken   atomic.Bool
	stopped chan struct{}
	quiet   bool
}

func newConn(c net.Conn, t Target) *conn {
	limit := &io.LimitedReader{R: c, N: answerBound}
	return &conn{Conn: c, target: t, limit: limit, reader: bufio.NewReader(limit)}
}

// answerBound is the most that one answer may take on the wire.
const answerBound = maxHeaderBytes + structs.MaxAnswerBytes

// Write counts what the connection accepts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

// begin prepares the connection for one attempt that ends at the deadline or
// with ctx. The returned function ends the attempt; it reports false if ctx has
// ended, after which the connection can't be used again.
func (c *conn) begin(ctx context.Context, deadline time.Time) func() bool {
	c.written = 0
	c.limit.N = answerBound
	_ = c.SetDeadline(deadline)
	return context.AfterFunc(ctx, func() { _ = c.SetDeadline(longPast) })
}

// startWatch starts the watcher of an idle connection. The pool has put the
// connection into its idle list under its lock, which it still holds.
func (c *conn) startWatch(idleFor time.Duration, ended func(c *conn, surplus bool)) {
	c.woken.Store(false)
	c.stopped = make(chan struct{})
	c.quiet = false
	_ = c.SetDeadline(c.answeredAt.Add(idleFor))
	go c.watch(ended)
}

// watch reads until the watcher is woken, the connection ends or its deadline
// passes; ended hears of the latter two, and whether bytes had arrived.
func (c *conn) watch(ended func(c *conn, surplus bool)) {
	defer close(c.stopped)
	_, err := c.reader.Peek(1)
	if err != nil && c.woken.Load() {
		c.quiet = isTimeout(err)
		return
	}
	ended(c, err == nil)
}

// wake stops the watcher and reports whether the connection is still quiet. The
// pool has taken the connection out of its idle list before.
func (c *conn) wake() bool {
	c.woken.Store(true)
	_ = c.SetReadDeadline(longPast)
	<-c.stopped
	return c.quiet
}
