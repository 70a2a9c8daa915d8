package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// jobSpec is a job as a requester sends it.
type jobSpec struct {
	ID    string     `json:"-"`
	Queue string     `json:"-"`
	Spec  string     `json:"specification"`
	Steps []stepSpec `json:"steps"`
}

type stepSpec struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu,omitempty"`
	MemMB      int    `json:"mem_mb,omitempty"`
	EstimateMs int64  `json:"estimated_duration_ms"`
	After      []int  `json:"after,omitempty"`
	Label      string `json:"required_label,omitempty"`
}

// Limits of a requester, as those of the site.
const (
	timeBudget = 3 * time.Second
	attempts   = 5 // the first one and four retries
)

// requesters sends requests to the entries.
type requesters struct {
	ledger *ledger
	client *http.Client

	mu    sync.Mutex
	addrs []string
}

// add has requests sent to an entry too.
func (q *requesters) add(addr string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addrs = append(q.addrs, addr)
}

// remove has no more requests sent to an entry, as the platform does with one that isn't ready.
func (q *requesters) remove(addr string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addrs = slices.DeleteFunc(q.addrs, func(a string) bool { return a == addr })
}

func newRequesters(l *ledger) *requesters {
	return &requesters{ledger: l, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one call to an entry. The status is 0 if there was no answer.
func (q *requesters) call(method, queue, id string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()
	q.mu.Lock()
	addr := q.addrs[rand.IntN(len(q.addrs))]
	q.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+queue+"/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "h.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	resp, err := q.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// submit hands a job in, and reports whether it was accepted.
func (q *requesters) submit(j *jobSpec) bool {
	j.ID = newID()
	body, err := json.Marshal(j)
	if err != nil {
		return false
	}
	seen := &jobSeen{spec: j}
	q.ledger.mu.Lock()
	q.ledger.jobs[j.ID] = seen
	q.ledger.mu.Unlock()
	for range attempts {
		q.ledger.logf("sent     POST %s to %s", j.ID, j.Queue)
		status, _ := q.call(http.MethodPost, j.Queue, j.ID, body)
		q.ledger.logf("answered POST %s: %d", j.ID, status)
		if status >= 200 && status < 300 {
			q.ledger.mu.Lock()
			seen.accepted = time.Now()
			q.ledger.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state, and returns it; it is empty if there was no answer.
func (q *requesters) state(j *jobSpec) string {
	status, b := q.call(http.MethodGet, j.Queue, j.ID, nil)
	var got struct {
		State string `json:"state"`
	}
	switch status {
	case http.StatusOK:
		_ = json.Unmarshal(b, &got)
	case http.StatusGone:
		got.State = "gone"
	}
	if got.State == "completed" || got.State == "failed" || got.State == "cancelled" || got.State == "gone" {
		q.ledger.mu.Lock()
		defer q.ledger.mu.Unlock()
		if seen := q.ledger.jobs[j.ID]; seen.final == "" {
			seen.final, seen.finalSeen = got.State, time.Now()
			q.ledger.log("answered GET %s: %s", j.ID, got.State)
		}
	}
	return got.State
}

// awaitFinal asks for the states of the accepted jobs until all are final or a time is over.
func (q *requesters) awaitFinal(most time.Duration) (open int) {
	for until := time.Now().Add(most); ; time.Sleep(300 * time.Millisecond) {
		var left []*jobSpec
		q.ledger.mu.Lock()
		for _, j := range q.ledger.jobs {
			if !j.accepted.IsZero() && j.final == "" {
				left = append(left, j.spec)
			}
		}
		q.ledger.mu.Unlock()
		open = 0
		for _, j := range left {
			if s := q.state(j); s == "" || s == "queued" || s == "running" {
				open++
			}
		}
		if open == 0 || time.Now().After(until) {
			return open
		}
	}
}
