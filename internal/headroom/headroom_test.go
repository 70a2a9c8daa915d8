package headroom

import (
	"testing"

	"dotterelhitch/internal/structs"
)

func amount(cores int64) structs.Resources {
	return structs.Resources{CPUMilli: cores * 1000, MemoryMiB: cores * 4000}
}

// TestReserve guards against a reserve that leaves a large part of the pool idle after a burst.
func TestReserve(t *testing.T) {
	if got := Reserve(amount(1000), amount(90)); got != amount(90) {
		t.Errorf("usual load: %v", got)
	}
	if got := Reserve(amount(1000), amount(400)); got != amount(150) {
		t.Errorf("burst: %v", got)
	}
}

// TestRoom guards against work that can wait and takes the last of the capacity, and against a negative number of tasks
// once urgent work has taken the reserve.
func TestRoom(t *testing.T) {
	for name, c := range map[string]struct {
		used, reserve int64
		want          int
	}{
		"much is free":            {100, 90, 50},
		"some fit":                {850, 90, 12},
		"only the reserve left":   {905, 90, 1},
		"urgent work in its room": {960, 90, 0},
		"more is used than there": {1100, 90, 0},
	} {
		if got := Room(amount(1000), amount(c.used), amount(c.reserve), amount(5), 50); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
