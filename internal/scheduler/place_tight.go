package scheduler

import (
	"cmp"
	"slices"
)

// candidate is a node with its score for one request; a lower score is better.
type candidate struct {
	node     *Node
	score    float64
	tieBreak uint64
	capacity int
}

// compareCandidates orders by score, then by the request's tie-break weight.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.tieBreak, b.tieBreak))
}

// capacityFunc returns how many requested tasks fit on a node.
type capacityFunc func(*Node, *PlacementRequest) int

// bestFitPlacer places the tasks of one request by best fit.
type bestFitPlacer struct {
	index      *index
	req        *PlacementRequest
	plan       *Plan
	seed       uint64
	capacityOf capacityFunc
	candidates []candidate
	// placed counts the plan's tasks on nodes that several passes consider.
	placed map[*Node]int
}

// placeBestFit fills the nodes with the smallest free share first. Tasks that need no
// accelerator are placed in three passes: on nodes with accelerators, without using the
// shares of free ones; on nodes without accelerators; then on the remaining capacity of
// nodes with accelerators.
func placeBestFit(s *NodeSet, req *PlacementRequest, plan *Plan) {
	from := s.index.bucketNumber(req.Size)
	p := &bestFitPlacer{index: &s.index, req: req, plan: plan, seed: req.tieBreakSeed(), capacityOf: (*Node).taskCapacity}
	if req.Size.Accelerators > 0 {
		p.fillFewestAcceleratorsFirst(s.index.withAccelerators[from:])
		return
	}
	p.capacityOf = (*Node).spareTaskCapacity
	p.placed = make(map[*Node]int)
	p.fillBuckets(s.index.withAccelerators[from:])
	p.capacityOf = p.remainingCapacity
	p.fillBuckets(s.index.withoutAccelerators[from:])
	p.fillBuckets(s.index.withAccelerators[from:])
}

// remainingCapacity returns the capacity of a node minus the tasks that the plan has
// placed there.
func (p *bestFitPlacer) remainingCapacity(n *Node, req *PlacementRequest) int {
	return max(n.taskCapacity(req)-p.placed[n], 0)
}

// placeNext places the next count tasks on a node.
func (p *bestFitPlacer) placeNext(n *Node, count int) {
	p.plan.placeNext(n, count)
	if p.placed != nil {
		p.placed[n] += count
	}
}

// fillFewestAcceleratorsFirst fills the nodes with the fewest free accelerators first.
func (p *bestFitPlacer) fillFewestAcceleratorsFirst(buckets []bucket) {
	for i := range buckets {
		p.collectCandidates(&buckets[i])
	}
	for i := range p.candidates {
		p.candidates[i].score += float64(p.candidates[i].node.Free().Accelerators)
	}
	p.fillCandidates()
}

// fillCandidates places tasks on the candidates in order.
func (p *bestFitPlacer) fillCandidates() { fillNodes(p.candidates, p.plan, p.placeNext) }

// fillBuckets places tasks bucket by bucket, the one with the smallest free share
// first.
func (p *bestFitPlacer) fillBuckets(buckets []bucket) {
	for i := range buckets {
		switch len(p.plan.Unplaced) {
		case 0:
			return
		case 1:
			if best := p.bestInBucket(&buckets[i]); best != nil {
				p.placeNext(best, 1)
			}
		default:
			p.candidates = p.candidates[:0]
			p.collectCandidates(&buckets[i])
			p.fillCandidates()
		}
	}
}

// bestInBucket returns the node of a bucket with the least left free after one task,
// nil if the task fits on none.
func (p *bestFitPlacer) bestInBucket(b *bucket) *Node {
	if !p.req.Size.Fits(b.maxFree) {
		return nil
	}
	var best candidate
	for _, n := range b.nodes {
		if !p.req.Size.Fits(n.Free()) || p.capacityOf(n, p.req) == 0 {
			continue
		}
		c := p.newCandidate(n)
		if best.node == nil || compareCandidates(c, best) < 0 {
			best = c
		}
	}
	if best.node == nil {
		b.recomputeMaxFree()
	}
	return best.node
}

// collectCandidates adds the nodes of a bucket that have capacity to the candidates.
func (p *bestFitPlacer) collectCandidates(b *bucket) {
	if !p.req.Size.Fits(b.maxFree) {
		return
	}
	before := len(p.candidates)
	for _, n := range b.nodes {
		capacity := p.capacityOf(n, p.req)
		if capacity == 0 {
			continue
		}
		c := p.newCandidate(n)
		c.capacity = capacity
		p.candidates = append(p.candidates, c)
	}
	if len(p.candidates) == before {
		b.recomputeMaxFree()
	}
}

// newCandidate scores a node by the share that would be left free after one task.
func (p *bestFitPlacer) newCandidate(n *Node) candidate {
	return candidate{
		node:     n,
		score:    p.index.share(n.Free().Sub(p.req.Size)),
		tieBreak: tieBreak(n.seed, p.seed),
	}
}

// fillNodes places tasks on the candidates in order of score, up to the capacity of
// each.
func fillNodes(candidates []candidate, plan *Plan, place func(*Node, int)) {
	if len(candidates) == 0 || len(plan.Unplaced) == 0 {
		return
	}
	slices.SortFunc(candidates, compareCandidates)
	for _, c := range candidates {
		place(c.node, min(c.capacity, len(plan.Unplaced)))
		if len(plan.Unplaced) == 0 {
			return
		}
	}
}
