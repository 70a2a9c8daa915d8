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
func placeTogether(s *NodeSet, ask *Ask, plan *Plan) {
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
func gangDomains(s *NodeSet, ask *Ask, special bool) []*gangDomain {
	var domains []*gangDomain
	seed := ask.seed()
	for _, r := range s.topo.racks {
		g := newGangRack(s, ask, special, r, seed)
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

// newGangRack counts the room of a rack.
func newGangRack(s *NodeSet, ask *Ask, special bool, r *rack, seed uint64) *gangRack {
	g := &gangRack{rack: r, rank: rank(r.seed, seed)}
	for _, n := range r.nodes {
		if !n.Usable() || !special && n.worker.Size.Accelerators > 0 {
			continue
		}
		room := n.room(ask)
		if room == 0 {
			continue
		}
		g.room += room
		score := s.index.share(n.Free())
		g.nodes = append(g.nodes, candidate{node: n, score: score, rank: rank(n.seed, seed), room: room})
	}
	return g
}

// fill places tasks on the rack's nodes, the tightest first.
func (g *gangRack) fill(plan *Plan) {
	if len(plan.Unplaced) > 0 {
		fill(g.nodes, plan)
	}
}

// fill places tasks on the domain's racks, the roomiest first, but the last ones
// into the smallest rack that holds them.
func (d *gangDomain) fill(plan *Plan) {
	slices.SortFunc(d.racks, func(a, b *gangRack) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(a.rank, b.rank))
	})
	for i, r := range d.racks {
		rest := &gangDomain{racks: d.racks[i:]}
		if last := smallestRack([]*gangDomain{rest}, len(plan.Unplaced)); last != nil {
			last.fill(plan)
			return
		}
		r.fill(plan)
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
