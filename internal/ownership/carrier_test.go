package ownership_test

import (
	"fmt"
	"testing"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// TestHeartbeatRelaysShareLoad checks that, in a cell of 650 members, each member relays to
// an even share of the groups with which its group exchanges heartbeats.
func TestHeartbeatRelaysShareLoad(t *testing.T) {
	const members, regions = 650, 3
	var table ownership.Table
	for i := range members {
		table.Members = append(table.Members, structs.Member{ID: fmt.Sprintf("m-%03d", i), Region: fmt.Sprintf("r%d", i%regions)})
	}
	m := ownership.NewMap(table)
	groups := m.Groups()
	for _, g := range groups {
		relayed := map[string]int{}
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
			relayed[order[0].ID]++
		}
		share := (len(groups) - 1) / len(g.Members)
		for id, n := range relayed {
			if n > share+1 {
				t.Errorf("%s relays %d exchanges in a group of %d members, the even share is %d", id, n, len(g.Members), share)
			}
		}
	}
	if got := m.HeartbeatRelays("none", groups[0].Name); got != nil {
		t.Errorf("relays of a nonexistent group: %v", got)
	}
}
