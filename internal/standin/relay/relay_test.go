package relay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// echoServer answers every connection with what it sends.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().String()
}

func newEcho(t *testing.T, s Shape) (*Relay, string) {
	t.Helper()
	r := New(s, nil)
	t.Cleanup(r.Close)
	addr, err := r.AddRoute("127.0.0.1:0", echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	return r, addr
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends data and reads as much back within d.
func echo(conn net.Conn, data []byte, d time.Duration) ([]byte, error) {
	_ = conn.SetDeadline(time.Now().Add(d))
	go func() { _, _ = conn.Write(data) }()
	got := make([]byte, len(data))
	_, err := io.ReadFull(conn, got)
	return got, err
}

func TestRelayCarriesAndCounts(t *testing.T) {
	r, addr := newEcho(t, Shape{})
	conn := dial(t, addr)
	data := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	got, err := echo(conn, data, 20*time.Second)
	if err != nil || !bytes.Equal(got, data) {
		t.Fatalf("echo: %d bytes, %v", len(got), err)
	}
	if s := r.Status(); s.UpBytes != int64(len(data)) || s.DownBytes != int64(len(data)) || s.Connections != 1 {
		t.Errorf("status %+v", s)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the end: %v, want EOF", err)
	}
}

func TestSilenceHoldsOldConnectionsAndLetsNewOnesWork(t *testing.T) {
	r, addr := newEcho(t, Shape{})
	old := dial(t, addr)
	if _, err := echo(old, []byte("a"), 5*time.Second); err != nil {
		t.Fatal(err)
	}
	r.Silence()
	if _, err := echo(old, []byte("b"), 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("old connection: %v, want a timeout", err)
	}
	if _, err := echo(dial(t, addr), []byte("c"), 5*time.Second); err != nil {
		t.Errorf("new connection: %v", err)
	}
	r.Heal()
	if _, err := echo(old, []byte("d"), 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("old connection after heal: %v, want a timeout", err)
	}
}

// dialAndEcho returns the failure of a new connection, whether the dial or the first
// use of the connection meets it.
func dialAndEcho(addr string, b []byte) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = echo(conn, b, 5*time.Second)
	return err
}

func TestBlackholeAndCutUntilHealed(t *testing.T) {
	r, addr := newEcho(t, Shape{})
	r.Blackhole()
	if _, err := echo(dial(t, addr), []byte("a"), 200*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("black hole: %v, want a timeout", err)
	}
	r.Heal()
	conn := dial(t, addr)
	if _, err := echo(conn, []byte("b"), 5*time.Second); err != nil {
		t.Fatal(err)
	}
	r.Cut()
	if _, err := echo(conn, []byte("c"), 5*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("cut connection: %v, want a reset", err)
	}
	if err := dialAndEcho(addr, []byte("d")); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("new connection while cut: %v, want a reset", err)
	}
	r.Heal()
	if _, err := echo(dial(t, addr), []byte("e"), 5*time.Second); err != nil {
		t.Errorf("after heal: %v", err)
	}
}

// TestHeldBytesArriveAfterTheirCallerHasGivenUp guards against a relay that drops what was sent into a hold once the
// caller has closed its end: TCP delivers it when the path is back.
func TestHeldBytesArriveAfterTheirCallerHasGivenUp(t *testing.T) {
	received := make(chan string, 1)
	r, addr := newSink(t, received)
	conn := dial(t, addr)
	if _, err := conn.Write([]byte("a")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	r.Hold()
	if _, err := conn.Write([]byte("b")); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	select {
	case got := <-received:
		t.Fatalf("received %q during the hold", got)
	case <-time.After(300 * time.Millisecond):
	}
	r.Heal()
	select {
	case got := <-received:
		if got != "ab" {
			t.Errorf("received %q, want %q", got, "ab")
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing arrived after the hold")
	}
}

// TestConnectionOpenedInHold guards against a relay that delivers what was sent on a connection that was opened in a hold
// and given up in it, or that does not carry one whose caller still waits.
func TestConnectionOpenedInHold(t *testing.T) {
	received := make(chan string, 2)
	r, addr := newSink(t, received)
	r.Hold()
	given, waiting := dial(t, addr), dial(t, addr)
	for conn, text := range map[net.Conn]string{given: "given up", waiting: "waits"} {
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	_ = given.Close()
	time.Sleep(100 * time.Millisecond)
	r.Heal()
	time.Sleep(300 * time.Millisecond)
	_ = waiting.Close()
	select {
	case got := <-received:
		if got != "waits" {
			t.Errorf("received %q, want %q", got, "waits")
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing arrived after the hold")
	}
	select {
	case got := <-received:
		t.Errorf("received %q as well", got)
	case <-time.After(200 * time.Millisecond):
	}
}

// newSink returns a relay to a server that passes on what it has received on each connection when that ends.
func newSink(t *testing.T, received chan<- string) (*Relay, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b, _ := io.ReadAll(conn) // a reset ends it as well
				received <- string(b)
			}()
		}
	}()
	r := New(Shape{}, nil)
	t.Cleanup(r.Close)
	addr, err := r.AddRoute("127.0.0.1:0", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return r, addr
}

func TestDelayAddsUpBothWays(t *testing.T) {
	_, addr := newEcho(t, Shape{DelayMs: 40})
	conn := dial(t, addr)
	began := time.Now()
	if _, err := echo(conn, []byte("a"), 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 80*time.Millisecond {
		t.Errorf("round trip in %v, want 80 ms or more", took)
	}
}

func TestLaneSharesItsBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &lane{}
		l.setShape(Shape{DelayMs: 8, BitsPerSecond: 8e6})
		began := time.Now()
		for i := 1; i <= 10; i++ {
			want := time.Duration(i)*10*time.Millisecond + 8*time.Millisecond
			if got := l.schedule(10000, began).Sub(began); got != want {
				t.Errorf("chunk %d arrives after %v, want %v", i, got, want)
			}
		}
		time.Sleep(time.Second)
		if got := time.Until(l.schedule(10000, time.Now())); got != 18*time.Millisecond {
			t.Errorf("after a rest a chunk takes %v, want 18ms", got)
		}
	})
}
