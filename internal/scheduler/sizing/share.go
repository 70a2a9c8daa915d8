package sizing

import (
	"cmp"
	"math"
	"slices"
)

// sharedState is the number of samples of a population when UsageToShare last returned
// it, and the sequence number of that.
type sharedState struct {
	samples  int64
	sequence int64
}

// sampleCount returns the number of samples of processor and memory.
func (u *populationUsage) sampleCount() int64 {
	return u.processor.moments().Count + u.memoryMoments().Count
}

// hasNews reports whether the number of samples has at least doubled since the
// population was last shared, so that grants may change.
func (u *populationUsage) hasNews() bool { return u.sampleCount() >= 2*max(u.lastShared.samples, 1) }

// UsageToShare returns the local observations of up to limit populations that have many
// new samples. If all is set, it also returns the other populations in turn, for
// members that have not received them. Observations received from other members are
// omitted, so that no sample counts twice.
func (s *Sizer) UsageToShare(limit int, all bool) []ObservedUsage {
	populations := make([]Population, 0, len(s.populations))
	for population, u := range s.populations {
		if all || u.hasNews() {
			populations = append(populations, population)
		}
	}
	slices.SortFunc(populations, s.compareShareOrder)
	var out []ObservedUsage
	for _, population := range populations[:min(limit, len(populations))] {
		u := s.populations[population]
		out = append(out, s.localUsage(population))
		s.sequence++
		u.lastShared = sharedState{samples: u.sampleCount(), sequence: s.sequence}
	}
	return out
}

// compareShareOrder orders populations by which is shared first.
func (s *Sizer) compareShareOrder(a, b Population) int {
	u, v := s.populations[a], s.populations[b]
	if u.hasNews() != v.hasNews() {
		if u.hasNews() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(u.lastShared.sequence, v.lastShared.sequence), comparePopulations(a, b))
}

// SetMemberUsage stores the observations of another member. They replace that member's
// earlier observations of the same populations.
func (s *Sizer) SetMemberUsage(member string, list []ObservedUsage) {
	known := s.memberUsage[member]
	if known == nil && len(list) > 0 {
		known = make(map[Population]memberUsage)
		s.memberUsage[member] = known
	}
	for _, u := range list {
		if _, found := known[u.Population]; !found {
			evictOldest(known, func(m memberUsage) int64 { return m.sequence })
		}
		s.sequence++
		known[u.Population] = memberUsage{usage: u, sequence: s.sequence}
	}
}

// evictOldest deletes the entry with the lowest sequence number if the map is full.
func evictOldest[V any](entries map[Population]V, sequence func(V) int64) {
	if len(entries) < maxPopulations {
		return
	}
	var oldest Population
	least := int64(math.MaxInt64)
	for population, v := range entries {
		if t := sequence(v); t < least {
			oldest, least = population, t
		}
	}
	delete(entries, oldest)
}

// ForgetMember deletes the observations of a member that has left.
func (s *Sizer) ForgetMember(member string) { delete(s.memberUsage, member) }

// comparePopulations orders by class, then declared size.
func comparePopulations(a, b Population) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.DeclaredSize.CPUMilli, b.DeclaredSize.CPUMilli),
		cmp.Compare(a.DeclaredSize.MemoryMiB, b.DeclaredSize.MemoryMiB),
		cmp.Compare(a.DeclaredSize.Accelerators, b.DeclaredSize.Accelerators),
	)
}
