package orchestrator

import (
	"testing"
	"time"

	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

var now = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

const jobID = "casa-0:1"

// newJobs returns an orchestrator with one job of n tasks.
func newJobs(kind structs.Kind, n int, fresh bool) *Orchestrator {
	o := New()
	o.SetWorkerCount(20)
	o.AddJob(&state.Job{
		Job:  structs.Job{ID: jobID, Class: "c", Kind: kind, Count: n, AcceptedMs: now.UnixMilli()},
		Ends: map[int]structs.AllocState{},
	}, structs.Class{}, 3, fresh)
	return o
}

// place takes the one order that is due and returns it.
func place(t *testing.T, o *Orchestrator, at time.Time) PlacementRequest {
	t.Helper()
	orders := o.NextPlacements(at, 1000)
	if len(orders) != 1 {
		t.Fatalf("%d orders, want 1", len(orders))
	}
	return orders[0]
}

// on returns the tasks of an order with a worker.
func on(worker string, refs []TaskRun) []TaskRun {
	var out []TaskRun
	for _, r := range refs {
		r.Worker = worker
		out = append(out, r)
	}
	return out
}

func TestLostAnswerWaitsForTheInventory(t *testing.T) {
	o := newJobs(structs.KindBatch, 3, true)
	order := place(t, o, now)
	refs := on("w1", order.Tasks)
	o.PlacementDone(order, refs[:1], refs[1:], nil, now)
	if orders := o.NextPlacements(now.Add(time.Minute), 10); len(orders) != 0 {
		t.Fatalf("tasks in doubt are placed again: %+v", orders)
	}
	round := o.StartInventory()
	if round == nil {
		t.Fatal("no inventory is asked for")
	}
	found := []FoundRun{{Job: jobID, Run: refs[0], State: structs.AllocRunning}, {Job: jobID, Run: refs[1], State: structs.AllocRunning}}
	o.FinishInventory(round, found, false)
	if orders := o.NextPlacements(now.Add(time.Minute), 10); len(orders) != 0 {
		t.Fatalf("an inventory with workers missing decides: %+v", orders)
	}
	o.FinishInventory(o.StartInventory(), found, true)
	again := place(t, o, now.Add(time.Minute))
	if len(again.Tasks) != 1 || again.Tasks[0].Index != 2 || again.Tasks[0].Attempt != 2 {
		t.Errorf("placed %+v, want a second attempt at task 2 alone", again.Tasks)
	}
}

func TestGainedJobStartsNothingBeforeTheInventory(t *testing.T) {
	o := newJobs(structs.KindBatch, 2, false)
	if orders := o.NextPlacements(now, 10); len(orders) != 0 {
		t.Fatalf("placed %+v before the inventory", orders)
	}
	ref := TaskRun{Index: 0, Attempt: 4, Worker: "w2"}
	o.FinishInventory(o.StartInventory(), []FoundRun{{Job: jobID, Run: ref, State: structs.AllocRunning}}, true)
	order := place(t, o, now)
	if len(order.Tasks) != 1 || order.Tasks[0].Index != 1 {
		t.Errorf("placed %+v, want task 1 alone", order.Tasks)
	}
	if v, settle := o.RecordReport(jobID, ref, structs.AllocComplete, now); v != ReportAgain || !settle {
		t.Errorf("end of the found run: %v, %v, want it to be settled", v, settle)
	}
}

func TestAnEndIsForgottenOnlyOnceTheLogHasIt(t *testing.T) {
	o := newJobs(structs.KindBatch, 1, true)
	order := place(t, o, now)
	ref := on("w1", order.Tasks)[0]
	o.PlacementDone(order, []TaskRun{ref}, nil, nil, now)
	if v, settle := o.RecordReport(jobID, ref, structs.AllocComplete, now); v != ReportAgain || !settle {
		t.Errorf("first report: %v, %v", v, settle)
	}
	if v, settle := o.RecordReport(jobID, ref, structs.AllocComplete, now); v != ReportAgain || settle {
		t.Errorf("repeat: %v, %v, want wait and no second record", v, settle)
	}
	o.TaskEndsCommitted(jobID, []state.TaskEnd{{Index: 0, State: structs.AllocComplete}})
	if v, _ := o.RecordReport(jobID, ref, structs.AllocComplete, now); v != ForgetRun {
		t.Errorf("after the log has it: %v, want forget", v)
	}
	if got := o.FinishedJobs(); len(got) != 1 {
		t.Errorf("finished %v", got)
	}
}

func TestAGangStartsOverWhole(t *testing.T) {
	o := newJobs(structs.KindGang, 3, true)
	order := place(t, o, now)
	refs := on("w1", order.Tasks)
	o.PlacementDone(order, refs, nil, nil, now)
	o.RecordReport(jobID, refs[1], structs.AllocStopped, now)
	if orders := o.NextPlacements(now.Add(time.Minute), 10); len(orders) != 0 {
		t.Fatalf("part of a gang is placed while the rest runs: %+v", orders)
	}
	stops := o.RunsToStop(func(string) bool { return false })[jobID]
	if len(stops) != 2 {
		t.Fatalf("stops %+v, want the two that run", stops)
	}
	for _, r := range stops {
		o.RunStopped(jobID, r)
	}
	o.RunsToStop(func(string) bool { return false })
	if again := place(t, o, now.Add(time.Minute)); len(again.Tasks) != 3 {
		t.Errorf("placed %d tasks, want all 3", len(again.Tasks))
	}
}

func TestCancelledRunsAreStoppedAndCounted(t *testing.T) {
	o := newJobs(structs.KindBatch, 3, true)
	order := place(t, o, now)
	refs := on("w1", order.Tasks)
	o.PlacementDone(order, refs[:2], nil, nil, now)
	o.EndJob(jobID, true, "")
	if stops := o.RunsToStop(func(string) bool { return false })[jobID]; len(stops) != 2 {
		t.Fatalf("stops %+v, want 2", stops)
	}
	o.RecordReport(jobID, refs[0], structs.AllocStopped, now)
	if v, _ := o.RecordReport(jobID, refs[1], structs.AllocRunning, now); v != StopRun {
		t.Errorf("a run of a cancelled job: %v, want stop", v)
	}
	s, _ := o.Status(jobID, now)
	if s.State != structs.JobCancelled || s.Cancelled != 2 || s.Pending != 0 || s.Running != 1 {
		t.Errorf("status %+v: want 2 cancelled, 1 running, none pending", s)
	}
}

// TestLateIsToldBeforeTheTargetIsMissed has 30 of 100 tasks start at once: one a second
// over the window of the rate, while 70 have a minute left.
func TestLateIsToldBeforeTheTargetIsMissed(t *testing.T) {
	o := newJobs(structs.KindBatch, 100, true)
	order := o.NextPlacements(now, 30)[0]
	o.PlacementDone(order, on("w1", order.Tasks), nil, nil, now)
	late := o.LateWork(now)
	if len(late) != 1 || late[0].Missed != 0 || late[0].ExpectedMisses != 10 {
		t.Errorf("late %+v, want 10 expected of 70 that wait, at 1 a second for %v", late, DefaultStartWithin)
	}
	if late := o.LateWork(now.Add(2 * time.Minute)); len(late) != 1 || late[0].Missed != 70 {
		t.Errorf("late %+v, want 70 missed", late)
	}
}

// TestRunOfAFormerOwnerIsNotTakenForThePresentOne has a task placed anew after its worker
// was accounted for by time, and the worker then report the former run as stopped.
func TestRunOfAFormerOwnerIsNotTakenForThePresentOne(t *testing.T) {
	o := newJobs(structs.KindBatch, 1, false)
	o.FinishInventory(o.StartInventory(), nil, true)
	order := place(t, o, now)
	o.PlacementDone(order, on("w2", order.Tasks), nil, nil, now)
	former := TaskRun{Index: 0, Attempt: 1, Worker: "w1"}
	if v, settle := o.RecordReport(jobID, former, structs.AllocStopped, now); v != ForgetRun || settle {
		t.Errorf("the former run: verdict %v, settle %t, want it forgotten", v, settle)
	}
	if orders := o.NextPlacements(now.Add(time.Minute), 10); len(orders) != 0 {
		t.Errorf("the task is placed again while it runs: %+v", orders)
	}
	end := order.Tasks[0]
	end.Worker = "w2"
	if _, settle := o.RecordReport(jobID, end, structs.AllocComplete, now); !settle {
		t.Error("the end of the present run is not taken")
	}
}
