package scheduler

import (
	"cmp"
	"container/heap"
)

// spreadRack is a rack with the number of the job's tasks on it, those of the plan
// included.
type spreadRack struct {
	rack     *rack
	jobTasks int
	tieBreak uint64
}

// rackHeap is a heap of the racks of a failure domain, the one with the fewest of the
// job's tasks first.
type rackHeap []*spreadRack

func (h rackHeap) Len() int { return len(h) }

func (h rackHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].jobTasks, h[j].jobTasks), cmp.Compare(h[i].tieBreak, h[j].tieBreak)) < 0
}

func (h rackHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *rackHeap) Push(x any)   { *h = append(*h, x.(*spreadRack)) }

func (h *rackHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	return r
}

// spreadDomain is a failure domain with the number of the job's tasks in it, those of
// the plan included.
type spreadDomain struct {
	key      rackKey
	jobTasks int
	tieBreak uint64
	racks    rackHeap
}

// spreadPlacer spreads the tasks of one request over failure domains and racks.
type spreadPlacer struct {
	set  *NodeSet
	req  *PlacementRequest
	seed uint64
	// allowAccelerators also permits nodes with accelerators for tasks that need none.
	allowAccelerators bool
	domains           []*spreadDomain
}

// placeSpread places each task in the failure domain, rack and node with the fewest
// tasks of the job.
func placeSpread(s *NodeSet, req *PlacementRequest, plan *Plan) {
	placed := make(map[*Node]int, len(req.Tasks))
	for _, allowAccelerators := range []bool{false, true} {
		sp := newSpreadPlacer(s, req, allowAccelerators, placed)
		for len(plan.Unplaced) > 0 {
			n := sp.nextNode(placed)
			if n == nil {
				break
			}
			placed[n]++
			plan.placeNext(n, 1)
		}
	}
}

// newSpreadPlacer groups the racks by failure domain and initialises the task counts of
// the job.
func newSpreadPlacer(s *NodeSet, req *PlacementRequest, allowAccelerators bool, placed map[*Node]int) *spreadPlacer {
	sp := &spreadPlacer{set: s, req: req, seed: req.tieBreakSeed(), allowAccelerators: allowAccelerators}
	job := s.jobs[req.Job]
	if job == nil {
		job = newJobCounts()
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
		racks[i] = spreadRack{rack: r, jobTasks: job.racks[r] + inPlan[r], tieBreak: tieBreak(r.seed, sp.seed)}
		last.jobTasks += inPlan[r]
		last.racks = append(last.racks, &racks[i])
	}
	for _, d := range sp.domains {
		heap.Init(&d.racks)
	}
	return sp
}

// addDomain appends the failure domain of a rack.
func (sp *spreadPlacer) addDomain(r *rack, job *jobCounts) *spreadDomain {
	key := r.domainKey()
	d := &spreadDomain{
		key:      key,
		jobTasks: job.domains[key],
		tieBreak: tieBreak(hash(key.region, key.domain), sp.seed),
	}
	sp.domains = append(sp.domains, d)
	return d
}

// nextNode returns the node for the next task, nil if no node has capacity. A rack
// without capacity is removed for the rest of the request, since all its tasks have the
// same size.
func (sp *spreadPlacer) nextNode(placed map[*Node]int) *Node {
	for {
		d := sp.domainWithFewestTasks()
		if d == nil {
			return nil
		}
		r := d.racks[0]
		n := sp.pickNode(r.rack, placed)
		if n == nil {
			heap.Pop(&d.racks)
			continue
		}
		r.jobTasks++
		d.jobTasks++
		heap.Fix(&d.racks, 0)
		return n
	}
}

// domainWithFewestTasks returns the failure domain with the fewest tasks of the job
// among those that still have a candidate rack.
func (sp *spreadPlacer) domainWithFewestTasks() *spreadDomain {
	var best *spreadDomain
	for _, d := range sp.domains {
		if len(d.racks) == 0 {
			continue
		}
		if best == nil || d.jobTasks < best.jobTasks || d.jobTasks == best.jobTasks && d.tieBreak < best.tieBreak {
			best = d
		}
	}
	return best
}

// pickNode returns the node of a rack with the fewest tasks of the job, and the one
// with the smallest free share among equals.
func (sp *spreadPlacer) pickNode(r *rack, placed map[*Node]int) *Node {
	var best candidate
	fewest := 0
	for _, n := range r.nodes {
		if !sp.allows(n) || n.taskCapacity(sp.req) <= placed[n] {
			continue
		}
		count := n.perJob[sp.req.Job] + placed[n]
		c := candidate{
			node:     n,
			score:    sp.set.index.share(n.Free()),
			tieBreak: tieBreak(n.seed, sp.seed),
		}
		better := count < fewest || count == fewest && compareCandidates(c, best) < 0
		if best.node == nil || better {
			best = c
			fewest = count
		}
	}
	return best.node
}

// allows reports whether tasks may be placed on a node.
func (sp *spreadPlacer) allows(n *Node) bool {
	if !n.Usable() {
		return false
	}
	return sp.allowAccelerators || n.worker.Size.Accelerators == 0 || sp.req.Size.Accelerators > 0
}
