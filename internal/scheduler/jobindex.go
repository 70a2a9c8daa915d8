package scheduler

import "dotterelhitch/internal/structs"

// held is one allocation counted on a node. Further attempts of the same task, or
// the same attempt seen on a second worker, hang on next.
type held struct {
	node  *Node
	alloc structs.Alloc
	next  *held
	// at is the position in the node's list.
	at int
}

// attach adds h to the list of its node.
func (h *held) attach() {
	h.at = len(h.node.allocs)
	h.node.allocs = append(h.node.allocs, h)
}

// detach takes h out of the list of its node by moving the last one into its place.
func (h *held) detach() {
	list := h.node.allocs
	last := len(list) - 1
	list[h.at] = list[last]
	list[h.at].at = h.at
	list[last] = nil
	h.node.allocs = list[:last]
}

// jobIndex counts the tasks of one job by rack and failure domain.
type jobIndex struct {
	tasks   map[structs.TaskID]int
	racks   map[*rack]int
	domains map[rackKey]int
}

func newJobIndex() *jobIndex {
	return &jobIndex{
		tasks:   make(map[structs.TaskID]int),
		racks:   make(map[*rack]int),
		domains: make(map[rackKey]int),
	}
}

// count adds by to the counters of a task on a rack.
func (j *jobIndex) count(task structs.TaskID, r *rack, by int) {
	addCount(j.tasks, task, by)
	addCount(j.racks, r, by)
	addCount(j.domains, r.domainKey(), by)
}

// addCount adds by to a counter and drops a counter that reaches zero.
func addCount[K comparable](m map[K]int, key K, by int) {
	m[key] += by
	if m[key] == 0 {
		delete(m, key)
	}
}

// jobOf returns the job of a task; a malformed ID is a job of its own.
func jobOf(task structs.TaskID) string {
	job, _, err := task.Split()
	if err != nil {
		return string(task)
	}
	return job
}
