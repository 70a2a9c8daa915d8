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

// onlyPlacement returns the next placement request and fails the test unless there is
// exactly one.
func onlyPlacement(t *testing.T, o *Orchestrator, at time.Time) PlacementRequest {
	t.Helper()
	requests := o.NextPlacements(at, 1000)
	if len(requests) != 1 {
		t.Fatalf("%d placement requests, want 1", len(requests))
	}
	return requests[0]
}

// withWorker returns the runs with their worker set.
func withWorker(worker string, runs []TaskRun) []TaskRun {
	var out []TaskRun
	for _, r := range runs {
		r.Worker = worker
		out = append(out, r)
	}
	return out
}

func TestLostPlacementAnswerWaitsForInventory(t *testing.T) {
	o := newJobs(structs.KindBatch, 3, true)
	req := onlyPlacement(t, o, now)
	runs := withWorker("w1", req.Tasks)
	o.PlacementDone(req, runs[:1], runs[1:], nil, now)
	if requests := o.NextPlacements(now.Add(time.Minute), 10); len(requests) != 0 {
		t.Fatalf("tasks in doubt are placed again before an inventory: %+v", requests)
	}
	round := o.StartInventory()
	if round == nil {
		t.Fatal("no inventory is requested")
	}
	found := []FoundRun{{Job: jobID, Run: runs[0], State: structs.AllocRunning}, {Job: jobID, Run: runs[1], State: structs.AllocRunning}}
	o.FinishInventory(round, found, false)
	if requests := o.NextPlacements(now.Add(time.Minute), 10); len(requests) != 0 {
		t.Fatalf("an incomplete inventory decided tasks: %+v", requests)
	}
	o.FinishInventory(o.StartInventory(), found, true)
	again := onlyPlacement(t, o, now.Add(time.Minute))
	if len(again.Tasks) != 1 || again.Tasks[0].Index != 2 || again.Tasks[0].Attempt != 2 {
		t.Errorf("placed %+v, want a second attempt at task 2 alone", again.Tasks)
	}
}

func TestTakenOverJobPlacesNothingBeforeInventory(t *testing.T) {
	o := newJobs(structs.KindBatch, 2, false)
	if requests := o.NextPlacements(now, 10); len(requests) != 0 {
		t.Fatalf("placed %+v before the inventory", requests)
	}
	run := TaskRun{Index: 0, Attempt: 4, Worker: "w2"}
	o.FinishInventory(o.StartInventory(), []FoundRun{{Job: jobID, Run: run, State: structs.AllocRunning}}, true)
	req := onlyPlacement(t, o, now)
	if len(req.Tasks) != 1 || req.Tasks[0].Index != 1 {
		t.Errorf("placed %+v, want task 1 alone", req.Tasks)
	}
	if v, settle := o.RecordReport(jobID, run, structs.AllocComplete, now); v != ReportAgain || !settle {
		t.Errorf("end of the found run: %v, %v, want ReportAgain and settle", v, settle)
	}
}

func TestRunIsForgottenOnlyAfterItsEndIsCommitted(t *testing.T) {
	o := newJobs(structs.KindBatch, 1, true)
	req := onlyPlacement(t, o, now)
	run := withWorker("w1", req.Tasks)[0]
	o.PlacementDone(req, []TaskRun{run}, nil, nil, now)
	if v, settle := o.RecordReport(jobID, run, structs.AllocComplete, now); v != ReportAgain || !settle {
		t.Errorf("first report: %v, %v", v, settle)
	}
	if v, settle := o.RecordReport(jobID, run, structs.AllocComplete, now); v != ReportAgain || settle {
		t.Errorf("repeated report: %v, %v, want ReportAgain and no second record", v, settle)
	}
	o.TaskEndsCommitted(jobID, []state.TaskEnd{{Index: 0, State: structs.AllocComplete}})
	if v, _ := o.RecordReport(jobID, run, structs.AllocComplete, now); v != ForgetRun {
		t.Errorf("after the commit: %v, want ForgetRun", v)
	}
	if got := o.FinishedJobs(); len(got) != 1 {
		t.Errorf("finished %v", got)
	}
}

func TestGangRestartsAsAWhole(t *testing.T) {
	o := newJobs(structs.KindGang, 3, true)
	req := onlyPlacement(t, o, now)
	runs := withWorker("w1", req.Tasks)
	o.PlacementDone(req, runs, nil, nil, now)
	o.RecordReport(jobID, runs[1], structs.AllocStopped, now)
	if requests := o.NextPlacements(now.Add(time.Minute), 10); len(requests) != 0 {
		t.Fatalf("part of a gang is placed while the rest runs: %+v", requests)
	}
	stops := o.RunsToStop(func(string) bool { return false })[jobID]
	if len(stops) != 2 {
		t.Fatalf("stops %+v, want the two that run", stops)
	}
	for _, r := range stops {
		o.RunStopped(jobID, r)
	}
	o.RunsToStop(func(string) bool { return false })
	if again := onlyPlacement(t, o, now.Add(time.Minute)); len(again.Tasks) != 3 {
		t.Errorf("placed %d tasks, want all 3", len(again.Tasks))
	}
}

func TestCancelledRunsAreStoppedAndCounted(t *testing.T) {
	o := newJobs(structs.KindBatch, 3, true)
	req := onlyPlacement(t, o, now)
	runs := withWorker("w1", req.Tasks)
	o.PlacementDone(req, runs[:2], nil, nil, now)
	o.EndJob(jobID, true, "")
	if stops := o.RunsToStop(func(string) bool { return false })[jobID]; len(stops) != 2 {
		t.Fatalf("stops %+v, want 2", stops)
	}
	o.RecordReport(jobID, runs[0], structs.AllocStopped, now)
	if v, _ := o.RecordReport(jobID, runs[1], structs.AllocRunning, now); v != StopRun {
		t.Errorf("a run of a cancelled job: %v, want StopRun", v)
	}
	s, _ := o.Status(jobID, now)
	if s.State != structs.JobCancelled || s.Cancelled != 2 || s.Pending != 0 || s.Running != 1 {
		t.Errorf("status %+v: want 2 cancelled, 1 running, none pending", s)
	}
}

// TestLateWorkIsForecastBeforeTheTargetIsMissed starts 30 of 100 tasks at once, a rate
// of one a second over startRateWindow, while the other 70 have one minute left.
func TestLateWorkIsForecastBeforeTheTargetIsMissed(t *testing.T) {
	o := newJobs(structs.KindBatch, 100, true)
	req := o.NextPlacements(now, 30)[0]
	o.PlacementDone(req, withWorker("w1", req.Tasks), nil, nil, now)
	late := o.LateWork(now)
	if len(late) != 1 || late[0].Missed != 0 || late[0].ExpectedMisses != 10 {
		t.Errorf("late %+v, want 10 expected of 70 that wait, at 1 a second for %v", late, DefaultStartWithin)
	}
	if late := o.LateWork(now.Add(2 * time.Minute)); len(late) != 1 || late[0].Missed != 70 {
		t.Errorf("late %+v, want 70 missed", late)
	}
}

// TestRunOfFormerOwnerIsNotMistakenForCurrentRun places a task again after the leases
// on its former worker have expired. That worker then reports the former run as
// stopped, which must not end the current run.
func TestRunOfFormerOwnerIsNotMistakenForCurrentRun(t *testing.T) {
	o := newJobs(structs.KindBatch, 1, false)
	o.FinishInventory(o.StartInventory(), nil, true)
	req := onlyPlacement(t, o, now)
	o.PlacementDone(req, withWorker("w2", req.Tasks), nil, nil, now)
	former := TaskRun{Index: 0, Attempt: 1, Worker: "w1"}
	if v, settle := o.RecordReport(jobID, former, structs.AllocStopped, now); v != ForgetRun || settle {
		t.Errorf("former run: action %v, settle %t, want ForgetRun", v, settle)
	}
	if requests := o.NextPlacements(now.Add(time.Minute), 10); len(requests) != 0 {
		t.Errorf("the task is placed again while it runs: %+v", requests)
	}
	end := req.Tasks[0]
	end.Worker = "w2"
	if _, settle := o.RecordReport(jobID, end, structs.AllocComplete, now); !settle {
		t.Error("the end of the current run is not recorded")
	}
}
