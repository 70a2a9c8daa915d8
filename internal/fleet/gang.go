package fleet

import (
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/scheduler/gang"
	"dotterelhitch/internal/structs"
)

// Bounds of a gang's wish at one owner of workers.
const (
	// claimFor is how long a gang that found no room keeps its place in job order
	// without asking again.
	claimFor = 3 * time.Second
	// holdFor is how long workers are kept free for the first gang that waits.
	holdFor = 5 * time.Second
)

// Reserve sets room aside for tasks of a gang: for all of the ask or for none. Of
// two gangs that want the same room the one that is first in job order gets it: a
// later one loses what it has reserved and not started. The first gang that waits
// has workers held for it, on which nothing else is placed.
func (f *Fleet) Reserve(r TaskRequest, rank gang.Rank, now time.Time) ([]*Alloc, error) {
	r = f.sized(r)
	f.expireClaims(now)
	if known := f.reservedOf(r.Placement.Tasks); len(known) == len(r.Placement.Tasks) {
		return known, nil
	}
	standing := f.claims.Renew(now, rank, now.Add(claimFor))
	r.Placement.AllOrNothing = true
	chosen, why := f.Place(r, now)
	if why != nil && standing == gang.Proceed {
		chosen, why = f.wound(r, rank, why, now)
	}
	if why != nil {
		if standing == gang.Proceed {
			f.hold(r.Placement, now)
		}
		return nil, why
	}
	f.claims.MarkReserved(rank)
	f.nodes.CancelReservation(r.Placement.Job)
	return chosen, nil
}

// reservedOf returns the reserved runs among the tasks, for a repeated call.
func (f *Fleet) reservedOf(tasks []scheduler.TaskRef) []*Alloc {
	var out []*Alloc
	for _, t := range tasks {
		a := f.allocs[RunKey{Task: t.Task, Attempt: t.Attempt}]
		if a != nil && a.State == structs.AllocReserved {
			out = append(out, a)
		}
	}
	return out
}

// wound gives up the room of later gangs, the last first, until the ask finds its
// room or no later gang has any.
func (f *Fleet) wound(r TaskRequest, rank gang.Rank, why error, now time.Time) ([]*Alloc, error) {
	var chosen []*Alloc
	for _, later := range f.claims.WoundCandidates(rank) {
		f.releaseJob(later.Job)
		f.claims.Remove(later)
		if chosen, why = f.Place(r, now); why == nil {
			return chosen, nil
		}
	}
	return nil, why
}

// hold keeps workers free for a gang that waits.
func (f *Fleet) hold(ask scheduler.PlacementRequest, now time.Time) {
	workers := scheduler.PlanReservation(f.nodes, ask)
	if len(workers) > 0 {
		f.nodes.SetReservation(scheduler.Reservation{Job: ask.Job, Workers: workers, Until: now.Add(holdFor)})
	}
}

// releaseJob gives up the reserved room of a job.
func (f *Fleet) releaseJob(job string) {
	for k, a := range f.allocs {
		if id, _, err := a.Task.Split(); err == nil && id == job && a.State == structs.AllocReserved {
			f.nodes.Release(k.Task, k.Attempt)
			delete(f.allocs, k)
		}
	}
}

// EndClaim forgets a gang's wish after it was started, released or given up. The
// workers held for it stay so while it waits.
func (f *Fleet) EndClaim(job string, started bool) {
	f.claims.RemoveJob(job)
	if started {
		f.nodes.CancelReservation(job)
	}
}

func (f *Fleet) expireClaims(now time.Time) {
	for _, rank := range f.claims.Expire(now) {
		f.releaseJob(rank.Job)
	}
	f.nodes.ExpireReservations(now)
}
