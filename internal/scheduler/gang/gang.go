// Package gang plans the start of jobs whose tasks must all start together and whose
// tasks may be spread over the workers of several owners. It does no I/O, starts no
// goroutine and gets the time as an argument.
//
// The owner of the job splits the tasks by the owners' load digests, reserves at each
// and then starts all or releases all. Each owner of workers keeps Claims: where two
// gangs want the same workers, the one that is first in job order gets them, and the
// other releases what it has. Since a gang gives way only to one earlier in that one
// order, no cycle of waiting can arise (wound-wait, Rosenkrantz, Stearns and Lewis,
// 1978).
package gang

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// Rank is a gang's place in job order: the one with the earlier latest start is
// first, then the one with the lower job ID. It does not change while a gang waits.
type Rank struct {
	LatestStart time.Time
	Job         string
}

// Compare orders ranks.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(r.LatestStart.Compare(o.LatestStart), cmp.Compare(r.Job, o.Job))
}

// Owner is what the load digest of an owner tells.
type Owner struct {
	ID string
	// Free is the sum over its usable workers, Largest the most on any one,
	// each component by itself.
	Free, Largest structs.Resources
}

// OwnerShare is a number of tasks for one owner.
type OwnerShare struct {
	Owner string
	Tasks int
}

// roomPercent is the part of an owner's free sum that is counted on: the rest is lost
// to what does not fit into the gaps of single workers.
const roomPercent = 80

// Split divides a gang's tasks over as few owners as seem to hold them: the owner with
// the least room that holds all, else the roomiest owners. Refused says by how many
// tasks an owner was too optimistic at the last try. It returns no parts if the
// owners do not hold all tasks together.
func Split(tasks int, size structs.Resources, owners []Owner, refused map[string]int) []OwnerShare {
	parts := rooms(size, owners, refused, roomPercent)
	if total(parts) < tasks {
		parts = rooms(size, owners, refused, 100)
	}
	if total(parts) < tasks {
		return nil
	}
	slices.SortFunc(parts, func(a, b OwnerShare) int {
		return cmp.Or(cmp.Compare(b.Tasks, a.Tasks), cmp.Compare(a.Owner, b.Owner))
	})
	var chosen []OwnerShare
	for i, p := range parts {
		if p.Tasks < tasks {
			chosen = append(chosen, p)
			tasks -= p.Tasks
			continue
		}
		last := smallest(parts[i:], tasks)
		return append(chosen, OwnerShare{Owner: last, Tasks: tasks})
	}
	return nil
}

// rooms estimates how many tasks each owner holds; owners without room are left out.
func rooms(size structs.Resources, owners []Owner, refused map[string]int, percent int64) []OwnerShare {
	var parts []OwnerShare
	for _, o := range owners {
		if !size.Fits(o.Largest) {
			continue
		}
		room := max(capacity(o.Free, size)*percent/100, 1) - int64(refused[o.ID])
		if room > 0 {
			parts = append(parts, OwnerShare{Owner: o.ID, Tasks: int(room)})
		}
	}
	return parts
}

// smallest returns the owner with the least room for all of tasks; parts are ordered
// by falling room and the first has enough.
func smallest(parts []OwnerShare, tasks int) string {
	last := parts[0].Owner
	for _, p := range parts {
		if p.Tasks < tasks {
			break
		}
		last = p.Owner
	}
	return last
}

// total returns the number of tasks of all parts.
func total(parts []OwnerShare) int {
	n := 0
	for _, p := range parts {
		n += p.Tasks
	}
	return n
}

// capacity returns how many tasks of a size fit into free.
func capacity(free, size structs.Resources) int64 {
	return max(size.FitCount(free, structs.MaxTasksPerJob), 0)
}
