package endpoint

import (
	"net/http"
	"time"

	"dotterelhitch/internal/structs"
)

// monitorLateAnswer continues to read from a connection whose attempt has timed out, so
// that a late answer is counted; the answer itself is discarded. The number of such
// connections is bounded; beyond the limit the connection is closed at once.
func (p *pool) monitorLateAnswer(c *conn, req *http.Request) {
	if !p.addAwaitingLate(c) {
		p.discard(c)
		return
	}
	_ = c.SetDeadline(time.Now().Add(p.opts.LateAnswerTimeout))
	go p.readLateAnswer(c, req)
}

func (p *pool) addAwaitingLate(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.awaitingLate) >= p.opts.MaxLateAnswerConns {
		return false
	}
	p.awaitingLate[c] = struct{}{}
	return true
}

func (p *pool) removeAwaitingLate(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.awaitingLate, c)
}

// readLateAnswer counts a late answer and closes the connection. It runs in its own
// goroutine and ends by the connection's deadline.
func (p *pool) readLateAnswer(c *conn, req *http.Request) {
	defer p.discard(c)
	defer p.removeAwaitingLate(c)
	resp, err := readResponse(c, req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	l := LateAnswer{Worker: c.target.Worker, Request: resp.Header.Get(HeaderRequestID)}
	if resp.ContentLength > 0 && resp.ContentLength <= structs.MaxAnswerBytes {
		l.Bytes = int(resp.ContentLength)
	}
	p.onLateAnswer(l)
}
