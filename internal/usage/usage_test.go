package usage

import (
	"testing"

	"dotterelhitch/internal/structs"
)

// TestAccountBalances guards against a team whose quota leaks: after all its runs have ended, nothing is counted.
func TestAccountBalances(t *testing.T) {
	a := New()
	size := structs.Resources{CPUMilli: 5000, MemoryMiB: 700, Accelerators: 1}
	lookups, batch := Owner{"north", "lookup"}, Owner{"north", "batch"}
	a.Add(lookups, size)
	a.Add(batch, size.Times(2))
	a.Add(Owner{"south", "batch"}, size)
	if got := a.Team("north"); got != size.Times(3) {
		t.Errorf("team: %v", got)
	}
	if got := a.Class("batch"); got != size.Times(3) {
		t.Errorf("class: %v", got)
	}
	if got := a.Owner(batch); got != size.Times(2) {
		t.Errorf("owner: %v", got)
	}
	if got := a.Total(); got != size.Times(4) {
		t.Errorf("total: %v", got)
	}
	a.Remove(lookups, size)
	a.Remove(batch, size.Times(2))
	a.Remove(Owner{"south", "batch"}, size)
	if !a.Total().IsZero() || len(a.byOwner)+len(a.byTeam)+len(a.byClass) != 0 {
		t.Errorf("left: %+v", a)
	}
}
