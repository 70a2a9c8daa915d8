package policytest

import (
	"flag"
	"slices"
	"testing"
)

// full runs every experiment with its baselines and five seeds, as the measurements
// do; without it only the scheduler's own rules run, once.
var full = flag.Bool("full", false, "run baselines too, each experiment with five seeds")

// seeds returns the seeds of the runs of which medians are taken.
func seeds() []uint64 {
	if *full {
		return []uint64{1, 2, 3, 4, 5}
	}
	return []uint64{1}
}

// medianOf runs an experiment for each seed and returns the median of each figure.
func medianOf[R any](run func(seed uint64) R, figures ...func(R) float64) []float64 {
	medians, _ := summaryOf(run, figures...)
	return medians
}

// summaryOf returns the median and the largest value of each figure.
func summaryOf[R any](run func(seed uint64) R, figures ...func(R) float64) (medians, largest []float64) {
	values := make([][]float64, len(figures))
	for _, seed := range seeds() {
		r := run(seed)
		for i, f := range figures {
			values[i] = append(values[i], f(r))
		}
	}
	for _, v := range values {
		medians = append(medians, Median(v))
		largest = append(largest, slices.Max(v))
	}
	return medians, largest
}

// TestOverload checks the target: at 1x, 2x and 5x of capacity the answered rate
// stays near capacity, the 99th percentile of what is answered within its target, and
// what is refused is told so before the target has passed.
func TestOverload(t *testing.T) {
	const nearCapacity = 0.9
	t.Log("load slow plain | goodput late  p99/target lookup ticket | refused within | to slow | answered lookup ticket")
	for _, slow := range []int{0, 2} {
		for _, load := range []float64{0.8, 1, 2, 5} {
			for _, plain := range []bool{true, false} {
				if plain && !*full {
					continue
				}
				m := medianOf(func(seed uint64) OverloadResult {
					return RunOverload(OverloadSetup{Seed: seed, Load: load, SlowEndpoints: slow, UseBaseline: plain})
				},
					func(r OverloadResult) float64 { return r.Goodput },
					func(r OverloadResult) float64 { return r.LateShare },
					func(r OverloadResult) float64 { return r.AnswerP99["lookup"] },
					func(r OverloadResult) float64 { return r.AnswerP99["ticket"] },
					func(r OverloadResult) float64 { return r.RefusedShare },
					func(r OverloadResult) float64 { return r.RefusalP99 },
					func(r OverloadResult) float64 { return r.SlowShare },
					func(r OverloadResult) float64 { return r.InTimeShare["lookup"] },
					func(r OverloadResult) float64 { return r.InTimeShare["ticket"] },
				)
				t.Logf("%.1fx %d %-5v | %.3f %.4f %.2f %.2f | %.3f %.2f | %.3f | %.3f %.3f", load, slow, plain,
					m[0], m[1], m[2], m[3], m[4], m[5], m[6], m[7], m[8])
				if plain || load < 1 {
					continue
				}
				if m[0] < nearCapacity || m[2] > 1 || m[3] > 1 || m[5] > 1 {
					t.Errorf("%.1fx with %d slow endpoints misses the target", load, slow)
				}
			}
		}
	}
}

func TestFragmentation(t *testing.T) {
	t.Log("load rule | lost small large accelerator | used")
	for _, load := range []float64{0.8, 0.95} {
		for _, rule := range []string{"first", "random", "best"} {
			if rule != "best" && !*full {
				continue
			}
			m := medianOf(func(seed uint64) FragmentResult {
				return RunFragment(FragmentSetup{Seed: seed, Load: load, Rule: rule})
			},
				func(r FragmentResult) float64 { return r.UnplacedShare["small"] },
				func(r FragmentResult) float64 { return r.UnplacedShare["large"] },
				func(r FragmentResult) float64 { return r.UnplacedShare["accelerator"] },
				func(r FragmentResult) float64 { return r.CPUUtilization },
			)
			t.Logf("%.2f %-6s | %.4f %.4f %.4f | %.3f", load, rule, m[0], m[1], m[2], m[3])
		}
	}
}

func TestPacking(t *testing.T) {
	t.Log("error learn guard | work cpu memory | killed checkpointed per 1000")
	for _, c := range []PackingSetup{
		{SizeError: 1.0001, EnableGuard: false},
		{SizeError: 5},
		{SizeError: 5, EnableGuard: true},
		{SizeError: 5, LearnSizes: true},
		{SizeError: 5, LearnSizes: true, EnableGuard: true},
	} {
		if !c.LearnSizes && !*full {
			continue
		}
		m, most := summaryOf(func(seed uint64) PackingResult {
			c.Seed = seed
			return RunPacking(c)
		},
			func(r PackingResult) float64 { return r.CompletedWork },
			func(r PackingResult) float64 { return r.CPUUtilization },
			func(r PackingResult) float64 { return r.MemoryUtilization },
			func(r PackingResult) float64 { return r.KilledPer1000 },
			func(r PackingResult) float64 { return r.CheckpointedPer1000 },
		)
		t.Logf("%.0f %-5v %-5v | %.3f %.3f %.3f | %.1f %.1f (most %.1f %.1f)", c.SizeError, c.LearnSizes, c.EnableGuard,
			m[0], m[1], m[2], m[3], m[4], most[3], most[4])
	}
}

func TestGangs(t *testing.T) {
	t.Log("load rule | gang p50 p99 max s, waiting | small p99 s | used idle idle-max | evicted")
	for _, load := range []float64{0.75, 0.85} {
		for _, rule := range []string{"fifo", "greedy", "hold", "evict"} {
			if !*full && (rule != "evict" || load < 0.85) {
				continue
			}
			m := medianOf(func(seed uint64) GangResult {
				return RunGangs(GangSetup{Seed: seed, Load: load, Rule: rule})
			},
				func(r GangResult) float64 { return r.GangWaitP50 },
				func(r GangResult) float64 { return r.GangWaitP99 },
				func(r GangResult) float64 { return r.GangWaitMax },
				func(r GangResult) float64 { return r.UnstartedGangs },
				func(r GangResult) float64 { return r.SmallWaitP99 },
				func(r GangResult) float64 { return r.CPUUtilization },
				func(r GangResult) float64 { return r.ReservedIdle },
				func(r GangResult) float64 { return r.ReservedIdleMax },
				func(r GangResult) float64 { return r.EvictedShare },
			)
			t.Logf("%.2f %-6s | %.1f %.1f %.1f %.0f | %.2f | %.3f %.3f %.3f | %.3f", load, rule, m[0], m[1], m[2], m[3], m[4], m[5], m[6], m[7], m[8])
			if rule == "evict" && m[3] > 0 {
				t.Errorf("%.0f gangs never started", m[3])
			}
		}
	}
}

// TestUrgent checks the target: urgent work starts within 1.1 s in a full cell.
func TestUrgent(t *testing.T) {
	t.Log("evict | in time, wait p50 p99 s, evicted for each")
	for _, evict := range []bool{false, true} {
		if !evict && !*full {
			continue
		}
		m := medianOf(func(seed uint64) UrgentResult { return RunUrgent(UrgentSetup{Seed: seed, Evict: evict}) },
			func(r UrgentResult) float64 { return r.InTimeShare },
			func(r UrgentResult) float64 { return r.WaitP50 },
			func(r UrgentResult) float64 { return r.WaitP99 },
			func(r UrgentResult) float64 { return r.EvictionsPerTask },
		)
		t.Logf("%-5v | %.3f %.2f %.2f %.2f", evict, m[0], m[1], m[2], m[3])
		if evict && m[2] > urgentWithin.Seconds() {
			t.Errorf("the 99th percentile of the wait is %.2f s", m[2])
		}
	}
}

func TestFaults(t *testing.T) {
	t.Log("track | failures for each success, finish p50 p99 s, parked wronged, detected back s")
	for _, track := range []bool{false, true} {
		if !track && !*full {
			continue
		}
		m := medianOf(func(seed uint64) FaultResult { return RunFaults(FaultSetup{Seed: seed, TrackHealth: track}) },
			func(r FaultResult) float64 { return r.FailuresPerSuccess },
			func(r FaultResult) float64 { return r.FinishP50 },
			func(r FaultResult) float64 { return r.FinishP99 },
			func(r FaultResult) float64 { return r.ParkedBrokenShare },
			func(r FaultResult) float64 { return r.ParkedSoundJobs },
			func(r FaultResult) float64 { return r.DetectionSeconds },
			func(r FaultResult) float64 { return r.RecoverySeconds },
		)
		t.Logf("%-5v | %.3f %.1f %.1f | %.2f %.0f | %.1f %.1f", track, m[0], m[1], m[2], m[3], m[4], m[5], m[6])
		if track && (m[3] < 1 || m[4] > 0) {
			t.Errorf("parked %.2f of the broken jobs and %.0f sound ones", m[3], m[4])
		}
	}
}
