package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// newSimulationWithAdvisor returns a led world whose batch class needs tickets; the advisor allows
// every worker.
func newSimulationWithAdvisor(t testing.TB) *simulation {
	w := newSimulation(t, 1)
	w.allowedShare = 1
	w.config.Classes["batch"].Advisor = &workload.AdvisorTiming{
		DecisionTime: 100 * time.Millisecond, TimePerWorker: time.Millisecond, TicketValidity: 2 * time.Second,
	}
	w.addWorkers(3, 4000)
	w.startController(true)
	w.advance(100 * time.Millisecond)
	return w
}

// TestAdvisorIsCalledWhileJobIsBeingStored submits a job while the store takes long: the advisor
// is asked meanwhile, nothing starts before the job is stored, and its tasks start at once
// then (tairi-bale-grown trouble-2: the call came after an append of 0.3 s).
func TestAdvisorIsCalledWhileJobIsBeingStored(t *testing.T) {
	w := newSimulationWithAdvisor(t)
	w.storeDown = true
	w.submit(simpleJob("j1", "batch", 3, 1000, nil))
	w.advance(300 * time.Millisecond)
	if len(w.advisorBusyUntil) == 0 {
		t.Error("the advisor was not asked before the job was stored")
	}
	if w.startsSent != 0 {
		t.Fatalf("%d tasks were started before the job was stored", w.startsSent)
	}
	w.storeDown = false
	w.advance(50 * time.Millisecond)
	if w.startsSent != 3 {
		t.Errorf("%d tasks were started soon after the job was stored, want 3", w.startsSent)
	}
}

// TestDroppedSubmissionCausesNoAdvisorCall takes a submission back that is not stored: nothing is
// asked or started for it any more.
func TestDroppedSubmissionCausesNoAdvisorCall(t *testing.T) {
	w := newSimulationWithAdvisor(t)
	w.storeDown = true
	w.submit(simpleJob("j1", "batch", 3, 1000, nil))
	w.advance(50 * time.Millisecond)
	if got := w.ctl.DropUnbatchedSubmissions(); len(got) != 1 {
		t.Fatalf("%v were dropped, want j1", got)
	}
	delete(w.jobs, "j1")
	if len(w.ctl.stepsAwaitingStore) != 0 {
		t.Error("the dropped job's step is still to be asked about")
	}
	w.storeDown = false
	w.advance(time.Second)
	if w.startsSent != 0 {
		t.Errorf("%d tasks of a dropped job were started", w.startsSent)
	}
}
