package authority

import (
	"time"

	"dotterelhitch/internal/ownership"
)

// Expiry states when the permissions of an old owner have certainly expired.
type Expiry struct {
	// Never is true if no amount of time suffices, because of a forced change that the
	// old owner may not have read.
	Never bool
	// At is the time of expiry; zero if there was no other owner recently.
	At time.Time
}

// Expired reports whether the old owner's permissions have expired at now.
func (e Expiry) Expired(now time.Time) bool { return !e.Never && !now.Before(e.At) }

// Handover tells a new owner how long to treat the permissions of old owners as valid.
// It considers every owner in the recently read changes, not only the last one, since
// an intermediate owner may never have taken ownership itself.
type Handover struct {
	cfg          Config
	self         string
	tableChanges []tableChange
	// unconfirmed maps members whose permissions do not expire by time alone to the
	// epoch of the forced change.
	unconfirmed map[string]int64
	// highestEpoch is the highest epoch observed of each member.
	highestEpoch map[string]int64
	// confirmedExpiry is the time at which the permissions of a previously unconfirmed
	// member expire.
	confirmedExpiry map[string]time.Time
	releases        map[string]release
}

// tableChange is a change of the table that this member has read.
type tableChange struct {
	// base is the table before the change, nil if it is unknown.
	base   *ownership.Map
	epoch  int64
	readAt time.Time
}

// release states that a member has applied epoch and no longer holds anything that it
// does not own at that epoch.
type release struct {
	epoch int64
	at    time.Time
}

// NewHandover returns the state of a process that started with the given membership
// state, from a snapshot or empty, read at now. The earlier owners are unknown, so
// every wait starts at now.
func NewHandover(cfg Config, self string, s MembershipState, now time.Time) *Handover {
	h := &Handover{
		cfg:             cfg,
		self:            self,
		unconfirmed:     make(map[string]int64),
		highestEpoch:    make(map[string]int64),
		confirmedExpiry: make(map[string]time.Time),
		releases:        make(map[string]release),
	}
	if s.Table.Epoch > 0 {
		h.tableChanges = append(h.tableChanges, tableChange{epoch: s.Table.Epoch, readAt: now})
	}
	h.setUnconfirmed(s)
	return h
}

// ApplyTableChange processes a change: base is the table before it, s the state after
// it, and readAt the time when the member read the record.
func (h *Handover) ApplyTableChange(base *ownership.Map, s MembershipState, readAt time.Time) {
	h.tableChanges = append(h.tableChanges, tableChange{base: base, epoch: s.Table.Epoch, readAt: readAt})
	h.setUnconfirmed(s)
	h.dropExpiredChanges(readAt)
}

// ObserveEpoch processes any message in which a member states its epoch.
func (h *Handover) ObserveEpoch(member string, epoch int64, now time.Time) {
	if epoch > h.highestEpoch[member] {
		h.highestEpoch[member] = epoch
	}
	if forcedEpoch, found := h.unconfirmed[member]; found && epoch >= forcedEpoch {
		delete(h.unconfirmed, member)
		h.confirmedExpiry[member] = now.Add(h.cfg.AuthorityValidity + h.cfg.ClockMargin)
	}
}

// RecordRelease records a member's statement that it has applied epoch and has given up
// what it does not own at that epoch: it neither renews leases nor permits requests for
// it, and no such call is in flight.
func (h *Handover) RecordRelease(member string, epoch int64, now time.Time) {
	h.ObserveEpoch(member, epoch, now)
	if epoch > h.releases[member].epoch {
		h.releases[member] = release{epoch: epoch, at: now}
	}
}

// ConfirmStopped records an operator's confirmation that a member no longer runs.
func (h *Handover) ConfirmStopped(member string, now time.Time) {
	const maxEpoch = 1<<63 - 1
	h.RecordRelease(member, maxEpoch, now)
}

// TaskLeasesExpiry returns when the task leases that old owners of a worker may have
// renewed have expired. owner returns the worker's owner under a table.
func (h *Handover) TaskLeasesExpiry(owner func(*ownership.Map) string) Expiry {
	return h.expiry(h.cfg.MaxTaskLease+h.cfg.ClockMargin, owner)
}

// PlacementRightExpiry returns when old owners of a worker can no longer place work on
// it. That matters only for workers that do not reject old owners themselves.
func (h *Handover) PlacementRightExpiry(owner func(*ownership.Map) string) Expiry {
	return h.expiry(0, owner)
}

// expiry returns the latest expiry over all table changes, each extended by extra.
func (h *Handover) expiry(extra time.Duration, owner func(*ownership.Map) string) Expiry {
	var latest Expiry
	for i, c := range h.tableChanges {
		e := h.expiryOf(c, owner)
		if e.At.IsZero() && h.ownershipLost(i, owner) {
			e.At = c.readAt
		}
		if e.Never {
			return e
		}
		if e.At.IsZero() {
			continue
		}
		if at := e.At.Add(extra); at.After(latest.At) {
			latest.At = at
		}
	}
	return latest
}

// ownershipLost reports whether this member was the owner before the table change with
// index i but not after it. It may have renewed a lease until it read that change, and
// may later have regained ownership from an owner that released before that.
func (h *Handover) ownershipLost(i int, owner func(*ownership.Map) string) bool {
	c := h.tableChanges[i]
	if c.base == nil || owner(c.base) != h.self || i+1 == len(h.tableChanges) {
		return false
	}
	after := h.tableChanges[i+1].base
	return after == nil || owner(after) != h.self
}

// expiryOf returns the expiry of the permissions of the owner before one table change,
// zero if there was no owner or the owner was this member.
func (h *Handover) expiryOf(c tableChange, owner func(*ownership.Map) string) Expiry {
	byTime := c.readAt.Add(h.cfg.AuthorityValidity + h.cfg.ClockMargin)
	if c.base == nil {
		return Expiry{Never: len(h.unconfirmed) > 0, At: byTime}
	}
	oldOwner := owner(c.base)
	if oldOwner == "" || oldOwner == h.self {
		return Expiry{}
	}
	if h.confirmedExpiry[oldOwner].After(byTime) {
		byTime = h.confirmedExpiry[oldOwner]
	}
	if r := h.releases[oldOwner]; r.epoch >= c.epoch && r.at.Before(byTime) {
		return Expiry{At: r.at}
	}
	_, unconfirmed := h.unconfirmed[oldOwner]
	return Expiry{Never: unconfirmed, At: byTime}
}

// setUnconfirmed takes the unconfirmed members from the state, except those whose epoch
// has been observed since.
func (h *Handover) setUnconfirmed(s MembershipState) {
	clear(h.unconfirmed)
	for _, u := range s.Unconfirmed {
		if h.highestEpoch[u.Member] < u.Epoch {
			h.unconfirmed[u.Member] = u.Epoch
		}
	}
}

// dropExpiredChanges deletes the table changes that no longer cause a wait.
func (h *Handover) dropExpiredChanges(now time.Time) {
	wait := h.cfg.AuthorityValidity + h.cfg.MaxTaskLease + 2*h.cfg.ClockMargin
	kept := h.tableChanges[:0]
	for _, c := range h.tableChanges {
		if now.Before(c.readAt.Add(wait)) || h.mayHaveUnconfirmedOwner(c) {
			kept = append(kept, c)
		}
	}
	h.tableChanges = kept
}

// mayHaveUnconfirmedOwner reports whether an unconfirmed member may have been an owner
// before a table change.
func (h *Handover) mayHaveUnconfirmedOwner(c tableChange) bool {
	for id := range h.unconfirmed {
		if c.base == nil || c.base.Table().HasMember(id) {
			return true
		}
	}
	return false
}
