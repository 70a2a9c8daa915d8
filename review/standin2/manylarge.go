//go:build review2

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// manyLarge hands in manyJobs jobs of three steps of 60 tasks within some seconds, which run manyTimes, without trouble
// once. memoryMB is what a process may take up on the small sites (SYSTEM.md).
const (
	manyJobs     = 140
	manyTimes    = 64
	manyInterval = 100 * time.Millisecond
	memoryMB     = 284
)

// manyLarge hands in many large jobs, beside a traffic of small jobs.
func manyLarge(s *site, trouble bool) error {
	ended := make(chan struct{})
	defer close(ended)
	go s.limitMemory(ended)
	var wg sync.WaitGroup
	s.smallJobs(&wg, 30*time.Second, 500*time.Millisecond)
	time.Sleep(3 * time.Second)
	st := step{Count: overlapWidth, CPU: 1000, MemMB: 256, EstimateMs: 5000}
	times := 1
	if trouble {
		times = manyTimes
	}
	for i := range manyJobs {
		when := timetable{count: times, start: time.Now(), interval: manyInterval}
		j := s.newScheduledJob(1_000_000+i, "ledger-recon", st, overlapSteps, when, func(int) time.Duration { return 5 * time.Second })
		wg.Go(func() { s.submit(j, i) })
		time.Sleep(manyInterval)
	}
	wg.Wait()
	s.log.add("end of the traffic")
	time.Sleep(finish)
	s.askForAll()
	s.watchIdle(6 * time.Second)
	s.checkEnds()
	return nil
}

// checkEnds judges by the rule "Fault": on a tenth of the machines in use, two at least, processes end by themselves three
// times, memory over the limit included.
func (s *site) checkEnds() {
	var often []string
	for _, e := range s.entries {
		e.mu.Lock()
		if e.overMemory >= 3 {
			often = append(often, fmt.Sprintf("%s %d times", e.name, e.overMemory))
		}
		e.mu.Unlock()
	}
	if len(often) >= 2 {
		s.breach("Fault", "processes end over the limit of memory: "+strings.Join(often, ", "))
	}
}

// limitMemory kills processes that exceed memoryMB and starts them again after a short delay, as the platform does
// (DEPLOY.md, "Memory and descriptors", "Ends").
func (s *site) limitMemory(ended chan struct{}) {
	kills := 0
	for n := 0; ; n++ {
		most := 0
		for _, e := range s.entries {
			mb := residentMB(e.pid())
			most = max(most, mb)
			if mb <= memoryMB {
				continue
			}
			kills++
			e.mu.Lock()
			e.overMemory++
			e.mu.Unlock()
			s.log.addf("%s takes up %d MB, more than %d, and is killed (%d kills so far)", e.name, mb, memoryMB, kills)
			e.signal(syscall.SIGKILL)
			time.AfterFunc(time.Second, func() {
				select {
				case <-ended:
				default:
					_ = e.start()
				}
			})
		}
		if n%20 == 0 {
			s.log.addf("the largest process takes up %d MB", most)
		}
		select {
		case <-ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// pid returns the ID of the process, 0 while it does not run.
func (e *entry) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil || e.wanted {
		return 0
	}
	return e.cmd.Process.Pid
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}
