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
	ReasonInvalid      Reason = "invalid_size"
	ReasonUnknown      Reason = "inventory_not_read"
	ReasonUnreachable  Reason = "unreachable"
	ReasonLeaving      Reason = "leaving"
	ReasonDraining     Reason = "draining"
	ReasonProbation    Reason = "probation"
	ReasonFormer       Reason = "former_owner"
	ReasonTooSmall     Reason = "worker_too_small"
	ReasonAvoided      Reason = "task_failed_there"
	ReasonHeld         Reason = "held_for_another_job"
	ReasonProcessor    Reason = "processor_full"
	ReasonMemory       Reason = "memory_full"
	ReasonAccelerators Reason = "accelerators_full"
	ReasonReserve      Reason = "kept_for_accelerator_work"
	ReasonNotWhole     Reason = "not_room_for_all_tasks"
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
func Explain(s *NodeSet, ask Ask) []Rejection {
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
func (n *Node) reject(ask *Ask) Reason {
	if reason := n.rejectState(); reason != "" {
		return reason
	}
	switch {
	case ask.Size.Negative() || ask.Size.IsZero():
		return ReasonInvalid
	case !ask.Size.Fits(n.worker.Size):
		return ReasonTooSmall
	case ask.avoids(n.worker.ID):
		return ReasonAvoided
	case n.hold != "" && n.hold != ask.Job:
		return ReasonHeld
	}
	return n.rejectSize(ask.Size)
}

// rejectState returns why the node gets no work at all, empty if it may.
func (n *Node) rejectState() Reason {
	switch {
	case !n.Has(FlagKnown):
		return ReasonUnknown
	case n.Has(FlagUnreachable):
		return ReasonUnreachable
	case n.Has(FlagDraining):
		return ReasonDraining
	case n.Has(FlagProbation):
		return ReasonProbation
	case n.Has(FlagFormer):
		return ReasonFormer
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
		return ReasonProcessor
	case size.MemoryMiB > free.MemoryMiB:
		return ReasonMemory
	case size.Accelerators > free.Accelerators:
		return ReasonAccelerators
	case !size.Fits(n.freeFor(size)):
		return ReasonReserve
	}
	return ReasonNotWhole
}
