package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"dotterelhitch/internal/structs"
)

// PartitionCount is the number of parts that request keys are cut into. A part, not a
// key, is what moves between members.
const PartitionCount = 1024

// Map answers who owns what under one table. It is made once for each table and
// never changes, so it may be read from any goroutine.
type Map struct {
	table    Table
	groups   []hashedGroup
	byName   map[string]int
	byMember map[string]int
	byRegion map[string][]int
	cell     []int
}

// hashedGroup is a group with the hashes that ranking needs.
type hashedGroup struct {
	Group
	hash    uint64
	members []uint64
}

// NewMap works out the groups of a table.
func NewMap(t Table) *Map {
	m := &Map{
		table:    t,
		byName:   make(map[string]int),
		byMember: make(map[string]int),
		byRegion: make(map[string][]int),
	}
	for i, g := range Groups(t) {
		h := hashedGroup{Group: g, hash: hashName(g.Name)}
		for _, member := range g.Members {
			h.members = append(h.members, hashName(member.ID))
			m.byMember[member.ID] = i
		}
		m.groups = append(m.groups, h)
		m.byName[g.Name] = i
		m.byRegion[g.Region] = append(m.byRegion[g.Region], i)
		m.cell = append(m.cell, i)
	}
	return m
}

// Table returns the table that the map was made from.
func (m *Map) Table() Table { return m.table }

// Epoch returns the epoch of the table.
func (m *Map) Epoch() int64 { return m.table.Epoch }

// Groups returns all groups, sorted by name.
func (m *Map) Groups() []Group {
	groups := make([]Group, len(m.groups))
	for i := range m.groups {
		groups[i] = m.groups[i].Group
	}
	return groups
}

// Group returns the group with the given name.
func (m *Map) Group(name string) (Group, bool) {
	i, found := m.byName[name]
	if !found {
		return Group{}, false
	}
	return m.groups[i].Group, true
}

// HasRegion reports whether the region has members.
func (m *Map) HasRegion(region string) bool { return len(m.byRegion[region]) > 0 }

// GroupOfMember returns the group that a member is in.
func (m *Map) GroupOfMember(id string) (Group, bool) {
	i, found := m.byMember[id]
	if !found {
		return Group{}, false
	}
	return m.groups[i].Group, true
}

// GroupOfWorker returns the group that decides for a worker: one of its region or,
// if the region has no members, one of the cell. It is false for an empty table.
func (m *Map) GroupOfWorker(w structs.Worker) (Group, bool) {
	i, found := m.workerGroup(w, hashName(w.ID))
	if !found {
		return Group{}, false
	}
	return m.groups[i].Group, true
}

// OwnerOfWorker returns the member that decides for a worker. It is false for an
// empty table.
func (m *Map) OwnerOfWorker(w structs.Worker) (structs.Member, bool) {
	key := hashName(w.ID)
	i, found := m.workerGroup(w, key)
	if !found {
		return structs.Member{}, false
	}
	return m.groups[i].first(key), true
}

// GroupOfJobs returns the group that decides for the jobs that were accepted under
// the given group name: that group, or the one that follows it. All jobs of a group
// that no longer exists go to the same group, which then reads their stream.
func (m *Map) GroupOfJobs(name string) (Group, bool) {
	i, found := m.jobGroup(name)
	if !found {
		return Group{}, false
	}
	return m.groups[i].Group, true
}

// OwnerOfJob returns the member that decides for a job. It is false for an empty
// table.
func (m *Map) OwnerOfJob(job string) (structs.Member, bool) {
	i, found := m.jobGroup(structs.JobGroup(job))
	if !found {
		return structs.Member{}, false
	}
	return m.groups[i].first(hashName(structs.JobOwnerKey(job))), true
}

// PartitionOf returns the partition of a request key.
func PartitionOf(key string) int { return int(hashName(key) % PartitionCount) }

// HomeOfKey returns the member that permits requests with the key, and the member that
// holds the copy. Without a second member the backup is zero.
func (m *Map) HomeOfKey(key string) (home, backup structs.Member) {
	return m.HomeOfPartition(PartitionOf(key))
}

// HomeOfPartition returns the home and the backup of a partition of request keys.
// The backup is the next member of the home's group or, if the home is alone in
// it, the first of the group that is next for the partition.
func (m *Map) HomeOfPartition(partition int) (home, backup structs.Member) {
	if len(m.groups) == 0 {
		return structs.Member{}, structs.Member{}
	}
	key := hashName("keys/" + strconv.Itoa(partition))
	groups := m.rankGroups(m.cell, key)
	ranked := m.groups[groups[0]].rank(key)
	home = ranked[0]
	switch {
	case len(ranked) > 1:
		backup = ranked[1]
	case len(groups) > 1:
		backup = m.groups[groups[1]].first(key)
	}
	return home, backup
}

func (m *Map) workerGroup(w structs.Worker, key uint64) (int, bool) {
	if of, found := m.byRegion[w.Region]; found {
		return m.bestGroup(of, key), true
	}
	if len(m.groups) == 0 {
		return 0, false
	}
	return m.bestGroup(m.cell, key), true
}

func (m *Map) jobGroup(name string) (int, bool) {
	if i, found := m.byName[name]; found {
		return i, true
	}
	key := hashName(name)
	if of, found := m.byRegion[regionOf(name)]; found {
		return m.bestGroup(of, key), true
	}
	if len(m.groups) == 0 {
		return 0, false
	}
	return m.bestGroup(m.cell, key), true
}

// bestGroup returns the one of the groups that ranks highest for the key.
func (m *Map) bestGroup(of []int, key uint64) int {
	best := of[0]
	for _, i := range of[1:] {
		if score(m.groups[i].hash, key) > score(m.groups[best].hash, key) {
			best = i
		}
	}
	return best
}

// rankGroups returns the groups in the order of their weight for the key.
func (m *Map) rankGroups(of []int, key uint64) []int {
	ranked := slices.Clone(of)
	slices.SortStableFunc(ranked, func(a, b int) int {
		return cmp.Compare(score(m.groups[b].hash, key), score(m.groups[a].hash, key))
	})
	return ranked
}

// first returns the member with the highest weight for the key.
func (g *hashedGroup) first(key uint64) structs.Member {
	best := 0
	for i := range g.members {
		if score(g.members[i], key) > score(g.members[best], key) {
			best = i
		}
	}
	return g.Members[best]
}

// rank returns the members in the order of their weight for the key.
func (g *hashedGroup) rank(key uint64) []structs.Member {
	ranked := slices.Clone(g.Members)
	slices.SortStableFunc(ranked, func(a, b structs.Member) int {
		return cmp.Compare(score(hashName(b.ID), key), score(hashName(a.ID), key))
	})
	return ranked
}
