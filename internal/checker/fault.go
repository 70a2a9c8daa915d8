package checker

import (
	"strings"

	"dotterelhitch/internal/event"
)

// States of a Fault event that names a Worker or a Member. A process that was
// killed or frozen can't record it, so whoever does it records it, after it has
// taken effect.
const (
	FaultKilled = "killed"
	FaultFrozen = "frozen"
	FaultThawed = "thawed"
)

func isFault(e event.Event, state string) bool {
	return e.Type == event.FaultInjected && e.State == state
}

// pauseDetail begins the detail of the Fault event of a worker stand-in that
// paused itself.
const pauseDetail = "worker: pause "

func isFreeze(e event.Event) bool {
	return isFault(e, FaultFrozen) || (e.Type == event.FaultInjected && strings.HasPrefix(e.Detail, pauseDetail))
}
