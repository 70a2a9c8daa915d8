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
		"smallest that holds all":      {10, 2, nil, "[{b 10}]"},
		"roomiest first":               {50, 2, nil, "[{a 40} {b 10}]"},
		"no discount when needed":      {70, 2, nil, "[{a 50} {b 20}]"},
		"after a refusal":              {10, 2, map[string]int{"b": 15}, "[{a 10}]"},
		"largest worker counts":        {1, 20, nil, "[]"},
		"more than all owners":         {76, 2, nil, "[]"},
		"small tasks may go anywhere":  {170, 1, nil, "[{c 160} {b 10}]"},
		"refusals may leave no owners": {10, 2, map[string]int{"a": 99, "b": 99}, "[]"},
	} {
		if got := fmt.Sprint(Split(c.tasks, cores(c.size), owners, c.refused)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

func TestClaimsFollowJobOrderAndEnd(t *testing.T) {
	var c Claims
	first := Rank{LatestStart: start, Job: "a"}
	second := Rank{LatestStart: start.Add(time.Second), Job: "b"}
	until := start.Add(5 * time.Second)
	if c.Renew(start, second, until) != Proceed {
		t.Fatal("the only gang must proceed")
	}
	c.MarkReserved(second)
	if c.Renew(start, first, until) != Proceed {
		t.Fatal("the first gang must proceed")
	}
	if got := c.WoundCandidates(first); len(got) != 1 || got[0] != second || len(c.WoundCandidates(second)) != 0 {
		t.Fatalf("wounded %v", got)
	}
	if holder, ok := c.FirstWaiting(start); !ok || holder != first {
		t.Fatal("workers must be held for the first gang that waits")
	}
	if c.Renew(start, second, until) != BehindEarlierGang || c.Renew(until, second, until.Add(time.Second)) != Proceed {
		t.Fatal("a later gang is behind until the earlier claim has run out")
	}
	if got := c.Expire(until); len(got) != 1 || got[0] != first || c.Len() != 1 {
		t.Fatalf("ran out: %v", got)
	}
	c.RemoveJob("b")
	if c.Len() != 0 {
		t.Fatal("the claim of an ended job is left")
	}
}

// TestCompetingGangsAllStart lets gangs that each need most of three owners reserve
// in random interleavings, one step at a time, and checks that all of them start.
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
	contestOwners = 3
	contestRoom   = 10
	contestNeed   = 7 // of each owner, so that no two gangs go together
)

// contest is gangs that reserve a part of every owner.
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

// step lets a gang try one owner; it starts, and ends at once, when it has all.
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
	if state != Proceed || (len(m.reserved[owner])+1)*contestNeed > contestRoom {
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
