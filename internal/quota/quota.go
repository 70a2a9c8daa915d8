// Package quota decides how many tasks of a team may start under the team's quota, given what the team may have
// running. It has no state.
package quota

import "dotterelhitch/internal/structs"

// Room returns how many tasks of a size, at most limit, a team may start in addition to what it may have running. A
// component of zero in the quota means no limit. Components of which the tasks need nothing do not count. A team that
// has nothing running may start one task that is larger than its quota, since that task would never run otherwise.
func Room(quota, running, size structs.Resources, limit int) int {
	if limit <= 0 {
		return 0
	}
	n := int64(limit)
	for _, c := range [...]struct{ quota, running, size int64 }{
		{quota.CPUMilli, running.CPUMilli, size.CPUMilli},
		{quota.MemoryMiB, running.MemoryMiB, size.MemoryMiB},
		{quota.Accelerators, running.Accelerators, size.Accelerators},
	} {
		if c.quota > 0 && c.size > 0 {
			n = min(n, max(c.quota-c.running, 0)/c.size)
		}
	}
	if n == 0 && running.IsZero() {
		return 1
	}
	return int(n)
}

// Wanted returns the part of a team's waiting demand that its quota allows in addition to what it has running.
func Wanted(quota, running, waiting structs.Resources) structs.Resources {
	part := func(quota, running, waiting int64) int64 {
		if quota == 0 {
			return waiting
		}
		return min(waiting, max(quota-running, 0))
	}
	return structs.Resources{
		CPUMilli:     part(quota.CPUMilli, running.CPUMilli, waiting.CPUMilli),
		MemoryMiB:    part(quota.MemoryMiB, running.MemoryMiB, waiting.MemoryMiB),
		Accelerators: part(quota.Accelerators, running.Accelerators, waiting.Accelerators),
	}
}

// MayHold returns an upper bound of what a team's tasks hold on workers whose runs are not known: no more than the size
// of all these tasks, and no more than the capacity of these workers.
func MayHold(tasks, workers structs.Resources) structs.Resources { return tasks.Min(workers) }
