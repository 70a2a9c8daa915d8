package fleet

import (
	"slices"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// ApplyInventory takes a worker's inventory that was read by a call begun at start under the
// owner's epoch. gained is true for the answer to the fence call: every run that
// it does not show is not there. It returns the ended runs that the worker may
// forget since nobody asks for them any more.
func (f *Fleet) ApplyInventory(id string, inv worker.Inventory, gained bool, start, now time.Time) {
	w := f.workers[id]
	if w == nil {
		return
	}
	f.WorkerAnswered(id, start, now)
	w.LastInventory = start
	w.Boot = inv.BootID
	w.Draining = inv.Draining
	f.nodes.SetFlag(id, scheduler.FlagDraining, inv.Draining)
	shown := map[RunKey]bool{}
	for i := range inv.Tasks {
		k := f.showTask(id, &inv.Tasks[i], now)
		shown[k] = true
	}
	if inv.Full {
		f.endMissing(w, shown, gained, start, now)
	}
	if gained {
		w.InventoryKnown = true
		w.accounted = false
		f.nodes.SetFlag(id, scheduler.FlagInventoried, true)
	}
}

// showTask takes one run of an inventory.
func (f *Fleet) showTask(id string, t *worker.TaskInfo, now time.Time) RunKey {
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
		}, FirstSeen: now, reportAt: now, epoch: f.workers[id].Epoch}
		f.allocs[k] = a
		f.nodes.AddObserved(a.Alloc)
	}
	a.confirm(now)
	f.learn(a, t, now)
	f.noteKill(a, t)
	f.showCheckpoint(a, t, now)
	f.setState(a, t.State, now)
	return k
}

// endMissing ends the runs that a worker no longer shows. A run that was confirmed
// only after the inventory call began may be missing by that. A start that got no
// answer is ended only by an inventory under a newer epoch, which the worker puts
// before any start that is still under way.
func (f *Fleet) endMissing(w *Worker, shown map[RunKey]bool, gained bool, start, now time.Time) {
	for k, a := range f.allocs {
		if a.Worker != w.Info.ID || shown[k] || a.State == structs.AllocReserved {
			continue
		}
		switch {
		case a.forget:
			delete(f.allocs, k)
		case a.State.Terminal():
		case !a.confirmed.IsZero() && start.After(a.confirmed):
			f.setState(a, structs.AllocStopped, now)
		case a.confirmed.IsZero() && gained && w.Epoch > a.epoch:
			f.setState(a, structs.AllocStopped, now)
		}
	}
}

// RunsOfJobs returns the runs of some jobs, for an inventory that their owner asked for.
func (f *Fleet) RunsOfJobs(jobs map[string]bool) []*Alloc {
	var out []*Alloc
	for _, a := range f.allocs {
		job, _, err := a.Task.Split()
		if err == nil && jobs[job] && !a.forget {
			a.listed = true
			out = append(out, a)
		}
	}
	sortAllocs(out)
	return out
}

// ReportsDue returns the runs whose state the owner of their job has not noted yet,
// and marks them as being reported.
func (f *Fleet) ReportsDue(now time.Time) []*Alloc {
	var out []*Alloc
	for _, a := range f.allocs {
		if a.forget || a.State == structs.AllocReserved || a.State == structs.AllocStarting {
			continue
		}
		if a.reported == a.State || now.Before(a.reportAt) {
			continue
		}
		a.reportAt = now.Add(f.timing.ReportRetryInterval)
		out = append(out, a)
	}
	sortAllocs(out)
	return out
}

// ReportAcknowledged takes the word of a job's owner that it knows a run's state.
func (f *Fleet) ReportAcknowledged(k RunKey, st structs.AllocState) {
	if a := f.allocs[k]; a != nil {
		a.reported = st
	}
}

// ForgetRun marks an ended run as needed no more and returns it if its worker has to
// be told so.
func (f *Fleet) ForgetRun(k RunKey) *Alloc {
	a := f.allocs[k]
	if a == nil || !a.State.Terminal() {
		return nil
	}
	a.forget = true
	w := f.workers[a.Worker]
	if w == nil || w.accounted {
		delete(f.allocs, k)
		return nil
	}
	return a
}

// RunForgotten drops a run that its worker has forgotten.
func (f *Fleet) RunForgotten(k RunKey) {
	if a := f.allocs[k]; a != nil && a.forget {
		delete(f.allocs, k)
	}
}

// ResetReports asks for every run to be reported again, since the owners of jobs have
// changed.
func (f *Fleet) ResetReports(now time.Time) {
	for _, a := range f.allocs {
		if a.State != structs.AllocReserved && !a.forget {
			a.reported = ""
			a.reportAt = now
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
