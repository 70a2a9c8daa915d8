package fleet

import (
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// TaskRequest is a request by a job's owner to start or reserve tasks on the workers
// owned here.
type TaskRequest struct {
	// Placement is the request to the scheduler; its Size is set to the granted size.
	Placement scheduler.PlacementRequest
	// DeclaredSize is the declared size of each task, MinMemoryMiB the least memory
	// that each must be granted.
	DeclaredSize structs.Resources
	MinMemoryMiB int64

	// RunMs (the run time in milliseconds) and Payload are sent to the worker at the start.
	RunMs   int64
	Payload string
	// Slack is the time left until the class's target; negative if the target has passed.
	Slack time.Duration
	// RunningSlack is the delay that the target tolerates once the tasks are running.
	RunningSlack time.Duration
	// AllowEvict allows running tasks to be evicted for the request.
	AllowEvict bool
	// EarlierRuns describes the earlier runs of each task.
	EarlierRuns map[structs.TaskID]EarlierRuns
	// ReserveFor reserves resources for that duration instead of starting the tasks;
	// zero starts them.
	ReserveFor time.Duration
}

// EarlierRuns describes the earlier runs of a task.
type EarlierRuns struct {
	// Checkpoint is the checkpoint of the latest of them, empty if there is none.
	Checkpoint string
	// Evictions is the number of them that were evicted.
	Evictions int
}

// Place chooses workers for the tasks and accounts for the runs at once. The returned
// runs are to be started, or are reserved; reason says why the others could not be
// placed. Runs that already exist here, because the call was repeated, are not placed
// again.
func (f *Fleet) Place(r TaskRequest, now time.Time) (chosen []*Alloc, reason error) {
	r = f.withGrantedSize(r)
	req := r.Placement
	req.Tasks = f.newTasks(req.Tasks)
	if len(req.Tasks) == 0 {
		return nil, nil
	}
	f.nodes.SetLongRunning(req.Class, req.Kind == structs.KindService)
	plan := scheduler.Place(f.nodes, req)
	state := structs.AllocStarting
	if r.ReserveFor > 0 {
		state = structs.AllocReserved
	}
	for _, a := range plan.Allocs(req, state) {
		if err := f.nodes.Assign(a); err != nil {
			reason = err
			continue
		}
		chosen = append(chosen, f.addAlloc(a, r, now))
	}
	if reason == nil && len(plan.Unplaced) > 0 {
		reason = noCapacityError(plan)
	}
	return chosen, reason
}

// newTasks returns the tasks that have no run here yet.
func (f *Fleet) newTasks(tasks []scheduler.TaskRef) []scheduler.TaskRef {
	var out []scheduler.TaskRef
	for _, t := range tasks {
		if f.allocs[RunKey{Task: t.Task, Attempt: t.Attempt}] == nil {
			out = append(out, t)
		}
	}
	return out
}

// addAlloc records a run that the scheduler has placed.
func (f *Fleet) addAlloc(a structs.Alloc, r TaskRequest, now time.Time) *Alloc {
	earlier := r.EarlierRuns[a.Task]
	alloc := &Alloc{
		Alloc:             a,
		DeclaredSize:      r.DeclaredSize,
		RunMs:             r.RunMs,
		Payload:           r.Payload,
		Checkpoint:        earlier.Checkpoint,
		Evictions:         earlier.Evictions,
		RunningSlack:      r.RunningSlack,
		FirstSeen:         now,
		SlackAtPlacement:  r.Slack,
		TargetTime:        now.Add(r.Slack),
		acknowledgedState: a.State,
		workerEpoch:       f.workers[a.Worker].Epoch,
	}
	if r.ReserveFor > 0 {
		alloc.reservedUntil = now.Add(r.ReserveFor)
	}
	f.allocs[alloc.Key()] = alloc
	return alloc
}

// noCapacityError returns the error for a plan that left tasks unplaced.
func noCapacityError(p scheduler.Plan) error {
	msg := "no worker"
	for _, why := range p.Rejections {
		msg += ", " + why.String()
	}
	return structs.NewError(structs.CodeNoCapacity, "%s", msg)
}

// Commit moves reserved runs to the starting state. Runs whose reservation was released
// are left out.
func (f *Fleet) Commit(keys []RunKey, now time.Time) []*Alloc {
	var out []*Alloc
	for _, k := range keys {
		a := f.allocs[k]
		if a == nil || a.State != structs.AllocReserved || !f.startable(a.Worker) {
			continue
		}
		a.State = structs.AllocStarting
		a.acknowledgedState = a.State
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

// Release releases reserved runs.
func (f *Fleet) Release(keys []RunKey) {
	for _, k := range keys {
		if a := f.allocs[k]; a != nil && a.State == structs.AllocReserved {
			f.nodes.Release(k.Task, k.Attempt)
			delete(f.allocs, k)
		}
	}
}

// StartDone records the result of a start: confirmed (err is nil) or certainly refused.
// A refused run is dropped, unless the worker has listed it. If the run was listed to
// the job's owner, who therefore counts it as placed, it is reported as stopped. A
// confirmed run is not reported: the job's owner learns of it from the answer to the
// placement or, if that is lost, from an inventory.
func (f *Fleet) StartDone(k RunKey, err error, now time.Time) {
	a := f.allocs[k]
	if a == nil || (err != nil && !a.confirmedAt.IsZero()) {
		return
	}
	if err != nil && a.listedToOwner {
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
	a.acknowledgedState = a.State
}

// AllReserved reports whether all runs are still reserved and may be started.
func (f *Fleet) AllReserved(keys []RunKey) bool {
	for _, k := range keys {
		a := f.allocs[k]
		if a == nil || a.State != structs.AllocReserved || !f.startable(a.Worker) {
			return false
		}
	}
	return true
}

// StopDone records that a run certainly does not run any more.
func (f *Fleet) StopDone(k RunKey, now time.Time) {
	a := f.allocs[k]
	if a == nil || a.State.Terminal() {
		return
	}
	a.confirm(now)
	f.setState(a, structs.AllocStopped, now)
	if a.Evicting {
		a.nextReportAt = now.Add(checkpointReportDelay)
	}
}
