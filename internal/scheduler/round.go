package scheduler

import (
	"time"

	"dotterelhitch/internal/structs"
)

const (
	// maxBlocked is the number of jobs that may be blocked in a round before it ends;
	// it bounds the depth of backfill.
	maxBlocked = 64
	// maxSkipped is the number of jobs that a round may skip because a smaller one was
	// blocked.
	maxSkipped = 1024
	// reservationWaitDivisor divides the time from a blocked job's acceptance to its
	// latest start to give the wait after which workers are reserved for it.
	reservationWaitDivisor = 2
)

// BlockReason states why no task of a job could be placed.
type BlockReason uint8

const (
	// BlockedBySize means that no worker has capacity for a task of this size, whatever
	// its job, except workers reserved for that job.
	BlockedBySize BlockReason = iota + 1
	// BlockedByGangSize means the same for all tasks of a gang together.
	BlockedByGangSize
	// BlockedByOther is any other cause, such as workers that the job avoids.
	BlockedByOther
)

// unplaceableSize is a number of tasks of one size that can't be placed in this round.
type unplaceableSize struct {
	size  structs.Resources
	tasks int
}

// Round is one pass over the queue in order. The caller gets jobs by Next, reports the
// result of each by MarkStarted or MarkBlocked, and finally calls End. Blocked jobs
// remain queued and later jobs may start before them (backfill), until workers are
// reserved for the first one that has waited long.
type Round struct {
	queue          *Queue
	now            time.Time
	current        *queueItem
	itemsToRequeue []*queueItem
	skipped        int
	blockedCount   int
	unplaceable    []unplaceableSize
}

// BeginRound starts a round. Only one round may be open at a time.
func (q *Queue) BeginRound(now time.Time) *Round {
	return &Round{queue: q, now: now}
}

// Next returns the job to try next, false at the end of the round.
func (r *Round) Next() (QueuedJob, bool) {
	r.requeueUnreported()
	for r.blockedCount < maxBlocked && r.skipped < maxSkipped {
		e := r.queue.popNext(r.now)
		if e == nil {
			return QueuedJob{}, false
		}
		if !r.isUnplaceable(e) {
			r.current = e
			return e.QueuedJob, true
		}
		r.skipped++
		r.itemsToRequeue = append(r.itemsToRequeue, e)
	}
	return QueuedJob{}, false
}

// MarkStarted reports that n tasks of the current job were placed. The job's other
// tasks remain queued until the next round.
func (r *Round) MarkStarted(n int) {
	e := r.takeCurrent()
	if e == nil {
		return
	}
	n = min(n, e.PendingTasks)
	e.PendingTasks -= n
	r.queue.waitingTasks -= n
	if n > 0 && r.queue.reservationCandidate == e.Job {
		r.queue.reservationCandidate = ""
	}
	if e.PendingTasks == 0 {
		delete(r.queue.items, e.Job)
		return
	}
	e.lastTryBlocked = false
	r.itemsToRequeue = append(r.itemsToRequeue, e)
}

// MarkBlocked reports that no task of the current job could be placed.
func (r *Round) MarkBlocked(why BlockReason) {
	e := r.takeCurrent()
	if e == nil {
		return
	}
	r.blockedCount++
	e.lastTryBlocked = true
	r.itemsToRequeue = append(r.itemsToRequeue, e)
	switch why {
	case BlockedBySize:
		r.unplaceable = append(r.unplaceable, unplaceableSize{size: e.Size, tasks: 1})
	case BlockedByGangSize:
		r.unplaceable = append(r.unplaceable, unplaceableSize{size: e.Size, tasks: e.PendingTasks})
	}
}

// End puts the jobs that still wait back into the queue. It returns the job for which
// workers should be reserved, if there is one.
func (r *Round) End() (QueuedJob, bool) {
	r.requeueUnreported()
	for _, e := range r.itemsToRequeue {
		if e.removed {
			continue
		}
		if r.queue.reservationCandidate == "" && e.needsReservation(r.now) {
			r.queue.reservationCandidate = e.Job
		}
		if e.state == stateInRound {
			r.queue.enqueue(e)
		}
	}
	r.itemsToRequeue = nil
	return r.queue.ReservationCandidate()
}

// needsReservation reports whether the job was blocked at its last try and has waited
// for at least half of the time between its acceptance and its latest start.
func (e *queueItem) needsReservation(now time.Time) bool {
	return e.lastTryBlocked && now.Sub(e.AcceptedAt) >= e.LatestStart.Sub(e.AcceptedAt)/reservationWaitDivisor
}

// takeCurrent clears the current item and returns it, nil if there is none or if it has
// been removed, parked or replaced in the meantime.
func (r *Round) takeCurrent() *queueItem {
	e := r.current
	r.current = nil
	if e == nil || e.removed {
		return nil
	}
	return e
}

// requeueUnreported keeps a job queued whose result the caller has not reported.
func (r *Round) requeueUnreported() {
	if e := r.takeCurrent(); e != nil {
		r.itemsToRequeue = append(r.itemsToRequeue, e)
	}
}

// isUnplaceable reports whether this round has already failed to place something of at
// most the item's size.
func (r *Round) isUnplaceable(e *queueItem) bool {
	if e.hasReservation {
		return false
	}
	tasks := 1
	if e.Kind == structs.KindGang {
		tasks = e.PendingTasks
	}
	for _, out := range r.unplaceable {
		if out.tasks <= tasks && out.size.Fits(e.Size) {
			return true
		}
	}
	return false
}
