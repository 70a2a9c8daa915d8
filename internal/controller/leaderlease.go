package controller

import (
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/leaderlease"
)

// ConfirmEpoch records that a call of the store begun at start showed the epoch to be current. This
// renews the leader lease.
func (c *Controller) ConfirmEpoch(start time.Time) { c.lease.Confirm(start) }

// AwaitsConfirmation reports whether the runs on an unreachable worker are given up as soon as a call of
// the store shows that the epoch is still current.
func (c *Controller) AwaitsConfirmation() bool { return c.awaitsConfirmation }

// RenewByWitnesses renews the leader lease if enough witnesses follow the epoch, and reports whether
// they do. The nodes in follows were all asked at start or later.
func (c *Controller) RenewByWitnesses(start time.Time, follows map[string]bool) bool {
	return c.lease.RenewByWitnesses(start, follows)
}

// HasLeaderLease reports whether the controller may issue orders at now: its leader lease has
// not expired and it is not fenced.
func (c *Controller) HasLeaderLease(now time.Time) bool {
	return !c.fenced && c.lease.Valid(now)
}

// SetWitnesses makes the members on some nodes, in order, the witnesses of the leader lease once that
// is stored.
func (c *Controller) SetWitnesses(nodes []string) {
	if c.lease.Propose(leaderlease.WitnessSet{Epoch: c.epoch, Nodes: nodes}) {
		c.dirty.leaseRecord = true
	}
}

// Witnesses returns the nodes to ask for a renewal of the leader lease.
func (c *Controller) Witnesses() []string { return c.lease.Witnesses() }

// BoundPredecessors bounds the leader leases of the earlier controllers, of which last is the newest.
// The store was fenced at fencedAt and then read by Load, which was over at now.
func (c *Controller) BoundPredecessors(last leaderlease.Predecessor, fencedAt, now time.Time) {
	c.predecessors = leaderlease.NewPredecessors(c.timing.LeaderLease, fencedAt, c.leaseRecord, c.predecessorsEndedBefore, last)
	c.SetPredecessorsExpiry(c.predecessors.Expiry())
	if last.UsesWitnesses && last.Epoch == c.leaseRecord.Epoch {
		c.loadUnreached(now)
	}
	c.updateLeaseRecord(now)
	c.dirty.leaseRecord = true
}

// FollowedBy records that the member on a node follows the controller's epoch at now.
func (c *Controller) FollowedBy(node string, now time.Time) {
	c.predecessors.Follows(node, now)
	c.lowerPredecessorsExpiry()
}

// PredecessorEnded records that the controller of an earlier epoch issues no more orders. If it was the
// only one that might, none does.
func (c *Controller) PredecessorEnded(epoch int64, now time.Time) {
	c.predecessors.Ended(epoch, now)
	c.lowerPredecessorsExpiry()
	if c.IsOnlyPossiblePredecessor(epoch) {
		c.SetPredecessorsExpiry(now)
	}
}

// lowerPredecessorsExpiry applies what is known of the predecessors' leases.
func (c *Controller) lowerPredecessorsExpiry() {
	at := c.predecessors.Expiry()
	if !at.Before(c.predecessorsExpiry) {
		return
	}
	c.record(event.Event{Type: event.PredecessorsBounded, Epoch: c.epoch, AgeMs: c.predecessorsExpiry.Sub(at).Milliseconds()})
	c.SetPredecessorsExpiry(at)
}

// SetPredecessorsExpiry records that no earlier controller issues orders after a time. The
// earliest time recorded counts.
func (c *Controller) SetPredecessorsExpiry(at time.Time) {
	if c.predecessorsExpiry.IsZero() || at.Before(c.predecessorsExpiry) {
		c.predecessorsExpiry = at
		c.boundInheritedStarts(at)
	}
}

// IsOnlyPossiblePredecessor reports whether the controller of an epoch is the only earlier
// one that may still issue orders, since all before it are known to have ended.
func (c *Controller) IsOnlyPossiblePredecessor(epoch int64) bool {
	return epoch == 0 || epoch == c.predecessorsEndedBefore
}
