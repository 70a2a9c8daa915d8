package scheduler

import (
	"time"

	"dotterelhitch/internal/structs"
)

const (
	// urgentSlack is the slack at or below which running tasks may be evicted for a
	// task.
	urgentSlack = 2 * time.Second
	// evictSlackRatio is the minimum ratio of the slack of an evicted task to the slack
	// of the task that replaces it. Since it exceeds 1, two tasks can't evict each
	// other in turn.
	evictSlackRatio = 8
	// evictSlackFloor is used for a replacing task with less slack, so that a late task
	// does not evict one that has hardly more time.
	evictSlackFloor = time.Second
)

// IsUrgent reports whether other tasks may be evicted for a task with the given slack.
func IsUrgent(slack time.Duration) bool { return slack <= urgentSlack }

// RunningSlack returns the slack of a running task for decisions on eviction. A start
// target has been met or missed by the time a task runs, and evicting the task makes it
// wait once more, so the full duration of the target counts. For a finish target, the
// slack at the start of the run, atStart, counts. If a class has both, the smaller
// value counts.
func RunningSlack(target structs.Target, atStart time.Duration) time.Duration {
	startTarget := target.StartWithin.AsDuration()
	switch {
	case target.FinishWithin > 0 && startTarget > 0:
		return min(startTarget, atStart)
	case target.FinishWithin > 0:
		return atStart
	case startTarget > 0:
		return startTarget
	default:
		return DefaultStartWithin
	}
}

// SlackAllowsEviction reports whether a running task has so much more slack than an
// urgent one that it may be evicted for it.
func SlackAllowsEviction(running, urgent time.Duration) bool {
	return running >= evictSlackRatio*max(urgent, evictSlackFloor)
}
