package state

import (
	"maps"
	"math/bits"
	"slices"

	"dotterelhitch/internal/structs"
)

// QuotaPart is what one group may use of a team's quota.
type QuotaPart struct {
	Group string            `json:"group"`
	Limit structs.Resources `json:"limit"`
	// Version is the offset of the last change that made the part or took from it.
	Version int64 `json:"version"`
}

// quotaParts are the parts of one team's quota by group, without those that are zero.
// Their sum is the quota. A quotaParts is never changed, only replaced.
type quotaParts map[string]QuotaPart

// QuotaPart returns a group's part of a team's quota, zero if it has none.
func (c *ControlTable) QuotaPart(team, group string) QuotaPart {
	part := c.parts[team][group]
	part.Group = group
	return part
}

// QuotaParts returns the parts of a team's quota ordered by group.
func (c *ControlTable) QuotaParts(team string) []QuotaPart {
	return sorted(c.parts[team])
}

// applyMove moves a part of a quota between groups. A move that was based on another
// epoch or another state of the part that it takes from is refused: the part's owner
// may have changed, or the move may be a repeat.
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
		return refuse(offset, ch, structs.CodeConflict, "quota of %s at group %s: less than the amount to move", move.Team, move.From)
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

// noGroup has the part of a quota that was set without groups; any group may ask for it.
const noGroup = ""

// put keeps a part, or forgets it if nothing is left of it.
func (p quotaParts) put(part QuotaPart) {
	if part.Limit.IsZero() {
		delete(p, part.Group)
		return
	}
	p[part.Group] = part
}

// resize returns the parts of a quota with a new limit. Parts keep what they have, or
// shrink alike if the limit is lower; the rest is split evenly among the groups, or
// among those that have a part if none are named.
func (p quotaParts) resize(limit structs.Resources, groups []string, offset int64) quotaParts {
	var old structs.Resources
	for _, part := range p {
		old = old.Add(part.Limit)
	}
	out := quotaParts{}
	rest := limit
	for _, group := range slices.Sorted(maps.Keys(p)) {
		part := QuotaPart{Group: group, Limit: shrink(p[group].Limit, old, limit), Version: offset}
		out.put(part)
		rest = rest.Sub(part.Limit)
	}
	if len(groups) == 0 {
		groups = slices.Sorted(maps.Keys(p))
	}
	if len(groups) == 0 {
		groups = []string{noGroup}
	}
	for i, group := range groups {
		part := out[group]
		more := share(rest, len(groups)-i)
		rest = rest.Sub(more)
		out.put(QuotaPart{Group: group, Limit: part.Limit.Add(more), Version: offset})
	}
	return out
}

// shrink returns a part of an old limit under a new one that may be lower.
func shrink(part, old, limit structs.Resources) structs.Resources {
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

// share returns the first of n even shares of an amount, rounded up.
func share(amount structs.Resources, n int) structs.Resources {
	up := func(v int64) int64 {
		least := v / int64(n)
		if v%int64(n) != 0 {
			least++
		}
		return least
	}
	return structs.Resources{
		CPUMilli:     up(amount.CPUMilli),
		MemoryMiB:    up(amount.MemoryMiB),
		Accelerators: up(amount.Accelerators),
	}
}
