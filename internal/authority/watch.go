package authority

import (
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// FailureDetector determines which members of the group are silent, which member should
// propose their removal, and whether this member consents to a removal. It only avoids
// unnecessary changes; safety does not depend on it.
type FailureDetector struct {
	self string
	// suspectAfter is the silence after which a member is suspected.
	suspectAfter time.Duration
	lastMessage  map[string]time.Time
}

// NewFailureDetector returns a detector that suspects a member after the given silence.
func NewFailureDetector(self string, suspect time.Duration) *FailureDetector {
	return &FailureDetector{self: self, suspectAfter: suspect, lastMessage: make(map[string]time.Time)}
}

// SetGroup sets the member's group. The silence of a new member starts at now.
func (d *FailureDetector) SetGroup(group []string, now time.Time) {
	lastMessage := make(map[string]time.Time, len(group))
	for _, id := range group {
		lastMessage[id] = now
		if at, found := d.lastMessage[id]; found {
			lastMessage[id] = at
		}
	}
	d.lastMessage = lastMessage
}

// RecordMessage records a message from a member.
func (d *FailureDetector) RecordMessage(member string, now time.Time) {
	if _, found := d.lastMessage[member]; found {
		d.lastMessage[member] = now
	}
}

// ResetAfterPause restarts the silence of all members at now. It is called after a
// pause of this process, during which no message could be received.
func (d *FailureDetector) ResetAfterPause(now time.Time) {
	for id := range d.lastMessage {
		d.lastMessage[id] = now
	}
}

// SilentMembers returns the members silent for at least the configured time, ordered by
// ID.
func (d *FailureDetector) SilentMembers(now time.Time) []string {
	var silent []string
	for id, at := range d.lastMessage {
		if id != d.self && now.Sub(at) >= d.suspectAfter {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// ShouldPropose reports whether this member should propose a removal, which is the case
// if it has the lowest ID of those that are not silent. Concurrent proposals by others
// would only conflict.
func (d *FailureDetector) ShouldPropose(now time.Time) bool {
	silent := d.SilentMembers(now)
	for id := range d.lastMessage {
		if id < d.self && !slices.Contains(silent, id) {
			return false
		}
	}
	_, inGroup := d.lastMessage[d.self]
	return inGroup
}

// CheckRemovals returns CodeConflict if the change removes a member from which this one
// has recently received a message, unless that member proposes its own removal.
func (d *FailureDetector) CheckRemovals(c MembershipChange, proposer string, now time.Time) error {
	for _, id := range c.Remove {
		at, found := d.lastMessage[id]
		if found && id != proposer && id != d.self && now.Sub(at) < d.suspectAfter {
			return structs.NewError(structs.CodeConflict, "member %s sent a message %v ago", id, now.Sub(at).Round(time.Millisecond))
		}
	}
	return nil
}

// GoneTracker determines which entries the platform's list has shown as gone for longer
// than its lag.
type GoneTracker struct {
	goneSince map[string]time.Time
	lag       time.Duration
}

// Observe processes the IDs that the list shows as gone and the list's lag. If an entry
// is not shown as gone in between, its time starts again.
func (g *GoneTracker) Observe(gone []string, lag time.Duration, now time.Time) {
	goneSince := make(map[string]time.Time, len(gone))
	for _, id := range gone {
		goneSince[id] = now
		if at, found := g.goneSince[id]; found {
			goneSince[id] = at
		}
	}
	g.goneSince = goneSince
	g.lag = lag
}

// IsGone reports whether a member has been shown as gone for at least the lag and may
// be counted as gone.
func (g *GoneTracker) IsGone(member string, now time.Time) bool {
	at, found := g.goneSince[member]
	return found && now.Sub(at) >= g.lag
}
