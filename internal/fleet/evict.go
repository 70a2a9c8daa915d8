package fleet

import (
	"slices"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// Limits on evictions.
const (
	// evictReservationDuration is how long workers stay reserved for the job for which tasks
	// are evicted.
	evictReservationDuration = 2 * time.Second
	// maxEvictions is the number of times that runs of one task may be evicted.
	maxEvictions = 3
	// evictRate is the number of runs that one owner may evict per second, evictBurst
	// the number at once.
	evictRate  = 100
	evictBurst = 400
	// evictOverhead is the time that any stop costs a task, in addition to the work
	// done since its start.
	evictOverhead = 10 * time.Second
	// checkpointReportDelay is how long the report of an evicted run waits for an
	// inventory that contains its checkpoint.
	checkpointReportDelay = time.Second
)

// ClassLookup returns the configuration of a class, and false if there is none.
type ClassLookup func(name string) (structs.Class, bool)

// evictBudget is a token bucket that limits evictions.
type evictBudget struct {
	spent     float64
	updatedAt time.Time
}

// available returns the number of runs that may be evicted now.
func (b *evictBudget) available(now time.Time) int {
	b.spent = max(b.spent-now.Sub(b.updatedAt).Seconds()*evictRate, 0)
	b.updatedAt = now
	return int(evictBurst - b.spent)
}

// Evict chooses running tasks to stop so that the unplaced tasks of a request fit, and
// reserves their workers for the job. The caller stops the chosen runs with a
// checkpoint and places the request once they have ended; until then the runs count as
// using their resources. Evict returns nil if the request may not evict.
func (f *Fleet) Evict(r TaskRequest, classes ClassLookup, now time.Time) []*Alloc {
	r = f.withGrantedSize(r)
	req := r.Placement
	req.Tasks = f.newTasks(req.Tasks)
	if !r.AllowEvict || len(req.Tasks) == 0 {
		return nil
	}
	plan := scheduler.PlanEvictions(f.nodes, req, f.evictCost(r, classes, now))
	available := f.budget.available(now)
	var chosen []*Alloc
	var workers []string
	for _, e := range plan {
		if len(chosen)+len(e.Allocs) > available {
			break
		}
		workers = append(workers, e.Worker)
		chosen = append(chosen, f.markEvicting(e)...)
	}
	f.budget.spent += float64(len(chosen))
	f.addReservedWorkers(req.Job, workers, now.Add(evictReservationDuration))
	return chosen
}

// evictCost returns the cost function of evictions for a request. Only batch tasks with
// much more slack than the request may be evicted; the cost is the work lost by the
// stop as a fraction of the task's slack.
func (f *Fleet) evictCost(r TaskRequest, classes ClassLookup, now time.Time) scheduler.EvictCost {
	return func(candidate structs.Alloc) (float64, bool) {
		a := f.allocs[RunKey{Task: candidate.Task, Attempt: candidate.Attempt}]
		c, known := classes(candidate.Class)
		if a == nil || !known || c.Kind != structs.KindBatch || f.evictingRuns[a.Worker] > 0 {
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

// runningSlack returns the slack of a run. For a run placed by a former owner it is
// known only if the class has a start target.
func (a *Alloc) runningSlack(c structs.Class) time.Duration {
	if a.RunningSlack != 0 || c.Target.FinishWithin > 0 {
		return a.RunningSlack
	}
	return scheduler.RunningSlack(c.Target, 0)
}

// markEvicting marks the runs of an eviction as being evicted and returns them.
func (f *Fleet) markEvicting(e scheduler.Eviction) []*Alloc {
	var marked []*Alloc
	for _, chosen := range e.Allocs {
		a := f.allocs[RunKey{Task: chosen.Task, Attempt: chosen.Attempt}]
		a.Evicting = true
		marked = append(marked, a)
	}
	f.evictingRuns[e.Worker] += len(marked)
	return marked
}

// addReservedWorkers adds workers to those reserved for a job.
func (f *Fleet) addReservedWorkers(job string, workers []string, until time.Time) {
	if len(workers) == 0 {
		return
	}
	for _, existing := range f.nodes.Reservations() {
		if existing.Job == job {
			workers = append(slices.Clone(existing.Workers), workers...)
		}
	}
	f.nodes.SetReservation(scheduler.Reservation{Job: job, Workers: workers, Until: until})
}

// EvictDone records the result of stopping an evicted run. If the stop failed or got no
// answer, the run is assumed to continue.
func (f *Fleet) EvictDone(workerID string, k RunKey, err error) {
	if f.evictingRuns[workerID]--; f.evictingRuns[workerID] <= 0 {
		delete(f.evictingRuns, workerID)
	}
	if a := f.allocs[k]; a != nil && err != nil && !a.State.Terminal() {
		a.Evicting = false
		a.MinMemoryMiB = 0
	}
}

// applyCheckpoint records the checkpoint that a worker lists for a run. If the report
// of a stop was waiting for the checkpoint, the report becomes due.
func (f *Fleet) applyCheckpoint(a *Alloc, t *worker.TaskInfo, now time.Time) {
	if t.Checkpoint != "" {
		a.Checkpoint = t.Checkpoint
	}
	if a.Evicting && t.State.Terminal() && a.State == structs.AllocStopped && a.acknowledgedState != a.State {
		a.nextReportAt = now
	}
}
