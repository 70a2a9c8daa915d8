package scheduler

import (
	"cmp"
	"container/heap"
)

// spreadRack is a rack with the job's tasks on it while a plan is made.
type spreadRack struct {
	rack  *rack
	count int
	rank  uint64
}

// rackHeap orders the racks of a failure domain by the job's tasks on them.
type rackHeap []*spreadRack

func (h rackHeap) Len() int { return len(h) }

func (h rackHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].count, h[j].count), cmp.Compare(h[i].rank, h[j].rank)) < 0
}

func (h rackHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *rackHeap) Push(x any)   { *h = append(*h, x.(*spreadRack)) }

func (h *rackHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	return r
}

// spreadDomain is a failure domain with the job's tasks in it.
type spreadDomain struct {
	key   rackKey
	count int
	rank  uint64
	racks rackHeap
}

// spread is the state of placing one ask over failure domains and racks.
type spread struct {
	set  *NodeSet
	ask  *PlacementRequest
	seed uint64
	// special also allows nodes with accelerators for work that needs none.
	special bool
	domains []*spreadDomain
}

// placeSpread puts each task into the failure domain, rack and node that have the
// fewest tasks of the job.
func placeSpread(s *NodeSet, ask *PlacementRequest, plan *Plan) {
	placed := make(map[*Node]int, len(ask.Tasks))
	for _, special := range []bool{false, true} {
		sp := newSpread(s, ask, special, placed)
		for len(plan.Unplaced) > 0 {
			n := sp.next(placed)
			if n == nil {
				break
			}
			placed[n]++
			plan.put(n, 1)
		}
	}
}

// newSpread groups the racks by failure domain with the job's present counts.
func newSpread(s *NodeSet, ask *PlacementRequest, special bool, placed map[*Node]int) *spread {
	sp := &spread{set: s, ask: ask, seed: ask.seed(), special: special}
	job := s.jobs[ask.Job]
	if job == nil {
		job = newJobIndex()
	}
	inPlan := make(map[*rack]int, len(placed))
	for n, count := range placed {
		inPlan[n.rack] += count
	}
	racks := make([]spreadRack, len(s.topo.racks))
	var last *spreadDomain
	for i, r := range s.topo.racks {
		if last == nil || last.key != r.domainKey() {
			last = sp.addDomain(r, job)
		}
		racks[i] = spreadRack{rack: r, count: job.racks[r] + inPlan[r], rank: rank(r.seed, sp.seed)}
		last.count += inPlan[r]
		last.racks = append(last.racks, &racks[i])
	}
	for _, d := range sp.domains {
		heap.Init(&d.racks)
	}
	return sp
}

// addDomain starts the failure domain of a rack.
func (sp *spread) addDomain(r *rack, job *jobIndex) *spreadDomain {
	key := r.domainKey()
	d := &spreadDomain{
		key:   key,
		count: job.domains[key],
		rank:  rank(hash(key.region, key.domain), sp.seed),
	}
	sp.domains = append(sp.domains, d)
	return d
}

// next returns the node for the next task, nil if none has room. A rack without
// room is dropped for good, since all tasks of an ask have the same size.
func (sp *spread) next(placed map[*Node]int) *Node {
	for {
		d := sp.emptiest()
		if d == nil {
			return nil
		}
		r := d.racks[0]
		n := sp.pick(r.rack, placed)
		if n == nil {
			heap.Pop(&d.racks)
			continue
		}
		r.count++
		d.count++
		heap.Fix(&d.racks, 0)
		return n
	}
}

// emptiest returns the failure domain with the fewest tasks of the job among those
// with a rack left.
func (sp *spread) emptiest() *spreadDomain {
	var best *spreadDomain
	for _, d := range sp.domains {
		if len(d.racks) == 0 {
			continue
		}
		if best == nil || d.count < best.count || d.count == best.count && d.rank < best.rank {
			best = d
		}
	}
	return best
}

// pick returns the node of a rack with the fewest tasks of the job, among equals
// the tightest fit.
func (sp *spread) pick(r *rack, placed map[*Node]int) *Node {
	var best candidate
	fewest := 0
	for _, n := range r.nodes {
		if !sp.allows(n) || n.room(sp.ask) <= placed[n] {
			continue
		}
		count := n.perJob[sp.ask.Job] + placed[n]
		c := candidate{
			node:  n,
			score: sp.set.index.share(n.Free()),
			rank:  rank(n.seed, sp.seed),
		}
		better := count < fewest || count == fewest && compareCandidates(c, best) < 0
		if best.node == nil || better {
			best = c
			fewest = count
		}
	}
	return best.node
}

// allows reports whether the pass may use a node.
func (sp *spread) allows(n *Node) bool {
	if !n.Usable() {
		return false
	}
	return sp.special || n.worker.Size.Accelerators == 0 || sp.ask.Size.Accelerators > 0
}
