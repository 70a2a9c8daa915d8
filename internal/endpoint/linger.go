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
	select {
	case p.lingering <- struct{}{}:
	default:
		p.drop(c)
		return
	}
	_ = c.SetDeadline(time.Now().Add(p.opts.LingerFor))
	go p.awaitLate(c, req)
}

func (p *pool) awaitLate(c *conn, req *http.Request) {
	defer func() { <-p.lingering }()
	defer p.drop(c)
	resp, err := readResponse(c, req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	l := Late{Worker: c.target.Worker, Request: resp.Header.Get(HeaderRequestID)}
	if resp.ContentLength > 0 && resp.ContentLength <= structs.MaxAnswerBytes {
		l.Bytes = int(resp.ContentLength)
	}
	p.late(l)
}
