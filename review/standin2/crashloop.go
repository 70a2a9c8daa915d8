//go:build review2

package main

import (
	"errors"
	"sync"
	"time"
)

// Sizes of the case of the tasks that fail: three steps of 60 tasks, eight times at once. All of them together take 37% of the
// processors and 12% of the memory.
const (
	failingTimes = 8
	failAfter    = 150 * time.Millisecond
	failFrom     = 10 * time.Second
	failTraffic  = 66 * time.Second
)

// crashLoop hands in one long-running job beside a traffic of small jobs, and restarts the controller by SIGTERM, as
// planned work. With trouble each run of the long-running job fails shortly after its start, from failFrom on.
func crashLoop(s *site, trouble bool) error {
	began := time.Now()
	s.conductOf = func(t *task, _ int64) conduct {
		switch {
		case !t.lasts || !trouble:
			return conduct{takes: t.takes, lasts: t.lasts}
		case time.Since(began) < failFrom:
			return conduct{takes: time.Until(began.Add(failFrom)), fails: true}
		default:
			return conduct{takes: failAfter, fails: true}
		}
	}
	var wg sync.WaitGroup
	s.smallJobs(&wg, failTraffic, 500*time.Millisecond)
	st := step{Count: overlapWidth, CPU: 200, MemMB: 256, LongRunning: true}
	when := timetable{count: failingTimes, start: time.Now(), interval: 100 * time.Millisecond}
	lasting := s.newScheduledJob(1_000_000, "ledger-recon", st, overlapSteps, when, func(int) time.Duration { return 0 })
	if !s.submit(lasting, 0) {
		s.log.add("the long-running job was not accepted")
	}
	time.Sleep(time.Second)
	controller := s.controller()
	if controller == nil {
		return errors.New("no entry says that it is the controller")
	}
	if err := controller.restart(); err != nil {
		return err
	}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
			}
			running, _, failed := s.count(lasting)
			s.log.addf("of %d tasks that last %d run, %d ends as failed; %.0f%% of the capacity in use", len(lasting.tasks), running, failed, 100*s.used())
		}
	}()
	wg.Wait()
	s.log.add("end of the traffic")
	time.Sleep(finish)
	s.askForAll()
	s.watchIdle(6 * time.Second)
	close(stop)
	return nil
}
