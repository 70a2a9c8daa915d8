package ownership

import "dotterelhitch/internal/structs"

// OwnerOfWorker returns the member that decides for a worker under a table. A
// caller that asks for many workers makes a Map once instead.
func OwnerOfWorker(t Table, w structs.Worker) (structs.Member, bool) {
	return NewMap(t).OwnerOfWorker(w)
}

// OwnerOfJob returns the member that decides for a job under a table.
func OwnerOfJob(t Table, job string) (structs.Member, bool) {
	return NewMap(t).OwnerOfJob(job)
}

// HomeOfKey returns the home and the backup of a request key under a table.
func HomeOfKey(t Table, key string) (home, backup structs.Member) {
	return NewMap(t).HomeOfKey(key)
}

// AffectedGroups returns the groups under base that lose something, or change their
// members, when base becomes next. Each of them has to consent to the change. While
// the set of groups stays the same, workers, jobs and keys move only inside the
// groups whose members change; a group that comes or goes takes from all.
func AffectedGroups(base, next *Map) []Group {
	if !sameNames(base, next) {
		return base.Groups()
	}
	var affected []Group
	for _, g := range base.groups {
		if !sameMembers(g.Group, next.groups[next.byName[g.Name]].Group) {
			affected = append(affected, g.Group)
		}
	}
	return affected
}

func sameNames(a, b *Map) bool {
	if len(a.groups) != len(b.groups) {
		return false
	}
	for name := range a.byName {
		if _, found := b.byName[name]; !found {
			return false
		}
	}
	return true
}

func sameMembers(a, b Group) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i].ID != b.Members[i].ID {
			return false
		}
	}
	return true
}
