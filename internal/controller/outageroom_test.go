package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestStartsThatWaitForTheStoreLeaveRoom guards against a worker that stays idle during an outage of the store: runs that
// wait for their record take its room, and tasks whose starts bear tickets, which need no record, find none.
func TestStartsThatWaitForTheStoreLeaveRoom(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(1, 4000)
	sim.drawResult = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		if id.Job == "ticketed" {
			return 1500 * time.Millisecond, workload.EndDone
		}
		return 500 * time.Millisecond, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	for name, class := range map[string]string{"ticketed": "gang", "recorded": "batch"} {
		job := simpleJob(name, class, 1, 1000, nil)
		next := job.Steps[0]
		next.DependsOn = []int{0}
		if name == "recorded" {
			next.Count = 8
		}
		job.Steps = append(job.Steps, next)
		sim.submit(job)
	}
	sim.advance(450 * time.Millisecond)
	if n := len(sim.runningOf("ticketed")); n != 1 {
		t.Fatalf("%d runs of the job with tickets, want 1", n)
	}
	sim.storeDown = true
	sim.advance(4 * time.Second)
	running := len(sim.runningOf("ticketed")) + len(sim.runningOf("recorded"))
	w := sim.ctl.workers["i-aa"]
	t.Logf("%d of %d runs on the worker run, %v is in use", running, len(w.runs), w.used)
	started := sim.ctl.jobs["ticketed"].open
	if len(started) > 0 && started[0].steps[1].doneTasks+running == 0 {
		t.Error("nothing runs, and the next step of the job with tickets has not been started")
	}
}
