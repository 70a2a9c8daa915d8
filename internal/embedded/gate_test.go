package embedded

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"strings"
	"sync"

	"dotterelhitch/internal/settings"
)

// heldCall says which calls between entries are held.
type heldCall struct {
	// method is that of the calls to hold; answers holds their answers instead.
	method  string
	answers bool
	// first lets all but the first such call pass.
	first bool
}

// callHold holds calls between the entries of a cell as a slow network would, so that
// a test can end an entry at a certain step.
type callHold struct {
	heldCall

	mu   sync.Mutex
	held []*Entry
	free chan struct{}
}

// take reports whether a call, or its answer, to an entry is held.
func (h *callHold) take(method string, answer bool, to *Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if method != h.method || answer != h.answers || (h.first && len(h.held) > 0) {
		return false
	}
	h.held = append(h.held, to)
	return true
}

// target returns an entry to which a call is held, nil if there is none.
func (h *callHold) target() *Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 {
		return nil
	}
	return h.held[0]
}

// gate stands before an entry's interface for peers.
type gate struct {
	hold      *callHold
	transport http.RoundTripper
	started   chan struct{}
	entry     *Entry
}

// startBehindGate starts an entry whose peers reach it through a gate.
func (f *failureTest) startBehindGate(h *callHold) *Entry {
	f.t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	g := &gate{hold: h, transport: &http.Transport{Protocols: protocols}, started: make(chan struct{})}
	server := httptest.NewUnstartedServer(g)
	server.Config.Protocols = protocols
	server.Start()
	f.t.Cleanup(server.CloseClientConnections)
	f.cell.cfg.AdjustSettings = func(s *settings.Entry) {
		shortTiming(s)
		s.Listen.AdvertisePeer = strings.TrimPrefix(server.URL, "http://")
	}
	g.entry = f.startEntry()
	close(g.started)
	return g.entry
}

// ServeHTTP implements http.Handler. A call that was held is delivered even if its
// caller has ended meanwhile.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	<-g.started
	method := path.Base(r.URL.Path)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if g.hold.take(method, false, g.entry) {
		<-g.hold.free
	}
	out := r.Clone(context.WithoutCancel(r.Context()))
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", g.entry.PeerAddr()
	out.Body = io.NopCloser(bytes.NewReader(body))
	resp, err := g.transport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if g.hold.take(method, true, g.entry) {
		<-g.hold.free
	}
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}
