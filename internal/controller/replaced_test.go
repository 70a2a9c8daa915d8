package controller

import (
	"testing"
	"time"
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
