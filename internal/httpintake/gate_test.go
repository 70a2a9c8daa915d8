package httpintake

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/intake"
	"dotterelhitch/internal/peer"
)

// TestStalledBodyIsCutOff guards against a body that holds memory for ever, and against an answer that leaves open
// whether the request was carried out.
func TestStalledBodyIsCutOff(t *testing.T) {
	s := serveTest(t, 1<<20, 10, Limits{Bounds: intake.Bounds{Stall: time.Second}})
	c := s.dial(t)
	send(t, c, fmt.Sprintf(post, 100)+strings.Repeat("x", 99))
	if got := status(t, c); got != http.StatusServiceUnavailable {
		t.Errorf("status %d", got)
	}
	if s.whole.Load() != 0 || s.refused(intake.TooSlow) != 1 {
		t.Errorf("%d whole requests, %d refused", s.whole.Load(), s.refused(intake.TooSlow))
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open")
	}
}

// TestDripIsCutOff is TestStalledBodyIsCutOff with a byte now and then.
func TestDripIsCutOff(t *testing.T) {
	s := serveTest(t, 1<<20, 10, Limits{Bounds: intake.Bounds{Body: time.Second}})
	c := s.dial(t)
	send(t, c, fmt.Sprintf(post, 1<<20))
	go func() {
		for {
			if _, err := c.Write([]byte{'x'}); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	if got := status(t, c); got != http.StatusServiceUnavailable || s.whole.Load() != 0 {
		t.Errorf("status %d, %d whole requests", got, s.whole.Load())
	}
}

// TestSlowHeadersAreCutOff guards against headers, and connections without any, that hold a connection for ever.
func TestSlowHeadersAreCutOff(t *testing.T) {
	s := serveTest(t, 1<<20, 10, Limits{Bounds: intake.Bounds{Header: time.Second}})
	silent, slow := s.dial(t), s.dial(t)
	send(t, slow, "POST / HTTP/1.1\r\nHost: x\r\n")
	for _, c := range []net.Conn{silent, slow} {
		if got := status(t, c); got != 0 {
			t.Errorf("status %d", got)
		}
	}
	if n := s.refused(intake.TooSlow); n != 2 {
		t.Errorf("%d refused", n)
	}
}

// TestIdleConnectionStaysOpen guards against the bound of headers that is applied to the time between requests.
func TestIdleConnectionStaysOpen(t *testing.T) {
	s := serveTest(t, 1<<20, 10, Limits{})
	c := s.dial(t)
	for range 2 {
		send(t, c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if got := status(t, c); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		await(t, "the wait for the next request", func() bool { return s.handling() == 0 })
		s.gate.sweep(intake.Bounds{})
	}
}

// TestHeaderOverTheLimitIsRefused guards against headers that use up the memory.
func TestHeaderOverTheLimitIsRefused(t *testing.T) {
	s := serveTest(t, 1<<20, 10, Limits{HeaderBytes: 16 << 10})
	await(t, "the limit in force", func() bool { return s.gate.headerBytes.Load() == 16<<10 })
	c := s.dial(t)
	send(t, c, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 15<<10)+"\r\n\r\n")
	if got := status(t, c); got != http.StatusOK {
		t.Errorf("status %d of a header within the limit", got)
	}
	// The server closes the connection while the client still sends, so that the response may be lost.
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 40<<10))
	if got := status(t, c); got != 0 && got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d of a header over the limit", got)
	}
	await(t, "a refusal", func() bool { return s.refused(oversizedHeader) == 1 })
}

// TestBodyIsRefusedWhileOthersMakeProgress guards against memory beyond the limit, and a refusal that the client
// doesn't get to see.
func TestBodyIsRefusedWhileOthersMakeProgress(t *testing.T) {
	const memory, body = 1 << 20, 300 << 10
	// The clock stands still, so that no body does.
	start := time.Now()
	s := serveTestAt(t, memory, 10, Limits{}, func() time.Time { return start })
	c := s.dial(t)
	send(t, c, fmt.Sprintf(post, body)+strings.Repeat("x", body-1))
	await(t, "the first body", func() bool { return s.received.Load() == body-1 })
	other := s.dial(t)
	send(t, other, fmt.Sprintf(post, 200<<10)+strings.Repeat("x", 200<<10))
	if got := status(t, other); got != http.StatusServiceUnavailable {
		t.Errorf("status %d", got)
	}
	small := s.dial(t)
	send(t, small, fmt.Sprintf(post, 3000)+strings.Repeat("x", 3000))
	if got := status(t, small); got != http.StatusOK {
		t.Errorf("status %d of a small request", got)
	}
	if s.refused(intake.OutOfMemory) != 1 || s.whole.Load() != 1 {
		t.Errorf("%d refused, %d whole", s.refused(intake.OutOfMemory), s.whole.Load())
	}
	send(t, c, "x")
	if got := status(t, c); got != http.StatusOK {
		t.Errorf("status %d of the first request", got)
	}
}

// TestOrdinaryBurstMeetsNoLimit guards against limits that ordinary callers meet: some hundred connections that stay
// open, each with a request that waits for its answer, again and again, on the smallest machine.
func TestOrdinaryBurstMeetsNoLimit(t *testing.T) {
	const connections, rounds, body = 400, 5, 5000
	plan := intake.PlanLimits(184, 4100)
	s := serveTest(t, plan.CallerMemory, plan.Callers, Limits{})
	s.hold.Store(connections)
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for range rounds {
				if _, err := io.WriteString(c, fmt.Sprintf(post, body)+strings.Repeat("x", body)); err != nil {
					t.Error(err)
					return
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%v, %v", resp, err)
					return
				}
				_ = resp.Body.Close()
			}
		})
	}
	group.Wait()
	for reason, counter := range s.iface.refused {
		if n := counter.Get(); n > 0 {
			t.Errorf("%d refused: %s", n, reason)
		}
	}
	if n := s.whole.Load(); n != connections*rounds {
		t.Errorf("%d whole requests of %d", n, connections*rounds)
	}
}

// TestOldestConnectionMakesRoom guards against connections that keep out ordinary callers.
func TestOldestConnectionMakesRoom(t *testing.T) {
	s := serveTest(t, 1<<20, 3, Limits{})
	var idle []net.Conn
	for range 3 {
		c := s.dial(t)
		send(t, c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if got := status(t, c); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		idle = append(idle, c)
	}
	for attempt := 0; ; attempt++ {
		c := s.dial(t)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") // it may be refused at once
		if status(t, c) == http.StatusOK {
			break
		}
		if attempt == 100 {
			t.Fatal("no connection was accepted")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := status(t, idle[0]); got != 0 {
		t.Errorf("the oldest connection: status %d", got)
	}
}

// TestClientsThatSendAheadMakeRoom guards against an interface that is full of clients that send requests without
// waiting for the answers, and against a request of theirs of which the client is told that it has not run.
func TestClientsThatSendAheadMakeRoom(t *testing.T) {
	const submission = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nxyz"
	large := strings.Replace(get, "Host", "X-Long: "+strings.Repeat("x", 6<<10)+"\r\nHost", 1)
	tests := []struct {
		name string
		text string
		// more is sent once the first request is handled, whose answer then waits.
		more string
	}{
		{"requests", get + get, ""},
		{"submissions", submission + submission, ""},
		{"a submission and a request", submission + get, ""},
		{"requests larger than what is read ahead", large + large, "G"},
		{"a part of a request", get, "G"},
		{"a part of a request behind a submission", submission, "G"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serveInStoppedTime(t, 2)
			caller, ahead := s.dial(t), s.dial(t)
			send(t, caller, get)
			if got := status(t, caller); got != http.StatusOK {
				t.Fatalf("status %d", got)
			}
			if tt.more != "" {
				s.hold.Store(s.whole.Load() + 2) // until the request on the new connection
			}
			send(t, ahead, tt.text)
			if tt.more != "" {
				await(t, "the first request", func() bool { return s.whole.Load() == 2 })
				send(t, ahead, tt.more)
			}
			s.connectAnew(t)
			rest, _ := io.ReadAll(ahead) // the connection may be reset
			if bytes.Contains(rest, []byte(" 503 ")) || (tt.more != "" && len(rest) > 0) {
				t.Errorf("the client that sent ahead was told: %.300s", rest)
			}
			send(t, caller, get)
			if got := status(t, caller); got != http.StatusOK {
				t.Errorf("status %d on the connection that stays open", got)
			}
		})
	}
}

// TestKeepAliveCallerKeepsItsConnection guards against a caller that waits for each answer and is cut off for clients
// that send requests ahead: at the limit of connections all the time, with its next request as soon as it has the answer.
func TestKeepAliveCallerKeepsItsConnection(t *testing.T) {
	const connections, others, rounds = 4, 8, 500
	s := serveInStoppedTime(t, connections)
	caller := s.dial(t)
	r := bufio.NewReader(caller)
	ask := func(text string) {
		t.Helper()
		send(t, caller, text)
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
		_ = resp.Body.Close()
	}
	ask(get)
	var group sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	defer group.Wait()
	defer stop()
	for range others {
		group.Go(func() { sendAheadAnew(ctx, s.addr) })
	}
	await(t, "the limit of connections", func() bool { return s.refused(intake.OutOfConnections) > 0 })
	for range rounds {
		ask(get)
		ask(fmt.Sprintf(post, 3000) + strings.Repeat("x", 3000))
	}
	stop()
	group.Wait()
	// It is not among the clients that make room either.
	await(t, "the others' end", func() bool { return s.open() == 1 })
	for range connections - 1 {
		s.connectAnew(t)
	}
	other := s.dial(t)
	_, _ = io.WriteString(other, get) // it may be refused at once
	if got := status(t, other); got != 0 {
		t.Errorf("status %d of a connection beyond the limit", got)
	}
	ask(get)
}

// TestHTTP2ConnectionIsNotSentAhead guards against a connection of HTTP/2 whose requests, of which several are under way
// at a time, are taken for ones that were sent ahead.
func TestHTTP2ConnectionIsNotSentAhead(t *testing.T) {
	s := serveInStoppedTime(t, 1)
	transport := peer.NewTransport(nil)
	defer transport.CloseIdleConnections()
	for range 3 {
		req, err := http.NewRequest(http.MethodGet, "http://"+s.addr, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		other := s.dial(t)
		_, _ = io.WriteString(other, get) // it may be refused at once
		if got := status(t, other); got != 0 {
			t.Errorf("status %d of a connection beyond the limit", got)
		}
	}
	if n := s.sawHTTP2.Load(); n != 3 || s.open() != 1 {
		t.Errorf("%d requests of HTTP/2, %d connections", n, s.open())
	}
}

// sendAheadAnew sends requests without reading the answers, and connects anew when it is cut off, until ctx ends.
func sendAheadAnew(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		for err == nil {
			_, err = io.WriteString(c, strings.Repeat(get, 100))
		}
		stop()
		_ = c.Close()
	}
}

// TestHTTP2RequestsAreAccountedByStream guards against streams that use up the memory, and against a connection of
// HTTP/2 that is taken for an endless header.
func TestHTTP2RequestsAreAccountedByStream(t *testing.T) {
	s := serveTest(t, 1<<20, 10, Limits{HeaderBytes: 1})
	transport := peer.NewTransport(nil)
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	do := func(contentType string, body io.Reader, length int64) (int, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.addr, body)
		if err != nil {
			t.Fatal(err)
		}
		req.ContentLength = length
		req.Header.Set("Content-Type", contentType)
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return 0, err
		}
		_ = resp.Body.Close()
		return resp.StatusCode, nil
	}
	for range 20 {
		if got, err := do("application/proto", bytes.NewReader(make([]byte, 200<<10)), 200<<10); got != http.StatusOK {
			t.Fatalf("status %d, %v", got, err)
		}
	}
	await(t, "an idle connection", func() bool { return s.handling() == 0 })
	s.gate.sweep(intake.Bounds{})
	// A stalled body among them is cut off, and the connection goes on.
	pipe, writer := io.Pipe()
	before := s.received.Load()
	go func() {
		_, _ = writer.Write(make([]byte, 1000)) // the request may end before
		for s.received.Load() < before+1000 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		s.gate.sweep(intake.Bounds{Header: time.Hour, Body: time.Hour})
	}()
	if got, err := do("application/proto", pipe, 2000); got != http.StatusServiceUnavailable {
		t.Errorf("status %d, %v of a stalled body", got, err)
	}
	_ = writer.Close()
	if got, err := do("application/proto", bytes.NewReader(make([]byte, 1000)), 1000); got != http.StatusOK {
		t.Errorf("status %d, %v", got, err)
	}
	if n := s.sawHTTP2.Load(); n != 22 {
		t.Errorf("%d requests of HTTP/2", n)
	}
	await(t, "all memory free", func() bool { return s.cost() == 0 })
	await(t, "one idle connection", func() bool { return s.open() == 1 })
}

// TestStreamOfMessagesStaysOpen guards against a stream between members that is cut off while no message is sent, or
// whose messages add up to more than the limit.
func TestStreamOfMessagesStaysOpen(t *testing.T) {
	s := serveTest(t, 1<<20, 10, Limits{})
	transport := peer.NewTransport(nil)
	defer transport.CloseIdleConnections()
	pipe, writer := io.Pipe()
	// All messages take up more than the memory.
	req, err := http.NewRequest(http.MethodPost, "http://"+s.addr, pipe)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/connect+proto")
	result := make(chan int, 1)
	go func() {
		resp, err := transport.RoundTrip(req)
		if err != nil {
			result <- 0
			return
		}
		_ = resp.Body.Close()
		result <- resp.StatusCode
	}()
	const messages = 2000
	for i := range messages {
		message := binary.BigEndian.AppendUint32([]byte{0}, 1000)
		message = append(message, make([]byte, 1000)...)
		if _, err := writer.Write(message); err != nil {
			t.Fatal(err)
		}
		await(t, "the message", func() bool { return s.received.Load() == int64((i+1)*len(message)) })
		s.gate.sweep(intake.Bounds{})
	}
	_ = writer.Close()
	if got := <-result; got != http.StatusOK || s.whole.Load() != 1 {
		t.Errorf("status %d, %d whole", got, s.whole.Load())
	}
}

// TestEnvelope guards against a message boundary that is missed, however the stream is cut into pieces.
func TestEnvelope(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var all []byte
		ends := map[int]bool{}
		for range 10 {
			n := rng.IntN(4) * rng.IntN(300)
			all = binary.BigEndian.AppendUint32(append(all, byte(rng.IntN(2))), uint32(n))
			all = append(all, make([]byte, n)...)
			ends[len(all)] = true
		}
		var e envelope
		for at := 0; at < len(all); {
			n := min(1+rng.IntN(200), len(all)-at)
			at += n
			if got := e.advance(all[at-n : at]); got != ends[at] {
				t.Fatalf("seed %d: at %d a message ends: %v", seed, at, got)
			}
		}
	}
}

// TestClientThatDoesNotReadIsCutOff guards against connections that are held by answers which nobody takes.
func TestClientThatDoesNotReadIsCutOff(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := &conn{Conn: near}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("x"))
		written <- err
	}()
	await(t, "a write under way", func() bool { return c.writingSince.Load() != 0 })
	if c.writeBlocked(time.Now()) || !c.writeBlocked(time.Now().Add(2*writeStall)) {
		t.Error("a write counts as blocked too early, or never")
	}
	_ = near.Close()
	<-written
	if c.writeBlocked(time.Now().Add(2 * writeStall)) {
		t.Error("a write that has ended counts as blocked")
	}
}

// TestRefusalsAreReportedOnce guards against a line for each refused client.
func TestRefusalsAreReportedOnce(t *testing.T) {
	var out bytes.Buffer
	clock := &event.Clock{}
	sink := event.NewSink(&out, "test", clock)
	set := metrics.NewSet()
	g := New("test", 1<<20, event.NewRecorder("test", clock, sink), set)
	i := g.Interface("callers", 1, 0)
	for range 1000 {
		i.refused[intake.OutOfMemory].Inc()
	}
	g.report()
	g.report()
	sink.Close()
	if n := strings.Count(out.String(), string(event.ClientsRefused)); n != 1 || !strings.Contains(out.String(), "callers memory: 1000") {
		t.Errorf("%d lines: %s", n, out.String())
	}
	var exposed bytes.Buffer
	set.WritePrometheus(&exposed)
	if !strings.Contains(exposed.String(), `hitch_intake_refused_total{interface="callers",reason="memory"} 1000`) {
		t.Error(exposed.String())
	}
}

// BenchmarkRequest shows what the accounting costs an ordinary request of 3 KB on a connection that stays open.
func BenchmarkRequest(b *testing.B) {
	body := make([]byte, 3000)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })
	run := func(b *testing.B, addr string) {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for b.Loop() {
			resp, err := client.Post("http://"+addr, "", bytes.NewReader(body))
			if err != nil {
				b.Fatal(err)
			}
			_ = resp.Body.Close()
		}
	}
	b.Run("plain", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		run(b, l.Addr().String())
	})
	b.Run("protected", func(b *testing.B) {
		g := New("test", 23<<20, nil, metrics.NewSet())
		i := g.Interface("test", 100, 0)
		l, err := Listen("127.0.0.1:0", Buffers{Receive: intake.ReceiveBuffer, Send: intake.SendBuffer})
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: handler}
		i.Protect(server, func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) })
		go func() { _ = server.Serve(i.Listener(l)) }()
		defer func() { _ = server.Close() }()
		run(b, l.Addr().String())
	})
}
