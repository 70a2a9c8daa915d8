package scheduler

import (
	"cmp"
	"slices"

	"dotterelhitch/internal/structs"
)

// Assign counts an allocation that Place chose. It returns CodeNotOwner if the set does
// not contain the worker, CodeNoCapacity if the task does not fit or the worker accepts
// no new work, CodeConflict if another attempt of the task is already counted, and
// CodeInvalid for a bad size or state. A placement therefore never raises used above
// the worker's size and never runs a task twice. Repeating a successful Assign has no
// effect.
func (s *NodeSet) Assign(a structs.Alloc) error {
	if a.Size.HasNegative() || a.Size.IsZero() || a.State.Terminal() {
		return structs.NewError(structs.CodeInvalid, "task %s: allocation has an invalid size or a terminal state", a.Task)
	}
	n := s.nodes[a.Worker]
	if n == nil {
		return structs.NewError(structs.CodeNotOwner, "task %s: worker %s is not owned here", a.Task, a.Worker)
	}
	if first := s.allocsByTask[a.Task]; first != nil {
		same := first.next == nil && first.node == n && first.alloc.Attempt == a.Attempt
		if same && first.alloc.Size == a.Size {
			s.replaceAlloc(first, a)
			return nil
		}
		return structs.NewError(structs.CodeConflict, "task %s: attempt %d is already on worker %s",
			a.Task, first.alloc.Attempt, first.node.worker.ID)
	}
	if !n.Usable() && !n.blockedByProbationOnly() {
		return structs.NewError(structs.CodeNoCapacity, "task %s: worker %s accepts no new work", a.Task, a.Worker)
	}
	if !a.Size.Fits(n.Free()) {
		return structs.NewError(structs.CodeNoCapacity, "task %s: does not fit on worker %s", a.Task, a.Worker)
	}
	s.addAlloc(&nodeAlloc{node: n, alloc: a})
	return nil
}

// blockedByProbationOnly reports whether probation is the only flag that blocks new
// work on the node.
func (n *Node) blockedByProbationOnly() bool {
	return n.flags&(FlagInventoried|blockingFlags) == FlagInventoried|FlagProbation
}

// AddObserved counts an allocation listed in a worker's inventory, even if it exceeds
// the worker's size. For an allocation that is already counted, it updates size and
// state; a terminal state releases the allocation. It reports whether the set contains
// the worker.
func (s *NodeSet) AddObserved(a structs.Alloc) bool {
	n := s.nodes[a.Worker]
	if n == nil {
		return false
	}
	a.Size = clampToZero(a.Size)
	found := s.findAlloc(a.Task, a.Attempt, n)
	switch {
	case a.State.Terminal() && found != nil:
		s.removeAlloc(found)
	case a.State.Terminal():
	case found != nil:
		s.replaceAlloc(found, a)
	default:
		s.addAlloc(&nodeAlloc{node: n, alloc: a})
	}
	return true
}

// Release stops counting an attempt of a task on every worker. It reports whether
// anything was counted; a repeated call has no effect.
func (s *NodeSet) Release(task structs.TaskID, attempt int) bool {
	released := false
	for na := s.allocsByTask[task]; na != nil; {
		next := na.next
		if na.alloc.Attempt == attempt {
			s.removeAlloc(na)
			released = true
		}
		na = next
	}
	return released
}

// SetAllocState changes the state of a counted attempt; a terminal state releases it.
// It reports whether the attempt was counted.
func (s *NodeSet) SetAllocState(task structs.TaskID, attempt int, state structs.AllocState) bool {
	if state.Terminal() {
		return s.Release(task, attempt)
	}
	found := false
	for na := s.allocsByTask[task]; na != nil; na = na.next {
		if na.alloc.Attempt == attempt {
			na.alloc.State = state
			found = true
		}
	}
	return found
}

// Alloc returns the counted allocation of an attempt of a task.
func (s *NodeSet) Alloc(task structs.TaskID, attempt int) (structs.Alloc, bool) {
	for na := s.allocsByTask[task]; na != nil; na = na.next {
		if na.alloc.Attempt == attempt {
			return na.alloc, true
		}
	}
	return structs.Alloc{}, false
}

// JobAllocs returns the allocations of a job, ordered by task, attempt and worker.
func (s *NodeSet) JobAllocs(job string) []structs.Alloc {
	j := s.jobs[job]
	if j == nil {
		return nil
	}
	list := make([]structs.Alloc, 0, len(j.tasks))
	for task := range j.tasks {
		for na := s.allocsByTask[task]; na != nil; na = na.next {
			list = append(list, na.alloc)
		}
	}
	slices.SortFunc(list, compareAllocs)
	return list
}

// WorkerAllocs returns the allocations on a worker, ordered by task and attempt.
func (s *NodeSet) WorkerAllocs(id string) []structs.Alloc {
	n := s.nodes[id]
	if n == nil {
		return nil
	}
	var list []structs.Alloc
	for _, na := range n.allocs {
		list = append(list, na.alloc)
	}
	slices.SortFunc(list, compareAllocs)
	return list
}

// findAlloc returns the allocation of an attempt on a node, or nil.
func (s *NodeSet) findAlloc(task structs.TaskID, attempt int, n *Node) *nodeAlloc {
	for na := s.allocsByTask[task]; na != nil; na = na.next {
		if na.node == n && na.alloc.Attempt == attempt {
			return na
		}
	}
	return nil
}

// addAlloc adds an allocation to the set and counts it.
func (s *NodeSet) addAlloc(na *nodeAlloc) {
	na.next = s.allocsByTask[na.alloc.Task]
	s.allocsByTask[na.alloc.Task] = na
	na.attach()
	s.account(na, 1)
}

// removeAlloc removes an allocation from the set and from all counters.
func (s *NodeSet) removeAlloc(na *nodeAlloc) {
	s.account(na, -1)
	na.detach()
	first := s.allocsByTask[na.alloc.Task]
	if first == na && na.next == nil {
		delete(s.allocsByTask, na.alloc.Task)
		return
	}
	if first == na {
		s.allocsByTask[na.alloc.Task] = na.next
		return
	}
	for p := first; p != nil; p = p.next {
		if p.next == na {
			p.next = na.next
			return
		}
	}
}

// replaceAlloc replaces an allocation by a newer report of the same attempt.
func (s *NodeSet) replaceAlloc(na *nodeAlloc, a structs.Alloc) {
	s.account(na, -1)
	na.alloc = a
	s.account(na, 1)
}

// account adds (delta = 1) or subtracts (delta = -1) an allocation in all sums and
// counters.
func (s *NodeSet) account(na *nodeAlloc, delta int) {
	n := na.node
	size := na.alloc.Size
	if delta < 0 {
		size = structs.Resources{}.Sub(size)
	}
	n.used = n.used.Add(size)
	if s.longRunningClasses[na.alloc.Class] {
		n.longRunning = n.longRunning.Add(size)
	}
	job := jobOf(na.alloc.Task)
	addCount(n.perJob, job, delta)
	addCount(n.perClass, na.alloc.Class, delta)
	s.updateJobCount(job, na, delta)
	s.index.update(n)
}

// updateJobCount adds delta to the counters of a job. The counters are created with the
// job's first allocation and deleted with its last.
func (s *NodeSet) updateJobCount(job string, na *nodeAlloc, delta int) {
	j := s.jobs[job]
	if j == nil {
		j = newJobCounts()
		s.jobs[job] = j
	}
	j.add(na.alloc.Task, na.node.rack, delta)
	if len(j.tasks) == 0 {
		delete(s.jobs, job)
	}
}

// compareAllocs orders by task, attempt and worker.
func compareAllocs(a, b structs.Alloc) int {
	return cmp.Or(
		cmp.Compare(a.Task, b.Task),
		cmp.Compare(a.Attempt, b.Attempt),
		cmp.Compare(a.Worker, b.Worker),
	)
}
