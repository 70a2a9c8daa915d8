package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"dotterelhitch/internal/structs"
)

// Reason states why a worker was not chosen for a task.
type Reason string

// The reasons, in the order in which they are checked.
const (
	ReasonInvalidSize         Reason = "invalid_size"
	ReasonNotInventoried      Reason = "inventory_not_read"
	ReasonUnreachable         Reason = "unreachable"
	ReasonLeaving             Reason = "leaving"
	ReasonDraining            Reason = "draining"
	ReasonProbation           Reason = "probation"
	ReasonFormerOwner         Reason = "former_owner"
	ReasonWorkerTooSmall      Reason = "worker_too_small"
	ReasonTaskFailedThere     Reason = "task_failed_there"
	ReasonReservedForOtherJob Reason = "held_for_another_job"
	ReasonProcessorFull       Reason = "processor_full"
	ReasonMemoryFull          Reason = "memory_full"
	ReasonAcceleratorsFull    Reason = "accelerators_full"
	ReasonAcceleratorReserve  Reason = "kept_for_accelerator_work"
	ReasonNotAllTasksFit      Reason = "not_room_for_all_tasks"
)

// Rejection is a reason with the number of workers that it excluded.
type Rejection struct {
	Reason  Reason
	Workers int
}

// String returns the rejection as readable text.
func (r Rejection) String() string { return fmt.Sprintf("%s on %d workers", r.Reason, r.Workers) }

// Explain counts the workers of a set by the first reason that excludes them for the
// requested tasks, the most frequent reason first. It visits every node.
func Explain(s *NodeSet, req PlacementRequest) []Rejection {
	var list []Rejection
	for _, r := range s.topo.racks {
		for _, n := range r.nodes {
			list = countReason(list, n.rejectionReason(&req))
		}
	}
	slices.SortFunc(list, func(a, b Rejection) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// countReason adds one worker to a reason. A linear search suffices because there are
// few reasons.
func countReason(list []Rejection, reason Reason) []Rejection {
	for i := range list {
		if list[i].Reason == reason {
			list[i].Workers++
			return list
		}
	}
	return append(list, Rejection{Reason: reason, Workers: 1})
}

// rejectionReason returns the first reason that excludes the node. A node on which a
// task would fit was excluded because the tasks of the request did not all fit.
func (n *Node) rejectionReason(req *PlacementRequest) Reason {
	if reason := n.stateRejection(); reason != "" {
		return reason
	}
	switch {
	case req.Size.HasNegative() || req.Size.IsZero():
		return ReasonInvalidSize
	case !req.Size.Fits(n.worker.Size):
		return ReasonWorkerTooSmall
	case req.avoids(n.worker.ID):
		return ReasonTaskFailedThere
	case n.reservedFor != "" && n.reservedFor != req.Job:
		return ReasonReservedForOtherJob
	}
	return n.sizeRejection(req.Size)
}

// stateRejection returns why the node accepts no new work, empty if it does.
func (n *Node) stateRejection() Reason {
	switch {
	case !n.HasFlags(FlagInventoried):
		return ReasonNotInventoried
	case n.HasFlags(FlagUnreachable):
		return ReasonUnreachable
	case n.HasFlags(FlagDraining):
		return ReasonDraining
	case n.HasFlags(FlagProbation):
		return ReasonProbation
	case n.HasFlags(FlagFormerOwner):
		return ReasonFormerOwner
	case !n.Usable():
		return ReasonLeaving
	}
	return ""
}

// sizeRejection returns the first component of a size that does not fit.
func (n *Node) sizeRejection(size structs.Resources) Reason {
	free := n.Free()
	switch {
	case size.CPUMilli > free.CPUMilli:
		return ReasonProcessorFull
	case size.MemoryMiB > free.MemoryMiB:
		return ReasonMemoryFull
	case size.Accelerators > free.Accelerators:
		return ReasonAcceleratorsFull
	case !size.Fits(n.freeForSize(size)):
		return ReasonAcceleratorReserve
	}
	return ReasonNotAllTasksFit
}
