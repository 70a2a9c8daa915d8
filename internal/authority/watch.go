package authority

import (
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// FailureDetector says which members of the group have been silent, who is to propose their
// removal, and whether this member consents to a removal. It only spares needless
// changes; safety does not rest on it.
type FailureDetector struct {
	self string
	// suspect is how long a member may be silent.
	suspect time.Duration
	heard   map[string]time.Time
}

// NewFailureDetector returns a watch that suspects a member after the given silence.
func NewFailureDetector(self string, suspect time.Duration) *FailureDetector {
	return &FailureDetector{self: self, suspect: suspect, heard: make(map[string]time.Time)}
}

// SetGroup takes over the member's group. A new member counts as heard now.
func (w *FailureDetector) SetGroup(group []string, now time.Time) {
	heard := make(map[string]time.Time, len(group))
	for _, id := range group {
		heard[id] = now
		if at, found := w.heard[id]; found {
			heard[id] = at
		}
	}
	w.heard = heard
}

// RecordMessage counts a message from a member.
func (w *FailureDetector) RecordMessage(member string, now time.Time) {
	if _, found := w.heard[member]; found {
		w.heard[member] = now
	}
}

// ResetAfterPause forgets silences after a pause of this process, which heard no one.
func (w *FailureDetector) ResetAfterPause(now time.Time) {
	for id := range w.heard {
		w.heard[id] = now
	}
}

// SilentMembers returns the silent members in order of their IDs.
func (w *FailureDetector) SilentMembers(now time.Time) []string {
	var silent []string
	for id, at := range w.heard {
		if id != w.self && now.Sub(at) >= w.suspect {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// ShouldPropose reports whether this member is the one to propose a removal: the lowest
// of the group that is not silent. Others would only race it.
func (w *FailureDetector) ShouldPropose(now time.Time) bool {
	silent := w.SilentMembers(now)
	for id := range w.heard {
		if id < w.self && !slices.Contains(silent, id) {
			return false
		}
	}
	_, member := w.heard[w.self]
	return member
}

// CheckRemovals returns an error if this member has lately heard one that the change
// removes, unless that one proposes it itself.
func (w *FailureDetector) CheckRemovals(c MembershipChange, proposer string, now time.Time) error {
	for _, id := range c.Remove {
		at, found := w.heard[id]
		if found && id != proposer && id != w.self && now.Sub(at) < w.suspect {
			return structs.NewError(structs.CodeConflict, "member %s was heard %v ago", id, now.Sub(at).Round(time.Millisecond))
		}
	}
	return nil
}

// GoneTracker says which entries the platform's list has shown as gone for longer
// than its lag.
type GoneTracker struct {
	since map[string]time.Time
	lag   time.Duration
}

// Observe takes over the IDs that the list shows as gone, and its lag. An entry
// that is shown otherwise in between starts anew.
func (g *GoneTracker) Observe(gone []string, lag time.Duration, now time.Time) {
	since := make(map[string]time.Time, len(gone))
	for _, id := range gone {
		since[id] = now
		if at, found := g.since[id]; found {
			since[id] = at
		}
	}
	g.since = since
	g.lag = lag
}

// IsGone reports whether a member may be counted as gone.
func (g *GoneTracker) IsGone(member string, now time.Time) bool {
	at, found := g.since[member]
	return found && now.Sub(at) >= g.lag
}
