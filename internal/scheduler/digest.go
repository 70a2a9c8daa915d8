package scheduler

import "dotterelhitch/internal/structs"

// Digest is the load of a NodeSet as peers are told of it.
type Digest struct {
	// Free and Total are sums over usable workers.
	Free, Total structs.Resources
	// Largest is the most that is free on any one worker, each component by
	// itself.
	Largest structs.Resources
	// FreeSlots and TotalSlots count requests over usable workers.
	FreeSlots, TotalSlots int
	// Workers counts all workers, Unknown those not inventoried or unreachable.
	Workers, UnknownWorkers int
	// ReservedFree is what is free on workers that are held for a job.
	ReservedFree structs.Resources
}

// Digest returns the digest of the set. It reads every node.
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

// add adds a usable node.
func (d *Digest) add(n *Node) {
	free := n.Free()
	d.Total = d.Total.Add(n.worker.Size)
	d.TotalSlots += n.worker.Slots
	d.FreeSlots += max(n.worker.Slots-n.slots, 0)
	if n.hold != "" {
		d.ReservedFree = d.ReservedFree.Add(free)
		return
	}
	d.Free = d.Free.Add(free)
	d.Largest = maxResources(d.Largest, free)
}
