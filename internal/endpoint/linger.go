package endpoint

import (
	"net/http"
	"time"

	"dotterelhitch/internal/structs"
)

// linger reads on from a connection whose attempt has timed out, so that a late
// answer is counted; it is dropped in any case. The number of such connections
// is bounded; past the bound the connection is closed at once.
func (p *pool) linger(c *conn, req *http.Request) {
	if !p.addLingering(c) {
		p.drop(c)
		return
	}
	_ = c.SetDeadline(time.Now().Add(p.opts.LateAnswerTimeout))
	go p.awaitLate(c, req)
}

func (p *pool) addLingering(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.lingering) >= p.opts.MaxLateAnswerConns {
		return false
	}
	p.lingering[c] = struct{}{}
	return true
}

func (p *pool) removeLingering(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lingering, c)
}

// awaitLate runs as a goroutine until the connection's deadline at the latest.
func (p *pool) awaitLate(c *conn, req *http.Request) {
	defer p.drop(c)
	defer p.removeLingering(c)
	resp, err := readResponse(c, req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	l := LateAnswer{Worker: c.target.Worker, Request: resp.Header.Get(HeaderRequestID)}
	if resp.ContentLength > 0 && resp.ContentLength <= structs.MaxAnswerBytes {
		l.Bytes = int(resp.ContentLength)
	}
	p.late(l)
}
