package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// newAdvisedWorld returns a led world whose batch class needs tickets; the advisor allows
// every worker.
func newAdvisedWorld(t testing.TB) *world {
	w := newWorld(t, 1)
	w.goodShare = 1
	w.config.Classes["batch"].Advisor = &workload.AdvisorTiming{
		DecisionTime: 100 * time.Millisecond, TimePerWorker: time.Millisecond, TicketValidity: 2 * time.Second,
	}
	w.addWorkers(3, 4000)
	w.lead(true)
	w.play(100 * time.Millisecond)
	return w
}

// TestAdviceIsAskedWhileTheJobIsStored submits a job while the store takes long: the advisor
// is asked meanwhile, nothing starts before the job is stored, and its tasks start at once
// then (tairi-bale-grown trouble-2: the call came after an append of 0.3 s).
func TestAdviceIsAskedWhileTheJobIsStored(t *testing.T) {
	w := newAdvisedWorld(t)
	w.down = true
	w.submit(simpleJob("j1", "batch", 3, 1000, nil))
	w.play(300 * time.Millisecond)
	if len(w.adviseFrom) == 0 {
		t.Error("the advisor was not asked before the job was stored")
	}
	if w.placed != 0 {
		t.Fatalf("%d tasks were started before the job was stored", w.placed)
	}
	w.down = false
	w.play(50 * time.Millisecond)
	if w.placed != 3 {
		t.Errorf("%d tasks were started soon after the job was stored, want 3", w.placed)
	}
}

// TestDroppedSubmissionIsNotAskedFor takes a submission back that is not stored: nothing is
// asked or started for it any more.
func TestDroppedSubmissionIsNotAskedFor(t *testing.T) {
	w := newAdvisedWorld(t)
	w.down = true
	w.submit(simpleJob("j1", "batch", 3, 1000, nil))
	w.play(50 * time.Millisecond)
	if got := w.ctl.DropUnbatchedSubmissions(); len(got) != 1 {
		t.Fatalf("%v were dropped, want j1", got)
	}
	delete(w.jobs, "j1")
	if len(w.ctl.coming) != 0 {
		t.Error("the dropped job's step is still to be asked about")
	}
	w.down = false
	w.play(time.Second)
	if w.placed != 0 {
		t.Errorf("%d tasks of a dropped job were started", w.placed)
	}
}
