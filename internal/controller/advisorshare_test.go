package controller

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestWaitingGangsLeaveTheAdvisorToOthers has many gangs wait for room and ask the advisor about all
// workers, over few entries. A job of a lower class, for which there is room, gets its tickets
// meanwhile.
func TestWaitingGangsLeaveTheAdvisorToOthers(t *testing.T) {
	const workers, gangs, busyTime = 200, 30, time.Minute
	sim := newSimulation(t, 1)
	sim.config.Classes["advised"] = &workload.Class{
		Name: "advised", Service: "svc", MaxAttempts: 3, Stretch: 2, Target: 3 * time.Second, Priority: 2,
		Advisor: &workload.AdvisorTiming{DecisionTime: 140 * time.Millisecond, TimePerWorker: 2 * time.Millisecond, TicketValidity: 2500 * time.Millisecond},
	}
	sim.advisorEntries = []string{"l1", "l2", "l3", "l4", "l5", "l6", "l7", "l8"}
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return busyTime, workload.EndDone
	}
	sim.addWorkers(workers, 16000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	long := func(s *workload.Step) { s.EstimateMs = busyTime.Milliseconds() }
	sim.submit(simpleJob("busy", "batch", workers, 12000, long))
	sim.advance(time.Second)
	for i := range gangs {
		sim.submit(simpleJob(fmt.Sprintf("gang-%d", i), "gang", 40, 8000, func(s *workload.Step) {
			long(s)
			s.Gang = true
		}))
	}
	sim.advance(time.Second)
	sim.submit(simpleJob("advised", "advised", 10, 3000, nil))
	sim.advance(1500 * time.Millisecond)
	if got := sim.state("advised"); got != workload.JobRunning {
		t.Errorf("the job with room for it is %s", got)
	}
}

// TestAdvisorShares checks that a class may make calls up to its part of the entries.
func TestAdvisorShares(t *testing.T) {
	shares := &advisorShares{part: 2, inFlight: map[string]int{"a": 1}}
	for i, want := range []int{1, 0, 0} {
		if got := shares.left("a"); got != want {
			t.Errorf("after %d calls %d are left, want %d", i, got, want)
		}
		shares.add("a")
	}
	if got := shares.left("b"); got != 2 {
		t.Errorf("%d calls are left to a class without calls, want 2", got)
	}
}
