package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestManyEndsAmongFaults plays one of manyEndsShare seeds, since its tasks are many.
const manyEndsShare = 10

// TestManyEndsAmongFaults plays the faults of TestRandomFaults around workers that have more ends than one answer lists: jobs
// of many small tasks, which end together, more often than not while the store is away or has no controller.
func TestManyEndsAmongFaults(t *testing.T) {
	for seed := range *randomSeeds / manyEndsShare {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playManyEnds(t, seed) })
	}
}

func playManyEnds(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	rng := rand.New(rand.NewPCG(seed, 60))
	sim.allowedShare = 1
	sim.addWorkers(3, 10_000)
	sim.lostAnswerShare = 0.02 * rng.Float64()
	sim.delayedOrderShare = 0.01 * rng.Float64()
	endAt := sim.now
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return max(endAt.Sub(sim.now), 0) + between(rng, 50*time.Millisecond, 250*time.Millisecond), workload.EndDone
	}
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	most := 0
	for i := range 4 {
		endAt = sim.now.Add(4 * time.Second)
		if sim.ctl != nil {
			class := []string{"batch", "gang"}[rng.IntN(2)]
			sim.submit(simpleJob(fmt.Sprintf("j%d", i), class, 1500+rng.IntN(1000), 10, smallMemory))
		}
		sim.advance(endAt.Sub(sim.now) - between(rng, 0, 500*time.Millisecond))
		switch rng.IntN(3) {
		case 0:
			sim.storeDown = true
			sim.after(between(rng, 300*time.Millisecond, 3*time.Second), func() { sim.storeDown = false })
		case 1:
			sim.replaceController(rng, between(rng, 400*time.Millisecond, 6*time.Second))
		}
		for range 2 + rng.IntN(2) {
			sim.injectFault(rng)
			for range 10 {
				sim.advance(between(rng, 0, 100*time.Millisecond))
				for _, f := range sim.workers {
					most = max(most, len(f.ends))
				}
			}
		}
	}
	t.Logf("at most %d ends were listed at once", most)
	sim.endFaults()
	sim.advance(90 * time.Second)
	sim.checkAllJobsEnded()
}
