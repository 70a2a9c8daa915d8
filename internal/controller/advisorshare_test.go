package controller

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/advisorqueue"
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

// TestAdvisorShares checks that a class may make calls up to its part of the entries: a long call takes a whole
// entry, a short one a third.
func TestAdvisorShares(t *testing.T) {
	queue := advisorqueue.New()
	queue.SetEntries([]string{"l1", "l2", "l3", "l4", "l5", "l6"})
	shares := &advisorShares{queue: queue, part: 2 * advisorqueue.MaxInFlight}
	now := simulationStart
	for i, want := range []int{2, 1, 0} {
		if got := shares.left("a", advisorqueue.Long); got != want {
			t.Errorf("after %d calls %d are left, want %d", i, got, want)
		}
		queue.Send(workload.StepID{}, "a", advisorqueue.Long, time.Second, now)
	}
	if got := shares.left("b", advisorqueue.Long); got != 2 {
		t.Errorf("%d calls are left to a class without calls, want 2", got)
	}
	if got := shares.left("b", advisorqueue.Short); got != 6 {
		t.Errorf("%d short calls are left to a class without calls, want 6", got)
	}
	queue.Send(workload.StepID{}, "b", advisorqueue.Short, 13*time.Millisecond, now)
	if got := shares.left("b", advisorqueue.Short); got != 5 {
		t.Errorf("%d short calls are left after one, want 5", got)
	}
}
