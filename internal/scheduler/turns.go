package scheduler

import (
	"slices"
	"time"
)

// JobSorter orders jobs for callers that keep their own list of them. It follows the same
// rule as Queue: by slack, with every fourth turn for work that is late already.
type JobSorter struct {
	picks int
}

// JobSortKey is what the order of a job depends on.
type JobSortKey struct {
	LatestStart time.Time
	AcceptedAt  time.Time
	Job         string
}

// Order returns the jobs in the order of their turns. It remembers how many turns the
// caller used of the order before, so that late work gets its part also if only a few
// are used each time; used is that number.
func (t *JobSorter) Order(now time.Time, used int, list []JobSortKey) []JobSortKey {
	t.picks += used
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, compareTurns)
	firstOnTime, _ := slices.BinarySearchFunc(sorted, now, func(turn JobSortKey, now time.Time) int {
		return turn.LatestStart.Compare(now)
	})
	late, onTime := sorted[:firstOnTime], sorted[firstOnTime:]
	order := make([]JobSortKey, 0, len(sorted))
	for pick := t.picks + 1; len(late)+len(onTime) > 0; pick++ {
		from := &onTime
		if len(onTime) == 0 || len(late) > 0 && pick%lateEvery == 0 {
			from = &late
		}
		order = append(order, (*from)[0])
		*from = (*from)[1:]
	}
	return order
}

// compareTurns orders by latest start, then acceptance, then job.
func compareTurns(a, b JobSortKey) int {
	return compareQueued(
		&queued{QueuedJob: QueuedJob{LatestStart: a.LatestStart, AcceptedAt: a.AcceptedAt, Job: a.Job}},
		&queued{QueuedJob: QueuedJob{LatestStart: b.LatestStart, AcceptedAt: b.AcceptedAt, Job: b.Job}},
	)
}
