package scheduler

import (
	"time"

	"dotterelhitch/internal/structs"
)

// DefaultStartWithin is the start target of a class that states neither a start nor
// a finish target.
const DefaultStartWithin = 5 * time.Minute

// LatestStart returns the latest time at which a job may start and still meet its
// class's target. It is the one scale on which services, batch and gangs compete:
// slack is LatestStart less the present time. A finish target counts back by the
// expected run time.
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
