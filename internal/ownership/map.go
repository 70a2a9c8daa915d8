package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"dotterelhitch/internal/structs"
)

// PartitionCount is the number of partitions of the request keys. Ownership moves
// between members by partition, not by key.
const PartitionCount = 1024

// Map determines ownership under one membership table. It is built once per table and
// immutable, so that any goroutine may read it.
type Map struct {
	table     Table
	groups    []hashedGroup
	byName    map[string]int
	byMember  map[string]int
	byRegion  map[string][]int
	allGroups []int
}

// hashedGroup is a group with the hashes used for rendezvous weights.
type hashedGroup struct {
	Group
	hash         uint64
	memberHashes []uint64
}

// NewMap computes the groups of a table.
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
			h.memberHashes = append(h.memberHashes, hashName(member.ID))
			m.byMember[member.ID] = i
		}
		m.groups = append(m.groups, h)
		m.byName[g.Name] = i
		m.byRegion[g.Region] = append(m.byRegion[g.Region], i)
		m.allGroups = append(m.allGroups, i)
	}
	return m
}

// Table returns the table from which the map was built.
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

// GroupOfMember returns the group of a member.
func (m *Map) GroupOfMember(id string) (Group, bool) {
	i, found := m.byMember[id]
	if !found {
		return Group{}, false
	}
	return m.groups[i].Group, true
}

// GroupOfWorker returns the group that decides for a worker: a group of the worker's
// region or, if that region has no members, any group of the cell. It returns false for
// an empty table.
func (m *Map) GroupOfWorker(w structs.Worker) (Group, bool) {
	i, found := m.workerGroup(w, hashName(w.ID))
	if !found {
		return Group{}, false
	}
	return m.groups[i].Group, true
}

// OwnerOfWorker returns the member that decides for a worker, false for an empty table.
func (m *Map) OwnerOfWorker(w structs.Worker) (structs.Member, bool) {
	key := hashName(w.ID)
	i, found := m.workerGroup(w, key)
	if !found {
		return structs.Member{}, false
	}
	return m.groups[i].topMember(key), true
}

// GroupOfJobs returns the group that decides for the jobs accepted under the given
// group name: that group or its successor. All jobs of a group that no longer exists go
// to the same successor, which then reads their stream.
func (m *Map) GroupOfJobs(name string) (Group, bool) {
	i, found := m.jobGroup(name)
	if !found {
		return Group{}, false
	}
	return m.groups[i].Group, true
}

// OwnerOfJob returns the member that decides for a job, false for an empty table.
func (m *Map) OwnerOfJob(job string) (structs.Member, bool) {
	i, found := m.jobGroup(structs.JobGroup(job))
	if !found {
		return structs.Member{}, false
	}
	return m.groups[i].topMember(hashName(structs.JobOwnerKey(job))), true
}

// PartitionOf returns the partition of a request key.
func PartitionOf(key string) int { return int(hashName(key) % PartitionCount) }

// HomeOfKey returns the home of a request key, which is the member that permits
// requests with the key, and the backup, which is the member that stores a copy of the
// key's state. In a cell of one member, the backup is zero.
func (m *Map) HomeOfKey(key string) (home, backup structs.Member) {
	return m.HomeOfPartition(PartitionOf(key))
}

// HomeOfPartition returns the home and the backup of a partition of request keys. The
// backup is the next member of the home's group or, if that has no other member, the
// first member of the group with the next lower weight for the partition.
func (m *Map) HomeOfPartition(partition int) (home, backup structs.Member) {
	if len(m.groups) == 0 {
		return structs.Member{}, structs.Member{}
	}
	key := hashName("keys/" + strconv.Itoa(partition))
	groups := m.rankGroups(m.allGroups, key)
	ranked := m.groups[groups[0]].rankMembers(key)
	home = ranked[0]
	switch {
	case len(ranked) > 1:
		backup = ranked[1]
	case len(groups) > 1:
		backup = m.groups[groups[1]].topMember(key)
	}
	return home, backup
}

func (m *Map) workerGroup(w structs.Worker, key uint64) (int, bool) {
	if candidates, found := m.byRegion[w.Region]; found {
		return m.bestGroup(candidates, key), true
	}
	if len(m.groups) == 0 {
		return 0, false
	}
	return m.bestGroup(m.allGroups, key), true
}

func (m *Map) jobGroup(name string) (int, bool) {
	if i, found := m.byName[name]; found {
		return i, true
	}
	key := hashName(name)
	if candidates, found := m.byRegion[regionOf(name)]; found {
		return m.bestGroup(candidates, key), true
	}
	if len(m.groups) == 0 {
		return 0, false
	}
	return m.bestGroup(m.allGroups, key), true
}

// bestGroup returns the candidate group with the highest weight for a key.
func (m *Map) bestGroup(candidates []int, key uint64) int {
	best := candidates[0]
	for _, i := range candidates[1:] {
		if rendezvousWeight(m.groups[i].hash, key) > rendezvousWeight(m.groups[best].hash, key) {
			best = i
		}
	}
	return best
}

// rankGroups returns the candidate groups in descending order of weight for a key.
func (m *Map) rankGroups(candidates []int, key uint64) []int {
	ranked := slices.Clone(candidates)
	slices.SortStableFunc(ranked, func(a, b int) int {
		return cmp.Compare(rendezvousWeight(m.groups[b].hash, key), rendezvousWeight(m.groups[a].hash, key))
	})
	return ranked
}

// topMember returns the member with the highest weight for a key.
func (g *hashedGroup) topMember(key uint64) structs.Member {
	best := 0
	for i := range g.memberHashes {
		if rendezvousWeight(g.memberHashes[i], key) > rendezvousWeight(g.memberHashes[best], key) {
			best = i
		}
	}
	return g.Members[best]
}

// rankMembers returns the members in descending order of weight for a key.
func (g *hashedGroup) rankMembers(key uint64) []structs.Member {
	ranked := slices.Clone(g.Members)
	slices.SortStableFunc(ranked, func(a, b structs.Member) int {
		return cmp.Compare(rendezvousWeight(hashName(b.ID), key), rendezvousWeight(hashName(a.ID), key))
	})
	return ranked
}
