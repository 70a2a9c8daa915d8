package fleet

import (
	"slices"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// Bounds of evictions.
const (
	// evictHold is how long workers are kept for the job that tasks are stopped
	// for.
	evictHold = 2 * time.Second
	// maxEvictions is how often runs of one task are stopped to make room.
	maxEvictions = 3
	// evictRate and evictBurst bound the runs that one owner stops, a second and at
	// once.
	evictRate  = 100
	evictBurst = 400
	// evictOverhead is the time that a task loses by any stop, besides what it had
	// done since its start.
	evictOverhead = 10 * time.Second
	// checkpointWait is how long the report of an evicted run waits for the
	// inventory that shows what it saved.
	checkpointWait = time.Second
)

// ClassLookup returns a class as it is configured.
type ClassLookup func(name string) (structs.Class, bool)

// evictBudget bounds evictions by a token bucket.
type evictBudget struct {
	spent float64
	at    time.Time
}

// left returns how many runs may be stopped now.
func (b *evictBudget) left(now time.Time) int {
	b.spent = max(b.spent-now.Sub(b.at).Seconds()*evictRate, 0)
	b.at = now
	return int(evictBurst - b.spent)
}

// Evict chooses running tasks to be stopped so that the tasks of a request that
// found no room fit, and keeps their workers for the job. The caller stops the
// chosen with a checkpoint and places once it is told that they have ended; until
// then their room stays counted. It returns none if the request may not evict.
func (f *Fleet) Evict(r TaskRequest, class ClassLookup, now time.Time) []*Alloc {
	r = f.sized(r)
	ask := r.Placement
	ask.Tasks = f.unknownTasks(ask.Tasks)
	if !r.AllowEvict || len(ask.Tasks) == 0 {
		return nil
	}
	plan := scheduler.PlanEvictions(f.nodes, ask, f.evictCost(r, class, now))
	left := f.budget.left(now)
	var chosen []*Alloc
	var workers []string
	for _, e := range plan {
		if len(chosen)+len(e.Allocs) > left {
			break
		}
		workers = append(workers, e.Worker)
		chosen = append(chosen, f.markEvicted(e)...)
	}
	f.budget.spent += float64(len(chosen))
	f.holdAlso(ask.Job, workers, now.Add(evictHold))
	return chosen
}

// evictCost weighs batch tasks with much more slack than the request: by what the
// stop loses of their work, as a part of their slack.
func (f *Fleet) evictCost(r TaskRequest, class ClassLookup, now time.Time) scheduler.EvictCost {
	return func(counted structs.Alloc) (float64, bool) {
		a := f.allocs[RunKey{Task: counted.Task, Attempt: counted.Attempt}]
		c, known := class(counted.Class)
		if a == nil || !known || c.Kind != structs.KindBatch || f.evicting[a.Worker] > 0 {
			return 0, false
		}
		if a.State != structs.AllocRunning || a.Evicting || a.Evictions >= maxEvictions {
			return 0, false
		}
		slack := a.runningSlack(c)
		if !scheduler.SlackAllowsEviction(slack, r.RunningSlack) {
			return 0, false
		}
		return (evictOverhead + now.Sub(a.FirstSeen)).Seconds() / slack.Seconds(), true
	}
}

// runningSlack is the slack of a run. That of a run which a former owner placed is
// known for a class with a start target only.
func (a *Alloc) runningSlack(c structs.Class) time.Duration {
	if a.RunningSlack != 0 || c.Target.FinishWithin > 0 {
		return a.RunningSlack
	}
	return scheduler.RunningSlack(c.Target, 0)
}

func (f *Fleet) markEvicted(e scheduler.Eviction) []*Alloc {
	var marked []*Alloc
	for _, counted := range e.Allocs {
		a := f.allocs[RunKey{Task: counted.Task, Attempt: counted.Attempt}]
		a.Evicting = true
		marked = append(marked, a)
	}
	f.evicting[e.Worker] += len(marked)
	return marked
}

// holdAlso adds workers to those held for a job.
func (f *Fleet) holdAlso(job string, workers []string, until time.Time) {
	if len(workers) == 0 {
		return
	}
	for _, h := range f.nodes.Reservations() {
		if h.Job == job {
			workers = append(slices.Clone(h.Workers), workers...)
		}
	}
	f.nodes.SetReservation(scheduler.Reservation{Job: job, Workers: workers, Until: until})
}

// EvictDone takes the outcome of the stop of an evicted run. One without an answer
// goes on running as far as is known.
func (f *Fleet) EvictDone(id string, k RunKey, err error) {
	if f.evicting[id]--; f.evicting[id] <= 0 {
		delete(f.evicting, id)
	}
	if a := f.allocs[k]; a != nil && err != nil && !a.State.Terminal() {
		a.Evicting = false
		a.MinMemoryMiB = 0
	}
}

// showCheckpoint keeps what a worker shows that a run saved. The report of a stop
// that waited for it goes out.
func (f *Fleet) showCheckpoint(a *Alloc, t *worker.TaskInfo, now time.Time) {
	if t.Checkpoint != "" {
		a.Checkpoint = t.Checkpoint
	}
	if a.Evicting && t.State.Terminal() && a.State == structs.AllocStopped && a.reported != a.State {
		a.reportAt = now
	}
}
