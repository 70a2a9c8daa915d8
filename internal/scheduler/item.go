package scheduler

import (
	"cmp"
	"time"

	"dotterelhitch/internal/structs"
)

// QueuedJob is a job with tasks that wait to start.
type QueuedJob struct {
	Job   string
	Class string
	Team  string
	Kind  structs.Kind
	// Size is the resources granted to each task.
	Size structs.Resources
	// PendingTasks is the number of tasks that wait to start.
	PendingTasks int
	// AcceptedAt is when the job was accepted.
	AcceptedAt time.Time
	// LatestStart is the latest start that meets the target; see the function
	// LatestStart.
	LatestStart time.Time
}

// Slack returns the time left until LatestStart, negative once the target has been
// missed.
func (j *QueuedJob) Slack(now time.Time) time.Duration { return j.LatestStart.Sub(now) }

// queueState is the part of the queue that an item is in.
type queueState uint8

const (
	stateInRound queueState = iota // being tried by a round
	stateOnTime                    // the target can still be met
	stateLate                      // the target has been missed
	stateParked                    // excluded from picks until unparked
)

// queueItem is a job with its state in the queue.
type queueItem struct {
	QueuedJob
	state queueState
	// removed marks an item that is no longer queued but still in a heap.
	removed bool
	// lastTryBlocked is set if no task of the job could be placed at the last try.
	lastTryBlocked bool
	// hasReservation is set while workers are reserved for the job.
	hasReservation bool
}

// compareQueueItems orders by latest start, then acceptance, then job ID.
func compareQueueItems(a, b *queueItem) int {
	return cmp.Or(
		a.LatestStart.Compare(b.LatestStart),
		a.AcceptedAt.Compare(b.AcceptedAt),
		cmp.Compare(a.Job, b.Job),
	)
}

// slackHeap is a heap of items with the least slack first.
type slackHeap []*queueItem

func (h slackHeap) Len() int           { return len(h) }
func (h slackHeap) Less(i, j int) bool { return compareQueueItems(h[i], h[j]) < 0 }
func (h slackHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *slackHeap) Push(x any)        { *h = append(*h, x.(*queueItem)) }

func (h *slackHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return q
}
