package cell

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// powerCutListener accepts connections that carry no data while poweredOff is set, like those of
// a machine without power: nothing is answered and no connection is closed.
type powerCutListener struct {
	net.Listener
	poweredOff *atomic.Bool
	delay      *atomic.Int64 // of what is written, in nanoseconds
	// silence counts the times at which all open connections went silent.
	silence atomic.Int64
}

// goSilent has all open connections carry nothing more. New ones work.
func (l *powerCutListener) goSilent() { l.silence.Add(1) }

func (l *powerCutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	silence := l.silence.Load()
	isSilent := func() bool { return l.poweredOff.Load() || l.silence.Load() != silence }
	conn := &powerCutConn{Conn: c, isSilent: isSilent, delay: l.delay, writes: make(chan delayedWrite, 1<<12), closed: make(chan struct{})}
	go conn.writeDelayed()
	return conn, nil
}

type powerCutConn struct {
	net.Conn
	isSilent  func() bool
	delay     *atomic.Int64
	writes    chan delayedWrite
	closed    chan struct{}
	closeOnce sync.Once
}

// delayedWrite is what a connection sends at a time.
type delayedWrite struct {
	at time.Time
	b  []byte
}

// writeDelayed sends what was written in its order, each part when it is due.
func (c *powerCutConn) writeDelayed() {
	for w := range c.writes {
		time.Sleep(time.Until(w.at))
		if _, err := c.Conn.Write(w.b); err != nil {
			return
		}
	}
}

func (c *powerCutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.waitWhileSilent()
	return n, err
}

// Close implements net.Conn.
func (c *powerCutConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *powerCutConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	select {
	case c.writes <- delayedWrite{at: time.Now().Add(time.Duration(c.delay.Load())), b: bytes.Clone(b)}:
		return len(b), nil
	default:
		return 0, net.ErrClosed
	}
}

// waitWhileSilent waits while the connection is silent, until it is closed.
func (c *powerCutConn) waitWhileSilent() {
	for c.isSilent() {
		select {
		case <-c.closed:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestControllerLosesPower simulates a power cut of the controller's machine: its connections
// stay open but carry no data. Another member takes over.
func TestControllerLosesPower(t *testing.T) {
	c := newTestCell(t, 3)
	l := c.awaitLeader(5 * time.Second)
	o := c.otherThan(l)
	c.submit(o, "j1")
	l.poweredOff.Store(true)
	l.cutFromLog.Store(true)
	defer l.poweredOff.Store(false)
	began := time.Now()
	for !c.otherLeads(l) {
		if time.Since(began) > 3*time.Second {
			t.Fatal("no other member took over")
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("took over after %v", time.Since(began))
}

// otherLeads reports whether a node other than n is a serving controller.
func (c *testCell) otherLeads(n *testNode) bool {
	for _, o := range c.nodes {
		if l := o.term.Load(); o != n && l != nil && l.serving() {
			return true
		}
	}
	return false
}
