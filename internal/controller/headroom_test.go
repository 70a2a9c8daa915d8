package controller

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// newMixedCell returns a cell of 40 workers with an urgent class and one that can wait.
func newMixedCell(t *testing.T) *simulation {
	sim := newSimulation(t, 1)
	sim.config.Classes = map[string]*workload.Class{
		"urgent": {Name: "urgent", Service: "svc", MaxAttempts: 2, Stretch: 1.5, Target: 400 * time.Millisecond},
		"batch":  {Name: "batch", Service: "svc", MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second, Priority: 2},
	}
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 4 * time.Second, workload.EndDone
	}
	sim.addWorkers(40, 4000)
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	return sim
}

// urgentJob returns a job of the urgent class that runs for as long as the simulation's tasks do.
func urgentJob(id string, count int) *workload.Job {
	return simpleJob(id, "urgent", count, 1000, func(s *workload.Step) { s.EstimateMs = 4000 })
}

// startedTasks returns how many tasks of a job are running.
func (sim *simulation) startedTasks(job string) int {
	n := 0
	for _, f := range sim.workers {
		for _, r := range f.runs {
			if r.id.Task.Job == job {
				n++
			}
		}
	}
	return n
}

// TestUrgentBurstAfterABatchBurst guards against urgent jobs that wait for batch runs to end: a burst of batch jobs
// fills the cell just before the urgent load doubles.
func TestUrgentBurstAfterABatchBurst(t *testing.T) {
	sim := newMixedCell(t)
	sim.submit(urgentJob("usual", 16))
	sim.advance(300 * time.Millisecond)
	for i := range 10 {
		sim.submit(simpleJob(fmt.Sprintf("batch-%d", i), "batch", 30, 1000, func(s *workload.Step) { s.EstimateMs = 4000 }))
	}
	sim.advance(500 * time.Millisecond)
	sim.submit(urgentJob("burst", 16))
	sim.advance(300 * time.Millisecond)
	if got := sim.startedTasks("burst"); got != 16 {
		t.Errorf("%d of 16 urgent tasks run at once", got)
	}
	sim.advance(40 * time.Second)
	sim.checkAllJobsEnded()
}

// TestBatchWithoutSlackUsesAllCapacity guards against capacity that stays idle while batch jobs get late.
func TestBatchWithoutSlackUsesAllCapacity(t *testing.T) {
	sim := newMixedCell(t)
	sim.submit(urgentJob("usual", 16))
	sim.advance(300 * time.Millisecond)
	sim.submit(simpleJob("due", "batch", 300, 1000, func(s *workload.Step) { s.EstimateMs = 100 }))
	sim.advance(2500 * time.Millisecond)
	if got := sim.startedTasks("due"); got != 40*4-16 {
		t.Errorf("%d tasks of the batch job that is due run, want all %d that fit", got, 40*4-16)
	}
}

// TestNothingIsLeftFreeWithoutUrgentLoad guards against idle capacity in a cell whose urgent class has nothing running.
func TestNothingIsLeftFreeWithoutUrgentLoad(t *testing.T) {
	sim := newMixedCell(t)
	sim.submit(simpleJob("batch", "batch", 300, 1000, func(s *workload.Step) { s.EstimateMs = 4000 }))
	sim.advance(500 * time.Millisecond)
	if got := sim.startedTasks("batch"); got != 160 {
		t.Errorf("%d tasks run, want 160", got)
	}
}

// TestHeadroomIsThatOfTheService guards against batch tasks that wait beside idle workers, since the urgent load of
// another service fills the workers of that one.
func TestHeadroomIsThatOfTheService(t *testing.T) {
	sim := newMixedCell(t)
	sim.config.Classes["urgent"].Service = "other"
	for _, id := range sim.workerIDs()[4:] {
		f := sim.workers[id]
		f.service = "other"
		sim.ctl.SetWorker(f.info(), sim.nowOf(sim.ctl))
	}
	sim.advance(500 * time.Millisecond)
	sim.submit(urgentJob("usual", 36*4))
	sim.advance(500 * time.Millisecond)
	if got := sim.startedTasks("usual"); got != 36*4 {
		t.Fatalf("%d urgent tasks run, want %d", got, 36*4)
	}
	sim.submit(simpleJob("batch", "batch", 4, 1000, func(s *workload.Step) { s.EstimateMs = 4000 }))
	sim.advance(500 * time.Millisecond)
	if got := sim.startedTasks("batch"); got != 4 {
		t.Errorf("%d of 4 batch tasks run on idle workers", got)
	}
}

// TestRunsOnDrainingWorkersLeaveNoRoomIdle guards against batch tasks that wait beside idle workers, since runs on workers
// that can't be used count against the capacity of those that can.
func TestRunsOnDrainingWorkersLeaveNoRoomIdle(t *testing.T) {
	sim := newMixedCell(t)
	sim.submit(urgentJob("usual", 4))
	sim.submit(simpleJob("batch", "batch", 76, 1000, func(s *workload.Step) { s.EstimateMs = 100 }))
	sim.advance(500 * time.Millisecond)
	for _, f := range sim.workers {
		if len(f.runs) > 0 {
			f.draining = true
			sim.ctl.SetWorker(f.info(), sim.nowOf(sim.ctl))
		}
	}
	sim.advance(300 * time.Millisecond)
	sim.submit(simpleJob("later", "batch", 20, 1000, func(s *workload.Step) { s.EstimateMs = 4000 }))
	sim.advance(500 * time.Millisecond)
	if got := sim.startedTasks("later"); got != 20 {
		t.Errorf("%d of 20 batch tasks run on idle workers", got)
	}
}
