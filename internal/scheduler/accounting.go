package scheduler

import (
	"cmp"
	"slices"

	"dotterelhitch/internal/structs"
)

// Assign counts an allocation that a placement chose. It refuses one that does not
// fit, one on a worker that may get no new work, and one of a task of which another
// attempt is counted already, so that used can't pass size and a task can't run
// twice by a placement. Repeating an accepted Assign does nothing.
func (s *NodeSet) Assign(a structs.Alloc) error {
	if a.Size.HasNegative() || a.Size.IsZero() || a.State.Terminal() {
		return structs.NewError(structs.CodeInvalid, "task %s: size or state of a placement", a.Task)
	}
	n := s.nodes[a.Worker]
	if n == nil {
		return structs.NewError(structs.CodeNotOwner, "task %s: worker %s is not held", a.Task, a.Worker)
	}
	if first := s.held[a.Task]; first != nil {
		same := first.next == nil && first.node == n && first.alloc.Attempt == a.Attempt
		if same && first.alloc.Size == a.Size {
			s.set(first, a)
			return nil
		}
		return structs.NewError(structs.CodeConflict, "task %s: attempt %d is on worker %s",
			a.Task, first.alloc.Attempt, first.node.worker.ID)
	}
	if !n.Usable() && !n.probing() {
		return structs.NewError(structs.CodeNoCapacity, "task %s: worker %s gets no new work", a.Task, a.Worker)
	}
	if !a.Size.Fits(n.Free()) {
		return structs.NewError(structs.CodeNoCapacity, "task %s: does not fit worker %s", a.Task, a.Worker)
	}
	s.link(&held{node: n, alloc: a})
	return nil
}

// probing reports whether probation is all that keeps work off the node.
func (n *Node) probing() bool {
	return n.flags&(FlagInventoried|blocking) == FlagInventoried|FlagProbation
}

// AddObserved counts an allocation that a worker's inventory showed, also if it exceeds the
// worker's size. A repeat updates size and state; a state that has ended releases.
// It reports whether the worker is in the set.
func (s *NodeSet) AddObserved(a structs.Alloc) bool {
	n := s.nodes[a.Worker]
	if n == nil {
		return false
	}
	a.Size = clampPositive(a.Size)
	found := s.find(a.Task, a.Attempt, n)
	switch {
	case a.State.Terminal() && found != nil:
		s.unlink(found)
	case a.State.Terminal():
	case found != nil:
		s.set(found, a)
	default:
		s.link(&held{node: n, alloc: a})
	}
	return true
}

// Release ends the counting of a task's attempt on every worker. It reports whether
// anything was counted; a repeat does nothing.
func (s *NodeSet) Release(task structs.TaskID, attempt int) bool {
	released := false
	for h := s.held[task]; h != nil; {
		next := h.next
		if h.alloc.Attempt == attempt {
			s.unlink(h)
			released = true
		}
		h = next
	}
	return released
}

// SetAllocState changes the state of a counted attempt. It reports whether it is counted.
func (s *NodeSet) SetAllocState(task structs.TaskID, attempt int, state structs.AllocState) bool {
	if state.Terminal() {
		return s.Release(task, attempt)
	}
	found := false
	for h := s.held[task]; h != nil; h = h.next {
		if h.alloc.Attempt == attempt {
			h.alloc.State = state
			found = true
		}
	}
	return found
}

// Alloc returns the counted allocation of a task's attempt.
func (s *NodeSet) Alloc(task structs.TaskID, attempt int) (structs.Alloc, bool) {
	for h := s.held[task]; h != nil; h = h.next {
		if h.alloc.Attempt == attempt {
			return h.alloc, true
		}
	}
	return structs.Alloc{}, false
}

// JobAllocs returns a job's allocations ordered by task, attempt and worker.
func (s *NodeSet) JobAllocs(job string) []structs.Alloc {
	j := s.jobs[job]
	if j == nil {
		return nil
	}
	list := make([]structs.Alloc, 0, len(j.tasks))
	for task := range j.tasks {
		for h := s.held[task]; h != nil; h = h.next {
			list = append(list, h.alloc)
		}
	}
	slices.SortFunc(list, compareAllocs)
	return list
}

// WorkerAllocs returns a worker's allocations ordered by task and attempt.
func (s *NodeSet) WorkerAllocs(id string) []structs.Alloc {
	n := s.nodes[id]
	if n == nil {
		return nil
	}
	var list []structs.Alloc
	for _, h := range n.allocs {
		list = append(list, h.alloc)
	}
	slices.SortFunc(list, compareAllocs)
	return list
}

// find returns the entry of an attempt on a node, nil if there is none.
func (s *NodeSet) find(task structs.TaskID, attempt int, n *Node) *held {
	for h := s.held[task]; h != nil; h = h.next {
		if h.node == n && h.alloc.Attempt == attempt {
			return h
		}
	}
	return nil
}

// link starts the counting of h.
func (s *NodeSet) link(h *held) {
	h.next = s.held[h.alloc.Task]
	s.held[h.alloc.Task] = h
	h.attach()
	s.account(h, 1)
}

// unlink ends the counting of h.
func (s *NodeSet) unlink(h *held) {
	s.account(h, -1)
	h.detach()
	first := s.held[h.alloc.Task]
	if first == h && h.next == nil {
		delete(s.held, h.alloc.Task)
		return
	}
	if first == h {
		s.held[h.alloc.Task] = h.next
		return
	}
	for p := first; p != nil; p = p.next {
		if p.next == h {
			p.next = h.next
			return
		}
	}
}

// set replaces the allocation of h by a newer sight of the same attempt.
func (s *NodeSet) set(h *held, a structs.Alloc) {
	s.account(h, -1)
	h.alloc = a
	s.account(h, 1)
}

// account adds (by = 1) or takes away (by = -1) h in every sum and counter.
func (s *NodeSet) account(h *held, by int) {
	n := h.node
	size := h.alloc.Size
	if by < 0 {
		size = structs.Resources{}.Sub(size)
	}
	n.used = n.used.Add(size)
	if s.lasting[h.alloc.Class] {
		n.lasting = n.lasting.Add(size)
	}
	job := jobOf(h.alloc.Task)
	addCount(n.perJob, job, by)
	addCount(n.class, h.alloc.Class, by)
	s.countJob(job, h, by)
	s.index.update(n)
}

// countJob adds by to the counters of a job, which come and go with its tasks.
func (s *NodeSet) countJob(job string, h *held, by int) {
	j := s.jobs[job]
	if j == nil {
		j = newJobIndex()
		s.jobs[job] = j
	}
	j.count(h.alloc.Task, h.node.rack, by)
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
