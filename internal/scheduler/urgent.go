package scheduler

import (
	"time"

	"dotterelhitch/internal/structs"
)

const (
	// urgentSlack is the slack below which running tasks may be stopped to make
	// room.
	urgentSlack = 2 * time.Second
	// evictRatio is the least ratio of the slack of a task that is stopped to the
	// slack of the one that needs its room. Since it is above 1, no two tasks can
	// evict each other in turn.
	evictRatio = 8
	// evictLeastSlack stands in for the slack of a task that has less, so that late
	// work does not stop what has hardly more time.
	evictLeastSlack = time.Second
)

// IsUrgent reports whether a task with that slack may have others stopped.
func IsUrgent(slack time.Duration) bool { return slack <= urgentSlack }

// RunningSlack returns the slack that a task counts with while it runs. A start
// target has been met or missed by then, so that stopping the task costs another
// wait, which is weighed against the whole width of the target. Towards a finish
// target the slack at the start of the run is what is left.
func RunningSlack(target structs.Target, atStart time.Duration) time.Duration {
	width := target.StartWithin.AsDuration()
	switch {
	case target.FinishWithin > 0 && width > 0:
		return min(width, atStart)
	case target.FinishWithin > 0:
		return atStart
	case width > 0:
		return width
	default:
		return DefaultStartWithin
	}
}

// SlackAllowsEviction reports whether a running task has so much more slack than an
// urgent one that it may be stopped for it.
func SlackAllowsEviction(running, urgent time.Duration) bool {
	return running >= evictRatio*max(urgent, evictLeastSlack)
}
