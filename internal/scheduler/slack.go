package scheduler

import (
	"time"

	"dotterelhitch/internal/structs"
)

// DefaultStartWithin is the start target of a class with neither a start nor a finish
// target.
const DefaultStartWithin = 5 * time.Minute

// LatestStart returns the latest time at which a job can start and still meet the
// target of its class; for a finish target, that is the end of the target minus the
// expected run time. Services, batch jobs and gangs are all compared by slack, which is
// LatestStart minus the current time.
func LatestStart(accepted time.Time, target structs.Target, runTime time.Duration) time.Time {
	within := time.Duration(-1)
	if target.StartWithin > 0 {
		within = target.StartWithin.AsDuration()
	}
	if target.FinishWithin > 0 {
		finish := target.FinishWithin.AsDuration() - runTime
		if within < 0 || finish < within {
			within = max(finish, 0)
		}
	}
	if within < 0 {
		within = DefaultStartWithin
	}
	return accepted.Add(within)
}
