package scheduler

import (
	"container/heap"
	"time"
)

const (
	// latePickInterval is the number of picks of which one goes to a job that has
	// missed its target, so that late jobs neither starve nor make all other jobs late
	// as well.
	latePickInterval = 4
	// compactThreshold is the number of removed items below which the heaps are not
	// rebuilt.
	compactThreshold = 64
)

// Queue contains the jobs of one owner that wait to start. Jobs that can still meet
// their target are picked in order of slack (earliest deadline first, Liu and Layland,
// 1973). Jobs that have missed it get every fourth pick, the oldest first. Either kind
// of job is overtaken by a bounded number of picks only, so no job starves as long as
// some job can be placed. Removal is lazy, so that cancelling many jobs at once costs
// constant time per job.
type Queue struct {
	items  map[string]*queueItem
	onTime slackHeap
	late   slackHeap
	// removedInHeaps counts removed items that are still in a heap.
	removedInHeaps int
	pickCount      int
	waitingTasks   int
	// reservationCandidate is the job for which workers should be reserved, empty if
	// there is none.
	reservationCandidate string
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{items: make(map[string]*queueItem)}
}

// Len returns the number of jobs, including parked ones.
func (q *Queue) Len() int { return len(q.items) }

// Tasks returns the number of waiting tasks.
func (q *Queue) Tasks() int { return q.waitingTasks }

// Push adds a job or replaces its entry. A job without pending tasks is removed.
func (q *Queue) Push(job QueuedJob) {
	e := &queueItem{QueuedJob: job}
	if old := q.items[job.Job]; old != nil {
		e.lastTryBlocked = old.lastTryBlocked
		e.hasReservation = old.hasReservation
		q.removeItem(old)
	}
	if job.PendingTasks <= 0 {
		return
	}
	q.items[job.Job] = e
	q.waitingTasks += job.PendingTasks
	q.enqueue(e)
}

// Get returns a queued job.
func (q *Queue) Get(job string) (QueuedJob, bool) {
	e := q.items[job]
	if e == nil {
		return QueuedJob{}, false
	}
	return e.QueuedJob, true
}

// Remove removes jobs and returns how many of them were queued.
func (q *Queue) Remove(jobs ...string) int {
	removed := 0
	for _, job := range jobs {
		if e := q.items[job]; e != nil {
			q.removeItem(e)
			removed++
		}
	}
	q.compact()
	return removed
}

// Park excludes a job from picks until it is unparked, because it waits for something
// other than capacity, such as quota. It reports whether the job is queued.
func (q *Queue) Park(job string) bool {
	e := q.items[job]
	if e == nil {
		return false
	}
	if e.state != stateParked {
		q.moveOutOfHeap(e, stateParked)
	}
	return true
}

// Unpark makes a parked job eligible for picks again.
func (q *Queue) Unpark(job string) {
	e := q.items[job]
	if e != nil && e.state == stateParked {
		q.enqueue(e)
	}
}

// UnparkTeam unparks all parked jobs of a team. It reads the whole queue.
func (q *Queue) UnparkTeam(team string) {
	for _, e := range q.items {
		if e.Team == team && e.state == stateParked {
			q.enqueue(e)
		}
	}
}

// ReservationCandidate returns the job for which workers should be reserved: the first
// blocked job that has waited for at least half of the time between its acceptance and
// its latest start. It remains the candidate until it has started or is removed.
func (q *Queue) ReservationCandidate() (QueuedJob, bool) { return q.Get(q.reservationCandidate) }

// SetHasReservation records whether workers are reserved for a job. A round then tries
// the job even after a smaller one was blocked.
func (q *Queue) SetHasReservation(job string, reserved bool) {
	if e := q.items[job]; e != nil {
		e.hasReservation = reserved
	}
}

// enqueue adds an item to the on-time heap. popNext moves it to the late heap if its
// target has been missed by then.
func (q *Queue) enqueue(e *queueItem) {
	e.state = stateOnTime
	heap.Push(&q.onTime, e)
}

// removeItem removes an item from the queue. If it is in a heap, it remains there,
// marked as removed.
func (q *Queue) removeItem(e *queueItem) {
	if e.state == stateOnTime || e.state == stateLate {
		q.removedInHeaps++
	}
	e.removed = true
	q.waitingTasks -= e.PendingTasks
	delete(q.items, e.Job)
	if q.reservationCandidate == e.Job {
		q.reservationCandidate = ""
	}
}

// moveOutOfHeap gives an item another state. The old item remains in its heap, marked
// as removed, and a copy replaces it in the queue.
func (q *Queue) moveOutOfHeap(e *queueItem, state queueState) {
	moved := *e
	if e.state == stateOnTime || e.state == stateLate {
		q.removedInHeaps++
	}
	e.removed = true
	moved.state = state
	q.items[e.Job] = &moved
}

// compact rebuilds the heaps once at least half of their items are removed ones.
func (q *Queue) compact() {
	if q.removedInHeaps < compactThreshold || q.removedInHeaps*2 < len(q.onTime)+len(q.late) {
		return
	}
	q.onTime = q.onTime.withoutRemoved()
	q.late = q.late.withoutRemoved()
	q.removedInHeaps = 0
}

// withoutRemoved returns a heap of the items that are not removed.
func (h slackHeap) withoutRemoved() slackHeap {
	kept := h[:0]
	for _, e := range h {
		if !e.removed {
			kept = append(kept, e)
		}
	}
	clear(h[len(kept):])
	heap.Init(&kept)
	return kept
}

// popNext removes the item that is next in order from its heap and returns it, nil if
// no job is eligible.
func (q *Queue) popNext(now time.Time) *queueItem {
	q.moveLateItems(now)
	q.popRemoved(&q.late)
	if len(q.onTime) == 0 && len(q.late) == 0 {
		return nil
	}
	q.pickCount++
	from := &q.onTime
	if len(q.onTime) == 0 || len(q.late) > 0 && q.pickCount%latePickInterval == 0 {
		from = &q.late
	}
	e := heap.Pop(from).(*queueItem)
	e.state = stateInRound
	return e
}

// moveLateItems moves items that have missed their target to the late heap and discards
// removed ones that it meets.
func (q *Queue) moveLateItems(now time.Time) {
	for q.popRemoved(&q.onTime); len(q.onTime) > 0; q.popRemoved(&q.onTime) {
		e := q.onTime[0]
		if e.Slack(now) >= 0 {
			return
		}
		heap.Pop(&q.onTime)
		e.state = stateLate
		heap.Push(&q.late, e)
	}
}

// popRemoved discards removed items from the top of a heap.
func (q *Queue) popRemoved(h *slackHeap) {
	for len(*h) > 0 && (*h)[0].removed {
		heap.Pop(h)
		q.removedInHeaps--
	}
}
