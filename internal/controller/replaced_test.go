package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestReplacedWorkerHoldsUpNoTakeover guards against jobs that stood still for the sum of a leader
// lease and a worker's lease after two changes of the controller (LOST): a worker that had crashed was
// awaited although another boot answered at its address that it is not that worker.
func TestReplacedWorkerHoldsUpNoTakeover(t *testing.T) {
	sim := newSimulationWithController(t, 3, 4000)
	sim.submit(simpleJob("j1", "batch", 9, 1000, nil))
	sim.advance(time.Second)
	lost := sim.workers["i-aa"]
	lost.crash()
	lost.listed = false
	sim.startController(false)
	sim.advance(200 * time.Millisecond)
	sim.startController(true) // whether the first controller has ended is not known
	for range 20 {
		sim.advance(100 * time.Millisecond)
		sim.ctl.PollFailed(lost.id, RefusedBoot, sim.now)
	}
	if !sim.ctl.takeoverComplete {
		t.Error("the takeover waits for a worker of which another boot has answered")
	}
}

// TestRunsOfAReplacedDrainingWorkerAreLost guards against tasks that were never started again (LOST): their
// worker was draining, left with them, and another one answered at its address before its lease ended.
func TestRunsOfAReplacedDrainingWorkerAreLost(t *testing.T) {
	sim := newSimulationWithController(t, 2, 4000)
	sim.submit(simpleJob("j1", "batch", 8, 1000, nil))
	sim.advance(300 * time.Millisecond)
	left := sim.workers["i-aa"]
	if len(left.runs) == 0 {
		t.Fatal("no run on the worker that leaves")
	}
	left.draining = true
	sim.listWorker(left)
	sim.advance(100 * time.Millisecond)
	left.crash()
	left.replaced = true
	sim.advance(20 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}
