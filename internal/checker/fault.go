package checker

import (
	"strings"

	"dotterelhitch/internal/event"
)

// States of a Fault event that names a Worker or a Member. A killed or frozen process
// can't record its own fault, so the process that injects the fault records the event,
// after the fault has taken effect.
const (
	FaultKilled = "killed"
	FaultFrozen = "frozen"
	FaultThawed = "thawed"
)

func isFault(e event.Event, state string) bool {
	return e.Type == event.FaultInjected && e.State == state
}

// pauseDetail is the prefix of the detail of a Fault event that a worker stand-in
// records when it pauses itself.
const pauseDetail = "worker: pause "

func isFreeze(e event.Event) bool {
	return isFault(e, FaultFrozen) || (e.Type == event.FaultInjected && strings.HasPrefix(e.Detail, pauseDetail))
}
