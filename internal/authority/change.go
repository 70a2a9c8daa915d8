package authority

import (
	"cmp"
	"slices"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// MembershipChange is the log record that changes the membership table. It takes effect only
// if its base is the epoch at the place in the log where it landed, so of two
// changes that race one wins, and a repeated append does nothing. A change without
// joins and removals only raises the epoch; it frees members that consented to a
// change which never came.
type MembershipChange struct {
	ID     string           `json:"id"`
	Base   int64            `json:"base"`
	Join   []structs.Member `json:"join,omitempty"`
	Remove []string         `json:"remove,omitempty"`
	// Consents are the members of the base's table that agreed.
	Consents []string `json:"consents,omitempty"`
	// Forced says that members in Gone were counted because no quorum was left.
	Forced bool `json:"forced,omitempty"`
	// ConfirmedGone are removed members that the platform's list has shown as gone.
	ConfirmedGone []string `json:"gone,omitempty"`
}

// MembershipState is what the membership records up to an offset amount to. It goes into
// snapshots as it is.
type MembershipState struct {
	Table ownership.Table `json:"table"`
	// Unconfirmed are members that were in the table before a forced change and have
	// not been shown by a later record to have read it. They may still hold
	// authority from each other, for an unlimited time.
	Unconfirmed []UnconfirmedMember `json:"doubtful,omitempty"`
}

// UnconfirmedMember names a member and the epoch of the forced change that it may not have
// read.
type UnconfirmedMember struct {
	Member string `json:"member"`
	Epoch  int64  `json:"epoch"`
}

// ApplyChange returns the state after the change that the log holds at offset. A change
// that takes no effect is returned as an error: CodeConflict for a base that is not
// current, CodeInvalid for one that makes no sense or lacks consents. The state is
// then unchanged. Every reader applies the same rule to the same records.
func ApplyChange(s MembershipState, offset int64, c MembershipChange) (MembershipState, error) {
	base := ownership.NewMap(s.Table)
	table, err := nextTable(s.Table, offset, c)
	if err != nil {
		return s, err
	}
	if err := checkForced(c); err != nil {
		return s, err
	}
	for _, g := range ownership.AffectedGroups(base, ownership.NewMap(table)) {
		if !c.carries(g.IDs()) {
			return s, structs.NewError(structs.CodeInvalid, "change %s: too few consents of group %s", c.ID, g.Name)
		}
	}
	return MembershipState{Table: table, Unconfirmed: nextDoubts(s, offset, c)}, nil
}

// nextTable returns the table with the joins and removals done.
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

// checkForced checks that only removed members are counted as gone, and that the
// record says so.
func checkForced(c MembershipChange) error {
	if !c.Forced && len(c.ConfirmedGone) > 0 {
		return structs.NewError(structs.CodeInvalid, "change %s counts gone members but is not forced", c.ID)
	}
	for _, id := range c.ConfirmedGone {
		if !slices.Contains(c.Remove, id) || slices.Contains(c.Consents, id) {
			return structs.NewError(structs.CodeInvalid, "change %s: member %s can't be counted as gone", c.ID, id)
		}
	}
	return nil
}

// carries reports whether the change has the consents it needs of a group. Members
// counted as gone help only where the others can't form a quorum any more.
func (c MembershipChange) carries(group []string) bool {
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

// nextDoubts returns the doubtful members after the change: those of before that
// have not shown since that they moved on, and after a forced change every member
// of the base.
func nextDoubts(s MembershipState, offset int64, c MembershipChange) []UnconfirmedMember {
	var doubts []UnconfirmedMember
	for _, d := range s.Unconfirmed {
		if !slices.Contains(c.Consents, d.Member) {
			doubts = append(doubts, d)
		}
	}
	if !c.Forced {
		return doubts
	}
	for _, m := range s.Table.Members {
		doubts = slices.DeleteFunc(doubts, func(d UnconfirmedMember) bool { return d.Member == m.ID })
		doubts = append(doubts, UnconfirmedMember{Member: m.ID, Epoch: offset})
	}
	return doubts
}

// ConfirmStopped returns the state with an operator's word that a member runs no more.
func ConfirmStopped(s MembershipState, member string) MembershipState {
	var doubts []UnconfirmedMember
	for _, d := range s.Unconfirmed {
		if d.Member != member {
			doubts = append(doubts, d)
		}
	}
	s.Unconfirmed = doubts
	return s
}
