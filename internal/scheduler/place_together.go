package scheduler

import (
	"cmp"
	"slices"
)

// gangRack is a rack with the number of requested tasks that fit on it.
type gangRack struct {
	rack     *rack
	nodes    []candidate
	capacity int
	tieBreak uint64
}

// gangDomain is a failure domain with its racks that have capacity.
type gangDomain struct {
	key      rackKey
	racks    []*gangRack
	capacity int
}

// placeGang places the tasks in as few failure domains and racks as possible: in
// the smallest rack that fits all, else in the smallest failure domain that does, else
// in the largest failure domains. Tasks that need no accelerator use nodes with
// accelerators only if the other nodes can't fit all tasks.
func placeGang(s *NodeSet, req *PlacementRequest, plan *Plan) {
	want := len(plan.Unplaced)
	allowAccelerators := req.Size.Accelerators > 0
	domains := gangDomains(s, req, allowAccelerators)
	if !allowAccelerators && totalCapacity(domains) < want {
		domains = gangDomains(s, req, true)
	}
	if r := smallestSufficientRack(domains, want); r != nil {
		r.fill(plan)
		return
	}
	if d := smallestSufficientDomain(domains, want); d != nil {
		d.fill(plan)
		return
	}
	slices.SortStableFunc(domains, func(a, b *gangDomain) int { return cmp.Compare(b.capacity, a.capacity) })
	for _, d := range domains {
		d.fill(plan)
	}
}

// gangDomains collects the racks with capacity, grouped by failure domain.
func gangDomains(s *NodeSet, req *PlacementRequest, allowAccelerators bool) []*gangDomain {
	var domains []*gangDomain
	seed := req.tieBreakSeed()
	racks := make([]gangRack, len(s.topo.racks))
	nodes := make([]candidate, 0, len(s.nodes))
	for i, r := range s.topo.racks {
		g := &racks[i]
		g.rack = r
		g.tieBreak = tieBreak(r.seed, seed)
		nodes = g.collectNodes(s, req, allowAccelerators, nodes)
		if g.capacity == 0 {
			continue
		}
		last := len(domains) - 1
		if last < 0 || domains[last].key != r.domainKey() {
			domains = append(domains, &gangDomain{key: r.domainKey()})
			last++
		}
		domains[last].racks = append(domains[last].racks, g)
		domains[last].capacity += g.capacity
	}
	return domains
}

// collectNodes appends the rack's nodes with capacity to nodes, whose backing array is
// large enough for all, and sums their capacity. It returns the extended slice.
func (g *gangRack) collectNodes(s *NodeSet, req *PlacementRequest, allowAccelerators bool, nodes []candidate) []candidate {
	from := len(nodes)
	for _, n := range g.rack.nodes {
		if !n.Usable() || !allowAccelerators && n.worker.Size.Accelerators > 0 {
			continue
		}
		capacity := n.taskCapacity(req)
		if capacity == 0 {
			continue
		}
		g.capacity += capacity
		nodes = append(nodes, candidate{
			node:     n,
			score:    s.index.share(n.Free()),
			tieBreak: tieBreak(n.seed, g.tieBreak),
			capacity: capacity,
		})
	}
	g.nodes = nodes[from:len(nodes):len(nodes)]
	return nodes
}

// fill places tasks on the rack's nodes, the one with the smallest free share first.
func (g *gangRack) fill(plan *Plan) {
	fillNodes(g.nodes, plan, plan.placeNext)
}

// fill places tasks on the domain's racks, the one with the largest capacity first, but
// the last tasks in the smallest rack that fits them.
func (d *gangDomain) fill(plan *Plan) {
	slices.SortFunc(d.racks, func(a, b *gangRack) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	for _, r := range d.racks {
		if r.capacity >= len(plan.Unplaced) {
			smallestSufficientRack([]*gangDomain{d}, len(plan.Unplaced)).fill(plan)
			return
		}
		r.fill(plan)
		r.capacity = 0
	}
}

// totalCapacity returns the number of tasks that fit in all domains.
func totalCapacity(domains []*gangDomain) int {
	total := 0
	for _, d := range domains {
		total += d.capacity
	}
	return total
}

// smallestSufficientRack returns the rack with the least capacity that fits want tasks,
// nil if none does.
func smallestSufficientRack(domains []*gangDomain, want int) *gangRack {
	var best *gangRack
	for _, d := range domains {
		for _, r := range d.racks {
			if r.capacity < want {
				continue
			}
			if best == nil || r.capacity < best.capacity || r.capacity == best.capacity && r.tieBreak < best.tieBreak {
				best = r
			}
		}
	}
	return best
}

// smallestSufficientDomain returns the domain with the least capacity that fits want
// tasks, nil if none does.
func smallestSufficientDomain(domains []*gangDomain, want int) *gangDomain {
	var best *gangDomain
	for _, d := range domains {
		if d.capacity >= want && (best == nil || d.capacity < best.capacity) {
			best = d
		}
	}
	return best
}
