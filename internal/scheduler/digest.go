package scheduler

import "dotterelhitch/internal/structs"

// Digest is the load summary of a NodeSet that is sent to peers.
type Digest struct {
	// Free and Total are sums over usable workers.
	Free, Total structs.Resources
	// Largest is the maximum of what is free on a single worker, taken separately for
	// each component.
	Largest structs.Resources
	// FreeSlots and TotalSlots are request slots, summed over usable workers.
	FreeSlots, TotalSlots int
	// Workers counts all workers. UnknownWorkers counts those that are unreachable or
	// whose inventory has not been read.
	Workers, UnknownWorkers int
	// ReservedFree is the sum of what is free on workers reserved for a job; Free does
	// not include it.
	ReservedFree structs.Resources
}

// Digest returns the digest of the set. It visits every node.
func (s *NodeSet) Digest() Digest {
	d := Digest{Workers: len(s.nodes)}
	for _, n := range s.nodes {
		if !n.HasFlags(FlagInventoried) || n.HasFlags(FlagUnreachable) {
			d.UnknownWorkers++
		}
		if n.Usable() {
			d.add(n)
		}
	}
	return d
}

// add includes a usable node in the digest.
func (d *Digest) add(n *Node) {
	free := n.Free()
	d.Total = d.Total.Add(n.worker.Size)
	d.TotalSlots += n.worker.Slots
	d.FreeSlots += max(n.worker.Slots-n.slotsInUse, 0)
	if n.reservedFor != "" {
		d.ReservedFree = d.ReservedFree.Add(free)
		return
	}
	d.Free = d.Free.Add(free)
	d.Largest = maxResources(d.Largest, free)
}
