package scheduler

import "dotterelhitch/internal/structs"

// bucketCount is the number of ranges of free share by which nodes are indexed.
const bucketCount = 64

// bucket is an unordered list of usable nodes whose free shares lie in the same range.
type bucket struct {
	nodes []*Node
	// maxFree is an upper bound of the free resources of any node, separately for each
	// component.
	maxFree structs.Resources
}

// insert adds a node.
func (b *bucket) insert(n *Node) {
	n.bucket = b
	n.bucketIndex = len(b.nodes)
	b.nodes = append(b.nodes, n)
	b.maxFree = maxResources(b.maxFree, n.Free())
}

// remove deletes a node by moving the last one to its position.
func (b *bucket) remove(n *Node) {
	last := len(b.nodes) - 1
	b.nodes[n.bucketIndex] = b.nodes[last]
	b.nodes[n.bucketIndex].bucketIndex = n.bucketIndex
	b.nodes[last] = nil
	b.nodes = b.nodes[:last]
	n.bucket = nil
	if last == 0 {
		b.maxFree = structs.Resources{}
	}
}

// recomputeMaxFree makes maxFree exact. It is called when a search has read the whole
// bucket without finding a node.
func (b *bucket) recomputeMaxFree() {
	b.maxFree = structs.Resources{}
	for _, n := range b.nodes {
		b.maxFree = maxResources(b.maxFree, n.Free())
	}
}

// index groups usable nodes by the larger of their free processor and memory shares. A
// search for the best fit can then start at the requested size, and a request to a full
// cell is rejected by comparing it with the bound of each bucket.
type index struct {
	// maxWorkerSize is the maximum worker size, separately for each component. Shares
	// are fractions of it.
	maxWorkerSize structs.Resources
	// Nodes without accelerators and nodes with accelerators are indexed separately.
	withoutAccelerators, withAccelerators [bucketCount]bucket
}

// update moves a node to the bucket of its current free share, or removes it from the
// index if it is not usable.
func (x *index) update(n *Node) {
	target := x.bucketOf(n)
	if target == n.bucket {
		if target != nil {
			target.maxFree = maxResources(target.maxFree, n.Free())
		}
		return
	}
	if n.bucket != nil {
		n.bucket.remove(n)
	}
	if target != nil {
		target.insert(n)
	}
}

// bucketOf returns the bucket that a node belongs to, nil for an unusable node.
func (x *index) bucketOf(n *Node) *bucket {
	if !n.Usable() {
		return nil
	}
	number := x.bucketNumber(n.Free())
	if n.worker.Size.Accelerators > 0 {
		return &x.withAccelerators[number]
	}
	return &x.withoutAccelerators[number]
}

// bucketNumber returns the number of the bucket for an amount of processor and memory.
func (x *index) bucketNumber(r structs.Resources) int {
	number := int64(0)
	if x.maxWorkerSize.CPUMilli > 0 {
		number = r.CPUMilli * (bucketCount - 1) / x.maxWorkerSize.CPUMilli
	}
	if x.maxWorkerSize.MemoryMiB > 0 {
		number = max(number, r.MemoryMiB*(bucketCount-1)/x.maxWorkerSize.MemoryMiB)
	}
	return int(min(number, bucketCount-1))
}

// share returns the larger of the processor and memory shares of r.
func (x *index) share(r structs.Resources) float64 {
	var share float64
	if x.maxWorkerSize.CPUMilli > 0 {
		share = float64(r.CPUMilli) / float64(x.maxWorkerSize.CPUMilli)
	}
	if x.maxWorkerSize.MemoryMiB > 0 {
		share = max(share, float64(r.MemoryMiB)/float64(x.maxWorkerSize.MemoryMiB))
	}
	return share
}

// maxResources returns the maximum of a and b in each component.
func maxResources(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		CPUMilli:     max(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
