package leaderlease

import (
	"slices"
	"time"
)

// Predecessor is the controller whose claim is the newest before a successor's own.
type Predecessor struct {
	Epoch int64
	// UsesWitnesses says that the controller keeps to this package. One of an earlier program may
	// issue orders for Timing.MaxLease after a call of the store.
	UsesWitnesses bool
}

// Predecessors are the earlier controllers of a cell, as their successor sees them.
type Predecessors struct {
	timing   Timing
	fencedAt time.Time
	// bounded says that the witness sets of all earlier controllers that may still issue orders
	// are known: those in sets.
	bounded bool
	from    int64 // the oldest epoch for which that holds
	sets    []WitnessSet
	// left are the nodes that follow the successor's epoch.
	left   map[string]bool
	expiry time.Time
}

// NewPredecessors returns the earlier controllers after a successor has fenced the store at fencedAt and
// then read record, the zero value if there was none. All controllers of epochs below endedBefore are
// known to have ended. last is the predecessor.
func NewPredecessors(t Timing, fencedAt time.Time, record Record, endedBefore int64, last Predecessor) *Predecessors {
	p := &Predecessors{
		timing:   t,
		fencedAt: fencedAt,
		left:     map[string]bool{},
		expiry:   fencedAt.Add(t.MaxLease),
	}
	switch {
	case !last.UsesWitnesses:
	case record.Epoch == last.Epoch && record.From <= endedBefore:
		p.bounded = true
		p.sets = slices.DeleteFunc(slices.Clone(record.Sets), func(s WitnessSet) bool { return s.Epoch < endedBefore })
	case endedBefore == last.Epoch:
		// The predecessor is the only one, and has stored no witnesses.
		p.bounded = true
	}
	p.from = min(endedBefore, last.Epoch)
	p.update(fencedAt)
	return p
}

// Follows records that a node follows the successor's epoch at now.
func (p *Predecessors) Follows(node string, now time.Time) {
	if p.left[node] {
		return
	}
	p.left[node] = true
	p.update(now)
}

// Ended records that the controller of an epoch issues no more orders.
func (p *Predecessors) Ended(epoch int64, now time.Time) {
	p.sets = slices.DeleteFunc(p.sets, func(s WitnessSet) bool { return s.Epoch == epoch })
	p.update(now)
}

// update lowers the expiry if no predecessor can renew its lease after now.
func (p *Predecessors) update(now time.Time) {
	if !p.bounded || slices.ContainsFunc(p.sets, func(s WitnessSet) bool { return !s.revoked(p.left) }) {
		return
	}
	if at := expiry(now, p.timing.Lease); at.Before(p.expiry) {
		p.expiry = at
	}
}

// Expiry returns the time by which the leases of all predecessors have expired.
func (p *Predecessors) Expiry() time.Time { return p.expiry }

// Record returns what the successor of an epoch stores for its own successors: its witness set, which
// may be nil, and those of its predecessors.
func (p *Predecessors) Record(epoch int64, own *WitnessSet) Record {
	r := Record{Epoch: epoch, From: epoch}
	if p.bounded {
		r.From = p.from
		r.Sets = slices.Clone(p.sets)
	}
	if own != nil {
		r.Sets = append(r.Sets, *own)
	}
	return r
}
