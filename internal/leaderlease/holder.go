package leaderlease

import (
	"maps"
	"slices"
	"time"
)

// Holder is the leader lease of the controller of an epoch, as the controller sees it.
type Holder struct {
	timing Timing
	// confirmedAt is the start of the last call of the store that showed the epoch to be current,
	// renewedAt that of the last call or round of calls that renewed the lease.
	confirmedAt, renewedAt time.Time
	// proposed is the newest witness set. storing are the sets that a successor may find in the
	// store: the one stored last and all that were proposed after it. A renewal needs the
	// witnesses of each of them.
	proposed *WitnessSet
	storing  []*WitnessSet
	stored   bool // the first of storing is stored
}

// NewHolder returns a lease that has never been renewed.
func NewHolder(t Timing) *Holder { return &Holder{timing: t} }

// ConfirmedAt returns the start of the last call of the store that showed the epoch to be current.
func (h *Holder) ConfirmedAt() time.Time { return h.confirmedAt }

// RenewedAt returns the time from which the lease runs.
func (h *Holder) RenewedAt() time.Time { return h.renewedAt }

// Confirm renews the lease: a call of the store that was begun at start showed the epoch to be current.
func (h *Holder) Confirm(start time.Time) {
	if start.After(h.confirmedAt) {
		h.confirmedAt = start
	}
	h.renew(start)
}

// RenewByWitnesses renews the lease if enough witnesses follow the epoch, and reports whether they do.
// The nodes in follows were all asked at start or later.
func (h *Holder) RenewByWitnesses(start time.Time, follows map[string]bool) bool {
	if !h.stored {
		return false
	}
	for _, s := range h.storing {
		if !s.renewable(follows) {
			return false
		}
	}
	h.renew(start)
	return true
}

func (h *Holder) renew(start time.Time) {
	if start.After(h.renewedAt) {
		h.renewedAt = start
	}
}

// Valid reports whether the controller may issue orders at now.
func (h *Holder) Valid(now time.Time) bool {
	return now.Sub(h.renewedAt) < h.timing.Lease && now.Sub(h.confirmedAt) < h.timing.MaxLease
}

// Propose makes a set the newest one and reports whether it differs from the one before. The caller has
// to store it and to call Storing before and Stored after that.
func (h *Holder) Propose(set WitnessSet) bool {
	if h.proposed != nil && slices.Equal(h.proposed.Nodes, set.Nodes) {
		return false
	}
	h.proposed = &set
	return true
}

// Proposed returns the newest set, nil if there is none.
func (h *Holder) Proposed() *WitnessSet { return h.proposed }

// Storing records that a set, the newest one, is about to be stored.
func (h *Holder) Storing(set *WitnessSet) {
	if len(h.storing) == 0 || h.storing[len(h.storing)-1] != set {
		h.storing = append(h.storing, set)
	}
}

// Stored records that a set is stored. A successor finds this set or a later one.
func (h *Holder) Stored(set *WitnessSet) {
	if i := slices.Index(h.storing, set); i >= 0 {
		h.storing = h.storing[i:]
		h.stored = true
	}
}

// Witnesses returns the nodes to ask for a renewal, in order. There are none before a set is stored.
func (h *Holder) Witnesses() []string {
	if !h.stored {
		return nil
	}
	nodes := map[string]struct{}{}
	for _, s := range h.storing {
		for _, node := range s.Nodes {
			nodes[node] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(nodes))
}
