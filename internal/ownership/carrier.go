package ownership

import "dotterelhitch/internal/structs"

// MaxFullMeshMembers is the cell size up to which each member exchanges heartbeats with
// every other. In a larger cell, one member of each group relays the group's heartbeats
// to each other group.
const MaxFullMeshMembers = 2 * MaxGroupSize

// HeartbeatRelays returns the members of group from in the order in which they are
// preferred for relaying its heartbeats to group to; a member that does not answer is
// skipped. The order rotates with the index of group to, both for the first member and
// for its substitutes, so that each member relays to an even share of the other groups
// and the share of a lost member is distributed evenly.
func (m *Map) HeartbeatRelays(from, to string) []structs.Member {
	i, found := m.byName[from]
	if !found {
		return nil
	}
	members := m.groups[i].Members
	other, n := m.byName[to], len(members)
	order := make([]structs.Member, 0, n)
	order = append(order, members[other%n])
	for k := range n - 1 {
		next := (other/n + k) % (n - 1)
		order = append(order, members[(other%n+1+next)%n])
	}
	return order
}

// StreamAppenders returns the members of the group that decides for a jobs stream, in
// the order in which they are preferred for appending to it on behalf of the group.
func (m *Map) StreamAppenders(stream string) []structs.Member {
	i, found := m.jobGroup(stream)
	if !found {
		return nil
	}
	return m.groups[i].rankMembers(hashName("append/" + stream))
}
