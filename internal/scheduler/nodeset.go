package scheduler

import (
	"slices"

	"dotterelhitch/internal/structs"
)

// NodeSet is the workers that one entry owns, with everything counted on them. The
// entry's control goroutine is its only user.
type NodeSet struct {
	nodes map[string]*Node
	topo  topology
	index index
	held  map[structs.TaskID]*held
	jobs  map[string]*jobIndex
	// lasting names the classes whose tasks do not end by themselves.
	lasting map[string]bool
	holds   map[string]*Reservation
}

// NewNodeSet returns an empty set.
func NewNodeSet() *NodeSet {
	return &NodeSet{
		nodes:   make(map[string]*Node),
		topo:    newTopology(),
		held:    make(map[structs.TaskID]*held),
		jobs:    make(map[string]*jobIndex),
		lasting: make(map[string]bool),
		holds:   make(map[string]*Reservation),
	}
}

// Len returns the number of workers.
func (s *NodeSet) Len() int { return len(s.nodes) }

// Node returns a worker's node, nil if the set does not hold it.
func (s *NodeSet) Node(id string) *Node { return s.nodes[id] }

// Nodes returns all nodes ordered by worker ID.
func (s *NodeSet) Nodes() []*Node {
	list := make([]*Node, 0, len(s.nodes))
	for _, n := range s.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, compareNodes)
	return list
}

// Upsert adds a worker or takes over its changed description. What was counted on
// it stays. A new worker has no flag set: it gets no work before FlagInventoried.
func (s *NodeSet) Upsert(w structs.Worker) *Node {
	n := s.nodes[w.ID]
	if n == nil {
		n = &Node{
			worker: w,
			perJob: make(map[string]int),
			class:  make(map[string]int),
			seed:   hash(w.ID),
		}
		s.nodes[w.ID] = n
		s.topo.add(n)
	} else {
		s.replace(n, w)
	}
	s.grow(w.Size)
	s.index.update(n)
	return n
}

// replace changes the description of a worker that the set holds.
func (s *NodeSet) replace(n *Node, w structs.Worker) {
	if n.bucket != nil {
		n.bucket.remove(n)
	}
	if keyOf(n.worker) == keyOf(w) {
		n.worker = w
		return
	}
	s.countJobs(n, -1)
	s.topo.remove(n)
	n.worker = w
	s.topo.add(n)
	s.countJobs(n, 1)
}

// countJobs adds or takes away a node's tasks in the counters by rack.
func (s *NodeSet) countJobs(n *Node, by int) {
	for _, h := range n.allocs {
		s.jobs[jobOf(h.alloc.Task)].count(h.alloc.Task, n.rack, by)
	}
}

// grow raises the unit of shares to cover a size and rebuilds the index if it had
// to.
func (s *NodeSet) grow(size structs.Resources) {
	unit := maxResources(s.index.unit, size)
	if unit == s.index.unit {
		return
	}
	s.index = index{unit: unit}
	for _, n := range s.Nodes() {
		n.bucket = nil
		s.index.update(n)
	}
}

// Remove drops a worker and everything counted on it, and returns what that was.
func (s *NodeSet) Remove(id string) []structs.Alloc {
	n := s.nodes[id]
	if n == nil {
		return nil
	}
	lost := s.WorkerAllocs(id)
	for len(n.allocs) > 0 {
		s.unlink(n.allocs[0])
	}
	if n.bucket != nil {
		n.bucket.remove(n)
	}
	s.dropFromHold(n)
	s.topo.remove(n)
	delete(s.nodes, id)
	return lost
}

// SetFlag sets or clears flags of a worker. It reports whether anything changed.
func (s *NodeSet) SetFlag(id string, f Flag, on bool) bool {
	n := s.nodes[id]
	if n == nil {
		return false
	}
	before := n.flags
	n.flags &^= f
	if on {
		n.flags |= f
	}
	if n.flags == before {
		return false
	}
	s.index.update(n)
	return true
}

// SetLongRunning says whether the tasks of a class run until they are stopped, as those
// of services do. It bears on which workers are held for a job, and is to be called
// before such tasks are counted.
func (s *NodeSet) SetLongRunning(class string, on bool) {
	if s.lasting[class] == on {
		return
	}
	s.lasting[class] = on
	for _, first := range s.held {
		for h := first; h != nil; h = h.next {
			if h.alloc.Class != class {
				continue
			}
			if on {
				h.node.lasting = h.node.lasting.Add(h.alloc.Size)
			} else {
				h.node.lasting = h.node.lasting.Sub(h.alloc.Size)
			}
		}
	}
}

// SetExcessUse sets what a worker's tasks were seen to use above what is counted for
// them. That much less is free for placements.
func (s *NodeSet) SetExcessUse(id string, excess structs.Resources) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	n.excess = clampPositive(excess)
	s.index.update(n)
}

// AcquireSlot counts a request that is sent to a worker's endpoint. It returns false
// and counts nothing if the worker is not usable or all its slots are taken.
func (s *NodeSet) AcquireSlot(id string) bool {
	n := s.nodes[id]
	if n == nil || !n.Usable() || n.slots >= n.worker.Slots {
		return false
	}
	n.slots++
	return true
}

// ReleaseSlot counts the end of a request that AcquireSlot had counted.
func (s *NodeSet) ReleaseSlot(id string) {
	n := s.nodes[id]
	if n != nil && n.slots > 0 {
		n.slots--
	}
}

// LargestWorkerSize returns the size of the largest worker that the set has held, each component
// by itself.
func (s *NodeSet) LargestWorkerSize() structs.Resources { return s.index.unit }

// FitsEmptyWorker reports whether some worker of the set, empty, could hold a task of a
// size, whatever its present state.
func (s *NodeSet) FitsEmptyWorker(size structs.Resources) bool {
	if !size.Fits(s.index.unit) {
		return false
	}
	for _, n := range s.nodes {
		if size.Fits(n.worker.Size) {
			return true
		}
	}
	return false
}
