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
	// backfillPerTask is the number of tasks that may overtake a blocked item for
	// each task of its own before workers are held for it.
	backfillPerTask = 4
	// backfillLeast is the bound of overtaking for the smallest items.
	backfillLeast = 64
)

// Block is why an item could not be placed.
type Block uint8

const (
	// BlockSize means that no usable worker has room for one task.
	BlockSize Block = iota + 1
	// BlockOther is any other cause, such as too little room for a whole gang or
	// workers to be avoided.
	BlockOther
)

// Round is one walk over the queue in order. The caller takes items by Next and
// tells what became of each by Started or Blocked, then calls End. Items that were
// blocked stay queued; later ones may start past them within a bound (backfill).
type Round struct {
	q       *Queue
	now     time.Time
	current *queued
	blocked []*queued
	skipped int
	tried   int
	// small are sizes for which no worker has room.
	small []structs.Resources
}

// Begin starts a round. Only one may be open at a time.
func (q *Queue) Begin(now time.Time) *Round {
	return &Round{q: q, now: now}
}

// Next returns the item to try next, false when the round is over.
func (r *Round) Next() (Item, bool) {
	r.settle()
	for r.tried < maxBlocked && r.skipped < maxSkipped {
		e := r.q.next(r.now)
		if e == nil {
			return Item{}, false
		}
		if !r.dominated(e) {
			r.current = e
			return e.Item, true
		}
		r.skipped++
		r.blocked = append(r.blocked, e)
	}
	return Item{}, false
}

// Started tells that n tasks of the present item were placed. What is left of the
// item stays queued and waits for the next round.
func (r *Round) Started(n int) {
	e := r.take()
	if e == nil {
		return
	}
	n = min(n, e.Pending)
	for _, b := range r.blocked {
		b.overtaken += n
	}
	e.Pending -= n
	r.q.tasks -= n
	if n > 0 && r.q.holder == e.Job {
		r.q.holder = ""
	}
	if e.Pending == 0 {
		delete(r.q.items, e.Job)
		return
	}
	e.overtaken = 0
	r.blocked = append(r.blocked, e)
}

// Blocked tells that no task of the present item could be placed.
func (r *Round) Blocked(why Block) {
	e := r.take()
	if e == nil {
		return
	}
	r.tried++
	r.blocked = append(r.blocked, e)
	if why == BlockSize {
		r.small = append(r.small, e.Size)
	}
}

// End puts the items that wait on back into the queue. It returns the job for which
// workers are to be held, if one was overtaken up to its bound.
func (r *Round) End() (Item, bool) {
	r.settle()
	for _, e := range r.blocked {
		if e.removed {
			continue
		}
		if r.q.holder == "" && e.overtaken >= backfillBound(e.Pending) {
			r.q.holder = e.Job
		}
		if e.lane == laneNone {
			r.q.enqueue(e)
		}
	}
	r.blocked = nil
	return r.q.Holder()
}

// backfillBound returns how many tasks may overtake an item.
func backfillBound(pending int) int {
	return max(backfillLeast, pending*backfillPerTask)
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

// dominated reports whether a size no larger than the entry's was found not to fit.
func (r *Round) dominated(e *queued) bool {
	for _, size := range r.small {
		if size.Fits(e.Size) {
			return true
		}
	}
	return false
}
