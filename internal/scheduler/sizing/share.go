package sizing

import (
	"cmp"
	"math"
	"slices"
)

// Share returns what was learnt here of up to limit kinds, the next ones in turn with
// each call. What other members told is left out, so that nothing counts twice.
func (s *Sizer) Share(limit int) []Use {
	kinds := make([]Kind, 0, len(s.kinds))
	for kind := range s.kinds {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, compareKinds)
	next, found := slices.BinarySearchFunc(kinds, s.shared, compareKinds)
	if found {
		next++
	}
	var out []Use
	for i := range min(limit, len(kinds)) {
		kind := kinds[(next+i)%len(kinds)]
		out = append(out, s.own(kind))
		s.shared = kind
	}
	return out
}

// Told takes what another member has learnt; it replaces what that member told of the
// same kinds before.
func (s *Sizer) Told(member string, list []Use) {
	known := s.others[member]
	if known == nil && len(list) > 0 {
		known = make(map[Kind]told)
		s.others[member] = known
	}
	for _, u := range list {
		if _, found := known[u.Kind]; !found {
			dropOldest(known, func(t told) int64 { return t.turn })
		}
		s.turn++
		known[u.Kind] = told{use: u, turn: s.turn}
	}
}

// dropOldest makes room for one more kind.
func dropOldest[V any](kinds map[Kind]V, turn func(V) int64) {
	if len(kinds) < maxKinds {
		return
	}
	var oldest Kind
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
func compareKinds(a, b Kind) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Declared.CPUMilli, b.Declared.CPUMilli),
		cmp.Compare(a.Declared.MemoryMiB, b.Declared.MemoryMiB),
		cmp.Compare(a.Declared.Accelerators, b.Declared.Accelerators),
	)
}
