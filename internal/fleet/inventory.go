package fleet

import (
	"slices"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// ApplyInventory records a worker's inventory, read under the owner's epoch by a call
// begun at start. fenced is true for the answer to the fence call: a run that it does
// not list is not on the worker.
func (f *Fleet) ApplyInventory(id string, inv worker.Inventory, fenced bool, start, now time.Time) {
	w := f.workers[id]
	if w == nil {
		return
	}
	f.WorkerAnswered(id, start, now)
	w.LastInventory = start
	w.Boot = inv.BootID
	w.Draining = inv.Draining
	f.nodes.SetFlag(id, scheduler.FlagDraining, inv.Draining)
	listed := map[RunKey]bool{}
	for i := range inv.Tasks {
		k := f.applyTask(id, &inv.Tasks[i], now)
		listed[k] = true
	}
	if inv.Full {
		f.endMissing(w, listed, fenced, start, now)
	}
	if fenced {
		w.InventoryKnown = true
		w.allRunsEnded = false
		f.nodes.SetFlag(id, scheduler.FlagInventoried, true)
	}
}

// applyTask records one run of an inventory and returns its key.
func (f *Fleet) applyTask(id string, t *worker.TaskInfo, now time.Time) RunKey {
	k := RunKey{Task: t.Task, Attempt: t.Attempt}
	a := f.allocs[k]
	if a == nil {
		a = &Alloc{Alloc: structs.Alloc{
			Task:    t.Task,
			Attempt: t.Attempt,
			Worker:  id,
			Class:   t.Class,
			Size:    t.Size,
			State:   t.State,
		}, FirstSeen: now, nextReportAt: now, workerEpoch: f.workers[id].Epoch}
		f.allocs[k] = a
		f.nodes.AddObserved(a.Alloc)
	}
	a.confirm(now)
	f.recordUsage(a, t, now)
	f.recordMemoryKill(a, t)
	f.applyCheckpoint(a, t, now)
	f.setState(a, t.State, now)
	return k
}

// endMissing ends the runs that the worker no longer lists. A run that was confirmed
// after the inventory call began may be missing only because of that, so it is not
// ended. A start that got no answer is ended only by an inventory under a newer epoch,
// since the worker orders the fence before any start that is still in flight.
func (f *Fleet) endMissing(w *Worker, listed map[RunKey]bool, fenced bool, start, now time.Time) {
	for k, a := range f.allocs {
		if a.Worker != w.Info.ID || listed[k] || a.State == structs.AllocReserved {
			continue
		}
		switch {
		case a.forgettable:
			delete(f.allocs, k)
		case a.State.Terminal():
		case !a.confirmedAt.IsZero() && start.After(a.confirmedAt):
			f.setState(a, structs.AllocStopped, now)
		case a.confirmedAt.IsZero() && fenced && w.Epoch > a.workerEpoch:
			f.setState(a, structs.AllocStopped, now)
		}
	}
}

// RunsOfJobs returns the runs of the given jobs, for an inventory requested by the
// jobs' owner.
func (f *Fleet) RunsOfJobs(jobs map[string]bool) []*Alloc {
	var out []*Alloc
	for _, a := range f.allocs {
		job, _, err := a.Task.Split()
		if err == nil && jobs[job] && !a.forgettable {
			a.listedToOwner = true
			out = append(out, a)
		}
	}
	sortAllocs(out)
	return out
}

// ReportsDue returns the runs whose state the job's owner has not acknowledged and
// whose report is due, and schedules the next repetition of each report.
func (f *Fleet) ReportsDue(now time.Time) []*Alloc {
	var out []*Alloc
	for _, a := range f.allocs {
		if a.forgettable || a.State == structs.AllocReserved || a.State == structs.AllocStarting {
			continue
		}
		if a.acknowledgedState == a.State || now.Before(a.nextReportAt) {
			continue
		}
		a.nextReportAt = now.Add(f.timing.ReportRetryInterval)
		out = append(out, a)
	}
	sortAllocs(out)
	return out
}

// ReportAcknowledged records that the job's owner has acknowledged a state of a run.
func (f *Fleet) ReportAcknowledged(k RunKey, st structs.AllocState) {
	if a := f.allocs[k]; a != nil {
		a.acknowledgedState = st
	}
}

// ForgetRun marks an ended run as no longer needed. It returns the run if the worker
// has to be told to forget it, nil otherwise.
func (f *Fleet) ForgetRun(k RunKey) *Alloc {
	a := f.allocs[k]
	if a == nil || !a.State.Terminal() {
		return nil
	}
	a.forgettable = true
	w := f.workers[a.Worker]
	if w == nil || w.allRunsEnded {
		delete(f.allocs, k)
		return nil
	}
	return a
}

// RunForgotten drops a run that its worker has forgotten.
func (f *Fleet) RunForgotten(k RunKey) {
	if a := f.allocs[k]; a != nil && a.forgettable {
		delete(f.allocs, k)
	}
}

// ResetReports makes a report due for every run, since the owners of jobs have changed.
func (f *Fleet) ResetReports(now time.Time) {
	for _, a := range f.allocs {
		if a.State != structs.AllocReserved && !a.forgettable {
			a.acknowledgedState = ""
			a.nextReportAt = now
		}
	}
}

func sortAllocs(list []*Alloc) {
	slices.SortFunc(list, func(a, b *Alloc) int {
		if a.Task != b.Task {
			if a.Task < b.Task {
				return -1
			}
			return 1
		}
		return a.Attempt - b.Attempt
	})
}
