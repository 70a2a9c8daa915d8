package scheduler

import "dotterelhitch/internal/structs"

// Node is a worker with the allocations that its owner has placed on it or found in its
// inventory. Only methods of the NodeSet that contains the node change its fields.
type Node struct {
	worker structs.Worker
	flags  Flag
	used   structs.Resources
	// excessUse is what the tasks were reported to use above their grants.
	excessUse structs.Resources
	// longRunning is the part of used granted to tasks that run until they are stopped.
	longRunning structs.Resources
	allocs      []*nodeAlloc
	slotsInUse  int
	perJob      map[string]int
	perClass    map[string]int
	reservedFor string

	seed   uint64
	rack   *rack
	bucket *bucket
	// bucketIndex is the node's position in its bucket.
	bucketIndex int
}

// Worker returns the worker's description from the latest list.
func (n *Node) Worker() structs.Worker { return n.worker }

// ID returns the worker's ID.
func (n *Node) ID() string { return n.worker.ID }

// Used returns the resources granted to running, starting and reserved tasks. It
// exceeds the worker's size if an inventory showed more than was placed.
func (n *Node) Used() structs.Resources { return n.used }

// Free returns the worker's size minus what is granted and minus what tasks were
// reported to use above their grants. No component is negative.
func (n *Node) Free() structs.Resources {
	return clampToZero(n.worker.Size.Sub(n.used).Sub(n.excessUse))
}

// TaskCount returns the number of allocations counted on the worker.
func (n *Node) TaskCount() int { return len(n.allocs) }

// JobTaskCount returns the number of a job's allocations counted on the worker.
func (n *Node) JobTaskCount(job string) int { return n.perJob[job] }

// ClassTaskCount returns the number of a class's allocations counted on the worker.
func (n *Node) ClassTaskCount(class string) int { return n.perClass[class] }

// SlotsUsed returns the number of requests in flight to the worker's endpoint.
func (n *Node) SlotsUsed() int { return n.slotsInUse }

// HasFlags reports whether every flag in f is set.
func (n *Node) HasFlags(f Flag) bool { return n.flags&f == f }

// ReservedFor returns the job for which the worker is reserved, empty if there is none.
func (n *Node) ReservedFor() string { return n.reservedFor }

// Usable reports whether the worker accepts new tasks and requests.
func (n *Node) Usable() bool {
	if n.flags&FlagInventoried == 0 || n.flags&blockingFlags != 0 {
		return false
	}
	return n.worker.State == "" || n.worker.State == structs.WorkerLive
}

// freeForSize returns the free resources that a task of the given size may use. For a
// task without accelerators, that excludes a reserve of processor and memory for each
// free accelerator, unless the task is so large that it could then never run on the
// worker.
func (n *Node) freeForSize(size structs.Resources) structs.Resources {
	return n.availableTo(size, n.Free())
}

// freeBeyondAcceleratorShare returns the free resources without the full even share of
// each free accelerator. Tasks that use them take nothing from later tasks with
// accelerators.
func (n *Node) freeBeyondAcceleratorShare() structs.Resources {
	free := n.Free()
	if n.worker.Size.Accelerators == 0 {
		return free
	}
	return clampToZero(free.Sub(acceleratorShare(n.worker.Size, free.Accelerators)))
}

// availableTo returns the part of free that a task of the given size may use.
func (n *Node) availableTo(size, free structs.Resources) structs.Resources {
	total := n.worker.Size.Accelerators
	if size.Accelerators > 0 || total == 0 || free.Accelerators == 0 {
		return free
	}
	if !size.Fits(n.worker.Size.Sub(acceleratorReserve(n.worker.Size, total))) {
		return free
	}
	return clampToZero(free.Sub(acceleratorReserve(n.worker.Size, free.Accelerators)))
}

// acceleratorReserveDivisor divides an accelerator's even share of processor and memory
// to give the reserve that tasks without accelerators leave free.
const acceleratorReserveDivisor = 2

// acceleratorReserve returns the processor and memory reserved for idle accelerators.
func acceleratorReserve(size structs.Resources, idle int64) structs.Resources {
	share := acceleratorShare(size, idle)
	return structs.Resources{
		CPUMilli:  share.CPUMilli / acceleratorReserveDivisor,
		MemoryMiB: share.MemoryMiB / acceleratorReserveDivisor,
	}
}

// acceleratorShare returns the even share of a worker's processor and memory that
// belongs to count of its accelerators.
func acceleratorShare(size structs.Resources, count int64) structs.Resources {
	return structs.Resources{
		CPUMilli:  size.CPUMilli * count / size.Accelerators,
		MemoryMiB: size.MemoryMiB * count / size.Accelerators,
	}
}

// clampToZero returns r with negative components set to zero.
func clampToZero(r structs.Resources) structs.Resources {
	r.CPUMilli = max(r.CPUMilli, 0)
	r.MemoryMiB = max(r.MemoryMiB, 0)
	r.Accelerators = max(r.Accelerators, 0)
	return r
}

// tasksThatFit returns how many tasks of a size fit into free.
func tasksThatFit(free, size structs.Resources) int {
	return int(size.FitCount(free, structs.MaxTasksPerJob))
}
