package ownership

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"dotterelhitch/internal/structs"
)

const (
	// MaxGroupSize is the maximum number of members of a group.
	MaxGroupSize = 9
	// targetGroupSize is the mean group size in a region with several groups. It is
	// below MaxGroupSize, so that a join seldom moves other members.
	targetGroupSize = 7
	// groupSizeSlack is the number of members by which a group may exceed the mean
	// before further members are assigned to their next choice.
	groupSizeSlack = 1
	// MinGroupSize is the minimum number of members of a group in a region with several
	// groups. Such a group has a quorum after two failures, and its share of the
	// workers stays close to that of other groups.
	MinGroupSize = 5
)

// Group is a set of members that together decide for the same workers, jobs and keys.
type Group struct {
	// Name is "<region>-<n>".
	Name   string
	Region string
	// Members are sorted by ID.
	Members []structs.Member
}

// IDs returns the IDs of the group's members in ascending order.
func (g Group) IDs() []string {
	ids := make([]string, len(g.Members))
	for i, m := range g.Members {
		ids[i] = m.ID
	}
	return ids
}

// HasMember reports whether a member is in the group.
func (g Group) HasMember(id string) bool {
	return slices.ContainsFunc(g.Members, func(m structs.Member) bool { return m.ID == id })
}

// Groups divides the members of a table into groups, sorted by name. No group is empty.
func Groups(t Table) []Group {
	byRegion := make(map[string][]structs.Member)
	for _, m := range t.Members {
		byRegion[m.Region] = append(byRegion[m.Region], m)
	}
	var groups []Group
	for region, members := range byRegion {
		groups = append(groups, groupRegion(region, members)...)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return groups
}

// groupCount returns the number of groups for n members of a region.
func groupCount(n int) int {
	if n <= MaxGroupSize {
		return 1
	}
	return (n + targetGroupSize - 1) / targetGroupSize
}

// groupRegion assigns each member to the group with the highest rendezvous weight for
// it among those that are not full. Members are assigned in the order of their IDs.
// Because of rendezvous hashing, a member keeps its group when others join or leave;
// only full groups pass members on.
func groupRegion(region string, members []structs.Member) []Group {
	slices.SortFunc(members, func(a, b structs.Member) int { return cmp.Compare(a.ID, b.ID) })
	count := groupCount(len(members))
	groups := make([]Group, count)
	hashes := make([]uint64, count)
	for i := range groups {
		groups[i] = Group{Name: region + "-" + strconv.Itoa(i), Region: region}
		hashes[i] = hashName(groups[i].Name)
	}
	maxSize := MaxGroupSize
	if count > 1 {
		maxSize = min(MaxGroupSize, (len(members)+count-1)/count+groupSizeSlack)
	}
	for _, m := range members {
		i := bestGroupWithCapacity(hashName(m.ID), groups, hashes, maxSize)
		groups[i].Members = append(groups[i].Members, m)
	}
	if count > 1 {
		fillSmallGroups(groups, hashes)
	}
	return slices.DeleteFunc(groups, func(g Group) bool { return len(g.Members) == 0 })
}

// fillSmallGroups moves members from the largest groups to groups with fewer than
// MinGroupSize: each time the member for which the small group has the highest weight.
func fillSmallGroups(groups []Group, hashes []uint64) {
	for i := range groups {
		for len(groups[i].Members) < MinGroupSize {
			from, at := movableMember(groups, hashes[i])
			m := groups[from].Members[at]
			groups[from].Members = slices.Delete(groups[from].Members, at, at+1)
			groups[i].Members = append(groups[i].Members, m)
		}
		slices.SortFunc(groups[i].Members, func(a, b structs.Member) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// movableMember returns, among the members of the largest groups, the one for which the
// group with the given hash has the highest weight, as its group's index and its index
// within that group.
func movableMember(groups []Group, hash uint64) (group, member int) {
	largest := slices.MaxFunc(groups, func(a, b Group) int { return cmp.Compare(len(a.Members), len(b.Members)) })
	best := uint64(0)
	for i, g := range groups {
		if len(g.Members) < len(largest.Members) {
			continue
		}
		for j, m := range g.Members {
			if s := rendezvousWeight(hash, hashName(m.ID)); s >= best {
				group, member, best = i, j, s
			}
		}
	}
	return group, member
}

// bestGroupWithCapacity returns the index of the group with the highest weight for a
// member among those with fewer than maxSize members.
func bestGroupWithCapacity(member uint64, groups []Group, hashes []uint64, maxSize int) int {
	best := -1
	for i := range groups {
		if len(groups[i].Members) >= maxSize {
			continue
		}
		if best < 0 || rendezvousWeight(hashes[i], member) > rendezvousWeight(hashes[best], member) {
			best = i
		}
	}
	return best
}

// regionOf returns the region in a group name.
func regionOf(group string) string {
	i := strings.LastIndexByte(group, '-')
	if i < 0 {
		return group
	}
	return group[:i]
}

// InitiatesCalls reports whether member from, rather than member to, makes the calls
// between these two members of the group. Each member makes calls to about half of the
// others.
func (g Group) InitiatesCalls(from, to string) bool {
	i, j := g.memberIndex(from), g.memberIndex(to)
	if i < 0 || j < 0 || i == j {
		return false
	}
	return (i < j) == ((i+j)%2 == 1)
}

// memberIndex returns the index of a member in the group, -1 if it is not a member.
func (g Group) memberIndex(id string) int {
	return slices.IndexFunc(g.Members, func(m structs.Member) bool { return m.ID == id })
}
