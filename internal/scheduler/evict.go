package scheduler

import (
	"cmp"
	"slices"

	"dotterelhitch/internal/structs"
)

const (
	// evictWorkers is the number of workers with enough to evict that are compared
	// before the cheapest is taken.
	evictWorkers = 128
	// evictTasks is the largest number of tasks evicted for one task.
	evictTasks = 8
)

// EvictCost returns the cost of stopping an allocation to make room, and false for
// one that must not be stopped for it.
type EvictCost func(structs.Alloc) (cost float64, ok bool)

// Eviction is a set of allocations on one worker that make room for a task.
type Eviction struct {
	ForTask TaskRef
	Worker  string
	Allocs  []structs.Alloc
	Cost    float64
}

// PlanEvictions chooses the cheapest allocations to stop so that each task of the ask
// fits, at most one eviction a worker; tasks for which nothing is found are left
// out. The caller holds the workers for the job, has the allocations stopped and
// places once their stops are confirmed.
func PlanEvictions(s *NodeSet, ask PlacementRequest, cost EvictCost) []Eviction {
	if ask.Size.HasNegative() || ask.Size.IsZero() {
		return nil
	}
	found := s.evictions(&ask, cost)
	slices.SortFunc(found, func(a, b Eviction) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Worker, b.Worker))
	})
	found = found[:min(len(found), len(ask.Tasks))]
	for i := range found {
		found[i].ForTask = ask.Tasks[i]
	}
	return found
}

// evictions collects candidates from racks in an order that differs by task.
func (s *NodeSet) evictions(ask *PlacementRequest, cost EvictCost) []Eviction {
	var found []Eviction
	racks := s.topo.racks
	if len(racks) == 0 {
		return nil
	}
	want := max(evictWorkers, len(ask.Tasks))
	first := int(ask.seed() % uint64(len(racks)))
	var list []priced
	for i := range racks {
		for _, n := range racks[(first+i)%len(racks)].nodes {
			list = n.priced(list[:0], cost)
			if e, ok := n.evict(ask, list); ok {
				found = append(found, e)
			}
		}
		if len(found) >= want {
			break
		}
	}
	return found
}

// priced is a counted allocation with the cost of stopping it.
type priced struct {
	held *held
	cost float64
}

// comparePriced orders by cost, then task.
func comparePriced(a, b priced) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), compareAllocs(a.held.alloc, b.held.alloc))
}

// evict returns the few cheapest of a list of allocations whose end makes room on the
// node.
func (n *Node) evict(ask *PlacementRequest, list []priced) (Eviction, bool) {
	if !n.Usable() || n.hold != "" && n.hold != ask.Job || !ask.Size.Fits(n.worker.Size) || ask.avoids(n.worker.ID) {
		return Eviction{}, false
	}
	free := n.worker.Size.Sub(n.used).Sub(n.excess)
	chosen := 0
	for _, p := range list {
		if ask.Size.Fits(n.beside(ask.Size, free)) || chosen == evictTasks {
			break
		}
		chosen++
		free = free.Add(p.held.alloc.Size)
	}
	if chosen == 0 || !ask.Size.Fits(n.beside(ask.Size, free)) {
		return Eviction{}, false
	}
	return n.leaveOut(ask, list[:chosen], free), true
}

// priced appends what may be stopped on the node to a list, the cheapest first.
func (n *Node) priced(list []priced, cost EvictCost) []priced {
	from := len(list)
	for _, h := range n.allocs {
		if c, ok := cost(h.alloc); ok {
			list = append(list, priced{held: h, cost: c})
		}
	}
	slices.SortFunc(list[from:], comparePriced)
	return list
}

// leaveOut leaves out what need not be stopped after all, the dearest first.
func (n *Node) leaveOut(ask *PlacementRequest, chosen []priced, free structs.Resources) Eviction {
	e := Eviction{Worker: n.worker.ID}
	for _, p := range slices.Backward(chosen) {
		without := free.Sub(p.held.alloc.Size)
		if ask.Size.Fits(n.beside(ask.Size, without)) {
			free = without
			continue
		}
		e.Allocs = append(e.Allocs, p.held.alloc)
		e.Cost += p.cost
	}
	return e
}

// EvictableOnReserved returns what may still be stopped on the workers held for a job, the
// cheapest first. A gang that is short of time has them checkpointed in place of
// waiting for the last of them to end.
func EvictableOnReserved(s *NodeSet, job string, cost EvictCost) []structs.Alloc {
	h := s.holds[job]
	if h == nil {
		return nil
	}
	var list []priced
	for _, id := range h.Workers {
		list = s.nodes[id].priced(list, cost)
	}
	slices.SortFunc(list, comparePriced)
	allocs := make([]structs.Alloc, len(list))
	for i, p := range list {
		allocs[i] = p.held.alloc
	}
	return allocs
}
