package event

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ClockHeader carries a Time on every HTTP request and response, so that an
// event that caused another is ordered before it whatever the wall clocks say.
const ClockHeader = "Hitch-Clock"

// Time is a hybrid logical clock reading: wall-clock microseconds, never running
// backwards, and a counter. The rule is that of Kulkarni et al., "Logical
// Physical Clocks", 2014.
type Time struct {
	Micros  int64  `json:"us"`
	Counter uint32 `json:"n,omitempty"`
}

// Before reports whether t orders before o.
func (t Time) Before(o Time) bool {
	if t.Micros != o.Micros {
		return t.Micros < o.Micros
	}
	return t.Counter < o.Counter
}

// String renders t as "<micros>.<counter>".
func (t Time) String() string { return fmt.Sprintf("%d.%d", t.Micros, t.Counter) }

// ParseTime reads the form that String writes.
func ParseTime(s string) (Time, bool) {
	us, n, found := strings.Cut(s, ".")
	if !found {
		return Time{}, false
	}
	micros, err := strconv.ParseInt(us, 10, 64)
	if err != nil || micros < 0 {
		return Time{}, false
	}
	counter, err := strconv.ParseUint(n, 10, 32)
	if err != nil {
		return Time{}, false
	}
	return Time{Micros: micros, Counter: uint32(counter)}, true
}

// maxAhead bounds how far a remote reading may pull the local clock forward.
const maxAhead = time.Hour

// Clock is a process's hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Time
}

// Now returns a reading later than every earlier one.
func (c *Clock) Now() Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(time.Now().UnixMicro())
}

// Observe merges a reading received from another process.
func (c *Clock) Observe(t Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now().UnixMicro()
	if t.Micros > wall+maxAhead.Microseconds() {
		return
	}
	if c.last.Before(t) {
		c.last = t
	}
}

func (c *Clock) advance(wall int64) Time {
	if wall > c.last.Micros {
		c.last = Time{Micros: wall}
		return c.last
	}
	c.last.Counter++
	return c.last
}

// Middleware observes the clock of incoming requests and stamps the responses.
func (c *Clock) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t, ok := ParseTime(r.Header.Get(ClockHeader)); ok {
			c.Observe(t)
		}
		next.ServeHTTP(&stampWriter{ResponseWriter: w, clock: c}, r)
	})
}

// stampWriter adds the clock header when the response begins, after the events
// that the handler recorded before it.
type stampWriter struct {
	http.ResponseWriter
	clock   *Clock
	stamped bool
}

// WriteHeader stamps the response and sends its header.
func (w *stampWriter) WriteHeader(status int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write stamps the response before its first byte.
func (w *stampWriter) Write(b []byte) (int, error) {
	w.stamp()
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *stampWriter) Flush() {
	w.stamp()
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap gives http.ResponseController the wrapped writer.
func (w *stampWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *stampWriter) stamp() {
	if w.stamped {
		return
	}
	w.stamped = true
	w.Header().Set(ClockHeader, w.clock.Now().String())
}

// Transport wraps a round tripper: it stamps requests and observes responses.
func (c *Clock) Transport(next http.RoundTripper) http.RoundTripper {
	return &stampTransport{next: next, clock: c}
}

type stampTransport struct {
	next  http.RoundTripper
	clock *Clock
}

// RoundTrip implements http.RoundTripper.
func (t *stampTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(ClockHeader, t.clock.Now().String())
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if seen, ok := ParseTime(resp.Header.Get(ClockHeader)); ok {
		t.clock.Observe(seen)
	}
	return resp, nil
}
