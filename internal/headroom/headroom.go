// Package headroom decides how much of a pool's capacity work that can wait leaves free for urgent work. It has no
// state.
//
// Urgent tasks that arrive in a burst must start at once. Stopping other runs for them takes about as long as they
// have, so the capacity must be free before they arrive.
package headroom

import (
	"time"

	"dotterelhitch/internal/structs"
)

const (
	// ShortTarget is the longest target of a class that counts as urgent. To stop a run and to start another in its
	// place takes about that long.
	ShortTarget = 500 * time.Millisecond
	// MinSlack is the least time until its latest start with which a step can wait for others.
	MinSlack = 2 * time.Second
	// maxPercent bounds the part of the capacity that is left free, since what is kept for a burst that does not come
	// is idle.
	maxPercent = 15
)

// Reserve returns the capacity to leave free, from what urgent classes have running. A burst may double that.
func Reserve(capacity, urgent structs.Resources) structs.Resources {
	return urgent.Min(capacity.Times(maxPercent).DividedBy(100))
}

// Room returns how many tasks of a size, at most limit, may start while a reserve is left free.
func Room(capacity, used, reserve, size structs.Resources, limit int) int {
	free := capacity.Sub(used).Sub(reserve).ClampNegative()
	return int(size.FitCount(free, int64(limit)))
}
