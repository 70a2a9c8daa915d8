//go:build review2

package main

import (
	"errors"
	"syscall"
	"time"
)

// lateStart has each of the workers run a long task, hands in one job with one task, and lets the first start of that be left
// unanswered. The controller is killed before it knows of that, the platform starts it again. When the task runs on
// another worker, the one that has left the start unanswered crashes and starts again under its id; its next boot carries
// the start out. Without trouble nothing is left unanswered, killed or crashed.
func lateStart(s *site, trouble bool) error {
	length := func(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }
	base := s.newJob(1, "range-batch", step{Count: len(s.workers), CPU: 10000, MemMB: 1024, EstimateMs: 60000}, length(60*time.Second))
	if !s.submit(base, 0) {
		return errors.New("the first job was not accepted")
	}
	time.Sleep(time.Second)
	// A small task takes room on one worker, so that the task of the case fits on the others alone.
	small := s.newJob(3, "range-batch", step{Count: 1, CPU: 2000, MemMB: 1024, EstimateMs: 60000}, length(60*time.Second))
	if !s.submit(small, 0) {
		return errors.New("the second job was not accepted")
	}
	first := s.awaitRun(small.tasks[0], 5*time.Second)
	time.Sleep(time.Second)
	controller := s.controller()
	if controller == nil || first == nil {
		return errors.New("no entry says that it is the controller, or the small task does not run")
	}
	j := s.newJob(2, "ledger-recon", step{Count: 1, CPU: 4500, MemMB: 1024, EstimateMs: 15000}, length(15*time.Second))
	s.heldBy = make(chan *worker, 1)
	if trouble {
		s.mu.Lock()
		s.holdTask = j.tasks[0]
		s.mu.Unlock()
	}
	go s.submit(j, 1)
	if trouble {
		var w *worker
		select {
		case w = <-s.heldBy:
		case <-time.After(10 * time.Second):
			return errors.New("no start was sent")
		}
		s.log.addf("%s, the controller, is killed", controller.name)
		controller.signal(syscall.SIGKILL)
		// The small task ends, so that the next controller has room on its worker for the task.
		first.finish(small.tasks[0].name)
		time.Sleep(time.Second)
		if err := controller.start(); err != nil {
			return err
		}
		other := s.awaitRun(j.tasks[0], 25*time.Second)
		switch other {
		case nil:
			return errors.New("the task was not started again")
		case w:
			return errors.New("the task was started on the same worker again")
		}
		time.Sleep(500 * time.Millisecond)
		w.crash(time.Second)
	}
	time.Sleep(20 * time.Second)
	return nil
}

// controller returns the entry that is the controller, nil if none says so.
func (s *site) controller() *entry {
	for _, e := range s.entries {
		if e.controls() {
			return e
		}
	}
	return nil
}
