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

// Timing holds the bounds that decide when a silent worker's tasks have ended.
type Timing struct {
	// Lease is how long a task runs after the last renewal.
	Lease time.Duration
	// ClockMargin covers the difference in rate of two monotonic clocks.
	ClockMargin time.Duration
	// UnreachableAfter is how long a worker may be silent before it gets no new work.
	UnreachableAfter time.Duration
	// ReportRetryInterval is the period of unacknowledged reports.
	ReportRetryInterval time.Duration
}

// Fleet holds the owned workers and their runs. It belongs to the control
// goroutine.
type Fleet struct {
	timing  Timing
	nodes   *scheduler.NodeSet
	workers map[string]*Worker
	allocs  map[RunKey]*Alloc
	claims  gang.Claims
	// evicting counts the runs on each worker that are being stopped to make room.
	evicting map[string]int
	budget   evictBudget

	sizer    *sizing.Sizer
	guard    *sizing.ShortageGuard
	learning bool
	// seen are the workers of which use was shown since the guard last looked, and
	// saturated those that had no processor left when it did.
	seen      map[string]bool
	saturated map[string]bool
}

// New returns a fleet without workers.
func New(timing Timing) *Fleet {
	return &Fleet{
		timing:  timing,
		nodes:   scheduler.NewNodeSet(),
		workers: map[string]*Worker{},
		allocs:  map[RunKey]*Alloc{},

		evicting: map[string]int{},

		sizer:     sizing.NewSizer(),
		guard:     sizing.NewShortageGuard(),
		seen:      map[string]bool{},
		saturated: map[string]bool{},
	}
}

// Nodes returns the placement view of the fleet.
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

// AddWorker takes over a worker under an epoch. Nothing is placed on it before Show.
func (f *Fleet) AddWorker(w structs.Worker, epoch int64, now time.Time) {
	f.workers[w.ID] = &Worker{Info: w, Epoch: epoch, gainedAt: now, heard: now}
	f.nodes.Upsert(w)
	f.nodes.SetFlag(w.ID, scheduler.FlagInventoried, false)
}

// UpdateWorker takes a newer description of an owned worker.
func (f *Fleet) UpdateWorker(w structs.Worker) {
	if own := f.workers[w.ID]; own != nil {
		own.Info = w
		f.nodes.Upsert(w)
	}
}

// RenewOwnership asks for the inventory of an owned worker anew, under a newer epoch.
func (f *Fleet) RenewOwnership(id string, epoch int64) {
	w := f.workers[id]
	if w == nil {
		return
	}
	w.refused = w.refused && epoch == w.Epoch
	w.Epoch = epoch
	w.InventoryKnown = false
	f.nodes.SetFlag(id, scheduler.FlagInventoried, false)
}

// EpochRefused notes that a worker refused the epoch under which it is owned. Time alone
// does not account for it then, until it is gained anew under a newer epoch.
func (f *Fleet) EpochRefused(id string) {
	if w := f.workers[id]; w != nil {
		w.refused = true
		w.accounted = false
	}
}

// RemoveWorker gives up a worker that is another's now; its runs are no longer known here.
func (f *Fleet) RemoveWorker(id string) {
	f.forgetSizes(id)
	for k, a := range f.allocs {
		if a.Worker == id {
			delete(f.allocs, k)
		}
	}
	f.nodes.Remove(id)
	delete(f.workers, id)
	delete(f.evicting, id)
}

// WorkerTerminated ends everything on a worker that certainly runs nothing any more. The runs
// stay until the owners of their jobs have taken note.
func (f *Fleet) WorkerTerminated(id string, now time.Time) {
	w := f.workers[id]
	if w == nil {
		return
	}
	w.accounted = true
	f.endAll(id, now)
}

func (f *Fleet) endAll(id string, now time.Time) {
	for _, a := range f.allocs {
		if a.Worker == id && !a.State.Terminal() {
			f.setState(a, structs.AllocStopped, now)
		}
	}
}

// setState moves a run to a state and frees its room when it has ended.
func (f *Fleet) setState(a *Alloc, st structs.AllocState, now time.Time) {
	if a.State.Terminal() || a.State == st {
		return
	}
	a.State = st
	a.reportAt = now
	if st.Terminal() {
		f.sizer.TaskEnded(a.Task, false)
		f.nodes.Release(a.Task, a.Attempt)
		return
	}
	f.nodes.SetAllocState(a.Task, a.Attempt, st)
}

// UnaccountedWorkers returns the workers whose runs are not known: gained and not yet
// inventoried, or silent for less than it takes their leases to end.
func (f *Fleet) UnaccountedWorkers() []string {
	var out []string
	for id, w := range f.workers {
		if !w.InventoryKnown && !w.accounted {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// WorkerAnswered notes that a worker's answer to a call begun at start arrived at now.
func (f *Fleet) WorkerAnswered(id string, start, now time.Time) {
	w := f.workers[id]
	if w == nil {
		return
	}
	if start.After(w.heard) {
		w.heard = start
	}
	if now.After(w.answered) {
		w.answered = now
	}
	f.nodes.SetFlag(id, scheduler.FlagUnreachable, false)
}

// Tick gives up what time has ended: reservations, and the runs of workers that
// have been silent for longer than any lease of theirs can last. former tells
// whether the leases that former owners of a worker renewed have ended. It
// returns the workers that were accounted for by time.
//
// Proven is the time up to which this entry certainly was the owner. The leases must
// have ended by then, not only by now: an owner that came after may have renewed them
// since.
func (f *Fleet) Tick(now, proven time.Time, former func(w structs.Worker, proven time.Time) bool) []string {
	f.expireReservations(now)
	f.expireClaims(now)
	var lapsed []string
	for id, w := range f.workers {
		if now.Sub(w.heard) <= f.timing.UnreachableAfter {
			continue
		}
		f.nodes.SetFlag(id, scheduler.FlagUnreachable, true)
		if w.accounted || w.refused || proven.Before(f.leasesEnd(w)) || !former(w.Info, proven) {
			continue
		}
		w.accounted = true
		w.InventoryKnown = false
		f.nodes.SetFlag(id, scheduler.FlagInventoried, false)
		f.endAll(id, now)
		lapsed = append(lapsed, id)
	}
	slices.Sort(lapsed)
	return lapsed
}

// leasesEnd is when every lease that this owner renewed on a silent worker has
// certainly ended.
func (f *Fleet) leasesEnd(w *Worker) time.Time {
	if w.answered.IsZero() {
		return w.gainedAt
	}
	return w.answered.Add(f.timing.Lease + f.timing.ClockMargin)
}

func (f *Fleet) expireReservations(now time.Time) {
	for k, a := range f.allocs {
		if a.State == structs.AllocReserved && now.After(a.reserveUntil) {
			f.nodes.Release(k.Task, k.Attempt)
			delete(f.allocs, k)
		}
	}
}
