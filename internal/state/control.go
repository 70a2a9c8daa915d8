package state

import (
	"maps"
	"slices"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/structs"
)

// ControlTable is the table of members and configuration as of one log offset. Only one
// goroutine may use it.
type ControlTable struct {
	nextOffset    int64
	configVersion int64
	members       authority.MembershipState
	classes       map[string]structs.Class
	quotas        map[string]structs.Quota
	// parts holds the parts of each team's quota.
	parts   map[string]quotaParts
	leaving map[string]structs.LeavingDeclaration
	// removedLeaving holds the version of each withdrawn leaving declaration, which is
	// the base of the next declaration for that instance.
	removedLeaving map[string]int64
}

// ControlSnapshot is the full content of a ControlTable as of offset Next-1.
type ControlSnapshot struct {
	Next           int64                        `json:"next"`
	Version        int64                        `json:"version"`
	Members        authority.MembershipState    `json:"members"`
	Classes        []structs.Class              `json:"classes"`
	Quotas         []structs.Quota              `json:"quotas"`
	Parts          map[string]quotaParts        `json:"parts,omitempty"`
	Leaving        []structs.LeavingDeclaration `json:"leaving"`
	RemovedLeaving map[string]int64             `json:"dropped,omitempty"`
}

// NewControlTable returns the table of an empty log.
func NewControlTable() *ControlTable {
	return &ControlTable{
		nextOffset:     1,
		classes:        map[string]structs.Class{},
		quotas:         map[string]structs.Quota{},
		parts:          map[string]quotaParts{},
		leaving:        map[string]structs.LeavingDeclaration{},
		removedLeaving: map[string]int64{},
	}
}

// NextOffset returns the offset of the record to apply next.
func (c *ControlTable) NextOffset() int64 { return c.nextOffset }

// Epoch returns the offset of the last accepted membership change, zero if there is
// none.
func (c *ControlTable) Epoch() int64 { return c.members.Table.Epoch }

// Membership returns the membership table with its doubtful members.
func (c *ControlTable) Membership() authority.MembershipState { return c.members }

// ConfigVersion returns the offset of the last accepted configuration change.
func (c *ControlTable) ConfigVersion() int64 { return c.configVersion }

// Members returns the members ordered by ID.
func (c *ControlTable) Members() []structs.Member { return c.members.Table.Members }

// HasMember reports whether the member with the given ID is in the membership table.
func (c *ControlTable) HasMember(id string) bool { return c.members.Table.HasMember(id) }

// Class returns a class by name.
func (c *ControlTable) Class(name string) (structs.Class, bool) {
	v, ok := c.classes[name]
	return v, ok
}

// Classes returns all classes ordered by name.
func (c *ControlTable) Classes() []structs.Class { return sortedValues(c.classes) }

// Quota returns a team's quota.
func (c *ControlTable) Quota(team string) (structs.Quota, bool) {
	v, ok := c.quotas[team]
	return v, ok
}

// Quotas returns all quotas ordered by team.
func (c *ControlTable) Quotas() []structs.Quota { return sortedValues(c.quotas) }

// Leaving returns the leaving declaration of an instance.
func (c *ControlTable) Leaving(instance string) (structs.LeavingDeclaration, bool) {
	v, ok := c.leaving[instance]
	return v, ok
}

// Leavings returns all leaving declarations ordered by instance.
func (c *ControlTable) Leavings() []structs.LeavingDeclaration { return sortedValues(c.leaving) }

// LeavingVersion returns the version that the next leaving declaration of an instance
// must have as its base.
func (c *ControlTable) LeavingVersion(instance string) int64 {
	if l, ok := c.leaving[instance]; ok {
		return l.Version
	}
	return c.removedLeaving[instance]
}

// Apply applies one record and returns a result for each of its changes. Records before
// NextOffset are ignored; the caller must not skip any.
func (c *ControlTable) Apply(offset int64, data []byte) []Result {
	if offset < c.nextOffset {
		return nil
	}
	c.nextOffset = offset + 1
	return fold(offset, data, c.apply)
}

func (c *ControlTable) apply(offset int64, ch Change) Result {
	switch ch.Type {
	case Membership:
		return c.applyMembers(offset, ch)
	case ClassSet:
		return c.applyClass(offset, ch)
	case QuotaSet:
		return c.applyQuota(offset, ch)
	case QuotaMove:
		return c.applyMove(offset, ch)
	case LeavingAdd, LeavingRemove:
		return c.applyLeaving(offset, ch)
	case ControlSnapshotPart:
		return accept(offset, ch)
	default:
		return refuse(offset, ch, structs.CodeInvalid, "change type %q", ch.Type)
	}
}

func (c *ControlTable) applyMembers(offset int64, ch Change) Result {
	if ch.Members == nil {
		return refuse(offset, ch, structs.CodeInvalid, "membership without a change")
	}
	next, err := authority.ApplyChange(c.members, offset, *ch.Members)
	if err != nil {
		return Result{Offset: offset, Change: ch, Err: structs.AsError(err)}
	}
	c.members = next
	return accept(offset, ch)
}

func (c *ControlTable) applyClass(offset int64, ch Change) Result {
	if ch.Class == nil {
		return refuse(offset, ch, structs.CodeInvalid, "class_set without a class")
	}
	if err := ch.Class.Validate(); err != nil {
		return refuse(offset, ch, structs.CodeInvalid, "%v", err)
	}
	current := c.classes[ch.Class.Name].Version
	if ch.Base != current {
		return refuse(offset, ch, structs.CodeConflict, "class %s: based on version %d, current is %d", ch.Class.Name, ch.Base, current)
	}
	class := *ch.Class
	class.Version = offset
	c.classes[class.Name] = class
	c.configVersion = offset
	return accept(offset, ch)
}

func (c *ControlTable) applyQuota(offset int64, ch Change) Result {
	if ch.Quota == nil || !structs.ValidName(ch.Quota.Team) || ch.Quota.Limit.HasNegative() {
		return refuse(offset, ch, structs.CodeInvalid, "quota_set: want a team name and a limit that is not negative")
	}
	current := c.quotas[ch.Quota.Team].Version
	if ch.Base != current {
		return refuse(offset, ch, structs.CodeConflict, "quota of %s: based on version %d, current is %d", ch.Quota.Team, ch.Base, current)
	}
	quota := *ch.Quota
	quota.Version = offset
	c.quotas[quota.Team] = quota
	c.parts[quota.Team] = c.parts[quota.Team].resize(quota.Limit, ch.Groups, offset)
	c.configVersion = offset
	return accept(offset, ch)
}

func (c *ControlTable) applyLeaving(offset int64, ch Change) Result {
	if ch.Leaving == nil || ch.Leaving.Instance == "" {
		return refuse(offset, ch, structs.CodeInvalid, "%s without an instance", ch.Type)
	}
	instance := ch.Leaving.Instance
	current := c.LeavingVersion(instance)
	if ch.Base != current {
		return refuse(offset, ch, structs.CodeConflict, "leaving of %s: based on version %d, current is %d", instance, ch.Base, current)
	}
	if ch.Type == LeavingRemove {
		delete(c.leaving, instance)
		c.removedLeaving[instance] = offset
	} else {
		declared := *ch.Leaving
		declared.Version = offset
		c.leaving[instance] = declared
		delete(c.removedLeaving, instance)
		if declared.ConfirmedStopped {
			c.members = authority.ConfirmStopped(c.members, instance)
		}
	}
	c.configVersion = offset
	return accept(offset, ch)
}

// Snapshot returns the full content of the table.
func (c *ControlTable) Snapshot() ControlSnapshot {
	return ControlSnapshot{
		Next:           c.nextOffset,
		Version:        c.configVersion,
		Members:        c.members,
		Classes:        c.Classes(),
		Quotas:         c.Quotas(),
		Parts:          maps.Clone(c.parts),
		Leaving:        c.Leavings(),
		RemovedLeaving: maps.Clone(c.removedLeaving),
	}
}

// RestoreControlTable returns the table with the content of a snapshot.
func RestoreControlTable(s ControlSnapshot) *ControlTable {
	c := NewControlTable()
	c.nextOffset = s.Next
	c.configVersion = s.Version
	c.members = s.Members
	for _, v := range s.Classes {
		c.classes[v.Name] = v
	}
	for _, v := range s.Quotas {
		c.quotas[v.Team] = v
	}
	maps.Copy(c.parts, s.Parts)
	for _, v := range s.Leaving {
		c.leaving[v.Instance] = v
	}
	maps.Copy(c.removedLeaving, s.RemovedLeaving)
	return c
}

// sortedValues returns the values of m in the order of their keys.
func sortedValues[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
