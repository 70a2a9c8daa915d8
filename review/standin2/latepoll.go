//go:build review2

package main

import (
	"errors"
	"time"
)

// Times of the case, from the poll that is left unanswered on.
const (
	powerless = 600 * time.Millisecond
	submitAt  = 630 * time.Millisecond
	shortTask = 300 * time.Millisecond
	pollLate  = 1250 * time.Millisecond
)

// latePoll has one worker run some short tasks, so that their ends are acknowledged. With trouble its machine then loses power
// while it holds a poll, and starts again under its id; a job comes, of which the task may run there alone; and the next boot
// carries the poll out after the task has ended.
func latePoll(s *site, trouble bool) error {
	w := s.workers[3]
	s.advisor.mu.Lock()
	s.advisor.only = w
	s.advisor.mu.Unlock()
	short := func(int) time.Duration { return shortTask }
	time.Sleep(2 * time.Second)
	first := s.newJob(1, "counter-check", step{Count: 3, CPU: 1400, MemMB: 256, EstimateMs: shortTask.Milliseconds()}, short)
	if !s.submit(first, 0) {
		return errors.New("the first job was not accepted")
	}
	time.Sleep(5 * time.Second)
	s.lostPoll = make(chan *order, 1)
	j := s.newJob(2, "counter-check", step{Count: 1, CPU: 1400, MemMB: 256, EstimateMs: shortTask.Milliseconds()}, short)
	if trouble {
		s.mu.Lock()
		s.loseAt = w
		s.mu.Unlock()
		var lost *order
		select {
		case lost = <-s.lostPoll:
		case <-time.After(10 * time.Second):
			return errors.New("no poll acknowledged an end")
		}
		w.losePower(powerless)
		time.AfterFunc(pollLate, func() { w.carryOutLate(lost) })
		time.Sleep(submitAt)
	}
	go s.submit(j, 1)
	time.Sleep(10 * time.Second)
	return nil
}
