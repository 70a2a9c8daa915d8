package fleet

import (
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/scheduler/gang"
	"dotterelhitch/internal/structs"
)

// Durations for a gang that waits at one owner of workers.
const (
	// claimDuration is how long a gang that could not be placed keeps its place in job
	// order without asking again.
	claimDuration = 3 * time.Second
	// gangReservationDuration is how long workers stay reserved for the first waiting gang.
	gangReservationDuration = 5 * time.Second
)

// Reserve reserves resources for all tasks of the request or for none. If two gangs
// want the same resources, the first in job order gets them; the later one loses what
// it has reserved and not started. Workers are reserved for the first waiting gang, and
// nothing else is placed on them.
func (f *Fleet) Reserve(r TaskRequest, rank gang.Rank, now time.Time) ([]*Alloc, error) {
	r = f.withGrantedSize(r)
	f.expireClaims(now)
	if reserved := f.reservedRuns(r.Placement.Tasks); len(reserved) == len(r.Placement.Tasks) {
		return reserved, nil
	}
	standing := f.claims.Renew(now, rank, now.Add(claimDuration))
	r.Placement.AllOrNothing = true
	chosen, reason := f.Place(r, now)
	if reason != nil && standing == gang.Proceed {
		chosen, reason = f.preemptLaterGangs(r, rank, reason, now)
	}
	if reason != nil {
		if standing == gang.Proceed {
			f.reserveWorkers(r.Placement, now)
		}
		return nil, reason
	}
	f.claims.MarkReserved(rank)
	f.nodes.CancelReservation(r.Placement.Job)
	return chosen, nil
}

// reservedRuns returns the runs already reserved among the tasks, for a repeated call.
func (f *Fleet) reservedRuns(tasks []scheduler.TaskRef) []*Alloc {
	var out []*Alloc
	for _, t := range tasks {
		a := f.allocs[RunKey{Task: t.Task, Attempt: t.Attempt}]
		if a != nil && a.State == structs.AllocReserved {
			out = append(out, a)
		}
	}
	return out
}

// preemptLaterGangs releases the reservations of later gangs, the last in job order
// first, until the request fits or no later gang has any reservation (the wound step of
// wound-wait).
func (f *Fleet) preemptLaterGangs(r TaskRequest, rank gang.Rank, reason error, now time.Time) ([]*Alloc, error) {
	var chosen []*Alloc
	for _, later := range f.claims.WoundCandidates(rank) {
		f.releaseReservations(later.Job)
		f.claims.Remove(later)
		if chosen, reason = f.Place(r, now); reason == nil {
			return chosen, nil
		}
	}
	return nil, reason
}

// reserveWorkers reserves workers for a waiting gang.
func (f *Fleet) reserveWorkers(req scheduler.PlacementRequest, now time.Time) {
	workers := scheduler.PlanReservation(f.nodes, req)
	if len(workers) > 0 {
		f.nodes.SetReservation(scheduler.Reservation{Job: req.Job, Workers: workers, Until: now.Add(gangReservationDuration)})
	}
}

// releaseReservations releases all reserved runs of a job.
func (f *Fleet) releaseReservations(job string) {
	for k, a := range f.allocs {
		if id, _, err := a.Task.Split(); err == nil && id == job && a.State == structs.AllocReserved {
			f.nodes.Release(k.Task, k.Attempt)
			delete(f.allocs, k)
		}
	}
}

// EndClaim removes a gang's claim after the gang was started, released or abandoned.
// Unless it was started, workers stay reserved for it while it waits.
func (f *Fleet) EndClaim(job string, started bool) {
	f.claims.RemoveJob(job)
	if started {
		f.nodes.CancelReservation(job)
	}
}

// expireClaims removes expired claims with their reserved runs, and expired
// reservations of workers.
func (f *Fleet) expireClaims(now time.Time) {
	for _, rank := range f.claims.Expire(now) {
		f.releaseReservations(rank.Job)
	}
	f.nodes.ExpireReservations(now)
}
