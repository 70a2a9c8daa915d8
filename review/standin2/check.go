//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

// finish is finish_s of the small sites, idleTime the time for which LOST lets an accepted job have nothing running.
const (
	finish   = 14 * time.Second
	idleTime = 3 * time.Second
)

// watchIdle looks, for a time, for accepted jobs that have nothing running for idleTime while a task's turn has come and
// less than half of the service's capacity is in use. All jobs that it is used for need a small share of the capacity.
func (s *site) watchIdle(forTime time.Duration) {
	end := time.Now().Add(forTime)
	reported := map[*job]bool{}
	for time.Now().Before(end) {
		now := time.Now()
		used := s.used()
		s.mu.Lock()
		for _, j := range s.jobs {
			running, open := false, false
			for _, t := range j.tasks {
				running = running || t.running > 0
				open = open || !t.done && now.After(t.due)
			}
			switch {
			case j.acceptedAt.IsZero() || running || !open || used >= 0.5:
				j.idleSince = time.Time{}
			case j.idleSince.IsZero():
				j.idleSince = now
			case now.Sub(j.idleSince) >= idleTime && !reported[j]:
				reported[j] = true
				s.breachLocked("LOST", fmt.Sprintf("job %s (%s), accepted %.1f s ago, has had nothing running for 3 s, %.0f%% of the capacity in use",
					j.id, j.kind, now.Sub(j.acceptedAt).Seconds(), 100*used))
			}
		}
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// askForAll asks for all accepted jobs, finish_s after the end of the traffic.
func (s *site) askForAll() {
	s.mu.Lock()
	var accepted []*job
	for _, j := range s.jobs {
		if !j.acceptedAt.IsZero() {
			accepted = append(accepted, j)
		}
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	limit := make(chan struct{}, 64)
	for i, j := range accepted {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			status, state := s.ask(j, i)
			s.mu.Lock()
			defer s.mu.Unlock()
			j.state = state
			switch {
			case status == 410:
				s.breachLocked("LOST", fmt.Sprintf("job %s (%s) isn't known", j.id, j.kind))
			case status != 200:
				s.breachLocked("LOST", fmt.Sprintf("job %s (%s) gets no answer to %d requests for its state, the last status is %d", j.id, j.kind, attempts, status))
			case state == "failed" || state == "cancelled":
				s.breachLocked("LOST", fmt.Sprintf("job %s (%s) is shown as %s without cause", j.id, j.kind, state))
			case state == "completed":
				for _, t := range j.tasks {
					if !t.done {
						s.breachLocked("MIXED", fmt.Sprintf("job %s is shown as completed, %s has not ended so", j.id, t.name))
						break
					}
				}
			}
		})
	}
	wg.Wait()
	s.log.addf("asked for %d accepted jobs", len(accepted))
}
