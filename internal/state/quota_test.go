package state

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dotterelhitch/internal/structs"
)

// TestPartsSumToTheQuota changes a quota and moves its parts at random, some moves
// twice or based on what is not current, and sums the parts after each.
func TestPartsSumToTheQuota(t *testing.T) {
	const team = "audit"
	random := rand.New(rand.NewPCG(1, 1))
	c := NewControlTable()
	offset := int64(0)
	apply := func(ch Change) Result {
		offset++
		data, err := Encode([]Change{ch})
		if err != nil {
			t.Fatal(err)
		}
		return c.Apply(offset, data)[0]
	}
	amount := func(most int64) structs.Resources {
		return structs.Resources{CPUMilli: random.Int64N(most), MemoryMiB: random.Int64N(most), Accelerators: random.Int64N(8)}
	}
	moved, stale := 0, 0
	for range 2000 {
		quota, _ := c.Quota(team)
		groups := []string{"a-0", "a-1", "b-0"}[:random.IntN(4)]
		if random.IntN(20) == 0 {
			q := structs.Quota{Team: team, Limit: amount(100_000)}
			if r := apply(Change{ID: "set", Type: QuotaSet, Base: quota.Version, Quota: &q, Groups: groups}); !r.Accepted {
				t.Fatalf("quota: %v", r.Err)
			}
		}
		parts := c.QuotaParts(team)
		if len(parts) == 0 {
			continue
		}
		from := parts[random.IntN(len(parts))]
		ch := Change{
			ID: "move", Type: QuotaMove, Base: from.Version,
			Move: &structs.QuotaMove{Team: team, From: from.Group, To: fmt.Sprintf("c-%d", random.IntN(3)), Amount: amount(5000)},
		}
		if r := apply(ch); r.Accepted {
			moved++
			if again := apply(ch); again.Accepted {
				t.Fatalf("a repeat of %+v was accepted", ch.Move)
			}
		}
		ch.Epoch = 7
		ch.Base = c.QuotaPart(team, from.Group).Version
		if r := apply(ch); r.Accepted {
			t.Fatalf("a move of another epoch was accepted: %+v", ch.Move)
		}
		stale++
		quota, _ = c.Quota(team)
		var sum structs.Resources
		for _, p := range RestoreControlTable(c.Snapshot()).QuotaParts(team) {
			if p.Limit.HasNegative() {
				t.Fatalf("part %+v", p)
			}
			sum = sum.Add(p.Limit)
		}
		if sum != quota.Limit {
			t.Fatalf("parts sum to %+v, the quota is %+v", sum, quota.Limit)
		}
	}
	if moved == 0 || stale == 0 {
		t.Errorf("%d moves accepted, %d refused", moved, stale)
	}
}
