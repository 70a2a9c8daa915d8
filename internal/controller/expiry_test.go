package controller

import (
	"testing"
	"time"
)

// TestExpiredJobDoesNotRunAgain guards against a cancelled job that runs again under the next controller: its final state
// was dropped while a run on a worker that refuses orders kept its record.
func TestExpiredJobDoesNotRunAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.timing.StatusRetention = time.Millisecond
	sim.addWorkers(2, 4000)
	sim.lasting(time.Hour)
	sim.startController(true)
	sim.advance(time.Second)
	sim.submit(simpleJob("job", "batch", 1, 1000, nil))
	sim.advance(time.Second)
	for _, f := range sim.workers {
		f.unhealthy = true
	}
	sim.cancel("job")
	sim.advance(statusMargin + time.Second)
	if j := sim.ctl.jobs["job"]; j != nil {
		t.Fatal("the job is not dropped yet, which the case is about")
	}
	if sim.ctl.usage.Total().IsZero() {
		t.Fatal("no run is left, which the case is about")
	}
	sim.startController(true)
	sim.advance(time.Second)
	if got := sim.state("job"); got != "" {
		t.Errorf("the cancelled job is %q under the next controller", got)
	}
}

// TestResubmissionAtExpiryKeepsItsRecord guards against an accepted job whose record is deleted together with what is left
// of an earlier job of the same ID, which is dropped just before.
func TestResubmissionAtExpiryKeepsItsRecord(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.timing.StatusRetention = time.Millisecond
	sim.addWorkers(2, 4000)
	sim.lasting(time.Hour)
	sim.startController(true)
	sim.advance(time.Second)
	sim.submit(simpleJob("job", "batch", 1, 1000, nil))
	sim.advance(time.Second)
	for _, f := range sim.workers {
		f.unhealthy = true
	}
	sim.cancel("job")
	for sim.ctl.jobs["job"] != nil {
		sim.advance(time.Millisecond)
		sim.ctl.dropExpiredJobs(sim.nowOf(sim.ctl))
	}
	delete(sim.cancelAckedAt, "job")
	if _, err := sim.ctl.Submit(simpleJob("job", "batch", 1, 1000, nil), sim.nowOf(sim.ctl)); err != nil {
		t.Fatal(err)
	}
	sim.advance(100 * time.Millisecond)
	if sim.store[jobPrefix+"job"] == nil {
		t.Error("the record of the accepted job is deleted")
	}
}
