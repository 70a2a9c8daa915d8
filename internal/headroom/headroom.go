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
	// ShortTarget is the longest target of a class that counts as urgent. Stopping a run and starting another one in
	// its place takes about that long.
	ShortTarget = 500 * time.Millisecond
	// MinSlack is the least time until its latest start at which a step leaves capacity free.
	MinSlack = 2 * time.Second
	// maxReservePercent bounds the part of the capacity that is left free, since it is idle while no burst comes.
	maxReservePercent = 15
)

// Reserve returns the capacity to leave free: as much as urgent classes have running, so that twice their present load
// finds room, up to maxReservePercent of the capacity.
func Reserve(capacity, urgent structs.Resources) structs.Resources {
	return urgent.Min(capacity.Times(maxReservePercent).DividedBy(100))
}

// Room returns how many tasks of a size, at most limit, may start while a reserve is left free.
func Room(capacity, used, reserve, size structs.Resources, limit int) int {
	free := capacity.Sub(used).Sub(reserve).ClampNegative()
	return int(size.FitCount(free, int64(limit)))
}
