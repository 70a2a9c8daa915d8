package authority

// IsQuorum reports whether the chosen ones are more than half of a group, or half of
// it with the member of the lowest ID. Any two quorums of a group share a member.
// The group is sorted; chosen is asked for places in it.
func IsQuorum(group []string, chosen func(i int) bool) bool {
	count := 0
	for i := range group {
		if chosen(i) {
			count++
		}
	}
	if 2*count == len(group) {
		return count > 0 && chosen(0)
	}
	return 2*count > len(group)
}
