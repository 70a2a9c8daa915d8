package quota

import (
	"math/rand/v2"
	"testing"

	"dotterelhitch/internal/structs"
)

func cpu(milli int64) structs.Resources { return structs.Resources{CPUMilli: milli, MemoryMiB: 100} }

// TestRoom guards against a team that starts more than its quota allows, and against one that is held back although
// its quota has room.
func TestRoom(t *testing.T) {
	for name, c := range map[string]struct {
		quota, running, size structs.Resources
		limit, want          int
	}{
		"no quota":                       {structs.Resources{}, cpu(1 << 40), cpu(1000), 5, 5},
		"room for all":                   {cpu(4000), structs.Resources{}, structs.Resources{CPUMilli: 1000}, 3, 3},
		"a wave":                         {structs.Resources{CPUMilli: 4000}, cpu(1000), cpu(1000), 9, 3},
		"exactly full":                   {structs.Resources{CPUMilli: 4000}, cpu(4000), cpu(1000), 9, 0},
		"rounded down":                   {structs.Resources{CPUMilli: 4000}, cpu(1001), cpu(1000), 9, 2},
		"above a lowered quota":          {structs.Resources{CPUMilli: 4000}, cpu(9000), cpu(1000), 9, 0},
		"the tightest component counts":  {structs.Resources{CPUMilli: 9000, MemoryMiB: 300}, cpu(1000), cpu(1000), 9, 2},
		"another component is over":      {structs.Resources{CPUMilli: 4000, Accelerators: 1}, structs.Resources{Accelerators: 2}, cpu(1000), 9, 4},
		"larger, nothing running":        {structs.Resources{CPUMilli: 4000}, structs.Resources{}, cpu(5000), 9, 1},
		"larger, something running":      {structs.Resources{CPUMilli: 4000}, cpu(1), cpu(5000), 9, 0},
		"larger, other resource running": {structs.Resources{CPUMilli: 4000}, structs.Resources{MemoryMiB: 1}, cpu(5000), 9, 0},
		"no tasks to start":              {structs.Resources{CPUMilli: 4000}, structs.Resources{}, cpu(5000), 0, 0},
		"tasks that need nothing":        {structs.Resources{CPUMilli: 4000}, cpu(9000), structs.Resources{}, 7, 7},
	} {
		if got := Room(c.quota, c.running, c.size, c.limit); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// TestRoomIsExact guards against rounding that lets a team above its quota or leaves room for a whole task unused.
func TestRoomIsExact(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	draw := func() structs.Resources {
		return structs.Resources{CPUMilli: rng.Int64N(40), MemoryMiB: rng.Int64N(40), Accelerators: rng.Int64N(4)}
	}
	// within reports whether an amount is within a quota in the components that the size has.
	within := func(amount, quota, size structs.Resources) bool {
		over := func(a, q, s int64) bool { return q > 0 && s > 0 && a > q }
		return !over(amount.CPUMilli, quota.CPUMilli, size.CPUMilli) &&
			!over(amount.MemoryMiB, quota.MemoryMiB, size.MemoryMiB) &&
			!over(amount.Accelerators, quota.Accelerators, size.Accelerators)
	}
	for range 20_000 {
		quota, running, size, limit := draw(), draw(), draw(), rng.IntN(9)
		n := Room(quota, running, size, limit)
		if n < 0 || n > limit {
			t.Fatalf("quota %v, running %v, size %v: %d of %d", quota, running, size, n, limit)
		}
		if n > 0 && !within(running.Add(size.Times(int64(n))), quota, size) && (n > 1 || !running.IsZero()) {
			t.Fatalf("quota %v, running %v, size %v: %d is too many", quota, running, size, n)
		}
		if n < limit && within(running.Add(size.Times(int64(n+1))), quota, size) {
			t.Fatalf("quota %v, running %v, size %v: %d is too few", quota, running, size, n)
		}
	}
}

// TestWanted guards against a team that wants more than its quota allows, and so takes part in a division with
// tasks that can't start.
func TestWanted(t *testing.T) {
	quota := structs.Resources{CPUMilli: 4000}
	for name, c := range map[string]struct{ running, waiting, want structs.Resources }{
		"within":  {cpu(1000), cpu(2000), cpu(2000)},
		"beyond":  {cpu(1000), cpu(9000), cpu(3000)},
		"lowered": {cpu(6000), cpu(9000), structs.Resources{MemoryMiB: 100}},
	} {
		if got := Wanted(quota, c.running, c.waiting); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
