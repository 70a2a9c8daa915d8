package fleet

import (
	"maps"
	"slices"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/scheduler/gang"
	"dotterelhitch/internal/scheduler/sizing"
	"dotterelhitch/internal/structs"
)

// Timing holds the durations that decide when the tasks of a silent worker have ended.
type Timing struct {
	// Lease is how long a task runs after its lease was last renewed.
	Lease time.Duration
	// ClockMargin covers the difference in rate between two monotonic clocks.
	ClockMargin time.Duration
	// UnreachableAfter is how long a worker may be silent before it gets no new tasks.
	UnreachableAfter time.Duration
	// ReportRetryInterval is the interval at which unacknowledged reports are repeated.
	ReportRetryInterval time.Duration
}

// Fleet holds the owned workers and their runs. Only the control goroutine may use it.
type Fleet struct {
	timing  Timing
	nodes   *scheduler.NodeSet
	workers map[string]*Worker
	allocs  map[RunKey]*Alloc
	claims  gang.Claims
	// evictingRuns is the number of runs on each worker that are being evicted.
	evictingRuns map[string]int
	budget       evictBudget

	sizer    *sizing.Sizer
	guard    *sizing.ShortageGuard
	learning bool
	// usageReported holds the workers whose usage was reported since the last call of
	// CheckUsage, saturated those that had no processor time left at that call.
	usageReported map[string]bool
	saturated     map[string]bool
}

// New returns a fleet that owns no workers.
func New(timing Timing) *Fleet {
	return &Fleet{
		timing:  timing,
		nodes:   scheduler.NewNodeSet(),
		workers: map[string]*Worker{},
		allocs:  map[RunKey]*Alloc{},

		evictingRuns: map[string]int{},

		sizer:         sizing.NewSizer(),
		guard:         sizing.NewShortageGuard(),
		usageReported: map[string]bool{},
		saturated:     map[string]bool{},
	}
}

// Nodes returns the scheduler's view of the owned workers.
func (f *Fleet) Nodes() *scheduler.NodeSet { return f.nodes }

// Worker returns an owned worker, nil for any other.
func (f *Fleet) Worker(id string) *Worker { return f.workers[id] }

// Workers returns the owned workers ordered by ID.
func (f *Fleet) Workers() []*Worker {
	out := make([]*Worker, 0, len(f.workers))
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		out = append(out, f.workers[id])
	}
	return out
}

// Alloc returns a run, nil if it is not known.
func (f *Fleet) Alloc(k RunKey) *Alloc { return f.allocs[k] }

// AddWorker starts owning a worker at the given epoch. Nothing is placed on the worker
// before its inventory is known from ApplyInventory.
func (f *Fleet) AddWorker(w structs.Worker, epoch int64, now time.Time) {
	f.workers[w.ID] = &Worker{Info: w, Epoch: epoch, addedAt: now, lastCallStart: now}
	f.nodes.Upsert(w)
	f.nodes.SetFlag(w.ID, scheduler.FlagInventoried, false)
}

// UpdateWorker replaces the description of an owned worker.
func (f *Fleet) UpdateWorker(w structs.Worker) {
	if own := f.workers[w.ID]; own != nil {
		own.Info = w
		f.nodes.Upsert(w)
	}
}

// RenewOwnership continues the ownership of a worker at a newer epoch. The worker's
// inventory is unknown until it is read under that epoch.
func (f *Fleet) RenewOwnership(id string, epoch int64) {
	w := f.workers[id]
	if w == nil {
		return
	}
	w.epochRefused = w.epochRefused && epoch == w.Epoch
	w.Epoch = epoch
	w.InventoryKnown = false
	f.nodes.SetFlag(id, scheduler.FlagInventoried, false)
}

// EpochRefused records that a worker refused the epoch at which this entry owns it.
// Until the worker is owned at a newer epoch, the passage of time no longer proves that
// its runs have ended.
func (f *Fleet) EpochRefused(id string) {
	if w := f.workers[id]; w != nil {
		w.epochRefused = true
		w.allRunsEnded = false
	}
}

// RemoveWorker drops a worker that has another owner now, together with its runs.
func (f *Fleet) RemoveWorker(id string) {
	f.forgetUsage(id)
	for k, a := range f.allocs {
		if a.Worker == id {
			delete(f.allocs, k)
		}
	}
	f.nodes.Remove(id)
	delete(f.workers, id)
	delete(f.evictingRuns, id)
}

// WorkerTerminated marks all runs on a worker as stopped, because the worker certainly
// runs nothing any more. The runs are kept until the owners of their jobs have
// acknowledged this.
func (f *Fleet) WorkerTerminated(id string, now time.Time) {
	w := f.workers[id]
	if w == nil {
		return
	}
	w.allRunsEnded = true
	f.endAllRuns(id, now)
}

// endAllRuns marks all runs on a worker as stopped.
func (f *Fleet) endAllRuns(id string, now time.Time) {
	for _, a := range f.allocs {
		if a.Worker == id && !a.State.Terminal() {
			f.setState(a, structs.AllocStopped, now)
		}
	}
}

// setState changes the state of a run and frees its resources if it has ended.
func (f *Fleet) setState(a *Alloc, st structs.AllocState, now time.Time) {
	if a.State.Terminal() || a.State == st {
		return
	}
	a.State = st
	a.nextReportAt = now
	if st.Terminal() {
		f.sizer.TaskEnded(a.Task, false)
		f.nodes.Release(a.Task, a.Attempt)
		return
	}
	f.nodes.SetAllocState(a.Task, a.Attempt, st)
}

// UnaccountedWorkers returns the IDs of the workers whose runs are not known: no
// inventory was read yet, or the worker has been silent, but not for long enough that
// its leases must have expired.
func (f *Fleet) UnaccountedWorkers() []string {
	var out []string
	for id, w := range f.workers {
		if !w.InventoryKnown && !w.allRunsEnded {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// WorkerAnswered records that the worker's answer to a call begun at start arrived at
// now.
func (f *Fleet) WorkerAnswered(id string, start, now time.Time) {
	w := f.workers[id]
	if w == nil {
		return
	}
	if start.After(w.lastCallStart) {
		w.lastCallStart = start
	}
	if now.After(w.lastAnswerAt) {
		w.lastAnswerAt = now
	}
	f.nodes.SetFlag(id, scheduler.FlagUnreachable, false)
}

// Tick releases expired reservations and marks the runs on silent workers as stopped
// once all leases there must have expired. formerLeasesEnded reports whether the leases
// renewed by former owners of a worker have expired. Tick returns the IDs of the
// workers whose leases have expired.
//
// ownedUntil is the latest time at which this entry is certain to have been the owner.
// The leases must have expired by then, and not only by now, since a later owner may
// have renewed them.
func (f *Fleet) Tick(now, ownedUntil time.Time, formerLeasesEnded func(w structs.Worker, ownedUntil time.Time) bool) []string {
	f.expireReservations(now)
	f.expireClaims(now)
	var expired []string
	for id, w := range f.workers {
		if now.Sub(w.lastCallStart) <= f.timing.UnreachableAfter {
			continue
		}
		f.nodes.SetFlag(id, scheduler.FlagUnreachable, true)
		if w.allRunsEnded || w.epochRefused || ownedUntil.Before(f.leasesExpireAt(w)) || !formerLeasesEnded(w.Info, ownedUntil) {
			continue
		}
		w.allRunsEnded = true
		w.InventoryKnown = false
		f.nodes.SetFlag(id, scheduler.FlagInventoried, false)
		f.endAllRuns(id, now)
		expired = append(expired, id)
	}
	slices.Sort(expired)
	return expired
}

// leasesExpireAt returns the time at which all leases that this owner renewed on the
// worker have certainly expired.
func (f *Fleet) leasesExpireAt(w *Worker) time.Time {
	if w.lastAnswerAt.IsZero() {
		return w.addedAt
	}
	return w.lastAnswerAt.Add(f.timing.Lease + f.timing.ClockMargin)
}

// expireReservations drops the reserved runs whose reservation has expired.
func (f *Fleet) expireReservations(now time.Time) {
	for k, a := range f.allocs {
		if a.State == structs.AllocReserved && now.After(a.reservedUntil) {
			f.nodes.Release(k.Task, k.Attempt)
			delete(f.allocs, k)
		}
	}
}
