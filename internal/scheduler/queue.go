package scheduler

import (
	"container/heap"
	"time"
)

const (
	// lateEvery is the number of picks of which one goes to an item that has
	// missed its target, so that late work neither starves nor makes all other
	// work late too.
	lateEvery = 4
	// compactAbove is the number of removed entries below which a heap is never
	// rebuilt.
	compactAbove = 64
)

// Queue is the jobs of one owner that wait for a start. Those that can still meet
// their target come in order of slack (earliest deadline first, Liu and Layland,
// 1973); those that have missed it share every fourth pick, the oldest first. An
// item of either sort is passed by a bounded number of picks only: nothing starves
// while anything is placed. Removal is lazy, so that a wave of cancellations costs
// constant time an item.
type Queue struct {
	items  map[string]*queued
	onTime itemHeap
	late   itemHeap
	// dead counts removed entries that a heap still holds.
	dead  int
	picks int
	tasks int
	// holder is the job for which workers are to be held, empty if there is none.
	holder string
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{items: make(map[string]*queued)}
}

// Len returns the number of jobs, parked ones included.
func (q *Queue) Len() int { return len(q.items) }

// Tasks returns the number of tasks that wait.
func (q *Queue) Tasks() int { return q.tasks }

// Push adds a job or replaces its item. An item without pending tasks removes
// the job.
func (q *Queue) Push(item QueuedJob) {
	e := &queued{QueuedJob: item}
	if old := q.items[item.Job]; old != nil {
		e.tried = old.tried
		e.holding = old.holding
		q.drop(old)
	}
	if item.PendingTasks <= 0 {
		return
	}
	q.items[item.Job] = e
	q.tasks += item.PendingTasks
	q.enqueue(e)
}

// Get returns a job's item.
func (q *Queue) Get(job string) (QueuedJob, bool) {
	e := q.items[job]
	if e == nil {
		return QueuedJob{}, false
	}
	return e.QueuedJob, true
}

// Remove takes jobs out of the queue and returns how many were in it.
func (q *Queue) Remove(jobs ...string) int {
	removed := 0
	for _, job := range jobs {
		if e := q.items[job]; e != nil {
			q.drop(e)
			removed++
		}
	}
	q.compact()
	return removed
}

// Park takes a job out of the order until it is unparked: it waits for something
// other than room, such as quota. It reports whether the job is queued.
func (q *Queue) Park(job string) bool {
	e := q.items[job]
	if e == nil {
		return false
	}
	if e.lane != laneParked {
		q.detach(e, laneParked)
	}
	return true
}

// Unpark puts a parked job back into the order.
func (q *Queue) Unpark(job string) {
	e := q.items[job]
	if e != nil && e.lane == laneParked {
		q.enqueue(e)
	}
}

// UnparkTeam puts the parked jobs of a team back into the order. It reads the whole
// queue.
func (q *Queue) UnparkTeam(team string) {
	for _, e := range q.items {
		if e.Team == team && e.lane == laneParked {
			q.enqueue(e)
		}
	}
}

// ReservationCandidate returns the job for which workers are to be held: the first blocked one that
// has waited for a good part of its time. It stays the holder until it has started or is removed.
func (q *Queue) ReservationCandidate() (QueuedJob, bool) { return q.Get(q.holder) }

// SetHasReservation says whether workers are held for a job. A round then tries it also when
// a smaller one was blocked.
func (q *Queue) SetHasReservation(job string, on bool) {
	if e := q.items[job]; e != nil {
		e.holding = on
	}
}

// enqueue puts an entry into the lane of those on time; it moves on to the late lane
// when its turn would come.
func (q *Queue) enqueue(e *queued) {
	e.lane = laneOnTime
	heap.Push(&q.onTime, e)
}

// drop ends an entry.
func (q *Queue) drop(e *queued) {
	if e.lane == laneOnTime || e.lane == laneLate {
		q.dead++
	}
	e.removed = true
	q.tasks -= e.PendingTasks
	delete(q.items, e.Job)
	if q.holder == e.Job {
		q.holder = ""
	}
}

// detach moves an entry out of its heap by leaving a removed copy there.
func (q *Queue) detach(e *queued, to lane) {
	moved := *e
	if e.lane == laneOnTime || e.lane == laneLate {
		q.dead++
	}
	e.removed = true
	moved.lane = to
	q.items[e.Job] = &moved
}

// compact rebuilds the heaps once most of their entries are removed ones.
func (q *Queue) compact() {
	if q.dead < compactAbove || q.dead*2 < len(q.onTime)+len(q.late) {
		return
	}
	q.onTime = q.onTime.live()
	q.late = q.late.live()
	q.dead = 0
}

// live returns a heap of the entries that are not removed.
func (h itemHeap) live() itemHeap {
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

// next takes the entry whose turn it is, nil if none waits.
func (q *Queue) next(now time.Time) *queued {
	q.moveLate(now)
	q.dropDead(&q.late)
	if len(q.onTime) == 0 && len(q.late) == 0 {
		return nil
	}
	q.picks++
	from := &q.onTime
	if len(q.onTime) == 0 || len(q.late) > 0 && q.picks%lateEvery == 0 {
		from = &q.late
	}
	e := heap.Pop(from).(*queued)
	e.lane = laneNone
	return e
}

// moveLate moves entries that have missed their target to the late lane, and drops
// removed ones on the way.
func (q *Queue) moveLate(now time.Time) {
	for q.dropDead(&q.onTime); len(q.onTime) > 0; q.dropDead(&q.onTime) {
		e := q.onTime[0]
		if e.Slack(now) >= 0 {
			return
		}
		heap.Pop(&q.onTime)
		e.lane = laneLate
		heap.Push(&q.late, e)
	}
}

// dropDead drops removed entries from the head of a heap.
func (q *Queue) dropDead(h *itemHeap) {
	for len(*h) > 0 && (*h)[0].removed {
		heap.Pop(h)
		q.dead--
	}
}
