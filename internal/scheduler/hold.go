package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// Reservation is workers kept for one job, so that a job too large for what is free now
// starts once the work on them has ended.
type Reservation struct {
	Job     string
	Workers []string
	// Until is when the hold ends by itself.
	Until time.Time
}

// Reservations returns the holds in force, ordered by job.
func (s *NodeSet) Reservations() []Reservation {
	list := make([]Reservation, 0, len(s.holds))
	for _, h := range s.holds {
		list = append(list, *h)
	}
	slices.SortFunc(list, func(a, b Reservation) int { return cmp.Compare(a.Job, b.Job) })
	return list
}

// SetReservation keeps the workers for the job and replaces an earlier hold of the same
// job. Workers held for another job are left out.
func (s *NodeSet) SetReservation(h Reservation) {
	s.CancelReservation(h.Job)
	kept := &Reservation{Job: h.Job, Until: h.Until}
	for _, id := range h.Workers {
		n := s.nodes[id]
		if n == nil || n.hold != "" {
			continue
		}
		n.hold = h.Job
		kept.Workers = append(kept.Workers, id)
	}
	if len(kept.Workers) > 0 {
		s.holds[h.Job] = kept
	}
}

// CancelReservation frees the workers held for a job.
func (s *NodeSet) CancelReservation(job string) {
	h := s.holds[job]
	if h == nil {
		return
	}
	for _, id := range h.Workers {
		s.nodes[id].hold = ""
	}
	delete(s.holds, job)
}

// ExpireReservations ends the holds whose time has passed and returns their jobs.
func (s *NodeSet) ExpireReservations(now time.Time) []string {
	var ended []string
	for _, h := range s.Reservations() {
		if !now.Before(h.Until) {
			s.CancelReservation(h.Job)
			ended = append(ended, h.Job)
		}
	}
	return ended
}

// dropFromHold takes a node that leaves the set out of its hold.
func (s *NodeSet) dropFromHold(n *Node) {
	h := s.holds[n.hold]
	if h == nil {
		return
	}
	h.Workers = slices.DeleteFunc(h.Workers, func(id string) bool { return id == n.worker.ID })
	n.hold = ""
}

// holdCandidate is a node that could be held, with the tasks that it would take
// once its passing work has ended and the share of it that is still busy.
type holdCandidate struct {
	node *Node
	room int
	busy float64
	// special is 1 for a node with accelerators if the ask needs none.
	special int
}

// PlanReservation chooses workers which, once the work on them that ends by itself has
// ended, take all tasks of the ask: the least busy first, so that the wait is
// short. It returns no workers if even that would not do. What the hold keeps idle
// is bounded by the room for the ask's tasks, rounded up to whole workers.
func PlanReservation(s *NodeSet, ask PlacementRequest) []string {
	var found []holdCandidate
	for _, n := range s.nodes {
		if c := s.holdCandidate(n, &ask); c.room > 0 {
			found = append(found, c)
		}
	}
	seed := ask.seed()
	slices.SortFunc(found, func(a, b holdCandidate) int {
		return cmp.Or(
			cmp.Compare(a.special, b.special),
			cmp.Compare(a.busy, b.busy),
			cmp.Compare(rank(a.node.seed, seed), rank(b.node.seed, seed)),
		)
	})
	var workers []string
	want := len(ask.Tasks)
	for _, c := range found {
		workers = append(workers, c.node.worker.ID)
		want -= c.room
		if want <= 0 {
			return workers
		}
	}
	return nil
}

// holdCandidate weighs a node; one that can't be held has no room.
func (s *NodeSet) holdCandidate(n *Node, ask *PlacementRequest) holdCandidate {
	if !n.Usable() || ask.avoids(n.worker.ID) || n.hold != "" && n.hold != ask.Job {
		return holdCandidate{}
	}
	later := clampPositive(n.worker.Size.Sub(n.lasting))
	c := holdCandidate{
		node: n,
		room: capacity(n.beside(ask.Size, later), ask.Size),
		busy: s.index.share(n.used.Sub(n.lasting)),
	}
	if ask.Size.Accelerators == 0 && n.worker.Size.Accelerators > 0 {
		c.special = 1
	}
	return c
}

// IdleReserved returns what is free on held workers, which nobody uses meanwhile.
func (s *NodeSet) IdleReserved() structs.Resources {
	var idle structs.Resources
	for _, h := range s.holds {
		for _, id := range h.Workers {
			idle = idle.Add(s.nodes[id].Free())
		}
	}
	return idle
}
