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

// roomFunc returns how many tasks of an ask a node can take.
type roomFunc func(*Node, *PlacementRequest) int

// tight is the state of placing one ask on the tightest nodes.
type tight struct {
	index *index
	ask   *PlacementRequest
	plan  *Plan
	seed  uint64
	room  roomFunc
	found []candidate
	// placed counts the plan's tasks on nodes that are looked at twice.
	placed map[*Node]int
}

// placeTight fills the nodes with the smallest free share first. Work that needs no
// accelerator first takes what work with accelerators does not miss, then nodes
// without accelerators, then what is left beside accelerators.
func placeTight(s *NodeSet, ask *PlacementRequest, plan *Plan) {
	from := s.index.step(ask.Size)
	t := &tight{index: &s.index, ask: ask, plan: plan, seed: ask.seed(), room: (*Node).room}
	if ask.Size.Accelerators > 0 {
		t.scarce(s.index.special[from:])
		return
	}
	t.room = (*Node).spareRoom
	t.placed = make(map[*Node]int)
	t.buckets(s.index.special[from:])
	t.room = t.roomLeft
	t.buckets(s.index.plain[from:])
	t.buckets(s.index.special[from:])
}

// roomLeft is the room of a node less what the plan has placed there.
func (t *tight) roomLeft(n *Node, ask *PlacementRequest) int {
	return max(n.room(ask)-t.placed[n], 0)
}

// put places tasks on a node.
func (t *tight) put(n *Node, count int) {
	t.plan.put(n, count)
	if t.placed != nil {
		t.placed[n] += count
	}
}

// scarce fills the nodes with the fewest accelerators left first.
func (t *tight) scarce(buckets []bucket) {
	for i := range buckets {
		t.collect(&buckets[i])
	}
	for i := range t.found {
		t.found[i].score += float64(t.found[i].node.Free().Accelerators)
	}
	t.fill()
}

// fill places tasks on the nodes found in order.
func (t *tight) fill() { fill(t.found, t.plan, t.put) }

// buckets fills from the bucket with the smallest free share upwards.
func (t *tight) buckets(buckets []bucket) {
	for i := range buckets {
		switch len(t.plan.Unplaced) {
		case 0:
			return
		case 1:
			if best := t.best(&buckets[i]); best != nil {
				t.put(best, 1)
			}
		default:
			t.found = t.found[:0]
			t.collect(&buckets[i])
			t.fill()
		}
	}
}

// best returns the node of a bucket with the least left after one task, nil if none
// has room.
func (t *tight) best(b *bucket) *Node {
	if !t.ask.Size.Fits(b.most) {
		return nil
	}
	var best candidate
	for _, n := range b.nodes {
		if !t.ask.Size.Fits(n.Free()) || t.room(n, t.ask) == 0 {
			continue
		}
		c := t.candidate(n)
		if best.node == nil || compareCandidates(c, best) < 0 {
			best = c
		}
	}
	if best.node == nil {
		b.tighten()
	}
	return best.node
}

// collect adds the nodes of a bucket that have room to those found.
func (t *tight) collect(b *bucket) {
	if !t.ask.Size.Fits(b.most) {
		return
	}
	before := len(t.found)
	for _, n := range b.nodes {
		room := t.room(n, t.ask)
		if room == 0 {
			continue
		}
		c := t.candidate(n)
		c.room = room
		t.found = append(t.found, c)
	}
	if len(t.found) == before {
		b.tighten()
	}
}

// candidate scores a node by what would be left after one task.
func (t *tight) candidate(n *Node) candidate {
	return candidate{
		node:  n,
		score: t.index.share(n.Free().Sub(t.ask.Size)),
		rank:  rank(n.seed, t.seed),
	}
}

// fill places tasks on the candidates in order, each up to its room.
func fill(found []candidate, plan *Plan, put func(*Node, int)) {
	if len(found) == 0 || len(plan.Unplaced) == 0 {
		return
	}
	slices.SortFunc(found, compareCandidates)
	for _, c := range found {
		put(c.node, min(c.room, len(plan.Unplaced)))
		if len(plan.Unplaced) == 0 {
			return
		}
	}
}
