package scheduler

import "dotterelhitch/internal/structs"

// bucketCount is the number of steps of free share by which nodes are indexed.
const bucketCount = 64

// bucket is the usable nodes of about the same free share, in no order.
type bucket struct {
	nodes []*Node
	// most is at least the free amount of any node, each component by itself.
	most structs.Resources
}

// insert adds a node.
func (b *bucket) insert(n *Node) {
	n.bucket = b
	n.at = len(b.nodes)
	b.nodes = append(b.nodes, n)
	b.most = maxResources(b.most, n.Free())
}

// remove takes a node out by moving the last one into its place.
func (b *bucket) remove(n *Node) {
	last := len(b.nodes) - 1
	b.nodes[n.at] = b.nodes[last]
	b.nodes[n.at].at = n.at
	b.nodes[last] = nil
	b.nodes = b.nodes[:last]
	n.bucket = nil
	if last == 0 {
		b.most = structs.Resources{}
	}
}

// tighten makes most exact. A search that read the whole bucket in vain calls it.
func (b *bucket) tighten() {
	b.most = structs.Resources{}
	for _, n := range b.nodes {
		b.most = maxResources(b.most, n.Free())
	}
}

// index orders usable nodes by their largest free share, so that a search for the
// tightest fit starts at the size asked for and a full cell is refused after a
// look at the bounds of the buckets.
type index struct {
	// unit is the size of the largest worker, each component by itself. Shares
	// are fractions of it.
	unit structs.Resources
	// plain are nodes without accelerators, special those with some.
	plain, special [bucketCount]bucket
}

// update moves a node to the bucket of its present free share, or out of the index
// if it is not usable.
func (x *index) update(n *Node) {
	want := x.bucketOf(n)
	if want == n.bucket {
		if want != nil {
			want.most = maxResources(want.most, n.Free())
		}
		return
	}
	if n.bucket != nil {
		n.bucket.remove(n)
	}
	if want != nil {
		want.insert(n)
	}
}

// bucketOf returns the bucket that should hold a node, nil for an unusable one.
func (x *index) bucketOf(n *Node) *bucket {
	if !n.Usable() {
		return nil
	}
	step := x.step(n.Free())
	if n.worker.Size.Accelerators > 0 {
		return &x.special[step]
	}
	return &x.plain[step]
}

// step returns the bucket number of an amount of processor and memory.
func (x *index) step(r structs.Resources) int {
	step := int64(0)
	if x.unit.CPUMilli > 0 {
		step = r.CPUMilli * (bucketCount - 1) / x.unit.CPUMilli
	}
	if x.unit.MemoryMiB > 0 {
		step = max(step, r.MemoryMiB*(bucketCount-1)/x.unit.MemoryMiB)
	}
	return int(min(step, bucketCount-1))
}

// share returns the larger of the processor and memory shares of r.
func (x *index) share(r structs.Resources) float64 {
	var share float64
	if x.unit.CPUMilli > 0 {
		share = float64(r.CPUMilli) / float64(x.unit.CPUMilli)
	}
	if x.unit.MemoryMiB > 0 {
		share = max(share, float64(r.MemoryMiB)/float64(x.unit.MemoryMiB))
	}
	return share
}

// maxResources returns the larger of a and b in each component.
func maxResources(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		CPUMilli:     max(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
