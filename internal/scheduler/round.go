package scheduler

import (
	"time"

	"dotterelhitch/internal/structs"
)

const (
	// maxBlocked is the number of items that may fail to be placed in a round
	// before it ends: the depth of backfill.
	maxBlocked = 64
	// maxSkipped is the number of items that a round passes over because a
	// smaller one was blocked.
	maxSkipped = 1024
	// holdDivisor is the inverse of the part of its time to the target that a
	// blocked item waits before workers are held for it.
	holdDivisor = 2
)

// BlockReason is why an item could not be placed.
type BlockReason uint8

const (
	// BlockedBySize means that no worker has room for one task, whatever the job,
	// unless workers are held for it.
	BlockedBySize BlockReason = iota + 1
	// BlockedByGangSize means the same of all tasks of a gang together.
	BlockedByGangSize
	// BlockedByOther is any other cause, such as workers to be avoided.
	BlockedByOther
)

// ruledOut is a number of tasks of a size for which there is no room.
type ruledOut struct {
	size  structs.Resources
	tasks int
}

// Round is one walk over the queue in order. The caller takes items by Next and
// tells what became of each by Started or Blocked, then calls End. Items that were
// blocked stay queued and later ones may start past them (backfill), until workers are
// held for the first that has waited long.
type Round struct {
	q       *Queue
	now     time.Time
	current *queued
	blocked []*queued
	skipped int
	tried   int
	ruled   []ruledOut
}

// BeginRound starts a round. Only one may be open at a time.
func (q *Queue) BeginRound(now time.Time) *Round {
	return &Round{q: q, now: now}
}

// Next returns the item to try next, false when the round is over.
func (r *Round) Next() (QueuedJob, bool) {
	r.settle()
	for r.tried < maxBlocked && r.skipped < maxSkipped {
		e := r.q.next(r.now)
		if e == nil {
			return QueuedJob{}, false
		}
		if !r.dominated(e) {
			r.current = e
			return e.QueuedJob, true
		}
		r.skipped++
		r.blocked = append(r.blocked, e)
	}
	return QueuedJob{}, false
}

// MarkStarted tells that n tasks of the present item were placed. What is left of the
// item stays queued and waits for the next round.
func (r *Round) MarkStarted(n int) {
	e := r.take()
	if e == nil {
		return
	}
	n = min(n, e.PendingTasks)
	e.PendingTasks -= n
	r.q.tasks -= n
	if n > 0 && r.q.holder == e.Job {
		r.q.holder = ""
	}
	if e.PendingTasks == 0 {
		delete(r.q.items, e.Job)
		return
	}
	e.tried = false
	r.blocked = append(r.blocked, e)
}

// MarkBlocked tells that no task of the present item could be placed.
func (r *Round) MarkBlocked(why BlockReason) {
	e := r.take()
	if e == nil {
		return
	}
	r.tried++
	e.tried = true
	r.blocked = append(r.blocked, e)
	switch why {
	case BlockedBySize:
		r.ruled = append(r.ruled, ruledOut{size: e.Size, tasks: 1})
	case BlockedByGangSize:
		r.ruled = append(r.ruled, ruledOut{size: e.Size, tasks: e.PendingTasks})
	}
}

// End puts the items that wait on back into the queue. It returns the job for which
// workers are to be held, if one was blocked and has waited long.
func (r *Round) End() (QueuedJob, bool) {
	r.settle()
	for _, e := range r.blocked {
		if e.removed {
			continue
		}
		if r.q.holder == "" && e.waitedLong(r.now) {
			r.q.holder = e.Job
		}
		if e.lane == laneNone {
			r.q.enqueue(e)
		}
	}
	r.blocked = nil
	return r.q.ReservationCandidate()
}

// waitedLong reports whether the entry was blocked when it was tried and has waited for
// a good part of its time.
func (e *queued) waitedLong(now time.Time) bool {
	return e.tried && now.Sub(e.AcceptedAt) >= e.LatestStart.Sub(e.AcceptedAt)/holdDivisor
}

// take returns the present item, nil if there is none or if it was removed, parked
// or replaced meanwhile.
func (r *Round) take() *queued {
	e := r.current
	r.current = nil
	if e == nil || e.removed {
		return nil
	}
	return e
}

// settle keeps an item of which the caller told nothing as a blocked one.
func (r *Round) settle() {
	if e := r.take(); e != nil {
		r.blocked = append(r.blocked, e)
	}
}

// dominated reports whether there is no room for something no larger than the entry.
func (r *Round) dominated(e *queued) bool {
	if e.holding {
		return false
	}
	tasks := 1
	if e.Kind == structs.KindGang {
		tasks = e.PendingTasks
	}
	for _, out := range r.ruled {
		if out.tasks <= tasks && out.size.Fits(e.Size) {
			return true
		}
	}
	return false
}
