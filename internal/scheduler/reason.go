package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"dotterelhitch/internal/structs"
)

// Reason is why a worker was not chosen for a task.
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

// Rejection is a reason with the number of workers that it kept out.
type Rejection struct {
	Reason  Reason
	Workers int
}

// String returns the rejection in plain words.
func (r Rejection) String() string { return fmt.Sprintf("%s on %d workers", r.Reason, r.Workers) }

// Explain counts the workers of a set by the first reason that keeps a task of the
// ask off them, most frequent first. It reads every node.
func Explain(s *NodeSet, ask PlacementRequest) []Rejection {
	var list []Rejection
	for _, r := range s.topo.racks {
		for _, n := range r.nodes {
			list = countReason(list, n.reject(&ask))
		}
	}
	slices.SortFunc(list, func(a, b Rejection) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// countReason adds one worker to a reason. The list is short.
func countReason(list []Rejection, reason Reason) []Rejection {
	for i := range list {
		if list[i].Reason == reason {
			list[i].Workers++
			return list
		}
	}
	return append(list, Rejection{Reason: reason, Workers: 1})
}

// reject returns the first reason that keeps a task of the ask off the node. A node
// that could take one was left out because the whole ask did not fit.
func (n *Node) reject(ask *PlacementRequest) Reason {
	if reason := n.rejectState(); reason != "" {
		return reason
	}
	switch {
	case ask.Size.HasNegative() || ask.Size.IsZero():
		return ReasonInvalidSize
	case !ask.Size.Fits(n.worker.Size):
		return ReasonWorkerTooSmall
	case ask.avoids(n.worker.ID):
		return ReasonTaskFailedThere
	case n.hold != "" && n.hold != ask.Job:
		return ReasonReservedForOtherJob
	}
	return n.rejectSize(ask.Size)
}

// rejectState returns why the node gets no work at all, empty if it may.
func (n *Node) rejectState() Reason {
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

// rejectSize returns which component of a size lacks room.
func (n *Node) rejectSize(size structs.Resources) Reason {
	free := n.Free()
	switch {
	case size.CPUMilli > free.CPUMilli:
		return ReasonProcessorFull
	case size.MemoryMiB > free.MemoryMiB:
		return ReasonMemoryFull
	case size.Accelerators > free.Accelerators:
		return ReasonAcceleratorsFull
	case !size.Fits(n.freeFor(size)):
		return ReasonAcceleratorReserve
	}
	return ReasonNotAllTasksFit
}
