package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// newSimulationWithAdvisor returns a simulation whose batch class needs tickets. The advisor
// allows every worker.
func newSimulationWithAdvisor(t testing.TB) *simulation {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.config.Classes["batch"].Advisor = &workload.AdvisorTiming{
		DecisionTime: 100 * time.Millisecond, TimePerWorker: time.Millisecond, TicketValidity: 2 * time.Second,
	}
	sim.addWorkers(3, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	return sim
}

// TestAdvisorIsCalledWhileJobIsBeingStored submits a job while the store is slow. The advisor
// must be called meanwhile, so that the tasks start as soon as the job is stored, and not
// before. The call used to come after the append, which took 0.3 s.
func TestAdvisorIsCalledWhileJobIsBeingStored(t *testing.T) {
	sim := newSimulationWithAdvisor(t)
	sim.storeDown = true
	sim.submit(simpleJob("j1", "batch", 3, 1000, nil))
	sim.advance(300 * time.Millisecond)
	if len(sim.advisorBusyUntil) == 0 {
		t.Error("the advisor was not called before the job was stored")
	}
	if sim.startsSent != 0 {
		t.Fatalf("%d tasks were started before the job was stored", sim.startsSent)
	}
	sim.storeDown = false
	sim.advance(50 * time.Millisecond)
	if sim.startsSent != 3 {
		t.Errorf("%d tasks were started soon after the job was stored, want 3", sim.startsSent)
	}
}

// TestDroppedSubmissionCausesNoAdvisorCall drops a submission that is not stored. The advisor
// must not be called and no task started for it afterwards.
func TestDroppedSubmissionCausesNoAdvisorCall(t *testing.T) {
	sim := newSimulationWithAdvisor(t)
	sim.storeDown = true
	sim.submit(simpleJob("j1", "batch", 3, 1000, nil))
	sim.advance(50 * time.Millisecond)
	if got := sim.ctl.DropUnbatchedSubmissions(); len(got) != 1 {
		t.Fatalf("%v were dropped, want j1", got)
	}
	delete(sim.jobs, "j1")
	if len(sim.ctl.stepsAwaitingStore) != 0 {
		t.Error("the dropped job's step is still in stepsAwaitingStore")
	}
	sim.storeDown = false
	sim.advance(time.Second)
	if sim.startsSent != 0 {
		t.Errorf("%d tasks of a dropped job were started", sim.startsSent)
	}
}
