package gang

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

var start = time.Unix(1_700_000_000, 0)

func cores(n int64) structs.Resources { return structs.Resources{CPUMilli: n * 1000} }

func TestSplit(t *testing.T) {
	owners := []Owner{
		{ID: "a", Free: cores(100), Largest: cores(16)},
		{ID: "b", Free: cores(50), Largest: cores(16)},
		{ID: "c", Free: cores(200), Largest: cores(1)},
	}
	for name, c := range map[string]struct {
		tasks   int
		size    int64
		refused map[string]int
		want    string
	}{
		"smallest sufficient owner":    {10, 2, nil, "[{b 10}]"},
		"largest capacity first":       {50, 2, nil, "[{a 40} {b 10}]"},
		"all free resources if needed": {70, 2, nil, "[{a 50} {b 20}]"},
		"after an overestimate":        {10, 2, map[string]int{"b": 15}, "[{a 10}]"},
		"task exceeds largest worker":  {1, 20, nil, "[]"},
		"more than all owners can fit": {76, 2, nil, "[]"},
		"small tasks fit all owners":   {170, 1, nil, "[{c 160} {b 10}]"},
		"all owners overestimated":     {10, 2, map[string]int{"a": 99, "b": 99}, "[]"},
	} {
		if got := fmt.Sprint(Split(c.tasks, cores(c.size), owners, c.refused)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

func TestClaimsFollowJobOrderAndExpire(t *testing.T) {
	var c Claims
	first := Rank{LatestStart: start, Job: "a"}
	second := Rank{LatestStart: start.Add(time.Second), Job: "b"}
	until := start.Add(5 * time.Second)
	if c.Renew(start, second, until) != Proceed {
		t.Fatal("the only gang was not told to proceed")
	}
	c.MarkReserved(second)
	if c.Renew(start, first, until) != Proceed {
		t.Fatal("the first gang in job order was not told to proceed")
	}
	if got := c.WoundCandidates(first); len(got) != 1 || got[0] != second || len(c.WoundCandidates(second)) != 0 {
		t.Fatalf("wound candidates %v", got)
	}
	if holder, ok := c.FirstWaiting(start); !ok || holder != first {
		t.Fatal("FirstWaiting did not return the first gang")
	}
	if c.Renew(start, second, until) != BehindEarlierGang || c.Renew(until, second, until.Add(time.Second)) != Proceed {
		t.Fatal("a later gang must be behind the earlier one exactly until that claim expires")
	}
	if got := c.Expire(until); len(got) != 1 || got[0] != first || c.Len() != 1 {
		t.Fatalf("expired: %v", got)
	}
	c.RemoveJob("b")
	if c.Len() != 0 {
		t.Fatal("the claim of a removed job remains")
	}
}

// TestCompetingGangsAllStart has gangs, each of which needs most of the capacity of
// three owners, reserve step by step in random interleavings, and checks that all of
// them start eventually.
func TestCompetingGangsAllStart(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		m := newContest(6)
		for step := 0; m.started < 6; step++ {
			if step > 5000 {
				t.Fatalf("seed %d: %d of 6 gangs started", seed, m.started)
			}
			m.step(rng.IntN(6), rng.IntN(contestOwners))
		}
	}
}

const (
	contestOwners   = 3
	contestCapacity = 10
	contestDemand   = 7 // of each owner, so that no two gangs fit at once
)

// contest simulates gangs that each reserve capacity at every owner.
type contest struct {
	claims   [contestOwners]Claims
	reserved [contestOwners]map[int]bool
	done     map[int]bool
	started  int
}

func newContest(gangs int) *contest {
	m := &contest{done: make(map[int]bool, gangs)}
	for o := range m.reserved {
		m.reserved[o] = make(map[int]bool)
	}
	return m
}

func (m *contest) rank(gang int) Rank {
	return Rank{LatestStart: start, Job: fmt.Sprint(gang)}
}

// step has a gang try to reserve at one owner. Once it has reserved at all owners, it
// starts and ends immediately.
func (m *contest) step(gang, owner int) {
	if m.done[gang] || m.reserved[owner][gang] {
		return
	}
	c := &m.claims[owner]
	state := c.Renew(start, m.rank(gang), start.Add(time.Hour))
	if state == Proceed {
		for _, later := range c.WoundCandidates(m.rank(gang)) {
			for g := range m.reserved[owner] {
				if m.rank(g) == later {
					delete(m.reserved[owner], g)
					c.Remove(later)
				}
			}
		}
	}
	if state != Proceed || (len(m.reserved[owner])+1)*contestDemand > contestCapacity {
		return
	}
	m.reserved[owner][gang] = true
	c.MarkReserved(m.rank(gang))
	for o := range m.reserved {
		if !m.reserved[o][gang] {
			return
		}
	}
	m.done[gang] = true
	m.started++
	for o := range m.reserved {
		delete(m.reserved[o], gang)
		m.claims[o].Remove(m.rank(gang))
	}
}
