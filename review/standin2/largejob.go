//go:build review2

package main

import (
	"sync"
	"time"
)

// Sizes of the case of the large job. All its tasks together take 23% of the processors and 18% of the memory.
const (
	largeTasks   = 9000
	smallerTasks = 1000
	trafficTime  = 30 * time.Second
)

// largeJob hands in one job with many checkpointing tasks beside a traffic of small jobs, without trouble several smaller
// jobs with as many tasks.
func largeJob(s *site, trouble bool) error {
	st := step{Count: smallerTasks, CPU: 20, MemMB: 64, EstimateMs: 70000, Checkpointing: true}
	if trouble {
		st.Count = largeTasks
	}
	takes := func(i int) time.Duration { return 60*time.Second + time.Duration(i*7919%20000)*time.Millisecond }
	var wg sync.WaitGroup
	s.smallJobs(&wg, trafficTime, 200*time.Millisecond)
	time.Sleep(3 * time.Second)
	s.mu.Lock()
	s.conductOf = func(t *task, number int64) conduct {
		// One task in 200 fails once, as requests of range-batch do.
		if len(t.job.tasks) >= smallerTasks && number == 1 && hash(t.name)%200 == 0 {
			return conduct{takes: 10 * time.Second, fails: true}
		}
		return conduct{takes: t.takes}
	}
	s.mu.Unlock()
	var large []*job
	for n := 0; n < largeTasks/st.Count; n++ {
		large = append(large, s.newJob(1_000_000+n, "range-batch", st, takes))
	}
	for i, j := range large {
		wg.Go(func() { s.submit(j, i) })
	}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
			}
			running, done, failed := 0, 0, 0
			for _, j := range large {
				r, d, f := s.count(j)
				running, done, failed = running+r, done+d, failed+f
			}
			s.log.addf("of %d tasks of large jobs %d run, %d are done, %d ends as failed; %.0f%% of the capacity in use", largeTasks, running, done, failed, 100*s.used())
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

// smallJobs hands in small jobs at an interval for a time.
func (s *site) smallJobs(wg *sync.WaitGroup, forTime, interval time.Duration) {
	wg.Go(func() {
		began := time.Now()
		for n := 0; time.Since(began) < forTime; n++ {
			j := s.newJob(n, "counter-check", step{Count: 2, CPU: 1400, MemMB: 256, EstimateMs: 800}, func(int) time.Duration { return 800 * time.Millisecond })
			wg.Go(func() { s.submit(j, n) })
			time.Sleep(interval)
		}
	})
}

func hash(text string) uint32 {
	h := uint32(2166136261)
	for i := range len(text) {
		h = (h ^ uint32(text[i])) * 16777619
	}
	return h
}
