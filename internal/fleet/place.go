package fleet

import (
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// TaskRequest is a wish of a job's owner to start or reserve tasks here.
type TaskRequest struct {
	// Placement is what is asked of the scheduler; its size is set to what the tasks are
	// granted.
	Placement scheduler.PlacementRequest
	// DeclaredSize is the declared size of each task, MinMemoryMiB the least memory
	// that it is to be granted.
	DeclaredSize structs.Resources
	MinMemoryMiB int64

	RunMs   int64
	Payload string
	Slack   time.Duration
	// RunningSlack is how far the target lets the tasks be put off while they run.
	RunningSlack time.Duration
	// AllowEvict lets running tasks be stopped to make room.
	AllowEvict bool
	// EarlierRuns is what earlier runs of the tasks left.
	EarlierRuns map[structs.TaskID]EarlierRuns
	// ReserveFor holds room for that long instead of starting; zero starts.
	ReserveFor time.Duration
}

// EarlierRuns is what earlier runs of a task left.
type EarlierRuns struct {
	// Checkpoint is what the last of them saved, empty if nothing.
	Checkpoint string
	// Evictions is how many of them were stopped to make room.
	Evictions int
}

// Place chooses workers and counts the runs on them at once. The returned runs are
// to be started (or are reserved); why explains those that found no room. Runs
// that are here already, by a repeat of the call, are not chosen again.
func (f *Fleet) Place(r TaskRequest, now time.Time) (chosen []*Alloc, why error) {
	r = f.sized(r)
	ask := r.Placement
	ask.Tasks = f.unknownTasks(ask.Tasks)
	if len(ask.Tasks) == 0 {
		return nil, nil
	}
	f.nodes.SetLongRunning(ask.Class, ask.Kind == structs.KindService)
	plan := scheduler.Place(f.nodes, ask)
	state := structs.AllocStarting
	if r.ReserveFor > 0 {
		state = structs.AllocReserved
	}
	for _, a := range plan.Allocs(ask, state) {
		if err := f.nodes.Assign(a); err != nil {
			why = err
			continue
		}
		chosen = append(chosen, f.record(a, r, now))
	}
	if why == nil && len(plan.Unplaced) > 0 {
		why = noCapacity(plan)
	}
	return chosen, why
}

func (f *Fleet) unknownTasks(tasks []scheduler.TaskRef) []scheduler.TaskRef {
	var out []scheduler.TaskRef
	for _, t := range tasks {
		if f.allocs[RunKey{Task: t.Task, Attempt: t.Attempt}] == nil {
			out = append(out, t)
		}
	}
	return out
}

func (f *Fleet) record(a structs.Alloc, r TaskRequest, now time.Time) *Alloc {
	earlier := r.EarlierRuns[a.Task]
	alloc := &Alloc{
		Alloc:            a,
		DeclaredSize:     r.DeclaredSize,
		RunMs:            r.RunMs,
		Payload:          r.Payload,
		Checkpoint:       earlier.Checkpoint,
		Evictions:        earlier.Evictions,
		RunningSlack:     r.RunningSlack,
		FirstSeen:        now,
		SlackAtPlacement: r.Slack,
		TargetTime:       now.Add(r.Slack),
		reported:         a.State,
		epoch:            f.workers[a.Worker].Epoch,
	}
	if r.ReserveFor > 0 {
		alloc.reserveUntil = now.Add(r.ReserveFor)
	}
	f.allocs[alloc.Key()] = alloc
	return alloc
}

func noCapacity(p scheduler.Plan) error {
	msg := "no worker"
	for _, why := range p.Rejections {
		msg += ", " + why.String()
	}
	return structs.NewError(structs.CodeNoCapacity, "%s", msg)
}

// Commit turns reserved runs into starting ones. Runs whose room was given up are
// left out.
func (f *Fleet) Commit(keys []RunKey, now time.Time) []*Alloc {
	var out []*Alloc
	for _, k := range keys {
		a := f.allocs[k]
		if a == nil || a.State != structs.AllocReserved || !f.startable(a.Worker) {
			continue
		}
		a.State = structs.AllocStarting
		a.reported = a.State
		f.nodes.SetAllocState(k.Task, k.Attempt, a.State)
		out = append(out, a)
	}
	return out
}

// startable reports whether a reserved run may still be started on its worker.
func (f *Fleet) startable(id string) bool {
	n := f.nodes.Node(id)
	return n != nil && n.Usable()
}

// Release gives up reserved runs.
func (f *Fleet) Release(keys []RunKey) {
	for _, k := range keys {
		if a := f.allocs[k]; a != nil && a.State == structs.AllocReserved {
			f.nodes.Release(k.Task, k.Attempt)
			delete(f.allocs, k)
		}
	}
}

// StartDone takes a worker's word on a start: confirmed, or certainly refused. A
// refused run is forgotten, unless the worker has shown it; one that the job's owner
// has seen in an inventory, and so counts as placed, is reported as stopped. A
// confirmed one is told by the answer to the placement, and if that is lost by an
// inventory, so that it is not reported besides.
func (f *Fleet) StartDone(k RunKey, err error, now time.Time) {
	a := f.allocs[k]
	if a == nil || (err != nil && !a.confirmed.IsZero()) {
		return
	}
	if err != nil && a.listed {
		f.setState(a, structs.AllocStopped, now)
		return
	}
	if err != nil {
		f.nodes.Release(k.Task, k.Attempt)
		delete(f.allocs, k)
		return
	}
	a.confirm(now)
	f.setState(a, structs.AllocRunning, now)
	a.reported = a.State
}

// AllReserved reports whether all runs still have their reserved room.
func (f *Fleet) AllReserved(keys []RunKey) bool {
	for _, k := range keys {
		a := f.allocs[k]
		if a == nil || a.State != structs.AllocReserved || !f.startable(a.Worker) {
			return false
		}
	}
	return true
}

// StopDone takes a worker's word that a run certainly does not run any more.
func (f *Fleet) StopDone(k RunKey, now time.Time) {
	a := f.allocs[k]
	if a == nil || a.State.Terminal() {
		return
	}
	a.confirm(now)
	f.setState(a, structs.AllocStopped, now)
	if a.Evicting {
		a.reportAt = now.Add(checkpointWait)
	}
}
