// Package quota decides how many tasks of a team may start beside what the team may have running. It has no state.
package quota

import "dotterelhitch/internal/structs"

// Room returns how many tasks of a size, at most limit, a team may start beside what it may have running. A
// component of zero in the quota means no limit. Components of which the tasks need nothing do not count. A team
// that has nothing running may start one task that is larger than its quota, since that task would never run
// otherwise.
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

// Wanted returns how much of what a team wants beside what it has running it may have under its quota.
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

// MayHold returns the most that a team's tasks may hold on workers of which it is not known what runs there: no
// more than these tasks together, and no more than these workers have.
func MayHold(tasks, workers structs.Resources) structs.Resources { return tasks.Min(workers) }
