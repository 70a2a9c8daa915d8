package httpintake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/intake"
	"dotterelhitch/internal/peer"
	"dotterelhitch/internal/structs"
)

// testServer is a protected server on a loopback address. Its handler reads the body and counts whole ones.
type testServer struct {
	addr  string
	gate  *Gate
	iface *Interface
	set   *metrics.Set
	whole atomic.Int64
	// sawHTTP2 counts the requests of HTTP/2.
	sawHTTP2 atomic.Int64
	// received counts the bytes of bodies that the handler has read.
	received atomic.Int64
	// hold is how many whole requests must have arrived before the first is answered.
	hold atomic.Int64
}

// serveTest starts a protected server. The bounds may be zero for ones that no test reaches.
func serveTest(t testing.TB, memory int64, connections int, l Limits) *testServer {
	t.Helper()
	return serveTestAt(t, memory, connections, l, time.Now)
}

// serveTestAt is serveTest with another clock for the account.
func serveTestAt(t testing.TB, memory int64, connections int, l Limits, now func() time.Time) *testServer {
	t.Helper()
	set := metrics.NewSet()
	s := &testServer{set: set, gate: New("test", memory, event.NewRecorder("test", &event.Clock{}, nil), set)}
	s.gate.now = now
	s.iface = s.gate.Interface("test", connections, 0)
	listener, err := Listen("127.0.0.1:0", Buffers{Receive: intake.ReceiveBuffer, Send: intake.SendBuffer})
	if err != nil {
		t.Fatal(err)
	}
	s.addr = listener.Addr().String()
	server := peer.NewHTTP2Server(http.HandlerFunc(s.handle))
	s.iface.Protect(server, func(w http.ResponseWriter, _ *http.Request, err error) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	})
	go func() { _ = server.Serve(s.iface.Listener(listener)) }()
	if l.HeaderBytes == 0 {
		l.HeaderBytes = 1 << 20
	}
	for _, bound := range []*time.Duration{&l.Header, &l.Stall, &l.Body} {
		if *bound == 0 {
			*bound = time.Hour
		}
	}
	done := make(chan struct{})
	go s.gate.Run(func() Limits { return l }, done)
	t.Cleanup(func() {
		close(done)
		_ = server.Close()
	})
	return s
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 2 {
		s.sawHTTP2.Add(1)
	}
	b := make([]byte, 4<<10)
	for {
		n, err := r.Body.Read(b)
		s.received.Add(int64(n))
		if err == io.EOF {
			s.whole.Add(1)
			for s.whole.Load() < s.hold.Load() && r.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
			return
		}
		if err != nil {
			if structs.CodeOf(err) == structs.CodeUnavailable {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
}

func (s *testServer) refused(reason intake.Reason) uint64 { return s.iface.refused[reason].Get() }

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// status returns the status of the next response, 0 if the connection ends without one.
func status(t *testing.T, c net.Conn) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second)) // fails on a closed connection only
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // some connections are reset behind the status
	_ = resp.Body.Close()
	return resp.StatusCode
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not seen in time: %s", what)
}

const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

const post = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"

// handling returns the number of requests that are being handled.
func (s *testServer) handling() (n int) {
	s.iface.locked(func() {
		for range s.gate.account.Handling {
			n++
		}
	})
	return n
}

// serveInStoppedTime starts a protected server on whose clock no time passes, so that no client is cut off for having
// made no progress.
func serveInStoppedTime(t *testing.T, connections int) *testServer {
	start := time.Now()
	return serveTestAt(t, 1<<20, connections, Limits{}, func() time.Time { return start })
}

// connectAnew connects and sends a request until one is answered with 200.
func (s *testServer) connectAnew(t *testing.T) {
	t.Helper()
	await(t, "an answer on a new connection", func() bool {
		c := s.dial(t)
		_, _ = io.WriteString(c, get) // it may be refused at once
		return status(t, c) == http.StatusOK
	})
}

func (s *testServer) cost() (n int64) {
	s.iface.locked(func() { n = s.gate.account.Cost() })
	return n
}

func (s *testServer) open() (n int) {
	s.iface.locked(func() { n = s.iface.pool.Open() })
	return n
}
