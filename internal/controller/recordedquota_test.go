package controller

import (
	"testing"
	"time"
)

// TestRecordedStartsKeepToALoweredQuota guards against starts above the quota of a team that was lowered while their record
// waited for the store.
func TestRecordedStartsKeepToALoweredQuota(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.setTeams(north(4000))
	sim.addWorkers(2, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	h := newHandDelivery(sim)
	h.deliverFor(50 * time.Millisecond)
	job := simpleJob("j1", "batch", 4, 1000, nil)
	job.Team = "north"
	h.submit(job)
	sim.advance(20 * time.Millisecond)
	h.ctl.ConfirmEpoch(sim.now)
	if n := len(h.startsNow()); n > 0 || h.runCount("j1") != 4 {
		t.Fatalf("%d starts are sent and %d runs are placed, want none and 4", n, h.runCount("j1"))
	}
	b := h.ctl.NextBatch()
	sim.setTeams(north(1000))
	h.ctl.SetConfig(sim.config, sim.now)
	for range 1000 { // the store does not answer for 5 s
		sim.advance(5 * time.Millisecond)
		h.ctl.ConfirmEpoch(sim.now)
		h.startsNow()
	}
	h.ctl.BatchStored(b, sim.now)
	if n := len(h.startsNow()); n > 1 {
		t.Errorf("%d starts of 1000 each are sent under a quota of 1000 that is 5 s old", n)
	}
}
