package ownership

import "dotterelhitch/internal/structs"

// MaxFullMeshMembers is the size of a cell up to which each member exchanges heartbeats
// with every other; beyond, one member of a group carries them for each other group.
const MaxFullMeshMembers = 2 * MaxGroupSize

// HeartbeatRelays returns the members of a group in the order in which they carry its
// heartbeats to another group; a member that does not answer is passed over. The
// other groups go round the members, first and next ones alike, so that each carries
// an even share and the share of a lost one is spread.
func (m *Map) HeartbeatRelays(of, with string) []structs.Member {
	i, found := m.byName[of]
	if !found {
		return nil
	}
	members := m.groups[i].Members
	other, n := m.byName[with], len(members)
	order := make([]structs.Member, 0, n)
	order = append(order, members[other%n])
	for k := range n - 1 {
		next := (other/n + k) % (n - 1)
		order = append(order, members[(other%n+1+next)%n])
	}
	return order
}

// StreamAppenders returns the members of the group that decides for a jobs stream in the
// order in which they append to it for the others.
func (m *Map) StreamAppenders(stream string) []structs.Member {
	i, found := m.jobGroup(stream)
	if !found {
		return nil
	}
	return m.groups[i].rank(hashName("append/" + stream))
}
