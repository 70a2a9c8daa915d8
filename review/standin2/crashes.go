//go:build review2

package main

import (
	"sync"
	"time"
)

// crashCount workers crash one after the other, each while it has had a run of the job for crashAfter, and are back after
// downTime.
const (
	crashCount = 3
	crashAfter = 5 * time.Second
	downTime   = time.Second
	longTask   = 12 * time.Second
)

// threeCrashes hands in one job with one task beside a traffic of small jobs. With trouble the worker that runs the task
// crashes, three times in all. No run ends as failed.
func threeCrashes(s *site, trouble bool) error {
	var wg sync.WaitGroup
	s.smallJobs(&wg, 15*time.Second, 500*time.Millisecond)
	j := s.newJob(1_000_000, "range-batch", step{Count: 1, CPU: 4500, MemMB: 1024, EstimateMs: longTask.Milliseconds()}, func(int) time.Duration { return longTask })
	if !s.submit(j, 0) {
		s.log.add("the job was not accepted")
	}
	for range crashCount {
		w := s.awaitRun(j.tasks[0], 10*time.Second)
		if w == nil {
			break
		}
		time.Sleep(crashAfter)
		if trouble {
			w.crash(downTime)
		}
	}
	s.awaitRun(j.tasks[0], 10*time.Second)
	time.Sleep(longTask + time.Second)
	wg.Wait()
	s.log.add("end of the traffic")
	time.Sleep(finish)
	s.askForAll()
	return nil
}

// awaitRun waits until the task runs, and returns the worker that has it, nil if it does not run in time.
func (s *site) awaitRun(t *task, limit time.Duration) *worker {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, w := range s.workers {
			w.mu.Lock()
			has := w.runs[t.name] != nil
			w.mu.Unlock()
			if has {
				return w
			}
		}
	}
	return nil
}
