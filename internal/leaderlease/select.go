package leaderlease

import "slices"

// SelectWitnesses returns the nodes of the next witness set, in order: those of the current set that are
// available, and others that are available in place of the rest, up to limit. Both lists are in order.
func SelectWitnesses(current, available []string, limit int) []string {
	next := slices.DeleteFunc(slices.Clone(current), func(node string) bool {
		_, found := slices.BinarySearch(available, node)
		return !found
	})
	for _, node := range available {
		if len(next) >= limit {
			break
		}
		if !slices.Contains(next, node) {
			next = append(next, node)
		}
	}
	slices.Sort(next)
	return next
}
