package scheduler

import (
	"cmp"
	"slices"
)

// candidate is a node with its score for one ask; lower is better.
type candidate struct {
	node  *Node
	score float64
	rank  uint64
	room  int
}

// compareCandidates orders by score, then by the asker's rank of the nodes.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.rank, b.rank))
}

// placeTight fills the nodes with the smallest free share first. Work that needs no
// accelerator looks at nodes without accelerators first.
func placeTight(s *NodeSet, ask *Ask, plan *Plan) {
	from := s.index.step(ask.Size)
	if ask.Size.Accelerators == 0 {
		fillBuckets(&s.index, s.index.plain[from:], ask, plan)
	}
	if len(plan.Unplaced) > 0 {
		fillSpecial(&s.index, s.index.special[from:], ask, plan)
	}
}

// fillSpecial fills nodes with accelerators. Work that needs accelerators takes
// those with the fewest left.
func fillSpecial(x *index, buckets []bucket, ask *Ask, plan *Plan) {
	if ask.Size.Accelerators == 0 {
		fillBuckets(x, buckets, ask, plan)
		return
	}
	seed := ask.seed()
	var found []candidate
	for i := range buckets {
		found = appendFits(found, x, &buckets[i], ask, seed)
	}
	for i := range found {
		found[i].score += float64(found[i].node.Free().Accelerators)
	}
	fill(found, plan)
}

// fillBuckets fills from the bucket with the smallest free share upwards.
func fillBuckets(x *index, buckets []bucket, ask *Ask, plan *Plan) {
	seed := ask.seed()
	var found []candidate
	for i := range buckets {
		b := &buckets[i]
		if len(plan.Unplaced) == 1 {
			best, ok := bestFit(x, b, ask, seed)
			if ok {
				plan.put(best, 1)
				return
			}
			continue
		}
		found = appendFits(found[:0], x, b, ask, seed)
		fill(found, plan)
		if len(plan.Unplaced) == 0 {
			return
		}
	}
}

// bestFit returns the node of a bucket with the least left after one task.
func bestFit(x *index, b *bucket, ask *Ask, seed uint64) (*Node, bool) {
	if !ask.Size.Fits(b.most) {
		return nil, false
	}
	var best candidate
	for _, n := range b.nodes {
		if !ask.Size.Fits(n.freeFor(ask.Size)) || n.room(ask) == 0 {
			continue
		}
		c := candidate{node: n, score: x.share(n.Free().Sub(ask.Size))}
		if best.node != nil && c.score > best.score {
			continue
		}
		c.rank = rank(n.seed, seed)
		if best.node == nil || compareCandidates(c, best) < 0 {
			best = c
		}
	}
	if best.node == nil {
		b.tighten()
	}
	return best.node, best.node != nil
}

// appendFits appends the nodes of a bucket that have room.
func appendFits(found []candidate, x *index, b *bucket, ask *Ask, seed uint64) []candidate {
	if !ask.Size.Fits(b.most) {
		return found
	}
	before := len(found)
	for _, n := range b.nodes {
		room := n.room(ask)
		if room == 0 {
			continue
		}
		found = append(found, candidate{
			node:  n,
			score: x.share(n.Free().Sub(ask.Size)),
			rank:  rank(n.seed, seed),
			room:  room,
		})
	}
	if len(found) == before {
		b.tighten()
	}
	return found
}

// fill places tasks on the candidates in order, each up to its room.
func fill(found []candidate, plan *Plan) {
	slices.SortFunc(found, compareCandidates)
	for _, c := range found {
		plan.put(c.node, min(c.room, len(plan.Unplaced)))
		if len(plan.Unplaced) == 0 {
			return
		}
	}
}
