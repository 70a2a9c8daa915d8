package endpoint

import (
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/structs"
)

// pool holds the connections to all endpoints, bounded for each.
type pool struct {
	opts Options
	late func(LateAnswer)

	mu    sync.Mutex
	hosts map[string]*host
	// lingering are the connections that are read on after their attempt.
	lingering map[*conn]struct{}
	closed    bool
}

// host is the connections to one address. The pool's lock guards it.
type host struct {
	// idle is ordered by the time of the last answer, the latest at the end.
	idle []*conn
	// open counts idle, busy, lingering and dialled connections.
	open int
}

func newPool(o Options, late func(LateAnswer)) *pool {
	return &pool{
		opts:      o,
		late:      late,
		hosts:     make(map[string]*host),
		lingering: make(map[*conn]struct{}),
	}
}

// get returns a connection for one attempt: an idle one that answered not long
// ago, else a new one. For a request that must not run twice only a fresh one
// will do, because an older one may have gone silent.
func (p *pool) get(ctx context.Context, t Target, idempotent bool, deadline time.Time) (*conn, error) {
	maxAge := p.opts.NonIdempotentIdleLimit
	if idempotent {
		maxAge = p.opts.IdleTimeout
	}
	for {
		c := p.takeIdle(t.Addr, time.Now().Add(-maxAge))
		if c == nil {
			return p.dial(ctx, t, deadline)
		}
		if c.wake() {
			c.target = t
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle takes the connection that answered last, if not before since.
func (p *pool) takeIdle(addr string, since time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	if c.answeredAt.Before(since) {
		return nil
	}
	h.idle = h.idle[:last]
	return c
}

// dial opens a connection within the bound of the endpoint. Every failure is
// one before the first byte.
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

// reserve counts one more connection, closing the oldest idle one if the bound
// is reached.
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
	if h.open < bound(t) {
		h.open++
		return nil
	}
	if len(h.idle) == 0 {
		return structs.NewError(structs.CodeOverload, "worker %s: all %d connections are busy", t.Worker, bound(t))
	}
	oldest := h.idle[0]
	h.idle = h.idle[1:]
	_ = oldest.Close()
	return nil
}

// bound is the number of connections for requests to one endpoint.
func bound(t Target) int {
	if t.Connections <= 0 {
		return defaultConnections
	}
	return max(t.Connections-controlConnections, minWorkerConnection)
}

func (p *pool) unreserve(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uncount(addr)
}

// uncount forgets one connection; the caller holds the lock.
func (p *pool) uncount(addr string) {
	h := p.hosts[addr]
	if h == nil {
		return
	}
	h.open--
	if h.open == 0 {
		delete(p.hosts, addr)
	}
}

// put takes back a connection whose answer was whole. Bytes past the answer are
// an answer too many: they are counted and the connection is closed.
func (p *pool) put(c *conn) {
	if c.reader.Buffered() > 0 {
		p.late(LateAnswer{Worker: c.target.Worker})
		p.drop(c)
		return
	}
	c.reused = true
	if !p.addIdle(c) {
		p.drop(c)
	}
}

func (p *pool) addIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.target.Addr]
	if p.closed || h == nil {
		return false
	}
	c.startWatch(p.opts.IdleTimeout, p.ended)
	h.idle = append(h.idle, c)
	return true
}

// ended closes an idle connection whose watcher saw its end. It runs in the
// watcher's goroutine.
func (p *pool) ended(c *conn, surplus bool) {
	if surplus {
		p.late(LateAnswer{Worker: c.target.Worker})
	}
	if p.removeIdle(c) {
		p.drop(c)
	}
}

// removeIdle reports false if the connection was taken out before.
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

// drop closes a connection that is not in the idle list.
func (p *pool) drop(c *conn) {
	_ = c.Close()
	p.unreserve(c.target.Addr)
}

// close closes every idle and lingering connection and refuses new ones.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.lingering {
		_ = c.Close()
	}
	for addr, h := range p.hosts {
		for _, c := range h.idle {
			_ = c.Close()
			p.uncount(addr)
		}
		h.idle = nil
	}
}
