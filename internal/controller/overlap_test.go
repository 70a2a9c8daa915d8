package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestOverlappingFaults guards against double runs and overfull workers from causes that show only
// together: large shares of late orders, refusals and lost answers on workers that are cut off and
// restart, beside changes of the controller.
func TestOverlappingFaults(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playOverlappingFaults(t, seed) })
	}
}

func playOverlappingFaults(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	rng := rand.New(rand.NewPCG(seed, 4))
	sim.addWorkers(6, 8000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		reason := workload.EndDone
		if rng.Float64() < 0.03 {
			reason = workload.EndFailed
		}
		return time.Duration(200+rng.IntN(2000)) * time.Millisecond, reason
	}
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	sim.delayedOrderShare = 0.1 + 0.2*rng.Float64()
	sim.lostAnswerShare = 0.05 * rng.Float64()
	sim.refusedOrderShare = 0.5 * rng.Float64()
	for i := range 25 {
		sim.advance(time.Duration(rng.IntN(700)) * time.Millisecond)
		if rng.IntN(3) == 0 {
			sim.injectFault(rng)
		}
		if sim.ctl == nil {
			continue
		}
		sim.submit(randomJob(fmt.Sprintf("j%d", i), rng))
	}
	sim.refusedOrderShare = 0
	sim.endFaults()
	sim.advance(90 * time.Second)
	sim.checkAllJobsEnded()
}
