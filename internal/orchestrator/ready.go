package orchestrator

import (
	"cmp"
	"container/heap"
	"time"

	"dotterelhitch/internal/structs"
)

// jobIndex holds the jobs for which a tick has work to do, so that the cost of a tick
// depends on the number of changed jobs and not on the number of owned jobs. Every
// change of a job adds it to changed; applyChanges then updates its place in the index.
type jobIndex struct {
	// changed holds the jobs that changed since the last call of applyChanges.
	changed map[*job]struct{}
	// ready holds the jobs that may be placed now, ordered by latest start. delayed
	// holds those that may be placed later, ordered by retryAt.
	ready   readyHeap
	delayed delayedHeap
	// needInventory holds the jobs that need an inventory. finishing holds those that
	// were cancelled or failed, have to restart, or whose tasks have all ended. toFail
	// holds those that should be failed.
	needInventory map[*job]struct{}
	finishing     map[*job]struct{}
	toFail        map[*job]struct{}
	// pendingTasks is the number of tasks that wait for a placement.
	pendingTasks int
	// quotaUsage is the declared size of all tasks of a team and group that may be
	// running.
	quotaUsage map[QuotaKey]structs.Resources
}

func newJobIndex() jobIndex {
	return jobIndex{
		changed:       map[*job]struct{}{},
		needInventory: map[*job]struct{}{},
		finishing:     map[*job]struct{}{},
		toFail:        map[*job]struct{}{},
		quotaUsage:    map[QuotaKey]structs.Resources{},
	}
}

// queueKind identifies the heap in which a job waits.
type queueKind uint8

const (
	queueNone queueKind = iota
	queueReady
	queueDelayed
)

// heapItem is a job in a heap. It is stale once seq differs from the job's queueSeq.
type heapItem struct {
	job     *job
	retryAt time.Time
	seq     int
}

// markChanged records in the index that the job has changed.
func (j *job) markChanged() {
	if j.index != nil {
		j.index.changed[j] = struct{}{}
	}
}

// applyChanges updates the index for the jobs that have changed.
func (x *jobIndex) applyChanges() {
	for j := range x.changed {
		x.reindex(j)
	}
	clear(x.changed)
}

// reindex updates all sets, counts and heaps of the index for one job.
func (x *jobIndex) reindex(j *job) {
	setMember(x.needInventory, j, !j.removed && j.needsInventory)
	setMember(x.toFail, j, !j.removed && !j.terminated() && j.pendingFailReason != "")
	setMember(x.finishing, j, !j.removed && (j.terminated() || j.restartGang || j.tasksIn[ended] == len(j.tasks)))
	pendingTasks := 0
	if !j.removed && !j.terminated() {
		pendingTasks = j.tasksIn[pending]
	}
	x.pendingTasks += pendingTasks - j.countedPending
	j.countedPending = pendingTasks
	x.updateQuotaUsage(j)
	x.enqueue(j)
}

// updateQuotaUsage adds the change in the job's running tasks to its team's usage.
func (x *jobIndex) updateQuotaUsage(j *job) {
	live := 0
	if !j.removed {
		live = j.liveTasks()
	}
	if live == j.quotaTasks || j.spec.Team == "" {
		return
	}
	key := j.quotaKey()
	usage := x.quotaUsage[key].Add(j.spec.Size.Times(int64(live - j.quotaTasks)))
	j.quotaTasks = live
	x.quotaUsage[key] = usage
	if usage.IsZero() {
		delete(x.quotaUsage, key)
	}
}

// setMember adds the job to the set or removes it.
func setMember(set map[*job]struct{}, j *job, in bool) {
	if in {
		set[j] = struct{}{}
		return
	}
	delete(set, j)
}

// enqueue pushes a placeable job onto the delayed heap, unless a valid item for it
// exists. It invalidates the item of a job that is not placeable.
func (x *jobIndex) enqueue(j *job) {
	if j.removed || !j.placeable() {
		j.queue = queueNone
		j.queueSeq++
		return
	}
	if j.queue != queueNone && j.queuedRetryAt.Equal(j.retryAt) {
		return
	}
	j.queueSeq++
	j.queue = queueDelayed
	j.queuedRetryAt = j.retryAt
	heap.Push(&x.delayed, heapItem{job: j, retryAt: j.retryAt, seq: j.queueSeq})
}

// popReady removes and returns the job with the least slack that may be placed now, nil
// if there is none.
func (x *jobIndex) popReady(now time.Time) *job {
	for len(x.delayed) > 0 && !now.Before(x.delayed[0].retryAt) {
		item := heap.Pop(&x.delayed).(heapItem)
		if item.isCurrent() {
			item.job.queue = queueReady
			heap.Push(&x.ready, item)
		}
	}
	for len(x.ready) > 0 {
		item := heap.Pop(&x.ready).(heapItem)
		if item.isCurrent() {
			item.job.queue = queueNone
			return item.job
		}
	}
	return nil
}

// isCurrent reports whether the item is not stale.
func (e heapItem) isCurrent() bool { return e.seq == e.job.queueSeq }

// readyHeap orders by latest start, then by job ID.
type readyHeap []heapItem

func (h readyHeap) Len() int      { return len(h) }
func (h readyHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *readyHeap) Push(x any)   { *h = append(*h, x.(heapItem)) }
func (h *readyHeap) Pop() any     { return popLast((*[]heapItem)(h)) }

func (h readyHeap) Less(i, j int) bool {
	a, b := h[i].job, h[j].job
	return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.spec.ID, b.spec.ID)) < 0
}

// delayedHeap orders by retryAt.
type delayedHeap []heapItem

func (h delayedHeap) Len() int           { return len(h) }
func (h delayedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h delayedHeap) Less(i, j int) bool { return h[i].retryAt.Before(h[j].retryAt) }
func (h *delayedHeap) Push(x any)        { *h = append(*h, x.(heapItem)) }
func (h *delayedHeap) Pop() any          { return popLast((*[]heapItem)(h)) }

func popLast(list *[]heapItem) heapItem {
	last := len(*list) - 1
	item := (*list)[last]
	(*list)[last] = heapItem{}
	*list = (*list)[:last]
	return item
}
