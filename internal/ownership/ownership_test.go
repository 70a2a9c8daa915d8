package ownership

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"dotterelhitch/internal/structs"
)

func table(regions map[string]int) Table {
	t := Table{Epoch: 1}
	for region, n := range regions {
		for i := range n {
			t.Members = append(t.Members, structs.Member{ID: fmt.Sprintf("%s-e%03d", region, i), Region: region})
		}
	}
	return t
}

func workers(region string, n int) []structs.Worker {
	list := make([]structs.Worker, n)
	for i := range list {
		list[i] = structs.Worker{ID: fmt.Sprintf("%s-w%05d", region, i), Region: region}
	}
	return list
}

func TestGroupsHoldEveryMemberOnceAndAtMostNine(t *testing.T) {
	for n := 1; n <= 120; n++ {
		tab := table(map[string]int{"casa": n, "fes": 3})
		seen := make(map[string]bool)
		for _, g := range Groups(tab) {
			if len(g.Members) == 0 || len(g.Members) > MaxGroupSize {
				t.Fatalf("%d members: group %s has %d", n, g.Name, len(g.Members))
			}
			for _, m := range g.Members {
				if seen[m.ID] || m.Region != g.Region {
					t.Fatalf("%d members: %s is in two groups or in the wrong region", n, m.ID)
				}
				seen[m.ID] = true
			}
		}
		if len(seen) != n+3 {
			t.Fatalf("%d members: %d in groups", n+3, len(seen))
		}
	}
}

func TestOrderOfMembersDoesNotMatter(t *testing.T) {
	tab := table(map[string]int{"casa": 30, "fes": 4})
	reversed := Table{Epoch: tab.Epoch, Members: slices.Clone(tab.Members)}
	slices.Reverse(reversed.Members)
	if !reflect.DeepEqual(Groups(tab), Groups(reversed)) {
		t.Fatal("groups depend on the order of the members")
	}
}

// moved returns the share of workers whose owner differs, leaving out those of
// the member that went.
func moved(a, b *Map, list []structs.Worker, gone string) float64 {
	n := 0
	for _, w := range list {
		before, _ := a.OwnerOfWorker(w)
		after, _ := b.OwnerOfWorker(w)
		if before.ID != after.ID && before.ID != gone {
			n++
		}
	}
	return float64(n) / float64(len(list))
}

func TestOneGroupMovesNothingElse(t *testing.T) {
	list := workers("casa", 3000)
	for n := 2; n <= MaxGroupSize; n++ {
		tab := table(map[string]int{"casa": n})
		before := NewMap(tab)
		gone := tab.Members[n/2].ID
		after := NewMap(Table{Members: slices.Delete(slices.Clone(tab.Members), n/2, n/2+1)})
		if share := moved(before, after, list, gone); share != 0 {
			t.Errorf("%d members: a removal moved %.3f of the others' workers", n, share)
		}
		for _, w := range list {
			from, _ := after.OwnerOfWorker(w)
			to, _ := before.OwnerOfWorker(w)
			if from.ID != to.ID && to.ID != gone {
				t.Fatalf("%d members: a join moved %s between two older members", n, w.ID)
			}
		}
	}
}

func TestManyGroupsMoveLittleOnAJoin(t *testing.T) {
	list := workers("casa", 5000)
	total, joins := 0.0, 0
	for n := 20; n < 80; n++ {
		before := NewMap(table(map[string]int{"casa": n}))
		after := NewMap(table(map[string]int{"casa": n + 1}))
		share := moved(before, after, list, "")
		if limit := 4.0 * groupAim / float64(n); share > limit {
			t.Errorf("join %d: %.3f of the workers moved, want at most %.3f", n+1, share, limit)
		}
		total += share * float64(n)
		joins++
	}
	mean := total / float64(joins)
	t.Logf("a join moved %.2f times one member's workers in the mean", mean)
	if mean > groupAim {
		t.Errorf("a join moved %.2f times one member's workers in the mean, want at most %d", mean, groupAim)
	}
}

func TestWorkersAreBalancedInAGroup(t *testing.T) {
	m := NewMap(table(map[string]int{"casa": 9}))
	count := make(map[string]int)
	for _, w := range workers("casa", 9000) {
		owner, _ := m.OwnerOfWorker(w)
		count[owner.ID]++
	}
	for id, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s owns %d of 9000 workers among nine members", id, n)
		}
	}
}

func TestRegionWithoutMembers(t *testing.T) {
	m := NewMap(table(map[string]int{"casa": 3, "fes": 3}))
	for _, w := range workers("rabat", 20) {
		first, found := m.OwnerOfWorker(w)
		second, _ := m.OwnerOfWorker(w)
		if !found || first != second {
			t.Fatalf("worker %s: owner %q, then %q", w.ID, first.ID, second.ID)
		}
	}
	if _, found := OwnerOfWorker(Table{}, workers("casa", 1)[0]); found {
		t.Error("an empty table has an owner")
	}
}

func TestJobStaysInItsGroup(t *testing.T) {
	m := NewMap(table(map[string]int{"casa": 20, "fes": 3}))
	for _, c := range []struct{ job, region string }{
		{"casa-1:x", "casa"}, {"casa-77:x", "casa"}, {"fes-0:x", "fes"}, {"fes-5:x", "fes"},
	} {
		owner, found := m.OwnerOfJob(c.job)
		if !found || owner.Region != c.region {
			t.Errorf("job %s: owner %q in %q", c.job, owner.ID, owner.Region)
		}
	}
	if owner, _ := m.OwnerOfJob("casa-1:x"); owner.ID != "" {
		g, _ := m.Group("casa-1")
		if !g.HasMember(owner.ID) {
			t.Errorf("owner %s is not of the job's group", owner.ID)
		}
	}
	if _, found := m.OwnerOfJob("rabat-0:x"); !found {
		t.Error("a job of a region without members has no owner")
	}
}

func TestBackupBecomesHomeWhenTheHomeIsLost(t *testing.T) {
	for _, sizes := range []map[string]int{{"casa": 2}, {"casa": 1, "fes": 1}, {"casa": 6, "fes": 3}, {"casa": 9}} {
		tab := table(sizes)
		m := NewMap(tab)
		for p := range PartitionCount {
			home, backup := m.HomeOfPartition(p)
			left := slices.DeleteFunc(slices.Clone(tab.Members), func(x structs.Member) bool { return x.ID == home.ID })
			next, _ := NewMap(Table{Members: left}).HomeOfPartition(p)
			if next.ID != backup.ID || home.ID == backup.ID {
				t.Fatalf("%v partition %d: home %s, backup %s, next home %s", sizes, p, home.ID, backup.ID, next.ID)
			}
		}
	}
}

func TestAffectedGroups(t *testing.T) {
	names := func(groups []Group) (list []string) {
		for _, g := range groups {
			list = append(list, g.Name)
		}
		return list
	}
	for _, c := range []struct {
		before, after map[string]int
		want          []string
	}{
		{map[string]int{"casa": 3, "fes": 3}, map[string]int{"casa": 4, "fes": 3}, []string{"casa-0"}},
		{map[string]int{"casa": 3}, map[string]int{"casa": 3, "fes": 1}, []string{"casa-0"}},
		{map[string]int{"casa": 9, "fes": 1}, map[string]int{"casa": 10, "fes": 1}, []string{"casa-0", "fes-0"}},
		{map[string]int{}, map[string]int{"casa": 1}, nil},
	} {
		got := names(AffectedGroups(NewMap(table(c.before)), NewMap(table(c.after))))
		if !slices.Equal(got, c.want) {
			t.Errorf("%v to %v: affected %v, want %v", c.before, c.after, got, c.want)
		}
	}
}

func BenchmarkOwners(b *testing.B) {
	tab := table(map[string]int{"casa": 40, "fes": 40, "rabat": 40})
	list := workers("casa", 13000)
	for b.Loop() {
		m := NewMap(tab)
		for _, w := range list {
			m.OwnerOfWorker(w)
		}
	}
}

// TestOneOfTwoCalls checks that of each pair in a group exactly one makes the calls,
// and that no member makes more than half of its own, rounded up.
func TestOneOfTwoCalls(t *testing.T) {
	for n := 1; n <= MaxGroupSize; n++ {
		g := Groups(table(map[string]int{"casa": n}))[0]
		for _, a := range g.Members {
			made := 0
			for _, b := range g.Members {
				if a.ID != b.ID && g.InitiatesCalls(a.ID, b.ID) == g.InitiatesCalls(b.ID, a.ID) {
					t.Errorf("%d members: %s and %s call both or not at all", n, a.ID, b.ID)
				}
				if g.InitiatesCalls(a.ID, b.ID) {
					made++
				}
			}
			if made > n/2 {
				t.Errorf("%d members: %s makes %d calls", n, a.ID, made)
			}
		}
	}
}

// TestGroupsAreNeitherSmallNorLarge cuts regions of each size into groups.
func TestGroupsAreNeitherSmallNorLarge(t *testing.T) {
	var members []structs.Member
	for n := 1; n <= 300; n++ {
		members = append(members, structs.Member{ID: fmt.Sprintf("casa-%x", n*2654435761), Region: "casa"})
		groups := Groups(Table{Members: slices.Clone(members)})
		total := 0
		for _, g := range groups {
			size := len(g.Members)
			total += size
			if size > MaxGroupSize || len(groups) > 1 && size < MinGroupSize {
				t.Fatalf("%d members: group %s has %d", n, g.Name, size)
			}
			sorted := slices.IsSortedFunc(g.Members, func(a, b structs.Member) int { return strings.Compare(a.ID, b.ID) })
			if !sorted {
				t.Fatalf("%d members: group %s is not in order", n, g.Name)
			}
		}
		if total != n {
			t.Fatalf("%d members, %d in groups", n, total)
		}
	}
}
