// Package gang plans the start of jobs whose tasks must all start together and may be
// spread over the workers of several owners. It does no I/O, starts no goroutine and
// receives the time as an argument.
//
// The owner of the job splits the tasks by the load digests of the owners of workers,
// reserves resources at each of them, and then starts all tasks or releases all
// reservations. Each owner of workers maintains Claims: if two gangs want the same
// workers, the first in job order gets them and the other releases its reservations.
// Since a gang yields only to an earlier one in this single order, gangs can't wait for
// each other in a cycle (wound-wait, Rosenkrantz, Stearns and Lewis, 1978).
package gang

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// Rank is a gang's position in job order: by latest start, then by job ID. It does not
// change while the gang waits.
type Rank struct {
	LatestStart time.Time
	Job         string
}

// Compare returns a negative number if r is earlier in job order than o.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(r.LatestStart.Compare(o.LatestStart), cmp.Compare(r.Job, o.Job))
}

// Owner is the load digest of an owner of workers.
type Owner struct {
	ID string
	// Free is the sum over its usable workers. Largest is the maximum on a single
	// worker, separately for each component.
	Free, Largest structs.Resources
}

// OwnerShare is the number of a gang's tasks for one owner.
type OwnerShare struct {
	Owner string
	Tasks int
}

// usableFreePercent is the percentage of an owner's total free resources assumed to be
// usable. The rest is lost to fragmentation: remainders on single workers that are
// smaller than a task.
const usableFreePercent = 80

// Split divides a gang's tasks among as few owners as are estimated to suffice: the
// owner with the least capacity that fits all tasks, else the owners with the largest
// capacity. overestimates is, by owner, the number of tasks by which the estimate was
// too high at the last try. Split returns nil if all owners together can't fit all
// tasks.
func Split(tasks int, size structs.Resources, owners []Owner, overestimates map[string]int) []OwnerShare {
	shares := estimateCapacities(size, owners, overestimates, usableFreePercent)
	if totalTasks(shares) < tasks {
		shares = estimateCapacities(size, owners, overestimates, 100)
	}
	if totalTasks(shares) < tasks {
		return nil
	}
	slices.SortFunc(shares, func(a, b OwnerShare) int {
		return cmp.Or(cmp.Compare(b.Tasks, a.Tasks), cmp.Compare(a.Owner, b.Owner))
	})
	var chosen []OwnerShare
	for i, share := range shares {
		if share.Tasks < tasks {
			chosen = append(chosen, share)
			tasks -= share.Tasks
			continue
		}
		last := smallestSufficientOwner(shares[i:], tasks)
		return append(chosen, OwnerShare{Owner: last, Tasks: tasks})
	}
	return nil
}

// estimateCapacities estimates how many tasks fit at each owner and omits owners at
// which none does.
func estimateCapacities(size structs.Resources, owners []Owner, overestimates map[string]int, percent int64) []OwnerShare {
	var shares []OwnerShare
	for _, o := range owners {
		if !size.Fits(o.Largest) {
			continue
		}
		tasks := max(tasksThatFit(o.Free, size)*percent/100, 1) - int64(overestimates[o.ID])
		if tasks > 0 {
			shares = append(shares, OwnerShare{Owner: o.ID, Tasks: int(tasks)})
		}
	}
	return shares
}

// smallestSufficientOwner returns the owner with the least capacity that fits all
// tasks. shares must be in descending order of capacity, and the first must fit all
// tasks.
func smallestSufficientOwner(shares []OwnerShare, tasks int) string {
	owner := shares[0].Owner
	for _, share := range shares {
		if share.Tasks < tasks {
			break
		}
		owner = share.Owner
	}
	return owner
}

// totalTasks returns the sum of the tasks of all shares.
func totalTasks(shares []OwnerShare) int {
	total := 0
	for _, share := range shares {
		total += share.Tasks
	}
	return total
}

// tasksThatFit returns how many tasks of a size fit into free.
func tasksThatFit(free, size structs.Resources) int64 {
	return max(size.FitCount(free, structs.MaxTasksPerJob), 0)
}
