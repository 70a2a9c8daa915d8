package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

func cores(n int64) structs.Resources { return structs.Resources{CPUMilli: n} }

func TestSplit(t *testing.T) {
	for name, c := range map[string]struct {
		limit   int64
		demands []Demand
		want    string
	}{
		"evenly without demand": {9, []Demand{{Owner: "b"}, {Owner: "a"}, {Owner: "c"}}, "[3 3 3]"},
		"used first":            {10, []Demand{{"a", cores(7), cores(0)}, {"b", cores(0), cores(9)}}, "[7 3]"},
		"waiting by need":       {10, []Demand{{"a", cores(0), cores(2)}, {"b", cores(0), cores(20)}}, "[2 8]"},
		"over the limit":        {10, []Demand{{"a", cores(8), cores(0)}, {"b", cores(8), cores(0)}}, "[5 5]"},
		"rest evenly":           {10, []Demand{{"a", cores(2), cores(0)}, {"b", cores(0), cores(0)}}, "[6 4]"},
		"nobody":                {10, nil, "[]"},
	} {
		var got []int64
		for _, s := range Split(cores(c.limit), c.demands) {
			got = append(got, s.Limit.CPUMilli)
		}
		if fmt.Sprint(got) != c.want {
			t.Errorf("%s: %v, want %s", name, got, c.want)
		}
	}
}

// TestBookNeverPassesTheLimit lets owners use what they were last told, with promises
// that get lost, and checks the sum of what they may believe.
func TestBookNeverPassesTheLimit(t *testing.T) {
	const limit = 1000
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		b := NewBook(cores(limit))
		now := time.Unix(1_700_000_000, 0)
		type belief struct {
			share int64
			until time.Time
		}
		believed := make(map[string]belief)
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
			owner := fmt.Sprint("o", rng.IntN(5))
			until := now.Add(5 * time.Second)
			share := b.Promise(now, owner, cores(rng.Int64N(600)), until)
			if rng.IntN(3) > 0 { // the promise arrives
				believed[owner] = belief{share.CPUMilli, until}
				if rng.IntN(2) == 0 { // so does the confirmation
					b.Confirm(owner, share)
				}
			}
			sum := int64(0)
			for _, bel := range believed {
				if now.Before(bel.until) {
					sum += bel.share
				}
			}
			if sum > limit || b.Outstanding(now).CPUMilli > limit {
				t.Fatalf("seed %d: owners believe in %d, the book in %d of %d", seed, sum, b.Outstanding(now).CPUMilli, limit)
			}
		}
		if got := len(b.Expire(now.Add(time.Hour))); got != 5 {
			t.Errorf("%d promises ran out, want 5", got)
		}
	}
}

func TestSplitSumsToTheLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for range 500 {
		demands := make([]Demand, 1+rng.IntN(9))
		for i := range demands {
			demands[i] = Demand{fmt.Sprint(i), cores(rng.Int64N(300)), cores(rng.Int64N(300))}
		}
		limit := rng.Int64N(2000)
		sum := int64(0)
		for _, s := range Split(cores(limit), demands) {
			sum += s.Limit.CPUMilli
		}
		if sum != limit {
			t.Fatalf("shares sum to %d of %d", sum, limit)
		}
	}
}

// BenchmarkSplitTeams divides the limits of 310 teams over nine owners.
func BenchmarkSplitTeams(b *testing.B) {
	demands := make([]Demand, 9)
	for i := range demands {
		demands[i] = Demand{fmt.Sprint(i), cores(int64(i * 100)), cores(int64(900 - i*100))}
	}
	b.ReportAllocs()
	for b.Loop() {
		for range 310 {
			Split(cores(100_000), demands)
		}
	}
}
