package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestLateStartAfterRefusedStop guards against tasks that ran twice because a refused stop counted
// as carried out. A worker leaves a start unanswered, refuses the stop of that run for a while, and
// then carries out the start.
func TestLateStartAfterRefusedStop(t *testing.T) {
	sim := newSimulationWithController(t, 2, 4000)
	sim.delayedOrderShare = 1
	sim.submit(simpleJob("j1", "batch", 1, 4000, nil))
	sim.advance(30 * time.Millisecond)
	sim.delayedOrderShare = 0
	for _, f := range sim.workers {
		f.unhealthy = true
	}
	sim.advance(1500 * time.Millisecond)
	for _, f := range sim.workers {
		f.unhealthy = false
	}
	sim.advance(20 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestStopOfLeftRunIsRepeated guards against runs that went on after their job was cancelled
// because the stop of a run that an earlier controller had started was sent only once.
func TestStopOfLeftRunIsRepeated(t *testing.T) {
	sim := newSimulationWithController(t, 1, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Minute, workload.EndDone
	}
	sim.submit(simpleJob("j1", "batch", 1, 1000, nil))
	sim.advance(500 * time.Millisecond)
	f := sim.workers["i-aa"]
	f.unhealthy = true
	sim.ctl.Cancel("j1", sim.now)
	sim.advance(500 * time.Millisecond)
	sim.ctl = nil
	sim.startController(true)
	sim.advance(500 * time.Millisecond)
	f.unhealthy = false
	sim.advance(2 * time.Second)
	if n := len(f.runs); n != 0 {
		t.Errorf("%d runs of a cancelled job go on, want none", n)
	}
}

// TestLateOrdersAmongRefusals guards against the double runs and overfull workers of issue 24: many
// orders are carried out late while others are refused, on the same workers. Every start is
// checked, and in the end all jobs must have ended.
func TestLateOrdersAmongRefusals(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playLateOrdersAmongRefusals(t, seed) })
	}
}

func playLateOrdersAmongRefusals(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	rng := rand.New(rand.NewPCG(seed, 3))
	sim.addWorkers(6, 8000)
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	sim.delayedOrderShare = 0.1 + 0.2*rng.Float64()
	sim.refusedOrderShare = 0.5 * rng.Float64()
	for i := range 20 {
		sim.advance(time.Duration(rng.IntN(700)) * time.Millisecond)
		if rng.IntN(12) == 0 {
			sim.startController(true)
		}
		sim.submit(randomJob(fmt.Sprintf("j%d", i), rng))
	}
	sim.refusedOrderShare = 0
	sim.endFaults()
	sim.advance(60 * time.Second)
	sim.checkAllJobsEnded()
}
