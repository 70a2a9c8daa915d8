package controller

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
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

// TestWideGangGetsTicketsWhereRoomBecomesFree has a gang wait on a full cell until a third of the
// workers become free. Its tickets have to be renewed for these workers: a call used to name the
// first hundred allowed workers by ID, wherever there was room, so that the gang never started.
func TestWideGangGetsTicketsWhereRoomBecomesFree(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(300, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	freed := map[string]bool{}
	for _, id := range sim.workerIDs()[200:] {
		freed[id] = true
	}
	sim.drawResult = func(id workload.TaskID, f *fakeWorker) (time.Duration, workload.EndReason) {
		if id.Job == "filler" && !freed[f.id] {
			return time.Minute, workload.EndDone
		}
		return 8 * time.Second, workload.EndDone
	}
	sim.submit(simpleJob("filler", "batch", 300, 4000, func(s *workload.Step) { s.EstimateMs = time.Minute.Milliseconds() }))
	sim.advance(time.Second)
	sim.submit(simpleJob("wide", "gang", 90, 4000, func(s *workload.Step) { s.Gang = true }))
	sim.advance(7 * time.Second)
	if started := sim.startsSent - 300; started != 0 {
		t.Fatalf("%d tasks of the gang were started on a full cell", started)
	}
	sim.advance(4 * time.Second)
	if started := sim.startsSent - 300; started != 90 {
		t.Errorf("%d tasks of the gang were started within 3 s after enough workers became free, want 90", started)
	}
}

// TestWideGangAsksInParallel submits a gang whose tasks need more workers than one call of the
// advisor may name. With many entries the calls are made at the same time.
func TestWideGangAsksInParallel(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 0.35
	sim.advisorEntries = nil
	for i := range 40 {
		sim.advisorEntries = append(sim.advisorEntries, fmt.Sprintf("entry-%02d", i))
	}
	sim.addWorkers(800, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("wide", "gang", 90, 4000, func(s *workload.Step) { s.Gang = true }))
	call := sim.config.Classes["gang"].Advisor.CallTime(maxWorkersPerCall)
	sim.advance(call + 500*time.Millisecond)
	if sim.startsSent != 90 {
		t.Errorf("%d tasks were started after little more than one call of the advisor, want 90", sim.startsSent)
	}
}

// newSimulationWithUrgentClass returns a simulation whose batch class needs tickets by short calls.
func newSimulationWithUrgentClass(t testing.TB) *simulation {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.config.Classes["batch"].Advisor = &workload.AdvisorTiming{
		DecisionTime: 11 * time.Millisecond, TimePerWorker: 160 * time.Microsecond, TicketValidity: 2500 * time.Millisecond,
	}
	sim.addWorkers(3, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	return sim
}

// TestStepIsAskedAboutAgainWhenAnAnswerIsOverdue loses each call through two of three entries. A step used to wait for
// the call's timeout of 1.5 s each time.
func TestStepIsAskedAboutAgainWhenAnAnswerIsOverdue(t *testing.T) {
	sim := newSimulationWithUrgentClass(t)
	sim.advisorLoses = func(entry string) bool { return entry != "lane-3" }
	sim.submit(simpleJob("j1", "batch", 3, 1000, nil))
	sim.advance(800 * time.Millisecond)
	if sim.startsSent != 3 {
		t.Errorf("%d tasks were started within 0.8 s, want 3", sim.startsSent)
	}
	sim.advance(3 * time.Second) // the lost calls time out
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("the job is %s", got)
	}
	if calls, _ := sim.ctl.AdvisorCalls(); calls != 0 {
		t.Errorf("%d calls count as in flight", calls)
	}
	if calls := sim.ctl.advisorQueue.Units("batch"); calls != 0 {
		t.Errorf("the class's calls take %d units", calls)
	}
}

// TestEntryThatRefusesIsLeftToItself has the advisor refuse the calls through one entry with 429. The jobs must be
// started with tickets through the others, and the entry gets few calls.
func TestEntryThatRefusesIsLeftToItself(t *testing.T) {
	sim := newSimulationWithUrgentClass(t)
	refused := 0
	sim.advisorRefuses = func(entry string) error {
		if entry != "lane-1" {
			return nil
		}
		refused++
		return structs.NewError(structs.CodeOverload, "too many calls")
	}
	for i := range 40 {
		sim.submit(simpleJob(fmt.Sprintf("j%d", i), "batch", 1, 1000, nil))
		sim.advance(100 * time.Millisecond)
	}
	sim.advance(2 * time.Second)
	if sim.startsSent != 40 {
		t.Errorf("%d of 40 jobs were started", sim.startsSent)
	}
	if refused < 1 || refused > 8 {
		t.Errorf("the entry refused %d calls", refused)
	}
}
