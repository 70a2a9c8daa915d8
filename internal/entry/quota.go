package entry

import "dotterelhitch/internal/structs"

// quotaShare returns what the tasks of a team may hold by the word of this entry: the
// team's quota split evenly over the groups of the table. Within a group one member
// decides for all jobs of a team.
func (c *core) quotaShare(team string) (structs.Resources, bool) {
	if team == "" {
		return structs.Resources{}, false
	}
	quota, ok := c.control.Quota(team)
	if !ok {
		return structs.Resources{}, false
	}
	groups := int64(max(len(c.table.Groups()), 1))
	return structs.Resources{
		CPUMilli:     quota.Limit.CPUMilli / groups,
		MemoryMiB:    quota.Limit.MemoryMiB / groups,
		Accelerators: quota.Limit.Accelerators / groups,
	}, true
}
