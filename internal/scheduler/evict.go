package scheduler

import (
	"cmp"
	"slices"

	"dotterelhitch/internal/structs"
)

const (
	// maxEvictionCandidates is the number of workers with sufficient evictable
	// allocations after which the search stops; the cheapest of them are used.
	maxEvictionCandidates = 128
	// maxEvictedPerTask is the maximum number of tasks evicted for one task.
	maxEvictedPerTask = 8
)

// EvictCost returns the cost of stopping an allocation to free its resources. ok is
// false if the allocation must not be stopped for that.
type EvictCost func(structs.Alloc) (cost float64, ok bool)

// Eviction is a set of allocations on one worker whose end frees enough for one task.
type Eviction struct {
	ForTask TaskRef
	Worker  string
	Allocs  []structs.Alloc
	Cost    float64
}

// PlanEvictions chooses the cheapest allocations to stop so that each task of the
// request fits, with at most one eviction per worker. Tasks for which there is no
// eviction are omitted. The caller reserves the workers for the job, has the
// allocations stopped, and places the tasks once the stops are confirmed.
func PlanEvictions(s *NodeSet, req PlacementRequest, cost EvictCost) []Eviction {
	if req.Size.HasNegative() || req.Size.IsZero() {
		return nil
	}
	found := s.evictionCandidates(&req, cost)
	slices.SortFunc(found, func(a, b Eviction) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Worker, b.Worker))
	})
	found = found[:min(len(found), len(req.Tasks))]
	for i := range found {
		found[i].ForTask = req.Tasks[i]
	}
	return found
}

// evictionCandidates collects evictions rack by rack. The rack to start with depends on
// the task, so that different tasks consider different workers first.
func (s *NodeSet) evictionCandidates(req *PlacementRequest, cost EvictCost) []Eviction {
	var found []Eviction
	racks := s.topo.racks
	if len(racks) == 0 {
		return nil
	}
	enough := max(maxEvictionCandidates, len(req.Tasks))
	first := int(req.tieBreakSeed() % uint64(len(racks)))
	var list []evictable
	for i := range racks {
		for _, n := range racks[(first+i)%len(racks)].nodes {
			list = n.appendEvictable(list[:0], cost)
			if e, ok := n.planEviction(req, list); ok {
				found = append(found, e)
			}
		}
		if len(found) >= enough {
			break
		}
	}
	return found
}

// evictable is a counted allocation that may be stopped, with the cost of stopping it.
type evictable struct {
	nodeAlloc *nodeAlloc
	cost      float64
}

// compareEvictable orders by cost, then task.
func compareEvictable(a, b evictable) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), compareAllocs(a.nodeAlloc.alloc, b.nodeAlloc.alloc))
}

// planEviction returns the cheapest few allocations of a list whose end frees enough on
// the node. The list is sorted by cost.
func (n *Node) planEviction(req *PlacementRequest, list []evictable) (Eviction, bool) {
	if !n.Usable() || n.reservedFor != "" && n.reservedFor != req.Job || !req.Size.Fits(n.worker.Size) || req.avoids(n.worker.ID) {
		return Eviction{}, false
	}
	free := n.worker.Size.Sub(n.used).Sub(n.excessUse)
	chosen := 0
	for _, c := range list {
		if req.Size.Fits(n.availableTo(req.Size, free)) || chosen == maxEvictedPerTask {
			break
		}
		chosen++
		free = free.Add(c.nodeAlloc.alloc.Size)
	}
	if chosen == 0 || !req.Size.Fits(n.availableTo(req.Size, free)) {
		return Eviction{}, false
	}
	return n.minimalEviction(req, list[:chosen], free), true
}

// appendEvictable appends the node's evictable allocations to a list, cheapest first.
func (n *Node) appendEvictable(list []evictable, cost EvictCost) []evictable {
	from := len(list)
	for _, na := range n.allocs {
		if c, ok := cost(na.alloc); ok {
			list = append(list, evictable{nodeAlloc: na, cost: c})
		}
	}
	slices.SortFunc(list[from:], compareEvictable)
	return list
}

// minimalEviction returns the eviction of the chosen allocations without those that
// need not be stopped. It checks the most expensive first.
func (n *Node) minimalEviction(req *PlacementRequest, chosen []evictable, free structs.Resources) Eviction {
	e := Eviction{Worker: n.worker.ID}
	for _, c := range slices.Backward(chosen) {
		without := free.Sub(c.nodeAlloc.alloc.Size)
		if req.Size.Fits(n.availableTo(req.Size, without)) {
			free = without
			continue
		}
		e.Allocs = append(e.Allocs, c.nodeAlloc.alloc)
		e.Cost += c.cost
	}
	return e
}

// EvictableOnReserved returns the evictable allocations on the workers reserved for a
// job, cheapest first. A gang that is short of time has them checkpointed instead of
// waiting for the last of them to end.
func EvictableOnReserved(s *NodeSet, job string, cost EvictCost) []structs.Alloc {
	r := s.reservations[job]
	if r == nil {
		return nil
	}
	var list []evictable
	for _, id := range r.Workers {
		list = s.nodes[id].appendEvictable(list, cost)
	}
	slices.SortFunc(list, compareEvictable)
	allocs := make([]structs.Alloc, len(list))
	for i, e := range list {
		allocs[i] = e.nodeAlloc.alloc
	}
	return allocs
}
