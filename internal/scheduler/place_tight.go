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

// tightPlacer places the tasks of one request by best fit.
type tightPlacer struct {
	index      *index
	req        *PlacementRequest
	plan       *Plan
	seed       uint64
	capacityOf capacityFunc
	candidates []candidate
	// placed counts the plan's tasks on nodes that several passes consider.
	placed map[*Node]int
}

// placeTight fills the nodes with the smallest free share first. Tasks that need no
// accelerator are placed in three passes: on nodes with accelerators, without using the
// shares of free ones; on nodes without accelerators; then on the remaining capacity of
// nodes with accelerators.
func placeTight(s *NodeSet, req *PlacementRequest, plan *Plan) {
	from := s.index.bucketNumber(req.Size)
	t := &tightPlacer{index: &s.index, req: req, plan: plan, seed: req.tieBreakSeed(), capacityOf: (*Node).taskCapacity}
	if req.Size.Accelerators > 0 {
		t.fillFewestAcceleratorsFirst(s.index.withAccelerators[from:])
		return
	}
	t.capacityOf = (*Node).spareTaskCapacity
	t.placed = make(map[*Node]int)
	t.fillBuckets(s.index.withAccelerators[from:])
	t.capacityOf = t.remainingCapacity
	t.fillBuckets(s.index.withoutAccelerators[from:])
	t.fillBuckets(s.index.withAccelerators[from:])
}

// remainingCapacity returns the capacity of a node minus the tasks that the plan has
// placed there.
func (t *tightPlacer) remainingCapacity(n *Node, req *PlacementRequest) int {
	return max(n.taskCapacity(req)-t.placed[n], 0)
}

// placeNext places the next count tasks on a node.
func (t *tightPlacer) placeNext(n *Node, count int) {
	t.plan.placeNext(n, count)
	if t.placed != nil {
		t.placed[n] += count
	}
}

// fillFewestAcceleratorsFirst fills the nodes with the fewest free accelerators first.
func (t *tightPlacer) fillFewestAcceleratorsFirst(buckets []bucket) {
	for i := range buckets {
		t.collectCandidates(&buckets[i])
	}
	for i := range t.candidates {
		t.candidates[i].score += float64(t.candidates[i].node.Free().Accelerators)
	}
	t.fillCandidates()
}

// fillCandidates places tasks on the candidates in order.
func (t *tightPlacer) fillCandidates() { fillNodes(t.candidates, t.plan, t.placeNext) }

// fillBuckets places tasks bucket by bucket, the one with the smallest free share
// first.
func (t *tightPlacer) fillBuckets(buckets []bucket) {
	for i := range buckets {
		switch len(t.plan.Unplaced) {
		case 0:
			return
		case 1:
			if best := t.bestInBucket(&buckets[i]); best != nil {
				t.placeNext(best, 1)
			}
		default:
			t.candidates = t.candidates[:0]
			t.collectCandidates(&buckets[i])
			t.fillCandidates()
		}
	}
}

// bestInBucket returns the node of a bucket with the least left free after one task,
// nil if the task fits on none.
func (t *tightPlacer) bestInBucket(b *bucket) *Node {
	if !t.req.Size.Fits(b.maxFree) {
		return nil
	}
	var best candidate
	for _, n := range b.nodes {
		if !t.req.Size.Fits(n.Free()) || t.capacityOf(n, t.req) == 0 {
			continue
		}
		c := t.newCandidate(n)
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
func (t *tightPlacer) collectCandidates(b *bucket) {
	if !t.req.Size.Fits(b.maxFree) {
		return
	}
	before := len(t.candidates)
	for _, n := range b.nodes {
		capacity := t.capacityOf(n, t.req)
		if capacity == 0 {
			continue
		}
		c := t.newCandidate(n)
		c.capacity = capacity
		t.candidates = append(t.candidates, c)
	}
	if len(t.candidates) == before {
		b.recomputeMaxFree()
	}
}

// newCandidate scores a node by the share that would be left free after one task.
func (t *tightPlacer) newCandidate(n *Node) candidate {
	return candidate{
		node:     n,
		score:    t.index.share(n.Free().Sub(t.req.Size)),
		tieBreak: tieBreak(n.seed, t.seed),
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
