package scheduler

import "dotterelhitch/internal/structs"

// nodeAlloc is an allocation counted on a node. next links to other attempts of the
// same task and to the same attempt reported by another worker.
type nodeAlloc struct {
	node  *Node
	alloc structs.Alloc
	next  *nodeAlloc
	// nodeIndex is the position in node.allocs.
	nodeIndex int
}

// attach adds the allocation to the list of its node.
func (na *nodeAlloc) attach() {
	na.nodeIndex = len(na.node.allocs)
	na.node.allocs = append(na.node.allocs, na)
}

// detach removes the allocation from the list of its node by moving the last one to its
// position.
func (na *nodeAlloc) detach() {
	list := na.node.allocs
	last := len(list) - 1
	list[na.nodeIndex] = list[last]
	list[na.nodeIndex].nodeIndex = na.nodeIndex
	list[last] = nil
	na.node.allocs = list[:last]
}

// jobCounts counts the tasks of one job by task, rack and failure domain.
type jobCounts struct {
	tasks   map[structs.TaskID]int
	racks   map[*rack]int
	domains map[rackKey]int
}

func newJobCounts() *jobCounts {
	return &jobCounts{
		tasks:   make(map[structs.TaskID]int),
		racks:   make(map[*rack]int),
		domains: make(map[rackKey]int),
	}
}

// add adds delta to the counters of a task on a rack.
func (j *jobCounts) add(task structs.TaskID, r *rack, delta int) {
	addCount(j.tasks, task, delta)
	addCount(j.racks, r, delta)
	addCount(j.domains, r.domainKey(), delta)
}

// addCount adds delta to a counter and deletes a counter that reaches zero.
func addCount[K comparable](m map[K]int, key K, delta int) {
	m[key] += delta
	if m[key] == 0 {
		delete(m, key)
	}
}

// jobOf returns the job of a task; a malformed task ID is treated as a job of its own.
func jobOf(task structs.TaskID) string {
	job, _, err := task.Split()
	if err != nil {
		return string(task)
	}
	return job
}
