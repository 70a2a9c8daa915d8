package scheduler

import (
	"slices"
	"time"
)

// Turns orders jobs for callers that keep their own list of them. It follows the same
// rule as Queue: by slack, with every fourth turn for work that is late already.
type Turns struct {
	picks int
}

// Turn is what the order of a job depends on.
type Turn struct {
	LatestStart time.Time
	Accepted    time.Time
	Job         string
}

// Order returns the jobs in the order of their turns. It remembers how many turns the
// caller used of the order before, so that late work gets its part also if only a few
// are used each time; used is that number.
func (t *Turns) Order(now time.Time, used int, list []Turn) []Turn {
	t.picks += used
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, compareTurns)
	firstOnTime, _ := slices.BinarySearchFunc(sorted, now, func(turn Turn, now time.Time) int {
		return turn.LatestStart.Compare(now)
	})
	late, onTime := sorted[:firstOnTime], sorted[firstOnTime:]
	order := make([]Turn, 0, len(sorted))
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
func compareTurns(a, b Turn) int {
	return compareQueued(
		&queued{Item: Item{LatestStart: a.LatestStart, Accepted: a.Accepted, Job: a.Job}},
		&queued{Item: Item{LatestStart: b.LatestStart, Accepted: b.Accepted, Job: b.Job}},
	)
}
