package scheduler

import "dotterelhitch/internal/structs"

// Node is a worker with what the owner has placed on it or found there. Its fields
// change through the methods of the NodeSet that holds it.
type Node struct {
	worker  structs.Worker
	flags   Flag
	used    structs.Resources
	excess  structs.Resources
	lasting structs.Resources
	allocs  []*held
	slots   int
	perJob  map[string]int
	class   map[string]int
	hold    string

	seed   uint64
	rack   *rack
	bucket *bucket
	// at is the node's position in its bucket.
	at int
}

// Worker returns the worker as it was last listed.
func (n *Node) Worker() structs.Worker { return n.worker }

// ID returns the worker's name.
func (n *Node) ID() string { return n.worker.ID }

// Used returns the resources of running, starting and reserved tasks. It may exceed
// the worker's size where an inventory showed more than was placed.
func (n *Node) Used() structs.Resources { return n.used }

// Free returns the worker's size less what is used and what tasks were seen to use
// above that, no component below zero.
func (n *Node) Free() structs.Resources {
	return clampPositive(n.worker.Size.Sub(n.used).Sub(n.excess))
}

// TaskCount returns the number of allocations counted on the worker.
func (n *Node) TaskCount() int { return len(n.allocs) }

// JobTaskCount returns how many of them belong to a job.
func (n *Node) JobTaskCount(job string) int { return n.perJob[job] }

// ClassTaskCount returns how many of them belong to a class.
func (n *Node) ClassTaskCount(class string) int { return n.class[class] }

// SlotsUsed returns the number of requests in flight to the worker's endpoint.
func (n *Node) SlotsUsed() int { return n.slots }

// HasFlags reports whether every flag in f is set.
func (n *Node) HasFlags(f Flag) bool { return n.flags&f == f }

// ReservedFor returns the job for which the worker is held, empty if there is none.
func (n *Node) ReservedFor() string { return n.hold }

// Usable reports whether new tasks and requests may go to the worker.
func (n *Node) Usable() bool {
	if n.flags&FlagInventoried == 0 || n.flags&blocking != 0 {
		return false
	}
	return n.worker.State == "" || n.worker.State == structs.WorkerLive
}

// freeFor returns what a task of a size may take. Work that needs no accelerator
// leaves part of the worker for each accelerator that is free, unless it is so
// large that it could then never run there.
func (n *Node) freeFor(size structs.Resources) structs.Resources {
	return n.beside(size, n.Free())
}

// spare returns what is free beyond the full even share of each free accelerator:
// room that work with accelerators does not miss.
func (n *Node) spare() structs.Resources {
	free := n.Free()
	if n.worker.Size.Accelerators == 0 {
		return free
	}
	return clampPositive(free.Sub(acceleratorShare(n.worker.Size, free.Accelerators)))
}

// beside returns the part of free that a task of a size may take.
func (n *Node) beside(size, free structs.Resources) structs.Resources {
	total := n.worker.Size.Accelerators
	if size.Accelerators > 0 || total == 0 || free.Accelerators == 0 {
		return free
	}
	if !size.Fits(n.worker.Size.Sub(acceleratorReserve(n.worker.Size, total))) {
		return free
	}
	return clampPositive(free.Sub(acceleratorReserve(n.worker.Size, free.Accelerators)))
}

// acceleratorReserveDivisor is the inverse of the part of an accelerator's even
// share of processor and memory that work without accelerators leaves untouched.
const acceleratorReserveDivisor = 2

// acceleratorReserve returns the processor and memory kept for idle accelerators.
func acceleratorReserve(size structs.Resources, idle int64) structs.Resources {
	share := acceleratorShare(size, idle)
	return structs.Resources{
		CPUMilli:  share.CPUMilli / acceleratorReserveDivisor,
		MemoryMiB: share.MemoryMiB / acceleratorReserveDivisor,
	}
}

// acceleratorShare returns the even share of processor and memory of some of a
// worker's accelerators.
func acceleratorShare(size structs.Resources, count int64) structs.Resources {
	return structs.Resources{
		CPUMilli:  size.CPUMilli * count / size.Accelerators,
		MemoryMiB: size.MemoryMiB * count / size.Accelerators,
	}
}

// clampPositive returns r with negative components set to zero.
func clampPositive(r structs.Resources) structs.Resources {
	r.CPUMilli = max(r.CPUMilli, 0)
	r.MemoryMiB = max(r.MemoryMiB, 0)
	r.Accelerators = max(r.Accelerators, 0)
	return r
}

// capacity returns how many tasks of a size fit into free.
func capacity(free, size structs.Resources) int {
	return int(size.FitCount(free, structs.MaxTasksPerJob))
}
