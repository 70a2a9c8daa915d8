package orchestrator

import (
	"cmp"
	"container/heap"
	"time"

	"dotterelhitch/internal/structs"
)

// attention holds the jobs that a tick has something to do about, so that its cost
// follows what changed and not what exists. A job is marked by every change of it
// and sorted anew before the next look.
type attention struct {
	// changed are the jobs that were changed since the last look.
	changed map[*job]struct{}
	// ready wait for a placement in the order of their target, delayed in that of
	// the time from which on they may be placed.
	ready   readyHeap
	delayed delayedHeap
	// collect are jobs that need an inventory, ending those that are over, start
	// over or have nothing left to do, hopeless those to be given up.
	collect  map[*job]struct{}
	ending   map[*job]struct{}
	hopeless map[*job]struct{}
	// waiting is the number of tasks that wait for a placement.
	waiting int
	// held is what the tasks of each series that may run hold by their declared size.
	held map[QuotaKey]structs.Resources
}

func newAttention() attention {
	return attention{
		changed:  map[*job]struct{}{},
		collect:  map[*job]struct{}{},
		ending:   map[*job]struct{}{},
		hopeless: map[*job]struct{}{},
		held:     map[QuotaKey]structs.Resources{},
	}
}

// lane says in which heap a job waits.
type lane uint8

const (
	laneNone lane = iota
	laneReady
	laneDelayed
)

// entry is a job in a heap. It is out of date once the job has moved on.
type entry struct {
	job *job
	at  time.Time
	seq int
}

// mark notes a change of the job.
func (j *job) mark() {
	if j.attention != nil {
		j.attention.changed[j] = struct{}{}
	}
}

// settleChanges sorts the changed jobs.
func (a *attention) settleChanges() {
	for j := range a.changed {
		a.sort(j)
	}
	clear(a.changed)
}

// sort puts a job where its state belongs.
func (a *attention) sort(j *job) {
	keep(a.collect, j, !j.dropped && j.collect)
	keep(a.hopeless, j, !j.dropped && !j.over() && j.hopeless != "")
	keep(a.ending, j, !j.dropped && (j.over() || j.stopAll || j.count[ended] == len(j.tasks)))
	waiting := 0
	if !j.dropped && !j.over() {
		waiting = j.count[pending]
	}
	a.waiting += waiting - j.counted
	j.counted = waiting
	a.countHeld(j)
	a.enqueue(j)
}

// countHeld brings what the job's series holds up to date.
func (a *attention) countHeld(j *job) {
	live := 0
	if !j.dropped {
		live = j.live()
	}
	if live == j.heldTasks || j.spec.Team == "" {
		return
	}
	s := j.series()
	held := a.held[s].Add(j.spec.Size.Times(int64(live - j.heldTasks)))
	j.heldTasks = live
	a.held[s] = held
	if held.IsZero() {
		delete(a.held, s)
	}
}

func keep(set map[*job]struct{}, j *job, in bool) {
	if in {
		set[j] = struct{}{}
		return
	}
	delete(set, j)
}

// enqueue puts a job that waits into a heap, unless it is there already.
func (a *attention) enqueue(j *job) {
	if j.dropped || !j.waiting() {
		j.lane = laneNone
		j.seq++
		return
	}
	if j.lane != laneNone && j.queuedAt.Equal(j.retryAt) {
		return
	}
	j.seq++
	j.lane = laneDelayed
	j.queuedAt = j.retryAt
	heap.Push(&a.delayed, entry{job: j, at: j.retryAt, seq: j.seq})
}

// next takes the job with the least slack that may be placed now, nil if none may.
func (a *attention) next(now time.Time) *job {
	for len(a.delayed) > 0 && !now.Before(a.delayed[0].at) {
		e := heap.Pop(&a.delayed).(entry)
		if e.current() {
			e.job.lane = laneReady
			heap.Push(&a.ready, e)
		}
	}
	for len(a.ready) > 0 {
		e := heap.Pop(&a.ready).(entry)
		if e.current() {
			e.job.lane = laneNone
			return e.job
		}
	}
	return nil
}

func (e entry) current() bool { return e.seq == e.job.seq }

// readyHeap orders by the end of the target, then by job.
type readyHeap []entry

func (h readyHeap) Len() int      { return len(h) }
func (h readyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *readyHeap) Push(x any)   { *h = append(*h, x.(entry)) }
func (h *readyHeap) Pop() any     { return popLast((*[]entry)(h)) }

func (h readyHeap) Less(i, j int) bool {
	a, b := h[i].job, h[j].job
	return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.spec.ID, b.spec.ID)) < 0
}

// delayedHeap orders by the time of the next placement.
type delayedHeap []entry

func (h delayedHeap) Len() int           { return len(h) }
func (h delayedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h delayedHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h *delayedHeap) Push(x any)        { *h = append(*h, x.(entry)) }
func (h *delayedHeap) Pop() any          { return popLast((*[]entry)(h)) }

func popLast(list *[]entry) entry {
	last := len(*list) - 1
	e := (*list)[last]
	(*list)[last] = entry{}
	*list = (*list)[:last]
	return e
}
