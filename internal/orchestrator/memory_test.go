package orchestrator

import (
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

// reportMemoryKill reports that a run was killed for lack of memory.
func reportMemoryKill(o *Orchestrator, r TaskRun, at time.Time) {
	r.MinMemoryMiB = 500
	o.RecordReport(jobID, r, structs.AllocFailed, at)
}

func TestKilledForMemoryIsNoFailure(t *testing.T) {
	o := newJobs(structs.KindBatch, 6, true)
	req := onlyPlacement(t, o, now)
	runs := withWorker("w1", req.Tasks)
	o.PlacementDone(req, runs, nil, nil, now)
	for _, r := range runs[:5] {
		reportMemoryKill(o, r, now)
	}
	if o.FailReason(jobID) != "" || len(o.JobsToFail()) > 0 || len(o.WorkersOnProbation()) > 0 || len(o.health.WorkersToAvoid(jobID)) > 0 {
		t.Errorf("memory kills count as failures: jobs to fail %v, probation %v, avoided %v", o.JobsToFail(), o.WorkersOnProbation(), o.health.WorkersToAvoid(jobID))
	}
	again := onlyPlacement(t, o, now)
	if len(again.Tasks) != 5 || again.MinMemoryMiB != 500 {
		t.Errorf("placed %d tasks with at least %d MiB at once, want 5 with 500", len(again.Tasks), again.MinMemoryMiB)
	}
}

func TestTasksWithDifferentMemoryMinimumsArePlacedSeparately(t *testing.T) {
	o := newJobs(structs.KindBatch, 4, true)
	req := onlyPlacement(t, o, now)
	runs := withWorker("w1", req.Tasks)
	o.PlacementDone(req, runs, nil, nil, now)
	reportMemoryKill(o, runs[0], now)
	for _, r := range runs[1:] {
		o.RecordReport(jobID, r, structs.AllocStopped, now)
	}
	requests := o.NextPlacements(now, 1000)
	if len(requests) != 2 || len(requests[0].Tasks)+len(requests[1].Tasks) != 4 {
		t.Fatalf("requests %+v, want two with 4 tasks in total", requests)
	}
	if requests[0].MinMemoryMiB == requests[1].MinMemoryMiB {
		t.Errorf("both requests have a minimum of %d MiB", requests[0].MinMemoryMiB)
	}
}

func TestRepeatedMemoryKillsCountAsFailures(t *testing.T) {
	o := newJobs(structs.KindBatch, 1, true)
	at := now
	for i := range 2 * maxMemoryKills {
		at = at.Add(time.Hour)
		req := onlyPlacement(t, o, at)
		runs := withWorker("w1", req.Tasks)
		o.PlacementDone(req, runs, nil, nil, at)
		reportMemoryKill(o, runs[0], at)
		if fails := o.jobs[jobID].tasks[0].failures; fails != max(0, i+1-maxMemoryKills) {
			t.Fatalf("%d failures after %d kills", fails, i+1)
		}
		if o.FailReason(jobID) != "" {
			return
		}
	}
}
