package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// TestHugeDemandLeavesSharesInForce guards against a step of absurd size that overflows the sum of the demands.
func TestHugeDemandLeavesSharesInForce(t *testing.T) {
	for _, cpu := range []int64{1 << 62, 1 << 61, 3 << 60} {
		sim := newSimulationWithTeams(t, 1, 1)
		sim.submitFor("south", simpleJob("huge", "batch", 2, cpu, nil))
		sim.submitFor("north", simpleJob("n", "batch", 600, 1000, nil))
		sim.advance(1500 * time.Millisecond)
		sim.submitFor("south", simpleJob("s", "batch", 600, 1000, nil))
		sim.advance(2500 * time.Millisecond)
		sim.wantShareOfNorth("beside the huge step", 0.5)
	}
}

// TestHugeEstimate guards against panics and steps that hold up others because of absurd estimates.
func TestHugeEstimate(t *testing.T) {
	for _, ms := range []int64{1 << 62, 1<<63 - 1, 9_300_000_000_000} {
		sim := newSimulationWithTeams(t, 1, 1)
		sim.ctl.LearnRunTimes()
		sim.submitFor("south", simpleJob("odd", "batch", 4, 1000, func(s *workload.Step) { s.EstimateMs = ms }))
		sim.submitFor("north", simpleJob("n", "batch", 8, 1000, nil))
		sim.advance(5 * time.Second)
		for _, id := range []string{"odd", "n"} {
			if got := sim.state(id); got != workload.JobCompleted {
				t.Errorf("estimate %d: %s is %q", ms, id, got)
			}
		}
	}
}

// TestHugeTaskHidesNoRuns guards against a team that exceeds its quota after a takeover: the sum of what may run on silent
// workers overflows with a waiting task of absurd size.
func TestHugeTaskHidesNoRuns(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.toleratesOverrun = true
	sim.addWorkers(2, 8000)
	sim.setTeams(workload.Team{Name: "north", Quota: structs.Resources{CPUMilli: 8000}})
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.lasting(20 * time.Second)
	sim.submitFor("north", simpleJob("huge", "batch", 1, 1<<62, func(s *workload.Step) { s.AllowCopies = true }))
	sim.submitFor("north", simpleJob("run", "batch", 8, 1000, nil))
	sim.advance(time.Second)
	if got := sim.usedBy("north").CPUMilli; got != 8000 {
		t.Fatalf("%d millicores run", got)
	}
	for _, f := range sim.workers {
		f.partitioned = len(f.runs) > 0
	}
	sim.startController(true)
	sim.submitFor("north", simpleJob("more", "batch", 8, 1000, nil))
	sim.advance(time.Second)
	if got := sim.usedBy("north").CPUMilli; got > 9800 {
		t.Errorf("%d millicores run", got)
	}
}
