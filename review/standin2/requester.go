//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Requesters as SYSTEM.md has them: a time budget of 3 s, and 4 retries, at other entries.
const (
	timeBudget = 3 * time.Second
	attempts   = 5
)

var client = &http.Client{Timeout: timeBudget, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

var prefixes = map[string]string{"range-batch": "/range/", "ledger-recon": "/ledger/", "counter-check": "/counter/"}

// call sends a request to an entry and returns the status, 0 for no answer.
func (s *site) call(e *entry, method string, j *job, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+e.caller+prefixes[j.kind]+j.id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "h.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeBudget.Milliseconds(), 10))
	resp, err := client.Do(req)
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

// submit hands a job in, n chooses the first entry. It tries again elsewhere as PROTOCOL.md says, and reports whether the
// job was accepted.
func (s *site) submit(j *job, n int) bool {
	for i := range attempts {
		e := s.entries[(n+i)%len(s.entries)]
		s.mu.Lock()
		if j.sentAt.IsZero() {
			j.sentAt = time.Now()
		}
		s.mu.Unlock()
		began := time.Now()
		status, _ := s.call(e, http.MethodPost, j, j.body)
		s.log.addf("POST %s (%s, %d tasks) at %s: %d after %d ms", j.id, j.kind, len(j.tasks), e.name, status, time.Since(began).Milliseconds())
		switch {
		case status >= 200 && status < 300:
			s.mu.Lock()
			j.acceptedAt = time.Now()
			s.mu.Unlock()
			return true
		case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// ask asks for the state of a job, at one entry after the other. It returns the last status and the state.
func (s *site) ask(j *job, n int) (status int, state string) {
	for i := range attempts {
		e := s.entries[(n+i)%len(s.entries)]
		var body []byte
		status, body = s.call(e, http.MethodGet, j, nil)
		if status == http.StatusOK {
			var got struct {
				State string `json:"state"`
			}
			if json.Unmarshal(body, &got) != nil {
				s.breach("MIXED", "the state of "+j.id+" can't be read")
			}
			s.log.addf("GET %s at %s: %s", j.id, e.name, got.State)
			return status, got.State
		}
		s.log.addf("GET %s at %s: %d", j.id, e.name, status)
		time.Sleep(200 * time.Millisecond)
	}
	return status, ""
}
