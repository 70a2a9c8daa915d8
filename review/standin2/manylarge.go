//go:build review2

package main

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const memoryMB = 284

// manyLarge hands in some jobs with many tasks.
func manyLarge(s *site, trouble bool) error {
	n := 40
	if v := os.Getenv("JOBS"); v != "" {
		n, _ = strconv.Atoi(v)
	}
	go s.enforceMemory()
	var wg sync.WaitGroup
	s.smallJobs(&wg, 30*time.Second, 500*time.Millisecond)
	time.Sleep(3 * time.Second)
	count := 20000
	if !trouble {
		count = 200
	}
	for i := range n {
		j := s.newJob(1_000_000+i, "range-batch", step{Count: count, CPU: 1000, MemMB: 256, EstimateMs: 5000}, func(int) time.Duration { return 5 * time.Second })
		wg.Go(func() { s.submit(j, i) })
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	s.log.add("end of the traffic")
	time.Sleep(finish)
	s.askForAll()
	s.watchIdle(6 * time.Second)
	return nil
}

// enforceMemory kills processes over the limit, as the platform does (DEPLOY.md), and starts them again.
func (s *site) enforceMemory() {
	most := map[string]int{}
	for n := 0; ; n++ {
		for _, e := range s.entries {
			e.mu.Lock()
			pid := 0
			if e.cmd != nil && e.cmd.Process != nil {
				pid = e.cmd.Process.Pid
			}
			e.mu.Unlock()
			mb := residentMB(pid)
			most[e.name] = max(most[e.name], mb)
			if mb > memoryMB {
				s.log.addf("%s has %d MB, is killed", e.name, mb)
				e.signal(syscall.SIGKILL)
				time.AfterFunc(time.Second, func() { _ = e.start() })
			}
		}
		if n%20 == 0 {
			s.log.addf("most memory so far: %v", most)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func residentMB(pid int) int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}
