package fleet

import (
	"time"

	"dotterelhitch/internal/scheduler/sizing"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// growAfterKill is the percentage of what a task that was killed for memory used, or
// was granted if that is more, which it is granted next.
const growAfterKill = 150

// Sizer returns what was learnt of the sizes of tasks.
func (f *Fleet) Sizer() *sizing.Sizer { return f.sizer }

// SetLearning says whether tasks are granted what was learnt; otherwise, and from the
// start, they are granted what was declared.
func (f *Fleet) SetLearning(on bool) { f.learning = on }

// GrantedSize returns what a task of a class with a declared size would be granted here, and
// at least an amount of memory as far as a worker has it. What the tasks of a gang
// declare fits all at once, or the gang could never start; so they are granted no more.
func (f *Fleet) GrantedSize(class string, kind structs.Kind, declared structs.Resources, leastMemoryMiB int64) structs.Resources {
	granted := declared
	limit := f.nodes.LargestWorkerSize()
	if f.learning {
		granted = f.sizer.Grant(sizing.Population{Class: class, DeclaredSize: declared}, limit)
	}
	if kind == structs.KindGang {
		granted.CPUMilli = min(granted.CPUMilli, declared.CPUMilli)
		granted.MemoryMiB = min(granted.MemoryMiB, declared.MemoryMiB)
	}
	granted.MemoryMiB = max(granted.MemoryMiB, min(leastMemoryMiB, limit.MemoryMiB))
	if granted != declared && !f.nodes.FitsEmptyWorker(granted) {
		return declared
	}
	return granted
}

// sized returns the request with what its tasks are granted.
func (f *Fleet) sized(r TaskRequest) TaskRequest {
	r.Placement.Size = f.GrantedSize(r.Placement.Class, r.Placement.Kind, r.DeclaredSize, r.MinMemoryMiB)
	return r
}

// learn takes what an inventory shows of a run before its state is taken over. A run
// that this owner did not place teaches nothing, since what it declared is not known,
// nor does one that was ended already.
func (f *Fleet) learn(a *Alloc, t *worker.TaskInfo, now time.Time) {
	a.used = t.Usage
	a.throttled = t.CPUPercent
	f.seen[a.Worker] = true
	if !f.learning || a.DeclaredSize.IsZero() || a.State.Terminal() {
		return
	}
	if !t.Usage.IsZero() {
		kind := sizing.Population{Class: a.Class, DeclaredSize: a.DeclaredSize}
		f.sizer.RecordUsage(now, kind, a.Task, t.Usage, t.CPUPercent > 0 || f.saturated[a.Worker])
	}
	if t.OutOfMemory() {
		f.sizer.TaskKilledForMemory(sizing.Population{Class: a.Class, DeclaredSize: a.DeclaredSize}, a.Task, t.Usage)
		return
	}
	if t.State.Terminal() {
		f.sizer.TaskEnded(a.Task, t.State == structs.AllocComplete)
	}
}

// noteKill keeps what a run that was killed for memory needs next. One that had all of
// its worker's memory has failed by itself.
func (f *Fleet) noteKill(a *Alloc, t *worker.TaskInfo) {
	size := f.workers[a.Worker].Info.Size
	if t.State == structs.AllocFailed {
		a.MinMemoryMiB = 0
	}
	if !t.OutOfMemory() || a.Size.MemoryMiB >= size.MemoryMiB {
		return
	}
	most := max(t.Usage.MemoryMiB, a.Size.MemoryMiB)
	a.MinMemoryMiB = min(most*growAfterKill/100, size.MemoryMiB)
}

// GuardAction is an order of the guard for a run on an owned worker.
type GuardAction struct {
	sizing.Action
	Alloc *Alloc
}

// CheckUsage looks at the workers of which use was shown since the last call, keeps what
// their tasks use above their grants from placements, and returns what is to be done on
// those that are short. A run that is to be checkpointed counts as evicted; EvictDone
// takes the outcome, and ThrottleDone that of the others.
func (f *Fleet) CheckUsage(now time.Time, class ClassLookup) []GuardAction {
	var out []GuardAction
	for id := range f.seen {
		w := f.workers[id]
		if w == nil || !w.InventoryKnown {
			continue
		}
		uses := f.usesOn(id, class, now)
		f.saturated[id] = sizing.ProcessorSaturated(w.Info.Size, uses)
		f.nodes.SetExcessUse(id, sizing.ExcessMemory(uses))
		for _, action := range f.guard.Actions(now, id, w.Info.Size, uses) {
			a := f.allocs[RunKey{Task: action.Task, Attempt: action.Attempt}]
			f.noteGuarded(a, action)
			out = append(out, GuardAction{Action: action, Alloc: a})
		}
	}
	clear(f.seen)
	return out
}

func (f *Fleet) noteGuarded(a *Alloc, action sizing.Action) {
	if action.Kind != sizing.CheckpointAndStop {
		a.throttled = action.Percent
		return
	}
	a.Evicting = true
	f.evicting[a.Worker]++
	if a.used.MemoryMiB > a.Size.MemoryMiB {
		a.MinMemoryMiB = a.used.MemoryMiB
	}
}

// ThrottleDone takes the outcome of a throttle. One without a good answer is decided
// anew by the next inventory of the worker.
func (f *Fleet) ThrottleDone(k RunKey, err error) {
	if a := f.allocs[k]; a != nil && err != nil {
		a.throttled = 0
	}
}

// usesOn returns the running tasks of a worker of which use was shown.
func (f *Fleet) usesOn(id string, class ClassLookup, now time.Time) []sizing.TaskUsage {
	var uses []sizing.TaskUsage
	for _, counted := range f.nodes.WorkerAllocs(id) {
		a := f.allocs[RunKey{Task: counted.Task, Attempt: counted.Attempt}]
		if a == nil || a.State != structs.AllocRunning || a.Evicting || a.used.IsZero() {
			continue
		}
		c, _ := class(a.Class)
		uses = append(uses, sizing.TaskUsage{
			Task:            a.Task,
			Attempt:         a.Attempt,
			Granted:         a.Size,
			Used:            a.used,
			IsService:       c.Kind == structs.KindService,
			Slack:           a.runningSlack(c),
			Age:             now.Sub(a.FirstSeen),
			ThrottlePercent: a.throttled,
		})
	}
	return uses
}

// forgetSizes drops what is remembered of a worker that is another's now.
func (f *Fleet) forgetSizes(id string) {
	for _, a := range f.allocs {
		if a.Worker == id {
			f.sizer.TaskEnded(a.Task, false)
		}
	}
	f.guard.ForgetWorker(id)
	delete(f.seen, id)
	delete(f.saturated, id)
}
