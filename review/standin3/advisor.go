//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timing of the advisor, that of the quickest queue of the site.
const (
	decisionMs     = 7
	perItemMs      = 0.1
	ticketValidity = 2500 * time.Millisecond
	maxWaiting     = 32
)

// advisor is a stand-in for the placement advisor. It allows each worker for each step, or the share that a case sets.
type advisor struct {
	fleet  *fleet
	allows func(step, worker string) bool

	mu      sync.Mutex
	queues  map[string]*sync.Mutex
	waiting map[string]int
}

func newAdvisor(f *fleet) *advisor {
	return &advisor{fleet: f, queues: map[string]*sync.Mutex{}, waiting: map[string]int{}, allows: func(string, string) bool { return true }}
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || r.URL.Path != "/advise" || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr) // an address of a server has a port
	a.mu.Lock()
	if a.queues[host] == nil {
		a.queues[host] = &sync.Mutex{}
	}
	turn := a.queues[host]
	if a.waiting[host] >= maxWaiting {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting[host]++
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(time.Duration((decisionMs + perItemMs*float64(len(q.Workers))) * float64(time.Millisecond)))
	turn.Unlock()
	a.mu.Lock()
	a.waiting[host]--
	a.mu.Unlock()
	good := [][2]string{}
	for _, id := range q.Workers {
		if born := a.fleet.bornOf(id); born > 0 && a.allows(q.Step, id) {
			good = append(good, [2]string{id, ticket(q.Step, id, born, time.Now().Add(ticketValidity))})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": good})
}

// ticket returns the ticket for a step on a life of a worker until a time.
func ticket(step, worker string, born int64, until time.Time) string {
	return fmt.Sprintf("%s %s %d %d", step, worker, born, until.UnixMilli())
}

// ticketValid reports whether a ticket is for a task on a life of a worker now.
func ticketValid(text, task, worker string, born int64) bool {
	prefix := fmt.Sprintf("%s %s %d ", task[:strings.LastIndexByte(task, '.')], worker, born)
	rest, found := strings.CutPrefix(text, prefix)
	until, err := strconv.ParseInt(rest, 10, 64)
	return found && err == nil && time.Now().UnixMilli() < until
}
