package relay

import (
	"errors"
	"net"
	"os"
	"time"
)

// firstRetransmission is how long after data was sent it is sent again first, if it is not acknowledged. The time
// doubles with each retransmission.
const firstRetransmission = 200 * time.Millisecond

// releaseOf returns the channel that is closed when the relay holds nothing back.
func (r *Relay) releaseOf() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.released
}

// awaitRelease waits until the relay holds nothing back. It returns what the caller has sent meanwhile, and false if
// the caller has given up by then.
func (r *Relay) awaitRelease(conn net.Conn) (early []byte, ok bool) {
	released := r.releaseOf()
	go func() {
		<-released
		_ = conn.SetReadDeadline(time.Now())
	}()
	buf := make([]byte, chunkBytes)
	for {
		n, err := conn.Read(buf)
		early = append(early, buf[:n]...)
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			_ = conn.Close()
			return nil, false
		}
		return early, conn.SetReadDeadline(time.Time{}) == nil
	}
}

// awaitRetransmission waits, if the relay holds back a chunk, until the first retransmission after the hold.
func (p *pair) awaitRetransmission(c *chunk) {
	for {
		select {
		case <-p.release():
			return
		default:
		}
		select {
		case <-p.release():
		case <-p.closed:
			return
		}
		p.await(nextRetransmission(c.arrives, time.Now()))
	}
}

// nextRetransmission returns the first time after now at which data that was sent at sent is sent again.
func nextRetransmission(sent, now time.Time) time.Time {
	pause := firstRetransmission
	for at := sent.Add(pause); ; at = at.Add(pause) {
		if at.After(now) {
			return at
		}
		pause *= 2
	}
}
