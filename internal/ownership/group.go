package ownership

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"dotterelhitch/internal/structs"
)

const (
	// MaxGroupSize is the greatest number of members in a group.
	MaxGroupSize = 9
	// groupAim is the mean size of the groups of a region that has several. It
	// leaves room below MaxGroupSize, so that a join seldom moves other members.
	groupAim = 7
	// groupSlack is how far a group may pass the mean before members go to
	// their next choice.
	groupSlack = 1
	// MinGroupSize is the least number of members of a group in a region that has
	// several. It keeps a quorum through two deaths, and its share of the workers
	// stays near that of others.
	MinGroupSize = 5
)

// Group is the set of members that decide for the same workers, jobs and keys.
type Group struct {
	// Name is "<region>-<n>".
	Name   string
	Region string
	// Members are sorted by ID.
	Members []structs.Member
}

// IDs returns the IDs of the group's members in order.
func (g Group) IDs() []string {
	ids := make([]string, len(g.Members))
	for i, m := range g.Members {
		ids[i] = m.ID
	}
	return ids
}

// HasMember reports whether the member is in the group.
func (g Group) HasMember(id string) bool {
	return slices.ContainsFunc(g.Members, func(m structs.Member) bool { return m.ID == id })
}

// Groups cuts the table into groups, sorted by name. A group always has members.
func Groups(t Table) []Group {
	byRegion := make(map[string][]structs.Member)
	for _, m := range t.Members {
		byRegion[m.Region] = append(byRegion[m.Region], m)
	}
	var groups []Group
	for region, members := range byRegion {
		groups = append(groups, cutRegion(region, members)...)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return groups
}

// groupCount returns how many groups n members of a region form.
func groupCount(n int) int {
	if n <= MaxGroupSize {
		return 1
	}
	return (n + groupAim - 1) / groupAim
}

// cutRegion gives each member the group that ranks highest for it and has room.
// The members choose in the order of their IDs. Ranking by rendezvous keeps a
// member where it is when others come and go; only a full group sends some on.
func cutRegion(region string, members []structs.Member) []Group {
	slices.SortFunc(members, func(a, b structs.Member) int { return cmp.Compare(a.ID, b.ID) })
	count := groupCount(len(members))
	groups := make([]Group, count)
	hashes := make([]uint64, count)
	for i := range groups {
		groups[i] = Group{Name: region + "-" + strconv.Itoa(i), Region: region}
		hashes[i] = hashName(groups[i].Name)
	}
	room := MaxGroupSize
	if count > 1 {
		room = min(MaxGroupSize, (len(members)+count-1)/count+groupSlack)
	}
	for _, m := range members {
		i := choose(hashName(m.ID), groups, hashes, room)
		groups[i].Members = append(groups[i].Members, m)
	}
	if count > 1 {
		fillUp(groups, hashes)
	}
	return slices.DeleteFunc(groups, func(g Group) bool { return len(g.Members) == 0 })
}

// fillUp moves members from the largest groups to those that have too few: each time
// the one for which the small group ranks highest.
func fillUp(groups []Group, hashes []uint64) {
	for i := range groups {
		for len(groups[i].Members) < MinGroupSize {
			from, at := spare(groups, hashes[i])
			m := groups[from].Members[at]
			groups[from].Members = slices.Delete(groups[from].Members, at, at+1)
			groups[i].Members = append(groups[i].Members, m)
		}
		slices.SortFunc(groups[i].Members, func(a, b structs.Member) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// spare returns the member of the largest groups for which a group of the given hash
// ranks highest, as the index of its group and that in the group.
func spare(groups []Group, hash uint64) (group, member int) {
	largest := slices.MaxFunc(groups, func(a, b Group) int { return cmp.Compare(len(a.Members), len(b.Members)) })
	best := uint64(0)
	for i, g := range groups {
		if len(g.Members) < len(largest.Members) {
			continue
		}
		for j, m := range g.Members {
			if s := score(hash, hashName(m.ID)); s >= best {
				group, member, best = i, j, s
			}
		}
	}
	return group, member
}

// choose returns the index of the highest ranked group with room.
func choose(member uint64, groups []Group, hashes []uint64, room int) int {
	best := -1
	for i := range groups {
		if len(groups[i].Members) >= room {
			continue
		}
		if best < 0 || score(hashes[i], member) > score(hashes[best], member) {
			best = i
		}
	}
	return best
}

// regionOf returns the region part of a group name.
func regionOf(group string) string {
	i := strings.LastIndexByte(group, '-')
	if i < 0 {
		return group
	}
	return group[:i]
}

// InitiatesCalls reports whether, of two members of the group, the first makes the calls
// between them. Each makes about half of its calls.
func (g Group) InitiatesCalls(from, to string) bool {
	i, j := g.index(from), g.index(to)
	if i < 0 || j < 0 || i == j {
		return false
	}
	return (i < j) == ((i+j)%2 == 1)
}

// index returns the place of a member in the group, -1 if it is not there.
func (g Group) index(id string) int {
	return slices.IndexFunc(g.Members, func(m structs.Member) bool { return m.ID == id })
}
