// Package ownership says which member decides for a worker, a job and a request
// key. Everything is a pure function of the membership table, so that members
// that have read the same prefix of the log agree without a message.
//
// A region's members are cut into groups of at most MaxGroupSize. A worker belongs to
// one group of its region and, within it, to one member; consents, attestations
// and copies of request keys stay within a group, so that none of these rules
// grows with the cell.
package ownership

import "dotterelhitch/internal/structs"

// Table is the membership table after a prefix of the log.
type Table struct {
	// Epoch is the log offset of the last accepted change, zero for none.
	Epoch int64 `json:"epoch"`
	// Members are the entry instances that have joined, in any order.
	Members []structs.Member `json:"members"`
}

// Member returns the member with the given ID.
func (t Table) Member(id string) (structs.Member, bool) {
	for _, m := range t.Members {
		if m.ID == id {
			return m, true
		}
	}
	return structs.Member{}, false
}

// HasMember reports whether the member is in the table.
func (t Table) HasMember(id string) bool {
	_, found := t.Member(id)
	return found
}
