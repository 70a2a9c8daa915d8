package orchestrator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// dueByScan is what Due has to begin with: the jobs that may be placed now in the
// order of their target, found by a look at every job.
func dueByScan(o *Orchestrator, now time.Time) []string {
	var ready []*job
	for _, j := range o.jobs {
		if j.waiting() && !now.Before(j.retryAt) {
			ready = append(ready, j)
		}
	}
	slices.SortFunc(ready, func(a, b *job) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	var ids []string
	for _, j := range ready {
		ids = append(ids, j.spec.ID)
	}
	return ids
}

func waitingByScan(o *Orchestrator) int {
	n := 0
	for _, j := range o.jobs {
		if !j.over() {
			n += j.count[pending]
		}
	}
	return n
}

func finishedByScan(o *Orchestrator) []string {
	var out []string
	for id, j := range o.jobs {
		if j.live() == 0 && j.count[ending] == 0 && (j.over() || j.count[ended] == len(j.tasks)) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// TestTicksDecideAsAScanOfAllJobs drives jobs at random and compares what the sets of
// changed jobs give with a scan.
func TestTicksDecideAsAScanOfAllJobs(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		o := New()
		now := time.UnixMilli(1000)
		for step := range 120 {
			now = now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
			randomStep(o, r, step, now)
			if got, want := o.PendingTasks(), waitingByScan(o); got != want {
				t.Fatalf("seed %d step %d: %d tasks wait, by a scan %d", seed, step, got, want)
			}
			if got, want := o.FinishedJobs(), finishedByScan(o); !slices.Equal(got, want) {
				t.Fatalf("seed %d step %d: finished %v, by a scan %v", seed, step, got, want)
			}
			want := dueByScan(o, now)
			var got []string
			orders := o.NextPlacements(now, 1+r.IntN(12))
			for _, order := range orders {
				got = append(got, order.Job.ID)
			}
			if len(got) > len(want) || !slices.Equal(got, want[:len(got)]) || (len(got) == 0 && len(want) > 0) {
				t.Fatalf("seed %d step %d: due %v, by a scan %v", seed, step, got, want)
			}
			answer(o, r, orders, now)
		}
	}
}

// randomStep gains, cancels, drops or reports.
func randomStep(o *Orchestrator, r *rand.Rand, step int, now time.Time) {
	kinds := []structs.Kind{structs.KindBatch, structs.KindGang, structs.KindService}
	ids := o.JobIDs()
	if len(ids) < 3 || r.IntN(4) == 0 {
		kind := kinds[r.IntN(len(kinds))]
		spec := structs.Job{ID: fmt.Sprintf("g:%d", step), Kind: kind, Count: 1 + r.IntN(5), AcceptedMs: now.UnixMilli()}
		target := structs.Target{StartWithin: structs.Duration(time.Duration(1+r.IntN(3)) * time.Second)}
		o.AddJob(&state.Job{Job: spec}, structs.Class{Target: target}, 1, r.IntN(4) > 0)
		return
	}
	id := ids[r.IntN(len(ids))]
	switch r.IntN(6) {
	case 0:
		o.EndJob(id, true, "")
	case 1:
		o.RemoveJob(id)
	case 2:
		o.RequestInventories()
		if c := o.StartInventory(); c != nil {
			o.FinishInventory(c, nil, r.IntN(2) == 0)
		}
	default:
		reportRandom(o, r, id, now)
	}
	for job, refs := range o.RunsToStop(func(string) bool { return false }) {
		o.RunStopped(job, refs[0])
	}
}

// reportRandom ends a task of a job in some way.
func reportRandom(o *Orchestrator, r *rand.Rand, id string, now time.Time) {
	j := o.jobs[id]
	i := r.IntN(len(j.tasks))
	states := []structs.AllocState{structs.AllocRunning, structs.AllocComplete, structs.AllocFailed, structs.AllocStopped}
	_, settle := o.RecordReport(id, TaskRun{Index: i, Attempt: j.tasks[i].attempt, Worker: "w"}, states[r.IntN(len(states))], now)
	if settle {
		o.TaskEndsCommitted(id, []state.TaskEnd{{Index: i, State: structs.AllocComplete}})
	}
}

// answer places some tasks of each order and leaves some in doubt.
func answer(o *Orchestrator, r *rand.Rand, orders []PlacementRequest, now time.Time) {
	for _, order := range orders {
		cut := r.IntN(len(order.Tasks) + 1)
		var doubts []TaskRun
		if cut < len(order.Tasks) && r.IntN(3) == 0 {
			doubts = order.Tasks[cut : cut+1]
		}
		o.PlacementDone(order, order.Tasks[:cut], doubts, structs.NewError(structs.CodeNoCapacity, "full"), now)
	}
}
