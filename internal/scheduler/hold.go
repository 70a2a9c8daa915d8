package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// Reservation sets workers aside for one job, so that a job too large for the currently
// free resources can start once the work on those workers has ended.
type Reservation struct {
	Job     string
	Workers []string
	// Until is when the reservation expires.
	Until time.Time
}

// Reservations returns the current reservations, ordered by job.
func (s *NodeSet) Reservations() []Reservation {
	list := make([]Reservation, 0, len(s.reservations))
	for _, r := range s.reservations {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Reservation) int { return cmp.Compare(a.Job, b.Job) })
	return list
}

// SetReservation reserves workers for a job and replaces an earlier reservation of the
// same job. Workers already reserved for another job are omitted.
func (s *NodeSet) SetReservation(r Reservation) {
	s.CancelReservation(r.Job)
	reserved := &Reservation{Job: r.Job, Until: r.Until}
	for _, id := range r.Workers {
		n := s.nodes[id]
		if n == nil || n.reservedFor != "" {
			continue
		}
		n.reservedFor = r.Job
		reserved.Workers = append(reserved.Workers, id)
	}
	if len(reserved.Workers) > 0 {
		s.reservations[r.Job] = reserved
	}
}

// CancelReservation releases the workers reserved for a job.
func (s *NodeSet) CancelReservation(job string) {
	r := s.reservations[job]
	if r == nil {
		return
	}
	for _, id := range r.Workers {
		s.nodes[id].reservedFor = ""
	}
	delete(s.reservations, job)
}

// ExpireReservations cancels the reservations that have expired and returns their jobs.
func (s *NodeSet) ExpireReservations(now time.Time) []string {
	var expired []string
	for _, r := range s.Reservations() {
		if !now.Before(r.Until) {
			s.CancelReservation(r.Job)
			expired = append(expired, r.Job)
		}
	}
	return expired
}

// removeFromReservation removes a node that leaves the set from its reservation.
func (s *NodeSet) removeFromReservation(n *Node) {
	r := s.reservations[n.reservedFor]
	if r == nil {
		return
	}
	r.Workers = slices.DeleteFunc(r.Workers, func(id string) bool { return id == n.worker.ID })
	n.reservedFor = ""
}

// reservableNode is a node that could be reserved. capacity is the number of requested
// tasks that fit once all tasks that end by themselves have ended; busy is the share of
// the node that those tasks use.
type reservableNode struct {
	node     *Node
	capacity int
	busy     float64
	// hasAccelerators is 1 for a node with accelerators if the request needs none.
	hasAccelerators int
}

// PlanReservation chooses workers that can run all requested tasks once those running
// tasks that end by themselves have ended. It chooses the least busy workers first, to
// keep the wait short, and returns nil if no choice suffices. The capacity that a
// reservation leaves idle is bounded by what the requested tasks need, rounded up to
// whole workers.
func PlanReservation(s *NodeSet, req PlacementRequest) []string {
	var candidates []reservableNode
	for _, n := range s.nodes {
		if c := s.reservableNode(n, &req); c.capacity > 0 {
			candidates = append(candidates, c)
		}
	}
	seed := req.tieBreakSeed()
	slices.SortFunc(candidates, func(a, b reservableNode) int {
		return cmp.Or(
			cmp.Compare(a.hasAccelerators, b.hasAccelerators),
			cmp.Compare(a.busy, b.busy),
			cmp.Compare(tieBreak(a.node.seed, seed), tieBreak(b.node.seed, seed)),
		)
	})
	var workers []string
	remaining := len(req.Tasks)
	for _, c := range candidates {
		workers = append(workers, c.node.worker.ID)
		remaining -= c.capacity
		if remaining <= 0 {
			return workers
		}
	}
	return nil
}

// reservableNode evaluates a node; capacity is zero if the node can't be reserved.
func (s *NodeSet) reservableNode(n *Node, req *PlacementRequest) reservableNode {
	if !n.Usable() || req.avoids(n.worker.ID) || n.reservedFor != "" && n.reservedFor != req.Job {
		return reservableNode{}
	}
	freeLater := clampToZero(n.worker.Size.Sub(n.longRunning))
	c := reservableNode{
		node:     n,
		capacity: tasksThatFit(n.availableTo(req.Size, freeLater), req.Size),
		busy:     s.index.share(n.used.Sub(n.longRunning)),
	}
	if req.Size.Accelerators == 0 && n.worker.Size.Accelerators > 0 {
		c.hasAccelerators = 1
	}
	return c
}

// IdleReserved returns the free resources of reserved workers, which stay unused until
// the reservation's job starts.
func (s *NodeSet) IdleReserved() structs.Resources {
	var idle structs.Resources
	for _, r := range s.reservations {
		for _, id := range r.Workers {
			idle = idle.Add(s.nodes[id].Free())
		}
	}
	return idle
}
