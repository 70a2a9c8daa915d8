package scheduler

import (
	"slices"
	"time"
)

// JobSorter orders jobs for callers that maintain their own list of them. It applies
// the same rule as Queue: by slack, with every fourth position for a job that is
// already late.
type JobSorter struct {
	pickCount int
}

// JobSortKey is the data by which a job is ordered.
type JobSortKey struct {
	LatestStart time.Time
	AcceptedAt  time.Time
	Job         string
}

// Order returns the jobs in the order in which they should be handled. used is the
// number of jobs that the caller handled from the previous order. Order adds it to its
// count of picks, so that late jobs get their share even if only a few jobs of each
// order are handled.
func (s *JobSorter) Order(now time.Time, used int, list []JobSortKey) []JobSortKey {
	s.pickCount += used
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, compareJobSortKeys)
	firstOnTime, _ := slices.BinarySearchFunc(sorted, now, func(key JobSortKey, now time.Time) int {
		return key.LatestStart.Compare(now)
	})
	late, onTime := sorted[:firstOnTime], sorted[firstOnTime:]
	order := make([]JobSortKey, 0, len(sorted))
	for pick := s.pickCount + 1; len(late)+len(onTime) > 0; pick++ {
		from := &onTime
		if len(onTime) == 0 || len(late) > 0 && pick%latePickInterval == 0 {
			from = &late
		}
		order = append(order, (*from)[0])
		*from = (*from)[1:]
	}
	return order
}

// compareJobSortKeys orders by latest start, then acceptance, then job ID.
func compareJobSortKeys(a, b JobSortKey) int {
	return compareQueueItems(
		&queueItem{QueuedJob: QueuedJob{LatestStart: a.LatestStart, AcceptedAt: a.AcceptedAt, Job: a.Job}},
		&queueItem{QueuedJob: QueuedJob{LatestStart: b.LatestStart, AcceptedAt: b.AcceptedAt, Job: b.Job}},
	)
}
