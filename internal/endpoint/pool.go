package endpoint

import (
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/structs"
)

// pool manages the connections to all endpoints, with a limit for each endpoint.
type pool struct {
	opts         Options
	onLateAnswer func(LateAnswer)

	mu    sync.Mutex
	hosts map[string]*host
	// awaitingLate are the connections that are still read after their attempt timed out.
	awaitingLate map[*conn]struct{}
	closed       bool
}

// host is the connections to one address. The pool's lock guards it.
type host struct {
	// idle is ordered by the time of the last answer, the latest at the end.
	idle []*conn
	// openCount counts idle, busy, lingering and dialled connections.
	openCount int
}

func newPool(o Options, late func(LateAnswer)) *pool {
	return &pool{
		opts:         o,
		onLateAnswer: late,
		hosts:        make(map[string]*host),
		awaitingLate: make(map[*conn]struct{}),
	}
}

// acquire returns a connection for one attempt: an idle one that answered recently,
// else a new one. The idle limit is shorter for a request that must not run twice,
// because a connection that has been idle for longer may be dead without an error.
func (p *pool) acquire(ctx context.Context, t Target, idempotent bool, deadline time.Time) (*conn, error) {
	maxAge := p.opts.NonIdempotentIdleLimit
	if idempotent {
		maxAge = p.opts.IdleTimeout
	}
	for {
		c := p.popIdle(t.Addr, time.Now().Add(-maxAge))
		if c == nil {
			return p.dial(ctx, t, deadline)
		}
		if c.stopWatch() {
			c.target = t
			return c, nil
		}
		p.discard(c)
	}
}

// popIdle removes and returns the idle connection with the latest answer, nil if that
// answer came before notBefore.
func (p *pool) popIdle(addr string, notBefore time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	if c.lastAnswerAt.Before(notBefore) {
		return nil
	}
	h.idle = h.idle[:last]
	return c
}

// dial opens a connection within the endpoint's connection limit. On failure no byte
// of the request has been sent.
func (p *pool) dial(ctx context.Context, t Target, deadline time.Time) (*conn, error) {
	left, err := untilDeadline(time.Now(), deadline)
	if err != nil {
		return nil, err
	}
	if err := p.reserve(t); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(left, p.opts.DialTimeout))
	defer cancel()
	raw, err := p.opts.Dial(ctx, t.Addr)
	if err != nil {
		p.unreserve(t.Addr)
		return nil, structs.NewError(structs.CodeUnavailable, "worker %s: %v", t.Worker, err)
	}
	return newConn(raw, t), nil
}

// reserve counts one more connection; at the limit it closes the oldest idle one.
func (p *pool) reserve(t Target) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return structs.NewError(structs.CodeDraining, "the connections to endpoints are closed")
	}
	h := p.hosts[t.Addr]
	if h == nil {
		h = new(host)
		p.hosts[t.Addr] = h
	}
	if h.openCount < maxRequestConns(t) {
		h.openCount++
		return nil
	}
	if len(h.idle) == 0 {
		return structs.NewError(structs.CodeOverload, "worker %s: all %d connections are busy", t.Worker, maxRequestConns(t))
	}
	oldest := h.idle[0]
	h.idle = h.idle[1:]
	_ = oldest.Close()
	return nil
}

// maxRequestConns is the number of connections for requests to one endpoint.
func maxRequestConns(t Target) int {
	if t.Connections <= 0 {
		return defaultConnections
	}
	return max(t.Connections-controlConnections, minConnections)
}

func (p *pool) unreserve(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseSlotLocked(addr)
}

// releaseSlotLocked counts one connection less; the caller must hold the lock.
func (p *pool) releaseSlotLocked(addr string) {
	h := p.hosts[addr]
	if h == nil {
		return
	}
	h.openCount--
	if h.openCount == 0 {
		delete(p.hosts, addr)
	}
}

// release returns a connection to the pool after a complete answer. Bytes after the
// answer are counted as a surplus answer, and the connection is closed.
func (p *pool) release(c *conn) {
	if c.reader.Buffered() > 0 {
		p.onLateAnswer(LateAnswer{Worker: c.target.Worker})
		p.discard(c)
		return
	}
	c.reused = true
	if !p.addIdle(c) {
		p.discard(c)
	}
}

func (p *pool) addIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.target.Addr]
	if p.closed || h == nil {
		return false
	}
	c.startWatch(p.opts.IdleTimeout, p.idleEnded)
	h.idle = append(h.idle, c)
	return true
}

// idleEnded closes an idle connection after its watcher received data (surplus), an end
// of the connection or a timeout. It runs in the watcher's goroutine.
func (p *pool) idleEnded(c *conn, surplus bool) {
	if surplus {
		p.onLateAnswer(LateAnswer{Worker: c.target.Worker})
	}
	if p.removeIdle(c) {
		p.discard(c)
	}
}

// removeIdle removes a connection from the idle list; it reports false if the connection
// is no longer there.
func (p *pool) removeIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.target.Addr]
	if h == nil {
		return false
	}
	for i := range h.idle {
		if h.idle[i] == c {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			return true
		}
	}
	return false
}

// discard closes a connection that is not in the idle list.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.unreserve(c.target.Addr)
}

// close closes every idle and lingering connection and refuses new ones.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.awaitingLate {
		_ = c.Close()
	}
	for addr, h := range p.hosts {
		for _, c := range h.idle {
			_ = c.Close()
			p.releaseSlotLocked(addr)
		}
		h.idle = nil
	}
}
