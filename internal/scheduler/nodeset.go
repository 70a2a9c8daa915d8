package scheduler

import (
	"slices"

	"dotterelhitch/internal/structs"
)

// NodeSet is the workers that one entry owns, with all allocations counted on them.
// Only the entry's control goroutine may use it.
type NodeSet struct {
	nodes        map[string]*Node
	topo         topology
	index        index
	allocsByTask map[structs.TaskID]*nodeAlloc
	jobs         map[string]*jobCounts
	// longRunningClasses are the classes whose tasks run until they are stopped.
	longRunningClasses map[string]bool
	reservations       map[string]*Reservation
}

// NewNodeSet returns an empty set.
func NewNodeSet() *NodeSet {
	return &NodeSet{
		nodes:              make(map[string]*Node),
		topo:               newTopology(),
		allocsByTask:       make(map[structs.TaskID]*nodeAlloc),
		jobs:               make(map[string]*jobCounts),
		longRunningClasses: make(map[string]bool),
		reservations:       make(map[string]*Reservation),
	}
}

// Len returns the number of workers.
func (s *NodeSet) Len() int { return len(s.nodes) }

// Node returns a worker's node, nil if the set does not contain it.
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

// Upsert adds a worker or updates its description. Allocations counted on it remain. A
// new worker has no flags, so it gets no work before FlagInventoried is set.
func (s *NodeSet) Upsert(w structs.Worker) *Node {
	n := s.nodes[w.ID]
	if n == nil {
		n = &Node{
			worker:   w,
			perJob:   make(map[string]int),
			perClass: make(map[string]int),
			seed:     hash(w.ID),
		}
		s.nodes[w.ID] = n
		s.topo.add(n)
	} else {
		s.replaceWorker(n, w)
	}
	s.raiseMaxWorkerSize(w.Size)
	s.index.update(n)
	return n
}

// replaceWorker updates the description of a worker in the set.
func (s *NodeSet) replaceWorker(n *Node, w structs.Worker) {
	if n.bucket != nil {
		n.bucket.remove(n)
	}
	if rackKeyOf(n.worker) == rackKeyOf(w) {
		n.worker = w
		return
	}
	s.updateJobCounts(n, -1)
	s.topo.remove(n)
	n.worker = w
	s.topo.add(n)
	s.updateJobCounts(n, 1)
}

// updateJobCounts adds delta to the per-rack counters for each of a node's allocations.
func (s *NodeSet) updateJobCounts(n *Node, delta int) {
	for _, na := range n.allocs {
		s.jobs[jobOf(na.alloc.Task)].add(na.alloc.Task, n.rack, delta)
	}
}

// raiseMaxWorkerSize raises the index's maxWorkerSize to cover a size and rebuilds the
// index if that changed it.
func (s *NodeSet) raiseMaxWorkerSize(size structs.Resources) {
	maxSize := maxResources(s.index.maxWorkerSize, size)
	if maxSize == s.index.maxWorkerSize {
		return
	}
	s.index = index{maxWorkerSize: maxSize}
	for _, n := range s.Nodes() {
		n.bucket = nil
		s.index.update(n)
	}
}

// Remove deletes a worker with all allocations counted on it and returns those.
func (s *NodeSet) Remove(id string) []structs.Alloc {
	n := s.nodes[id]
	if n == nil {
		return nil
	}
	lost := s.WorkerAllocs(id)
	for len(n.allocs) > 0 {
		s.removeAlloc(n.allocs[0])
	}
	if n.bucket != nil {
		n.bucket.remove(n)
	}
	s.removeFromReservation(n)
	s.topo.remove(n)
	delete(s.nodes, id)
	return lost
}

// SetFlag sets or clears flags of a worker. It reports whether any flag changed.
func (s *NodeSet) SetFlag(id string, f Flag, set bool) bool {
	n := s.nodes[id]
	if n == nil {
		return false
	}
	before := n.flags
	n.flags &^= f
	if set {
		n.flags |= f
	}
	if n.flags == before {
		return false
	}
	s.index.update(n)
	return true
}

// SetLongRunning sets whether the tasks of a class run until they are stopped, as those
// of services do. Which workers are chosen for a reservation depends on it. It must be
// called before such tasks are counted.
func (s *NodeSet) SetLongRunning(class string, longRunning bool) {
	if s.longRunningClasses[class] == longRunning {
		return
	}
	s.longRunningClasses[class] = longRunning
	for _, first := range s.allocsByTask {
		for na := first; na != nil; na = na.next {
			if na.alloc.Class != class {
				continue
			}
			if longRunning {
				na.node.longRunning = na.node.longRunning.Add(na.alloc.Size)
			} else {
				na.node.longRunning = na.node.longRunning.Sub(na.alloc.Size)
			}
		}
	}
}

// SetExcessUse sets the resources that a worker's tasks were reported to use above
// their grants. They are subtracted from what is free for placements.
func (s *NodeSet) SetExcessUse(id string, excess structs.Resources) {
	n := s.nodes[id]
	if n == nil {
		return
	}
	n.excessUse = clampToZero(excess)
	s.index.update(n)
}

// AcquireSlot counts a request sent to a worker's endpoint. It returns false and counts
// nothing if the worker is not usable or has no free slot.
func (s *NodeSet) AcquireSlot(id string) bool {
	n := s.nodes[id]
	if n == nil || !n.Usable() || n.slotsInUse >= n.worker.Slots {
		return false
	}
	n.slotsInUse++
	return true
}

// ReleaseSlot counts the end of a request for which AcquireSlot returned true.
func (s *NodeSet) ReleaseSlot(id string) {
	n := s.nodes[id]
	if n != nil && n.slotsInUse > 0 {
		n.slotsInUse--
	}
}

// LargestWorkerSize returns the maximum size of any worker that the set has contained,
// separately for each component.
func (s *NodeSet) LargestWorkerSize() structs.Resources { return s.index.maxWorkerSize }

// FitsEmptyWorker reports whether a task of a size would fit some worker of the set if
// that worker were empty, whatever its flags.
func (s *NodeSet) FitsEmptyWorker(size structs.Resources) bool {
	if !size.Fits(s.index.maxWorkerSize) {
		return false
	}
	for _, n := range s.nodes {
		if size.Fits(n.worker.Size) {
			return true
		}
	}
	return false
}
