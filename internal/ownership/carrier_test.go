package ownership_test

import (
	"fmt"
	"testing"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// TestCarriersShareTheWork counts the exchanges that each member carries in a cell of
// the target's size: an even share of those of its group.
func TestCarriersShareTheWork(t *testing.T) {
	const members, regions = 650, 3
	var table ownership.Table
	for i := range members {
		table.Members = append(table.Members, structs.Member{ID: fmt.Sprintf("m-%03d", i), Region: fmt.Sprintf("r%d", i%regions)})
	}
	m := ownership.NewMap(table)
	groups := m.Groups()
	for _, g := range groups {
		carried := map[string]int{}
		for _, other := range groups {
			if g.Name == other.Name {
				continue
			}
			order := m.HeartbeatRelays(g.Name, other.Name)
			seen := map[string]bool{}
			for _, c := range order {
				seen[c.ID] = true
			}
			if len(order) != len(g.Members) || len(seen) != len(order) {
				t.Fatalf("%s to %s: %d members in order, %d different, want %d", g.Name, other.Name, len(order), len(seen), len(g.Members))
			}
			carried[order[0].ID]++
		}
		share := (len(groups) - 1) / len(g.Members)
		for id, n := range carried {
			if n > share+1 {
				t.Errorf("%s carries %d exchanges of its group of %d, whose even share is %d", id, n, len(g.Members), share)
			}
		}
	}
	if got := m.HeartbeatRelays("none", groups[0].Name); got != nil {
		t.Errorf("carriers of a group that is not there: %v", got)
	}
}
