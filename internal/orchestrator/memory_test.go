package orchestrator

import (
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

// killed reports the end of a run that was killed for memory.
func killed(o *Orchestrator, r TaskRun, at time.Time) {
	r.MinMemoryMiB = 500
	o.RecordReport(jobID, r, structs.AllocFailed, at)
}

func TestKilledForMemoryIsNoFailure(t *testing.T) {
	o := newJobs(structs.KindBatch, 6, true)
	order := place(t, o, now)
	refs := on("w1", order.Tasks)
	o.PlacementDone(order, refs, nil, nil, now)
	for _, r := range refs[:5] {
		killed(o, r, now)
	}
	if o.FailReason(jobID) != "" || len(o.JobsToFail()) > 0 || len(o.WorkersOnProbation()) > 0 || len(o.health.WorkersToAvoid(jobID)) > 0 {
		t.Errorf("kills for memory count: hopeless %v, probation %v, avoided %v", o.JobsToFail(), o.WorkersOnProbation(), o.health.WorkersToAvoid(jobID))
	}
	again := place(t, o, now)
	if len(again.Tasks) != 5 || again.MinMemoryMiB != 500 {
		t.Errorf("placed %d tasks with at least %d MiB at once, want 5 with 500", len(again.Tasks), again.MinMemoryMiB)
	}
}

func TestTasksOfUnlikeBoundsGoOutApart(t *testing.T) {
	o := newJobs(structs.KindBatch, 4, true)
	order := place(t, o, now)
	refs := on("w1", order.Tasks)
	o.PlacementDone(order, refs, nil, nil, now)
	killed(o, refs[0], now)
	for _, r := range refs[1:] {
		o.RecordReport(jobID, r, structs.AllocStopped, now)
	}
	orders := o.NextPlacements(now, 1000)
	if len(orders) != 2 || len(orders[0].Tasks)+len(orders[1].Tasks) != 4 {
		t.Fatalf("orders %+v, want two of 4 tasks in all", orders)
	}
	if orders[0].MinMemoryMiB == orders[1].MinMemoryMiB {
		t.Errorf("both are granted at least %d MiB", orders[0].MinMemoryMiB)
	}
}

func TestATaskThatIsKilledAgainAndAgainFails(t *testing.T) {
	o := newJobs(structs.KindBatch, 1, true)
	at := now
	for i := range 2 * maxMemoryKills {
		at = at.Add(time.Hour)
		order := place(t, o, at)
		refs := on("w1", order.Tasks)
		o.PlacementDone(order, refs, nil, nil, at)
		killed(o, refs[0], at)
		if fails := o.jobs[jobID].tasks[0].fails; fails != max(0, i+1-maxMemoryKills) {
			t.Fatalf("%d failures after %d kills", fails, i+1)
		}
		if o.FailReason(jobID) != "" {
			return
		}
	}
}
