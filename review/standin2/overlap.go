//go:build review2

package main

import (
	"sync"
	"time"
)

// Sizes of the case of the job with a timetable: three steps of 60 tasks each 0.4 s. All tasks that can be there at once take
// 45% of the processors and 23% of the memory.
const (
	overlapCount    = 70
	overlapInterval = 400 * time.Millisecond
	overlapSteps    = 3
	overlapWidth    = 60
	longOccurrence  = 90 * time.Second
	shortOccurrence = 1500 * time.Millisecond
	overlapTraffic  = 45 * time.Second
)

// overlappingJob hands in one job with a timetable beside a traffic of small jobs. With trouble its tasks take long, so
// that its occurrences overlap.
func overlappingJob(s *site, trouble bool) error {
	length := shortOccurrence
	if trouble {
		length = longOccurrence
	}
	s.conductOf = func(t *task, number int64) conduct {
		// One task of the job in 100 fails once, early, as requests of ledger-recon do.
		if t.job.steps == overlapSteps && number == 1 && hash(t.name)%100 == 0 {
			return conduct{takes: time.Second, fails: true}
		}
		return conduct{takes: t.takes}
	}
	var wg sync.WaitGroup
	s.smallJobs(&wg, overlapTraffic, 300*time.Millisecond)
	time.Sleep(2 * time.Second)
	st := step{Count: overlapWidth, CPU: 30, MemMB: 64, EstimateMs: length.Milliseconds(), Checkpointing: true}
	when := timetable{count: overlapCount, start: time.Now().Add(time.Second), interval: overlapInterval}
	j := s.newScheduledJob(1_000_000, "ledger-recon", st, overlapSteps, when, func(int) time.Duration { return length })
	if !s.submit(j, 0) {
		s.log.add("the job with the timetable was not accepted")
	}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
			}
			running, done, failed := s.count(j)
			s.log.addf("of %d tasks of the job with the timetable %d run, %d are done, %d ends as failed; %.0f%% of the capacity in use",
				len(j.tasks), running, done, failed, 100*s.used())
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
