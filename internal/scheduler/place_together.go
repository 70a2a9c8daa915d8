package scheduler

import (
	"cmp"
	"slices"
)

// gangRack is a rack with the number of tasks that it can take.
type gangRack struct {
	rack  *rack
	nodes []candidate
	room  int
	rank  uint64
}

// gangDomain is a failure domain with its racks that can take tasks.
type gangDomain struct {
	key   rackKey
	racks []*gangRack
	room  int
}

// placeTogether keeps the tasks in as few failure domains and racks as it can: the
// smallest rack that holds all, else the smallest failure domain that does, else
// the largest failure domains. Work that needs no accelerator gets nodes with
// accelerators only if the others do not hold all tasks.
func placeTogether(s *NodeSet, ask *PlacementRequest, plan *Plan) {
	want := len(plan.Unplaced)
	special := ask.Size.Accelerators > 0
	domains := gangDomains(s, ask, special)
	if !special && totalRoom(domains) < want {
		domains = gangDomains(s, ask, true)
	}
	if r := smallestRack(domains, want); r != nil {
		r.fill(plan)
		return
	}
	if d := smallestDomain(domains, want); d != nil {
		d.fill(plan)
		return
	}
	slices.SortStableFunc(domains, func(a, b *gangDomain) int { return cmp.Compare(b.room, a.room) })
	for _, d := range domains {
		d.fill(plan)
	}
}

// gangDomains collects the racks with room, grouped by failure domain.
func gangDomains(s *NodeSet, ask *PlacementRequest, special bool) []*gangDomain {
	var domains []*gangDomain
	seed := ask.seed()
	racks := make([]gangRack, len(s.topo.racks))
	nodes := make([]candidate, 0, len(s.nodes))
	for i, r := range s.topo.racks {
		g := &racks[i]
		g.rack = r
		g.rank = rank(r.seed, seed)
		nodes = g.count(s, ask, special, nodes)
		if g.room == 0 {
			continue
		}
		last := len(domains) - 1
		if last < 0 || domains[last].key != r.domainKey() {
			domains = append(domains, &gangDomain{key: r.domainKey()})
			last++
		}
		domains[last].racks = append(domains[last].racks, g)
		domains[last].room += g.room
	}
	return domains
}

// count counts the room of a rack. It appends the rack's nodes to a slice with room
// for all and returns that.
func (g *gangRack) count(s *NodeSet, ask *PlacementRequest, special bool, nodes []candidate) []candidate {
	from := len(nodes)
	for _, n := range g.rack.nodes {
		if !n.Usable() || !special && n.worker.Size.Accelerators > 0 {
			continue
		}
		room := n.room(ask)
		if room == 0 {
			continue
		}
		g.room += room
		nodes = append(nodes, candidate{
			node:  n,
			score: s.index.share(n.Free()),
			rank:  rank(n.seed, g.rank),
			room:  room,
		})
	}
	g.nodes = nodes[from:len(nodes):len(nodes)]
	return nodes
}

// fill places tasks on the rack's nodes, the tightest first.
func (g *gangRack) fill(plan *Plan) {
	fill(g.nodes, plan, plan.put)
}

// fill places tasks on the domain's racks, the roomiest first, but the last ones
// into the smallest rack that holds them.
func (d *gangDomain) fill(plan *Plan) {
	slices.SortFunc(d.racks, func(a, b *gangRack) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(a.rank, b.rank))
	})
	for _, r := range d.racks {
		if r.room >= len(plan.Unplaced) {
			smallestRack([]*gangDomain{d}, len(plan.Unplaced)).fill(plan)
			return
		}
		r.fill(plan)
		r.room = 0
	}
}

// totalRoom returns the number of tasks that all domains can take.
func totalRoom(domains []*gangDomain) int {
	total := 0
	for _, d := range domains {
		total += d.room
	}
	return total
}

// smallestRack returns the rack with the least room that holds all, nil if none.
func smallestRack(domains []*gangDomain, want int) *gangRack {
	var best *gangRack
	for _, d := range domains {
		for _, r := range d.racks {
			if r.room < want {
				continue
			}
			if best == nil || r.room < best.room || r.room == best.room && r.rank < best.rank {
				best = r
			}
		}
	}
	return best
}

// smallestDomain returns the domain with the least room that holds all, nil if none.
func smallestDomain(domains []*gangDomain, want int) *gangDomain {
	var best *gangDomain
	for _, d := range domains {
		if d.room >= want && (best == nil || d.room < best.room) {
			best = d
		}
	}
	return best
}
