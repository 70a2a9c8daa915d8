package authority

import (
	"cmp"
	"slices"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// MembershipChange is the log record that changes the membership table. It takes effect
// only if its base is the current epoch at its offset in the log. Of two concurrent
// changes, only one therefore takes effect, and a repeated append has no effect. A
// change without joins and removals only raises the epoch, which releases members that
// consented to a change that was never appended.
type MembershipChange struct {
	ID     string           `json:"id"`
	Base   int64            `json:"base"`
	Join   []structs.Member `json:"join,omitempty"`
	Remove []string         `json:"remove,omitempty"`
	// Consents are the members of the base table that consented.
	Consents []string `json:"consents,omitempty"`
	// Forced is set if members in ConfirmedGone were counted as consenting because no
	// quorum was left.
	Forced bool `json:"forced,omitempty"`
	// ConfirmedGone are removed members that the platform's list has shown as gone.
	ConfirmedGone []string `json:"gone,omitempty"`
}

// MembershipState is the result of the membership records up to an offset. Snapshots
// contain it in this form.
type MembershipState struct {
	Table ownership.Table `json:"table"`
	// Unconfirmed are members that were in the table before a forced change and that no
	// later record has shown to have read it. They may still have authority by each
	// other's attestations, for an unlimited time.
	Unconfirmed []UnconfirmedMember `json:"doubtful,omitempty"`
}

// UnconfirmedMember is a member with the epoch of the forced change that it may not
// have read.
type UnconfirmedMember struct {
	Member string `json:"member"`
	Epoch  int64  `json:"epoch"`
}

// ApplyChange returns the state after the change at the given log offset. For a change
// without effect, it returns the unchanged state and an error: CodeConflict if the base
// is not the current epoch, CodeInvalid if the change is inconsistent or lacks
// consents. Every reader applies the same rule to the same records.
func ApplyChange(s MembershipState, offset int64, c MembershipChange) (MembershipState, error) {
	base := ownership.NewMap(s.Table)
	table, err := nextTable(s.Table, offset, c)
	if err != nil {
		return s, err
	}
	if err := validateForced(c); err != nil {
		return s, err
	}
	for _, g := range ownership.AffectedGroups(base, ownership.NewMap(table)) {
		if !c.hasConsentOf(g.IDs()) {
			return s, structs.NewError(structs.CodeInvalid, "change %s: too few consents of group %s", c.ID, g.Name)
		}
	}
	return MembershipState{Table: table, Unconfirmed: nextUnconfirmed(s, offset, c)}, nil
}

// nextTable returns the table after the joins and removals of a change.
func nextTable(t ownership.Table, offset int64, c MembershipChange) (ownership.Table, error) {
	if c.Base != t.Epoch {
		return t, structs.NewError(structs.CodeConflict, "change %s is based on epoch %d, the table is at %d", c.ID, c.Base, t.Epoch)
	}
	if offset <= t.Epoch {
		return t, structs.NewError(structs.CodeInvalid, "change %s: offset %d is not after epoch %d", c.ID, offset, t.Epoch)
	}
	next := ownership.Table{Epoch: offset, Members: slices.Clone(t.Members)}
	for _, id := range c.Remove {
		i := slices.IndexFunc(next.Members, func(m structs.Member) bool { return m.ID == id })
		if i < 0 {
			return t, structs.NewError(structs.CodeInvalid, "change %s removes %s, which is not in the table", c.ID, id)
		}
		next.Members = slices.Delete(next.Members, i, i+1)
	}
	for _, m := range c.Join {
		if m.ID == "" || m.Region == "" || t.HasMember(m.ID) || next.HasMember(m.ID) {
			return t, structs.NewError(structs.CodeInvalid, "change %s: member %q can't join", c.ID, m.ID)
		}
		next.Members = append(next.Members, m)
	}
	slices.SortFunc(next.Members, func(a, b structs.Member) int { return cmp.Compare(a.ID, b.ID) })
	return next, nil
}

// validateForced checks that only removed members are counted as gone, and that the
// record is then marked as forced.
func validateForced(c MembershipChange) error {
	if !c.Forced && len(c.ConfirmedGone) > 0 {
		return structs.NewError(structs.CodeInvalid, "change %s counts members as gone but is not forced", c.ID)
	}
	for _, id := range c.ConfirmedGone {
		if !slices.Contains(c.Remove, id) || slices.Contains(c.Consents, id) {
			return structs.NewError(structs.CodeInvalid, "change %s: member %s can't be counted as gone", c.ID, id)
		}
	}
	return nil
}

// hasConsentOf reports whether the change has sufficient consents of a group. Members
// counted as gone contribute only if the others can no longer form a quorum.
func (c MembershipChange) hasConsentOf(group []string) bool {
	consented := func(i int) bool { return slices.Contains(c.Consents, group[i]) }
	if IsQuorum(group, consented) {
		return true
	}
	gone := func(i int) bool { return slices.Contains(c.ConfirmedGone, group[i]) }
	if !c.Forced || IsQuorum(group, func(i int) bool { return !gone(i) }) {
		return false
	}
	return IsQuorum(group, func(i int) bool { return consented(i) || gone(i) })
}

// nextUnconfirmed returns the unconfirmed members after a change: the earlier ones that
// have not consented to it, and all members of the base table if the change is forced.
func nextUnconfirmed(s MembershipState, offset int64, c MembershipChange) []UnconfirmedMember {
	var unconfirmed []UnconfirmedMember
	for _, u := range s.Unconfirmed {
		if !slices.Contains(c.Consents, u.Member) {
			unconfirmed = append(unconfirmed, u)
		}
	}
	if !c.Forced {
		return unconfirmed
	}
	for _, m := range s.Table.Members {
		unconfirmed = slices.DeleteFunc(unconfirmed, func(u UnconfirmedMember) bool { return u.Member == m.ID })
		unconfirmed = append(unconfirmed, UnconfirmedMember{Member: m.ID, Epoch: offset})
	}
	return unconfirmed
}

// ConfirmStopped returns the state after an operator has confirmed that a member no
// longer runs.
func ConfirmStopped(s MembershipState, member string) MembershipState {
	var unconfirmed []UnconfirmedMember
	for _, u := range s.Unconfirmed {
		if u.Member != member {
			unconfirmed = append(unconfirmed, u)
		}
	}
	s.Unconfirmed = unconfirmed
	return s
}
