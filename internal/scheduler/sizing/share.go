package sizing

import (
	"cmp"
	"math"
	"slices"
)

// shareMark is how much was known of a kind, and when, as it was last told of.
type shareMark struct {
	samples int64
	turn    int64
}

// samples is the number of samples of a kind.
func (u *usage) samples() int64 { return u.cpu.moments().Count + u.memoryUse().Count }

// news reports whether so much has come since a kind was last told of that grants
// may change.
func (u *usage) news() bool { return u.samples() >= 2*max(u.sharedWhen.samples, 1) }

// UsageToShare returns what was learnt here of up to limit kinds of which much is new. With all
// set the others follow in turn, for members that have not heard of them. What other
// members told is left out, so that nothing counts twice.
func (s *Sizer) UsageToShare(limit int, all bool) []ObservedUsage {
	kinds := make([]Population, 0, len(s.kinds))
	for kind, u := range s.kinds {
		if all || u.news() {
			kinds = append(kinds, kind)
		}
	}
	slices.SortFunc(kinds, s.compareShares)
	var out []ObservedUsage
	for _, kind := range kinds[:min(limit, len(kinds))] {
		u := s.kinds[kind]
		out = append(out, s.own(kind))
		s.turn++
		u.sharedWhen = shareMark{samples: u.samples(), turn: s.turn}
	}
	return out
}

// compareShares orders by who is told of first.
func (s *Sizer) compareShares(a, b Population) int {
	u, v := s.kinds[a], s.kinds[b]
	if u.news() != v.news() {
		if u.news() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(u.sharedWhen.turn, v.sharedWhen.turn), compareKinds(a, b))
}

// SetMemberUsage takes what another member has learnt; it replaces what that member told of the
// same kinds before.
func (s *Sizer) SetMemberUsage(member string, list []ObservedUsage) {
	known := s.others[member]
	if known == nil && len(list) > 0 {
		known = make(map[Population]told)
		s.others[member] = known
	}
	for _, u := range list {
		if _, found := known[u.Population]; !found {
			dropOldest(known, func(t told) int64 { return t.turn })
		}
		s.turn++
		known[u.Population] = told{use: u, turn: s.turn}
	}
}

// dropOldest makes room for one more kind.
func dropOldest[V any](kinds map[Population]V, turn func(V) int64) {
	if len(kinds) < maxKinds {
		return
	}
	var oldest Population
	least := int64(math.MaxInt64)
	for kind, v := range kinds {
		if t := turn(v); t < least {
			oldest, least = kind, t
		}
	}
	delete(kinds, oldest)
}

// ForgetMember drops what a member told that is no more.
func (s *Sizer) ForgetMember(member string) { delete(s.others, member) }

// compareKinds orders by class, then declared size.
func compareKinds(a, b Population) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.DeclaredSize.CPUMilli, b.DeclaredSize.CPUMilli),
		cmp.Compare(a.DeclaredSize.MemoryMiB, b.DeclaredSize.MemoryMiB),
		cmp.Compare(a.DeclaredSize.Accelerators, b.DeclaredSize.Accelerators),
	)
}
