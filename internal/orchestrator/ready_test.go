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

// readyByScan returns, by a scan over all jobs, the jobs that may be placed now in the
// order of their latest start. NextPlacements has to return a prefix of it.
func readyByScan(o *Orchestrator, now time.Time) []string {
	var ready []*job
	for _, j := range o.jobs {
		if j.placeable() && !now.Before(j.retryAt) {
			ready = append(ready, j)
		}
	}
	slices.SortFunc(ready, func(a, b *job) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	var ids []string
	for _, j := range ready {
		ids = append(ids, j.spec.ID)
	}
	return ids
}

func pendingByScan(o *Orchestrator) int {
	n := 0
	for _, j := range o.jobs {
		if !j.terminated() {
			n += j.tasksIn[pending]
		}
	}
	return n
}

func finishedByScan(o *Orchestrator) []string {
	var out []string
	for id, j := range o.jobs {
		if j.liveTasks() == 0 && j.tasksIn[committing] == 0 && (j.terminated() || j.tasksIn[ended] == len(j.tasks)) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// TestJobIndexMatchesFullScan changes jobs at random and compares the results of the
// incremental index with those of a scan over all jobs.
func TestJobIndexMatchesFullScan(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		o := New()
		now := time.UnixMilli(1000)
		for step := range 120 {
			now = now.Add(time.Duration(r.IntN(40)) * time.Millisecond)
			randomStep(o, r, step, now)
			if got, want := o.PendingTasks(), pendingByScan(o); got != want {
				t.Fatalf("seed %d step %d: %d tasks wait, by a scan %d", seed, step, got, want)
			}
			if got, want := o.FinishedJobs(), finishedByScan(o); !slices.Equal(got, want) {
				t.Fatalf("seed %d step %d: finished %v, by a scan %v", seed, step, got, want)
			}
			want := readyByScan(o, now)
			var got []string
			requests := o.NextPlacements(now, 1+r.IntN(12))
			for _, req := range requests {
				got = append(got, req.Job.ID)
			}
			if len(got) > len(want) || !slices.Equal(got, want[:len(got)]) || (len(got) == 0 && len(want) > 0) {
				t.Fatalf("seed %d step %d: due %v, by a scan %v", seed, step, got, want)
			}
			answerPlacements(o, r, requests, now)
		}
	}
}

// randomStep adds, cancels or removes a job, runs an inventory, or reports a run.
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
	for job, runs := range o.RunsToStop(func(string) bool { return false }) {
		o.RunStopped(job, runs[0])
	}
}

// reportRandom reports a random state of a task of the job.
func reportRandom(o *Orchestrator, r *rand.Rand, id string, now time.Time) {
	j := o.jobs[id]
	i := r.IntN(len(j.tasks))
	states := []structs.AllocState{structs.AllocRunning, structs.AllocComplete, structs.AllocFailed, structs.AllocStopped}
	_, settle := o.RecordReport(id, TaskRun{Index: i, Attempt: j.tasks[i].attempt, Worker: "w"}, states[r.IntN(len(states))], now)
	if settle {
		o.TaskEndsCommitted(id, []state.TaskEnd{{Index: i, State: structs.AllocComplete}})
	}
}

// answerPlacements answers each request with some tasks placed and some in doubt.
func answerPlacements(o *Orchestrator, r *rand.Rand, requests []PlacementRequest, now time.Time) {
	for _, req := range requests {
		cut := r.IntN(len(req.Tasks) + 1)
		var doubts []TaskRun
		if cut < len(req.Tasks) && r.IntN(3) == 0 {
			doubts = req.Tasks[cut : cut+1]
		}
		o.PlacementDone(req, req.Tasks[:cut], doubts, structs.NewError(structs.CodeNoCapacity, "full"), now)
	}
}
