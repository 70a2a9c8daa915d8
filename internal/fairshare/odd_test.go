package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"dotterelhitch/internal/structs"
)

// TestOddWeightsAndDemands guards against shares that are no numbers, and against numbers of tasks outside the limit.
func TestOddWeightsAndDemands(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	weights := []float64{0, 5e-324, 1e-300, 1e-9, 1, 3, 1e9, 1e12}
	amounts := []int64{0, 1, 7, 1000, 80_000, 1 << 40, 1 << 55}
	pick := func() structs.Resources {
		return structs.Resources{CPUMilli: amounts[rng.IntN(7)], MemoryMiB: amounts[rng.IntN(7)], Accelerators: amounts[rng.IntN(4)]}
	}
	for range 50_000 {
		capacity := pick().Min(structs.Resources{CPUMilli: 1 << 40, MemoryMiB: 1 << 40, Accelerators: 1000})
		var teams []Team
		for i := range 1 + rng.IntN(6) {
			teams = append(teams, Team{Name: fmt.Sprint(i), Weight: weights[rng.IntN(len(weights))], Demand: pick()})
		}
		d := Divide(capacity, teams)
		if d == nil {
			continue
		}
		for _, team := range teams {
			running, size := team.Demand.Min(pick()), pick()
			if share := d.Share(team.Name); math.IsNaN(share) || share < 0 {
				t.Fatalf("capacity %v, teams %+v: share %v", capacity, teams, share)
			}
			if fill := d.Utilization(team.Name, running); math.IsNaN(fill) || fill < 0 {
				t.Fatalf("capacity %v, teams %+v: fill %v", capacity, teams, fill)
			}
			for _, level := range RoundLimits {
				if n := d.Room(team.Name, running, size, level, 9); n < 0 || n > 9 {
					t.Fatalf("capacity %v, teams %+v: room %d", capacity, teams, n)
				}
			}
		}
	}
}
