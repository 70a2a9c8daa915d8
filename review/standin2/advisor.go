//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// advisor is a stand-in of the service that knows which workers may run a step (PROTOCOL.md, POST /advise).
type advisor struct {
	site *site
	addr string

	mu      sync.Mutex
	only    *worker // the one worker that may run any step
	tickets map[string]ticket
}

type ticket struct {
	step  string
	id    string
	born  int64
	until time.Time
}

const ticketValidity = 2500 * time.Millisecond

func newAdvisor(s *site) (*advisor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &advisor{site: s, addr: l.Addr().String(), tickets: map[string]ticket{}}
	go func() { _ = http.Serve(l, a) }()
	return a, nil
}

func (a *advisor) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	var asked struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(req.Body).Decode(&asked); err != nil || req.URL.Path != "/advise" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(7 * time.Millisecond)
	good := [][2]string{}
	for _, id := range asked.Workers {
		if t := a.issue(asked.Step, id); t != "" {
			good = append(good, [2]string{id, t})
		}
	}
	a.site.log.addf("advice on %s for %d workers: %v", asked.Step, len(asked.Workers), good)
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "validity_ms": ticketValidity.Milliseconds()})
}

// issue returns a ticket for the present life of a worker, empty if it may not run the step.
func (a *advisor) issue(step, id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.only == nil || a.only.id != id {
		return ""
	}
	a.only.mu.Lock()
	born := a.only.born
	a.only.mu.Unlock()
	name := fmt.Sprintf("%016x", hash(fmt.Sprintf("%s %s %d %d", step, id, born, len(a.tickets))))
	a.tickets[name] = ticket{step: step, id: id, born: born, until: time.Now().Add(ticketValidity)}
	return name
}

// valid reports whether a start bears a valid ticket for this life of the worker. The caller holds the worker's lock.
func (a *advisor) valid(w *worker, o *order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[o.Ticket]
	return ok && strings.HasPrefix(o.Task, t.step+".") && t.id == w.id && t.born == w.born && time.Now().Before(t.until)
}
