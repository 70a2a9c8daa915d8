package cell

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// darkListener takes connections that go silent while dark is set, as those of a machine
// without power: nothing is answered and nothing is closed.
type darkListener struct {
	net.Listener
	dark *atomic.Bool
}

func (l *darkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &darkConn{Conn: c, dark: l.dark}, nil
}

type darkConn struct {
	net.Conn
	dark *atomic.Bool
}

func (c *darkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.hold()
	return n, err
}

func (c *darkConn) Write(b []byte) (int, error) {
	if c.dark.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// hold waits while the machine is dark.
func (c *darkConn) hold() {
	for c.dark.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// TestControllerGoesDark cuts the power of the controller's machine: its connections stay
// open and silent.
func TestControllerGoesDark(t *testing.T) {
	c := newTestCell(t, 3)
	l := c.leader(5 * time.Second)
	o := c.other(l)
	c.submit(o, "j1")
	l.dark.Store(true)
	l.cut.Store(true)
	defer l.dark.Store(false)
	began := time.Now()
	for !c.leadsBut(l) {
		if time.Since(began) > 3*time.Second {
			t.Fatal("nobody took over")
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("took over after %v", time.Since(began))
}

// leadsBut reports whether a node other than n leads and serves.
func (c *testCell) leadsBut(n *testNode) bool {
	for _, o := range c.nodes {
		if l := o.lead.Load(); o != n && l != nil && l.serving() {
			return true
		}
	}
	return false
}
