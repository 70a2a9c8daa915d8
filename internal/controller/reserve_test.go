package controller

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestManyWaitingGangsLeaveRoomForBatch has several gangs wait for workers that are busy for a long
// time. Only the most urgent ones keep room free meanwhile: batch tasks use what is free on the other
// workers, and the first gang starts when its workers are done.
func TestManyWaitingGangsLeaveRoomForBatch(t *testing.T) {
	const workers, gangs, busyTime = 40, 12, 20 * time.Second
	sim := newSimulation(t, 1)
	sim.drawResult = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		if id.Job == "busy" {
			return busyTime, workload.EndDone
		}
		return 2 * busyTime, workload.EndDone
	}
	sim.addWorkers(workers, 16000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	estimate := func(d time.Duration, gang bool) func(*workload.Step) {
		return func(s *workload.Step) { s.EstimateMs, s.Gang = d.Milliseconds(), gang }
	}
	sim.submit(simpleJob("busy", "batch", workers, 12000, estimate(busyTime, false)))
	sim.advance(2 * time.Second)
	for i := range gangs {
		sim.submit(simpleJob(fmt.Sprintf("gang-%d", i), "gang", 10, 8000, estimate(busyTime, true)))
	}
	sim.advance(3 * time.Second)
	sim.submit(simpleJob("fill", "batch", workers/2, 3000, estimate(2*busyTime, false)))
	sim.advance(2 * time.Second)
	if got := len(sim.ctl.jobs["fill"].open[0].steps[0].startableTasks(sim.now)); got != 0 {
		t.Errorf("%d of %d batch tasks wait beside room that is free", got, workers/2)
	}
	sim.advance(busyTime)
	if sim.state("gang-0") != workload.JobRunning {
		t.Errorf("the first gang is %s after its workers have become free", sim.state("gang-0"))
	}
}
