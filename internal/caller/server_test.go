package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// backend answers every request after a pause and counts them.
type backend struct {
	answer func(structs.Request) structs.Answer
	pause  time.Duration
	calls  chan structs.Request
	// cut counts the requests whose context ended while they ran.
	cut atomic.Int32
}

func newBackend() *backend {
	const manyCalls = 100
	return &backend{calls: make(chan structs.Request, manyCalls), answer: func(r structs.Request) structs.Answer {
		return structs.Answer{RequestID: r.ID, Outcome: structs.OutcomeAnswered, Body: r.Body}
	}}
}

func (b *backend) Request(ctx context.Context, r structs.Request) structs.Answer {
	b.calls <- r
	time.Sleep(b.pause)
	if ctx.Err() != nil {
		b.cut.Add(1)
	}
	return b.answer(r)
}

func (b *backend) SubmitJob(_ context.Context, j structs.Job, changeID string) (string, error) {
	return "g1:" + j.Class + changeID, nil
}

func (b *backend) JobStatus(_ context.Context, id string, _ time.Duration) (structs.JobStatus, error) {
	return structs.JobStatus{Job: structs.Job{ID: id}, State: structs.JobRunning}, nil
}

func (b *backend) CancelJobs(context.Context, structs.JobFilter, string) (int, error) { return 1, nil }

// listener hands the server one end of a pipe for every dial.
type listener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	close(l.closed)
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *listener) dial() net.Conn {
	here, there := net.Pipe()
	l.conns <- there
	return here
}

// start serves b in memory until the test ends.
func start(t *testing.T, b Backend, o Options) (*Server, *listener) {
	t.Helper()
	s := NewServer(b, o)
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		time.Sleep(MaxDeadline) // handlers that still pause end
	})
	return s, l
}

// client returns a client that reaches l.
func (l *listener) client() *Client {
	dial := func(context.Context, string, string) (net.Conn, error) { return l.dial(), nil }
	return &Client{BaseURL: "http://entry", HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}
}

const post = "POST /v1/classes/tickets/requests HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\n"

func TestStatusesAndLimits(t *testing.T) {
	const path = "/v1/classes/tickets/requests"
	none := func(*http.Request) {}
	header := func(k, v string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(k, v) }
	}
	for name, c := range map[string]struct {
		method, path, body string
		edit               func(*http.Request)
		status             int
		want               string
	}{
		"answered":            {"POST", path, "x", none, 200, `"outcome":"answered"`},
		"client ID is echoed": {"POST", path, "x", header(HeaderClientID, "mine"), 200, "mine"},
		"body too large":      {"POST", path, strings.Repeat("x", structs.MaxRequestBytes+1), none, 413, `"outcome":"not_run"`},
		"bad class":           {"POST", "/v1/classes/UP/requests", "x", none, 400, `"code":"invalid"`},
		"key too long":        {"POST", path, "x", header(HeaderKey, strings.Repeat("k", structs.MaxKeyBytes+1)), 400, `"outcome":"not_run"`},
		"key with a blank":    {"POST", path, "x", header(HeaderKey, "a b"), 400, `"code":"invalid"`},
		"bad idempotent":      {"POST", path, "x", header(HeaderIdempotent, "yes"), 400, `"code":"invalid"`},
		"bad deadline":        {"POST", path, "x", header(HeaderDeadline, "0"), 400, `"code":"invalid"`},
		"deadline too long":   {"POST", path, "x", header(HeaderDeadline, "99999999999999999999"), 400, `"code":"invalid"`},
		"wrong key":           {"POST", path, "x", header("Authorization", "Bearer other"), 401, `"code":"unauthorized"`},
		"wrong method":        {"GET", path, "", none, 404, `"code":"not_found"`},
		"operators' path":     {"PUT", "/v1/classes/tickets", "{}", none, 404, `"code":"not_found"`},
		"peers' path":         {"POST", "/dotterelhitch.peer.v1.PeerService/Dispatch", "", none, 404, `"code":"not_found"`},
		"health needs no key": {"GET", "/healthz", "", header("Authorization", ""), 200, "{}"},
		"not ready":           {"GET", "/readyz", "", none, 503, `"code":"behind"`},
		"job":                 {"POST", "/v1/jobs", `{"class":"sums","count":1,"size":{"cpu_milli":1}}`, header(HeaderKey, "c1"), 201, `"id":"g1:sumsc1"`},
		"job of no size":      {"POST", "/v1/jobs", `{"class":"sums","count":1}`, none, 400, `"code":"invalid"`},
		"job, unknown member": {"POST", "/v1/jobs", `{"klass":"sums"}`, none, 400, `klass`},
		"job status":          {"GET", "/v1/jobs/g1:j?wait_ms=1", "", none, 200, `"state":"running"`},
		"job, bad wait":       {"GET", "/v1/jobs/g1:j?wait_ms=-1", "", none, 400, `"code":"invalid"`},
		"job, bad ID":         {"GET", "/v1/jobs/j", "", none, 400, `"code":"invalid"`},
		"cancel":              {"DELETE", "/v1/jobs/g1:j", "", none, 200, `"cancelled":1`},
		"cancel by class":     {"POST", "/v1/jobs/cancel", `{"class":"sums"}`, none, 200, `"cancelled":1`},
		"cancel everything":   {"POST", "/v1/jobs/cancel", `{}`, none, 400, `"code":"invalid"`},
	} {
		ready := func() error { return structs.NewError(structs.CodeBehind, "still reading") }
		s := NewServer(newBackend(), Options{Keys: httpx.Keys{"secret", "old"}, Ready: ready})
		r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		r.Header.Set("Authorization", "Bearer old")
		c.edit(r)
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		if got := w.Body.String() + w.Header().Get(HeaderClientID); w.Code != c.status || !strings.Contains(got, c.want) {
			t.Errorf("%s: got %d %s, want %d with %s", name, w.Code, got, c.status, c.want)
		}
	}
}

func TestEveryOutcomeReachesTheClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, want := range []structs.Answer{
			{Outcome: structs.OutcomeAnswered, Body: []byte("ticket")},
			{Outcome: structs.OutcomeNotRun, Err: &structs.Error{Code: structs.CodeOverload, RetryAfterMs: 1100}},
			{Outcome: structs.OutcomeNotRun, Err: &structs.Error{Code: structs.CodeDeadline}},
			{Outcome: structs.OutcomeUnknown, Err: &structs.Error{Code: structs.CodeInProgress}},
		} {
			b := newBackend()
			b.answer = func(r structs.Request) structs.Answer {
				want.RequestID = r.ID
				return want
			}
			_, l := start(t, b, Options{})
			got := l.client().Do(t.Context(), Call{Class: "tickets", Key: "k", Body: []byte("x")})
			if got.Outcome != want.Outcome || string(got.Body) != string(want.Body) || got.RequestID != want.RequestID {
				t.Errorf("got %+v, want %+v", got, want)
			}
		}
	})
}

func TestSlowCallersHoldNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackend()
		_, l := start(t, b, Options{MaxInFlight: 1})
		sender, reader := l.dial(), l.dial()
		_, _ = io.WriteString(sender, post+"half")
		_, _ = io.WriteString(reader, post+"0123456789")
		if first := <-b.calls; string(first.Body) != "0123456789" {
			t.Fatalf("got body %q", first.Body)
		}
		synctest.Wait()
		got := l.client().Do(t.Context(), Call{Class: "tickets", Body: []byte("x")})
		if got.Outcome != structs.OutcomeAnswered {
			t.Fatalf("beside slow callers: %+v", got)
		}
		<-b.calls
		time.Sleep(defaultBodyWithin)
		resp, err := http.ReadResponse(bufio.NewReader(sender), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || len(b.calls) != 0 {
			t.Fatalf("the half request: %v %v, %d calls", resp, err, len(b.calls))
		}
	})
}

func TestPlacesInFlightAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackend()
		b.pause = time.Second
		_, l := start(t, b, Options{MaxInFlight: 1})
		busy := l.dial()
		_, _ = io.WriteString(busy, post+"0123456789")
		<-b.calls
		got := l.client().Do(t.Context(), Call{Class: "tickets"})
		if got.Outcome != structs.OutcomeNotRun || got.Err.Code != structs.CodeOverload || got.Err.RetryAfterMs <= 0 {
			t.Fatalf("got %+v", got)
		}
	})
}

func TestDisconnectDoesNotEndARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackend()
		b.pause = time.Second
		_, l := start(t, b, Options{})
		c := l.dial()
		_, _ = io.WriteString(c, post+"0123456789")
		<-b.calls
		_ = c.Close()
		time.Sleep(2 * time.Second)
		if b.cut.Load() != 0 || len(b.calls) != 0 {
			t.Fatalf("%d cut off, %d further calls", b.cut.Load(), len(b.calls))
		}
	})
}

func TestDrainCutsNothingOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackend()
		b.pause = 3 * time.Second
		s, l := start(t, b, Options{})
		var answers [2]structs.Answer
		done := make(chan struct{})
		go func() {
			answers[0] = l.client().Do(t.Context(), Call{Class: "tickets"})
			close(done)
		}()
		<-b.calls
		go func() { _ = s.Drain(t.Context(), time.Second) }()
		synctest.Wait()
		if s.ready() == nil {
			t.Error("ready while draining")
		}
		answers[1] = l.client().Do(t.Context(), Call{Class: "tickets"})
		<-done
		for i, a := range answers {
			if a.Outcome != structs.OutcomeAnswered {
				t.Errorf("request %d: %+v", i, a)
			}
		}
	})
}

func TestClientTellsNotRunFromUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for want, dial := range map[structs.Outcome]func(context.Context, string, string) (net.Conn, error){
			structs.OutcomeNotRun: func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed },
			structs.OutcomeUnknown: func(context.Context, string, string) (net.Conn, error) {
				here, there := net.Pipe()
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(there))
					_ = there.Close()
				}()
				return here, nil
			},
		} {
			c := &Client{BaseURL: "http://entry", HTTP: &http.Client{Transport: &http.Transport{DialContext: dial}}}
			if got := c.Do(t.Context(), Call{Class: "tickets", Key: "k"}); got.Outcome != want || got.Err == nil {
				t.Errorf("got %+v, want %s", got, want)
			}
		}
	})
}

// FuzzRequestHeaders feeds any headers: an accepted request is within its bounds.
func FuzzRequestHeaders(f *testing.F) {
	f.Add("tickets", "key", "true", "100")
	f.Add("UP", "a b", "", "-1")
	f.Fuzz(func(t *testing.T, class, key, idempotent, deadline string) {
		h := http.Header{HeaderKey: {key}, HeaderIdempotent: {idempotent}, HeaderDeadline: {deadline}}
		r, timeout, err := parseRequest(class, h, defaultDeadline)
		if err != nil {
			if structs.CodeOf(err) != structs.CodeInvalid {
				t.Fatalf("untyped: %v", err)
			}
			return
		}
		if !structs.ValidName(r.Class) || len(r.Key) > structs.MaxKeyBytes || timeout <= 0 || timeout > MaxDeadline {
			t.Fatalf("accepted %+v %v", r, timeout)
		}
	})
}

// FuzzJobBody feeds any bytes as a job: what is accepted is valid.
func FuzzJobBody(f *testing.F) {
	f.Add([]byte(`{"class":"sums","count":1,"size":{"cpu_milli":1}}`))
	f.Add([]byte(`{} {}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(string(body)))
		w := httptest.NewRecorder()
		NewServer(newBackend(), Options{}).Handler().ServeHTTP(w, r)
		if w.Code != http.StatusCreated && w.Code != http.StatusBadRequest && w.Code != http.StatusRequestEntityTooLarge {
			t.Fatalf("status %d: %s", w.Code, fmt.Sprint(w.Body))
		}
	})
}

// FuzzAnswerBody feeds any bytes as an entry's answer: the client calls nothing
// answered or not run whose status says otherwise.
func FuzzAnswerBody(f *testing.F) {
	f.Add(200, []byte(`{"request_id":"r","outcome":"answered","body":"eA=="}`))
	f.Add(504, []byte(`{"outcome":"unknown"}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		a := decodeAnswer(status, body)
		if (a.Outcome == structs.OutcomeAnswered) && status != http.StatusOK {
			t.Fatalf("answered with status %d", status)
		}
		if a.Outcome == structs.OutcomeNotRun && (status == http.StatusOK || status == http.StatusGatewayTimeout) {
			t.Fatalf("not run with status %d", status)
		}
	})
}

// TestKeptConnection uses one connection again after the time that an answer may
// take to be written, and a connection whose caller never sends its body.
func TestKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, l := start(t, newBackend(), Options{})
		c := l.dial()
		r := bufio.NewReader(c)
		for _, call := range []string{post + "0123456789", "GET /readyz HTTP/1.1\r\nHost: e\r\n\r\n", post + "0123456789"} {
			go func() { _, _ = io.WriteString(c, call) }()
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("%q: %v %v", call[:10], resp, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			time.Sleep(2 * defaultWriteWithin)
		}
		const refused = "POST /v1/none HTTP/1.1\r\nHost: e\r\nContent-Length: 10\r\n\r\nhalf"
		go func() { _, _ = io.WriteString(c, refused) }()
		began := time.Now()
		_, _ = io.Copy(io.Discard, r)
		if took := time.Since(began); took > defaultBodyWithin+time.Second {
			t.Errorf("a caller that does not send its body held the connection for %v", took)
		}
	})
}
