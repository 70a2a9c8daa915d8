package authority

// IsQuorum reports whether a set of members is a quorum of a group: more than half of
// it, or exactly half including the member with the lowest ID. Any two quorums of a
// group share a member. The group must be sorted; inSet reports whether the member at
// an index is in the set.
func IsQuorum(group []string, inSet func(i int) bool) bool {
	count := 0
	for i := range group {
		if inSet(i) {
			count++
		}
	}
	if 2*count == len(group) {
		return count > 0 && inSet(0)
	}
	return 2*count > len(group)
}
