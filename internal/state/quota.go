package state

import (
	"maps"
	"math/bits"
	"slices"

	"dotterelhitch/internal/structs"
)

// QuotaPart is the part of a team's quota that one group may use.
type QuotaPart struct {
	Group string            `json:"group"`
	Limit structs.Resources `json:"limit"`
	// Version is the offset of the last change that created the part or took from it.
	Version int64 `json:"version"`
}

// quotaParts holds the nonzero parts of one team's quota by group. Their sum is the
// quota. Once stored in a table, a quotaParts is never modified, only replaced.
type quotaParts map[string]QuotaPart

// QuotaPart returns a group's part of a team's quota, zero if it has none.
func (c *ControlTable) QuotaPart(team, group string) QuotaPart {
	part := c.parts[team][group]
	part.Group = group
	return part
}

// QuotaParts returns the parts of a team's quota ordered by group.
func (c *ControlTable) QuotaParts(team string) []QuotaPart {
	return sortedValues(c.parts[team])
}

// applyMove moves part of a quota between groups. A move based on another epoch or
// another version of the source part is refused: the owner of the part may have
// changed, or the move may be a repeat.
func (c *ControlTable) applyMove(offset int64, ch Change) Result {
	if ch.Move == nil {
		return refuse(offset, ch, structs.CodeInvalid, "quota_move without a move")
	}
	move := *ch.Move
	if err := move.Validate(); err != nil {
		return refuse(offset, ch, structs.CodeInvalid, "%v", err)
	}
	from := c.QuotaPart(move.Team, move.From)
	if ch.Base != from.Version || ch.Epoch != c.Epoch() {
		return refuse(offset, ch, structs.CodeConflict, "quota of %s at group %s: based on version %d at epoch %d, current is %d at %d",
			move.Team, move.From, ch.Base, ch.Epoch, from.Version, c.Epoch())
	}
	if from.Limit.Sub(move.Amount).HasNegative() {
		return refuse(offset, ch, structs.CodeConflict, "quota of %s at group %s is less than the amount to move", move.Team, move.From)
	}
	to := c.QuotaPart(move.Team, move.To)
	from.Limit = from.Limit.Sub(move.Amount)
	from.Version = offset
	if to.Version == 0 {
		to.Version = offset
	}
	to.Limit = to.Limit.Add(move.Amount)
	parts := maps.Clone(c.parts[move.Team])
	parts.put(from)
	parts.put(to)
	c.parts[move.Team] = parts
	return accept(offset, ch)
}

// unassignedGroup holds the part of a quota that was set without groups. Any group may
// request it.
const unassignedGroup = ""

// put stores a part, or removes it if its limit is zero.
func (p quotaParts) put(part QuotaPart) {
	if part.Limit.IsZero() {
		delete(p, part.Group)
		return
	}
	p[part.Group] = part
}

// resize returns the parts of a quota with a new limit. If the limit is lower, all
// parts shrink in proportion; otherwise they keep their size. The rest is split evenly
// among the given groups or, if there are none, among the groups that have a part.
func (p quotaParts) resize(limit structs.Resources, groups []string, offset int64) quotaParts {
	var old structs.Resources
	for _, part := range p {
		old = old.Add(part.Limit)
	}
	out := quotaParts{}
	rest := limit
	for _, group := range slices.Sorted(maps.Keys(p)) {
		part := QuotaPart{Group: group, Limit: shrinkPart(p[group].Limit, old, limit), Version: offset}
		out.put(part)
		rest = rest.Sub(part.Limit)
	}
	if len(groups) == 0 {
		groups = slices.Sorted(maps.Keys(p))
	}
	if len(groups) == 0 {
		groups = []string{unassignedGroup}
	}
	for i, group := range groups {
		part := out[group]
		extra := evenShare(rest, len(groups)-i)
		rest = rest.Sub(extra)
		out.put(QuotaPart{Group: group, Limit: part.Limit.Add(extra), Version: offset})
	}
	return out
}

// shrinkPart returns a part of a quota whose limit changes from old to limit: scaled
// down in proportion if the new limit is lower, unchanged otherwise.
func shrinkPart(part, old, limit structs.Resources) structs.Resources {
	scale := func(part, old, limit int64) int64 {
		if old <= limit {
			return part
		}
		high, low := bits.Mul64(uint64(part), uint64(limit))
		quotient, _ := bits.Div64(high, low, uint64(old))
		return int64(quotient)
	}
	return structs.Resources{
		CPUMilli:     scale(part.CPUMilli, old.CPUMilli, limit.CPUMilli),
		MemoryMiB:    scale(part.MemoryMiB, old.MemoryMiB, limit.MemoryMiB),
		Accelerators: scale(part.Accelerators, old.Accelerators, limit.Accelerators),
	}
}

// evenShare returns the first of n even shares of an amount, rounded up.
func evenShare(amount structs.Resources, n int) structs.Resources {
	roundUp := func(v int64) int64 {
		rounded := v / int64(n)
		if v%int64(n) != 0 {
			rounded++
		}
		return rounded
	}
	return structs.Resources{
		CPUMilli:     roundUp(amount.CPUMilli),
		MemoryMiB:    roundUp(amount.MemoryMiB),
		Accelerators: roundUp(amount.Accelerators),
	}
}
