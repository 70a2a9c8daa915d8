//go:build review2

package main

import (
	"sync"
	"time"
)

// One of 16 workers crashes flapCount times: it is up for flapUp, then down for flapDown.
const (
	flapCount = 12
	flapUp    = 2 * time.Second
	flapDown  = time.Second
	flapLoad  = 400 * time.Millisecond
)

// flappingWorker keeps the service busy with jobs of tasks of 5 s. With trouble one worker crashes again and
// again. No run ends as failed.
func flappingWorker(s *site, trouble bool) error {
	var wg sync.WaitGroup
	began := time.Now()
	load := time.Duration(flapCount+2) * (flapUp + flapDown)
	wg.Go(func() {
		for n := 0; time.Since(began) < load; n++ {
			j := s.newJob(n, "range-batch", step{Count: 8, CPU: 3500, MemMB: 2000, EstimateMs: 5000}, func(int) time.Duration { return 5 * time.Second })
			wg.Go(func() { s.submit(j, n) })
			time.Sleep(flapLoad)
		}
	})
	time.Sleep(3 * time.Second)
	w := s.workers[0]
	for range flapCount {
		time.Sleep(flapUp)
		if trouble {
			w.crash(flapDown)
		}
		time.Sleep(flapDown)
	}
	wg.Wait()
	s.log.add("end of the traffic")
	time.Sleep(finish)
	s.askForAll()
	return nil
}
