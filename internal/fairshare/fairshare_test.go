package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"dotterelhitch/internal/structs"
)

// amount returns an amount of processor time and memory in a ratio of 1 millicore to 2 MiB.
func amount(n int64) structs.Resources { return structs.Resources{CPUMilli: n, MemoryMiB: 2 * n} }

// capacity of which 100,000 millicores are divided.
var capacity = amount(100_000 * 100 / usablePercent)

// wantShares checks the shares of teams, in millicores.
func wantShares(t *testing.T, teams []Team, want ...float64) {
	t.Helper()
	d := Divide(capacity, teams)
	if d == nil {
		t.Fatal("nothing is divided")
	}
	for i, team := range teams {
		if got := d.Share(team.Name) * float64(capacity.CPUMilli); math.Abs(got-want[i]) > 2 {
			t.Errorf("team %s: %.0f millicores, want %.0f", team.Name, got, want[i])
		}
	}
}

// TestDivide guards against shares that do not follow the weights, and against a team that gets less than it wants
// while others get more than their weight says.
func TestDivide(t *testing.T) {
	t.Run("equal", func(t *testing.T) {
		wantShares(t, []Team{{Name: "a", Demand: amount(90_000)}, {Name: "b", Demand: amount(60_000)}}, 50_000, 50_000)
	})
	t.Run("weights differ", func(t *testing.T) {
		wantShares(t, []Team{{Name: "a", Weight: 3, Demand: amount(200_000)}, {Name: "b", Weight: 1, Demand: amount(200_000)}}, 75_000, 25_000)
	})
	t.Run("demand below the share", func(t *testing.T) {
		wantShares(t, []Team{
			{Name: "a", Weight: 1, Demand: amount(10_000)},
			{Name: "b", Weight: 2, Demand: amount(200_000)},
			{Name: "c", Weight: 1, Demand: amount(200_000)},
		}, 10_000, 60_000, 30_000)
	})
	t.Run("one at seven times its rate beside nineteen", func(t *testing.T) {
		teams := []Team{{Name: "burst", Weight: 1, Demand: amount(35_000)}}
		want := []float64{100_000 - 19*4_500}
		for i := range 19 {
			teams = append(teams, Team{Name: fmt.Sprint(i), Weight: 1, Demand: amount(4_500)})
			want = append(want, 4_500)
		}
		wantShares(t, teams, want...)
	})
	t.Run("different resources", func(t *testing.T) {
		// Both rise until the processors are used up: a with its processor time, b with its memory.
		memory := Team{Name: "b", Demand: structs.Resources{CPUMilli: 20_000, MemoryMiB: 160_000}}
		wantShares(t, []Team{{Name: "a", Demand: structs.Resources{CPUMilli: 200_000}}, memory}, 80_000, 80_000)
	})
}

// TestNothingIsDividedWhileCapacitySuffices guards against an order by teams while there is room for all.
func TestNothingIsDividedWhileCapacitySuffices(t *testing.T) {
	d := Divide(capacity, []Team{{Name: "a", Demand: amount(90_000)}, {Name: "b", Demand: amount(9_000)}})
	if d != nil {
		t.Errorf("divided: %+v", d)
	}
}

// TestUtilization guards against teams that count as having their share while they could have more.
func TestUtilization(t *testing.T) {
	d := Divide(capacity, []Team{{Name: "a", Demand: amount(90_000)}, {Name: "b", Demand: amount(60_000)}})
	for running, want := range map[int64]float64{0: 0, 25_000: 0.5, 50_000: 1, 75_000: 1.5} {
		if got := d.Utilization("a", amount(running)); math.Abs(got-want) > 1e-3 {
			t.Errorf("with %d millicores running: %v, want %v", running, got, want)
		}
	}
	if got := d.Utilization("unknown", amount(1)); got < 1 {
		t.Errorf("a team without a share: %v", got)
	}
}

// TestRoom guards against one wide step that takes a team far beyond its share in one pass.
func TestRoom(t *testing.T) {
	d := Divide(capacity, []Team{{Name: "a", Demand: amount(90_000)}, {Name: "b", Demand: amount(60_000)}})
	for _, c := range []struct {
		running     int64
		utilization float64
		limit, want int
	}{
		{0, 1, 90, 50},
		{0, 1, 9, 9},
		{49_500, 1, 90, 1},
		{60_000, 1, 90, 0},
		{60_000, 1.5, 90, 15},
		{60_000, math.Inf(1), 90, 90},
	} {
		if got := d.Room("a", amount(c.running), amount(1_000), c.utilization, c.limit); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// TestDivisionIsMaxMinFair checks random divisions: none exceeds the capacity or a demand, no capacity is left while
// a team wants more, and a team that gets less than it wants has no less per weight than any other.
func TestDivisionIsMaxMinFair(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2_000 {
		teams := make([]Team, 1+rng.IntN(300))
		for i := range teams {
			teams[i] = Team{Name: fmt.Sprint(i), Weight: rng.Float64() * 10, Demand: structs.Resources{CPUMilli: rng.Int64N(5_000), MemoryMiB: rng.Int64N(10_000)}}
		}
		d := Divide(capacity, teams)
		if d == nil {
			continue
		}
		var cpu, memory, lowest, highest float64
		lowest = math.Inf(1)
		for i := range teams {
			team := &teams[i]
			part, share := dominantPart(team.Demand, capacity), d.Share(team.Name)
			if share > part+1e-9 {
				t.Fatalf("team %+v gets %v, more than %v", team, share, part)
			}
			if part > 0 {
				cpu += float64(team.Demand.CPUMilli) * share / part
				memory += float64(team.Demand.MemoryMiB) * share / part
			}
			highest = max(highest, share/weightOf(team))
			if share < part-1e-9 {
				lowest = min(lowest, share/weightOf(team))
			}
		}
		left := max(cpu/float64(capacity.CPUMilli), memory/float64(capacity.MemoryMiB))
		if math.Abs(left-usablePercent/100.0) > 1e-4 {
			t.Fatalf("%v of the capacity is divided", left)
		}
		if highest > lowest+1e-9 {
			t.Fatalf("a team has %v per weight, one that wants more has %v", highest, lowest)
		}
	}
}

// TestResourceThatNobodyHas guards against a division by zero where a demand is for what no worker has.
func TestResourceThatNobodyHas(t *testing.T) {
	d := Divide(capacity, []Team{{Name: "a", Demand: structs.Resources{Accelerators: 3}}, {Name: "b", Demand: amount(200_000)}})
	if d.Share("a") != 0 || d.Share("b") <= 0 || d.Utilization("a", structs.Resources{Accelerators: 1}) != 0 {
		t.Errorf("shares %v, %v", d.Share("a"), d.Share("b"))
	}
}

// BenchmarkDivide divides the capacity among 300 teams, once a placement pass.
func BenchmarkDivide(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	teams := make([]Team, 300)
	for i := range teams {
		teams[i] = Team{Name: fmt.Sprint(i), Weight: rng.Float64() * 10, Demand: structs.Resources{CPUMilli: rng.Int64N(5_000), MemoryMiB: rng.Int64N(10_000)}}
	}
	for b.Loop() {
		Divide(capacity, teams)
	}
}

// TestResourceThatNoWorkerHas guards against a demand for a resource of which there is none: it can't be met whatever the
// shares are, and must not leave all teams without a share.
func TestResourceThatNoWorkerHas(t *testing.T) {
	impossible := Team{Name: "c", Demand: structs.Resources{CPUMilli: 1000, Accelerators: 1}}
	wantShares(t, []Team{{Name: "a", Demand: amount(90_000)}, {Name: "b", Demand: amount(60_000)}, impossible}, 49_500, 49_500, 1000)
}
