package fleet

import (
	"time"

	"dotterelhitch/internal/scheduler/sizing"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// memoryGrowthPercent determines the memory granted to a task after a memory kill, as a
// percentage of what the killed run used or was granted, whichever is more.
const memoryGrowthPercent = 150

// Sizer returns the estimator of task sizes.
func (f *Fleet) Sizer() *sizing.Sizer { return f.sizer }

// SetLearning sets whether tasks are granted estimated sizes. If not, which is the
// initial state, they are granted their declared sizes.
func (f *Fleet) SetLearning(on bool) { f.learning = on }

// GrantedSize returns the size that a task of a class would be granted here. Its memory
// is at least minMemoryMiB, as far as some worker has that much. Tasks of a gang are
// granted no more than they declare (apart from that minimum), because only the
// declared sizes are known to fit all at once: with larger grants the gang might never
// start.
func (f *Fleet) GrantedSize(class string, kind structs.Kind, declared structs.Resources, minMemoryMiB int64) structs.Resources {
	granted := declared
	limit := f.nodes.LargestWorkerSize()
	if f.learning {
		granted = f.sizer.Grant(sizing.Population{Class: class, DeclaredSize: declared}, limit)
	}
	if kind == structs.KindGang {
		granted.CPUMilli = min(granted.CPUMilli, declared.CPUMilli)
		granted.MemoryMiB = min(granted.MemoryMiB, declared.MemoryMiB)
	}
	granted.MemoryMiB = max(granted.MemoryMiB, min(minMemoryMiB, limit.MemoryMiB))
	if granted != declared && !f.nodes.FitsEmptyWorker(granted) {
		return declared
	}
	return granted
}

// withGrantedSize returns the request with the size set to the granted size.
func (f *Fleet) withGrantedSize(r TaskRequest) TaskRequest {
	r.Placement.Size = f.GrantedSize(r.Placement.Class, r.Placement.Kind, r.DeclaredSize, r.MinMemoryMiB)
	return r
}

// recordUsage records the usage of a run in an inventory, before the run's state is
// updated. A run that this owner did not place is not used for estimates, because its
// declared size is not known; nor is one that had already ended.
func (f *Fleet) recordUsage(a *Alloc, t *worker.TaskInfo, now time.Time) {
	a.usage = t.Usage
	a.throttlePercent = t.CPUPercent
	f.usageReported[a.Worker] = true
	if !f.learning || a.DeclaredSize.IsZero() || a.State.Terminal() {
		return
	}
	if !t.Usage.IsZero() {
		population := sizing.Population{Class: a.Class, DeclaredSize: a.DeclaredSize}
		f.sizer.RecordUsage(now, population, a.Task, t.Usage, t.CPUPercent > 0 || f.saturated[a.Worker])
	}
	if t.OutOfMemory() {
		f.sizer.TaskKilledForMemory(sizing.Population{Class: a.Class, DeclaredSize: a.DeclaredSize}, a.Task, t.Usage)
		return
	}
	if t.State.Terminal() {
		f.sizer.TaskEnded(a.Task, t.State == structs.AllocComplete)
	}
}

// recordMemoryKill records how much memory the task needs after a run was killed for
// lack of memory. A run that already had all memory of its worker counts as an ordinary
// failure.
func (f *Fleet) recordMemoryKill(a *Alloc, t *worker.TaskInfo) {
	size := f.workers[a.Worker].Info.Size
	if t.State == structs.AllocFailed {
		a.MinMemoryMiB = 0
	}
	if !t.OutOfMemory() || a.Size.MemoryMiB >= size.MemoryMiB {
		return
	}
	highest := max(t.Usage.MemoryMiB, a.Size.MemoryMiB)
	a.MinMemoryMiB = min(highest*memoryGrowthPercent/100, size.MemoryMiB)
}

// GuardAction is an action of the shortage guard on a run of an owned worker.
type GuardAction struct {
	sizing.Action
	Alloc *Alloc
}

// CheckUsage checks the workers whose usage was reported since the last call. It
// withholds from placement what their tasks use above their grants, and returns the
// actions to take on workers that are short of resources. A run to be checkpointed
// counts as evicted. The caller passes the result of a checkpoint to EvictDone and that
// of any other action to ThrottleDone.
func (f *Fleet) CheckUsage(now time.Time, classes ClassLookup) []GuardAction {
	var out []GuardAction
	for id := range f.usageReported {
		w := f.workers[id]
		if w == nil || !w.InventoryKnown {
			continue
		}
		usages := f.usageOn(id, classes, now)
		f.saturated[id] = sizing.ProcessorSaturated(w.Info.Size, usages)
		f.nodes.SetExcessUse(id, sizing.ExcessMemory(usages))
		for _, action := range f.guard.Actions(now, id, w.Info.Size, usages) {
			a := f.allocs[RunKey{Task: action.Task, Attempt: action.Attempt}]
			f.applyGuardAction(a, action)
			out = append(out, GuardAction{Action: action, Alloc: a})
		}
	}
	clear(f.usageReported)
	return out
}

// applyGuardAction records the expected effect of an action on its run.
func (f *Fleet) applyGuardAction(a *Alloc, action sizing.Action) {
	if action.Kind != sizing.CheckpointAndStop {
		a.throttlePercent = action.Percent
		return
	}
	a.Evicting = true
	f.evictingRuns[a.Worker]++
	if a.usage.MemoryMiB > a.Size.MemoryMiB {
		a.MinMemoryMiB = a.usage.MemoryMiB
	}
}

// ThrottleDone records the result of a throttle. After a failure, the next inventory of
// the worker decides again.
func (f *Fleet) ThrottleDone(k RunKey, err error) {
	if a := f.allocs[k]; a != nil && err != nil {
		a.throttlePercent = 0
	}
}

// usageOn returns the usage of the running tasks on a worker whose usage was reported.
func (f *Fleet) usageOn(id string, classes ClassLookup, now time.Time) []sizing.TaskUsage {
	var usages []sizing.TaskUsage
	for _, placed := range f.nodes.WorkerAllocs(id) {
		a := f.allocs[RunKey{Task: placed.Task, Attempt: placed.Attempt}]
		if a == nil || a.State != structs.AllocRunning || a.Evicting || a.usage.IsZero() {
			continue
		}
		c, _ := classes(a.Class)
		usages = append(usages, sizing.TaskUsage{
			Task:            a.Task,
			Attempt:         a.Attempt,
			Granted:         a.Size,
			Used:            a.usage,
			IsService:       c.Kind == structs.KindService,
			Slack:           a.runningSlack(c),
			Age:             now.Sub(a.FirstSeen),
			ThrottlePercent: a.throttlePercent,
		})
	}
	return usages
}

// forgetUsage drops all usage data of a worker that has another owner now.
func (f *Fleet) forgetUsage(id string) {
	for _, a := range f.allocs {
		if a.Worker == id {
			f.sizer.TaskEnded(a.Task, false)
		}
	}
	f.guard.ForgetWorker(id)
	delete(f.usageReported, id)
	delete(f.saturated, id)
}
