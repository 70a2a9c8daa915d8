package scheduler

import (
	"cmp"
	"time"

	"dotterelhitch/internal/structs"
)

// QueuedJob is a job with tasks that wait for a start.
type QueuedJob struct {
	Job   string
	Class string
	Team  string
	Kind  structs.Kind
	// Size is what one task is granted.
	Size structs.Resources
	// PendingTasks is the number of tasks that wait.
	PendingTasks int
	// AcceptedAt is when the job was accepted.
	AcceptedAt time.Time
	// LatestStart is the end of the target, as by the function of that name.
	LatestStart time.Time
}

// Slack returns the time left to the target, negative once it was missed.
func (i *QueuedJob) Slack(now time.Time) time.Duration { return i.LatestStart.Sub(now) }

// lane says where an entry of the queue waits.
type lane uint8

const (
	laneNone   lane = iota // taken by a round
	laneOnTime             // the target can still be met
	laneLate               // the target was missed
	laneParked             // out of order until unparked
)

// queued is an item with its place in the queue.
type queued struct {
	QueuedJob
	lane lane
	// removed marks an entry that a heap still holds but that is no longer queued.
	removed bool
	// tried says that nothing could be placed when it was tried last.
	tried bool
	// holding says that workers are held for the job.
	holding bool
}

// compareQueued orders by latest start, then acceptance, then job.
func compareQueued(a, b *queued) int {
	return cmp.Or(
		a.LatestStart.Compare(b.LatestStart),
		a.AcceptedAt.Compare(b.AcceptedAt),
		cmp.Compare(a.Job, b.Job),
	)
}

// itemHeap is a heap of entries, the one with the least slack first.
type itemHeap []*queued

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return compareQueued(h[i], h[j]) < 0 }
func (h itemHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)        { *h = append(*h, x.(*queued)) }

func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return q
}
