package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const second = time.Second

func keyFor(stated time.Duration) Key { return KeyOf("batch", false, stated, 2000, 8) }

// near reports whether a duration is within a factor of another one.
func near(got, want time.Duration, factor float64) bool {
	return float64(got) <= float64(want)*factor && float64(got) >= float64(want)/factor
}

// TestStatedTimeWithoutSamples guards against decisions on a guess: a class of which nothing is known has the stated
// run time, without any spread.
func TestStatedTimeWithoutSamples(t *testing.T) {
	e := NewEstimator()
	e.Add(KeyOf("other", false, second, 1000, 1), second, 5*second, false)
	want := Expectation{Median: 3 * second, P90: 3 * second}
	if got := e.Expect(keyFor(3*second), 3*second); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := e.NewStep(keyFor(3*second), 3*second, 4).Expect(nil); got != want {
		t.Errorf("got %v for a step, want %v", got, want)
	}
	if got := want.After(10 * second); got != want {
		t.Errorf("got %v for a run that goes on, want the stated time %v", got, want)
	}
}

// TestFewSamplesAreBlended guards against an estimate that follows its first samples alone.
func TestFewSamplesAreBlended(t *testing.T) {
	e := NewEstimator()
	key := keyFor(second)
	e.Add(key, second, 8*second, false)
	if got := e.Expect(key, second); !near(got.Median, second, 1.1) || got.Samples != 1 {
		t.Errorf("got %v after one run, want a median near the stated time", got)
	}
	for range 30 {
		e.Add(key, second, 8*second, false)
	}
	if got := e.Expect(key, second); !near(got.Median, 8*second, 1.1) {
		t.Errorf("got %v after 31 runs of 8 s", got)
	}
}

// TestSpreadIsLearned draws run times that are off by a log-normal factor. The median and the 90th percentile have to
// be those of the factor.
func TestSpreadIsLearned(t *testing.T) {
	const sigma = 0.77 // of a factor whose spread is 0.9
	rng := rand.New(rand.NewPCG(1, 2))
	e := NewEstimator()
	key := keyFor(2 * second)
	for range 600 {
		e.Add(key, 2*second, scale(2*second, 0.3+sigma*rng.NormFloat64()), false)
	}
	got := e.Expect(key, 2*second)
	if want := scale(2*second, 0.3); !near(got.Median, want, 1.25) {
		t.Errorf("median %v, want about %v", got.Median, want)
	}
	if want := scale(2*second, 0.3+sigma*normalP90); !near(got.P90, want, 1.4) {
		t.Errorf("P90 %v, want about %v", got.P90, want)
	}
}

// TestShapesDiffer guards against one factor for all steps of a class: long stated times that are too long and short
// ones that are too short must be told apart.
func TestShapesDiffer(t *testing.T) {
	e := NewEstimator()
	for range 100 {
		e.Add(keyFor(second), second, 3*second, false)
		e.Add(keyFor(16*second), 16*second, 4*second, false)
	}
	if got := e.Expect(keyFor(second), second); !near(got.Median, 3*second, 1.2) {
		t.Errorf("got %v for short steps, want about 3 s", got)
	}
	if got := e.Expect(keyFor(16*second), 16*second); !near(got.Median, 4*second, 1.2) {
		t.Errorf("got %v for long steps, want about 4 s", got)
	}
}

// TestOutliersCountLittle guards against a mean that follows a few stalled runs.
func TestOutliersCountLittle(t *testing.T) {
	e := NewEstimator()
	key := keyFor(second)
	for i := range 200 {
		actual := second
		if i%20 == 0 {
			actual = 1000 * second
		}
		e.Add(key, second, actual, false)
	}
	if got := e.Expect(key, second); !near(got.Median, second, 1.1) || !near(got.P90, second, 1.1) {
		t.Errorf("got %v with an outlier in 20 runs, want about 1 s", got)
	}
	s := e.NewStep(key, second, 8)
	for _, actual := range []time.Duration{second, second, second, 500 * second} {
		s.Finished(actual)
	}
	if got := s.Expect(nil); !near(got.Median, second, 1.6) {
		t.Errorf("got %v after one outlier in a step, want a median near 1 s", got)
	}
}

// TestChangeIsFollowed guards against an estimate that never leaves what it has learned first.
func TestChangeIsFollowed(t *testing.T) {
	e := NewEstimator()
	key := keyFor(second)
	for range 5000 {
		e.Add(key, second, second, false)
	}
	for range 300 {
		e.Add(key, second, 4*second, false)
	}
	if got := e.Expect(key, second); !near(got.Median, 4*second, 1.1) {
		t.Errorf("got %v 300 runs after the change, want about 4 s", got)
	}
}

// TestCensoredRunsAreLowerBounds guards against short guesses: without the runs that were stopped only the short ones
// would count.
func TestCensoredRunsAreLowerBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	e, short := NewEstimator(), NewEstimator()
	key := keyFor(second)
	for range 600 {
		actual := scale(second, 0.7*rng.NormFloat64())
		censored := actual > second && rng.IntN(2) == 0
		if censored {
			actual = second
		} else {
			short.Add(key, second, actual, false)
		}
		e.Add(key, second, actual, censored)
	}
	got, without := e.Expect(key, second), short.Expect(key, second)
	if !near(got.Median, second, 1.25) || got.Median <= without.Median {
		t.Errorf("median %v, want about 1 s and more than the %v without the censored runs", got.Median, without.Median)
	}
}

// TestStepLearnsFromItsOwnRuns guards against ignoring the finished runs of a step: the stated time is off by the same
// factor for all its tasks, so that the first ones tell of the others.
func TestStepLearnsFromItsOwnRuns(t *testing.T) {
	e := roughEstimator(10)
	key := keyFor(2 * second)
	s := e.NewStep(key, 2*second, 8)
	before := s.Expect(nil)
	if before.P90 < 4*second {
		t.Fatalf("got %v before any run, want a wide spread", before)
	}
	for range 3 {
		s.Finished(6 * second)
	}
	got := s.Expect(nil)
	if !near(got.Median, 6*second, 1.15) || !near(got.P90, 7*second, 1.2) {
		t.Errorf("got %v after three runs of 6 s, want about 6 s", got)
	}
	if got := e.NewStep(key, 2*second, 8).Expect(nil); !near(got.Median, before.Median, 1.2) {
		t.Errorf("got %v for another step, want about %v as before", got, before)
	}
}

// roughEstimator returns an estimator that knows steps off by a wide factor, and tasks that differ little within a
// step.
func roughEstimator(seed uint64) *Estimator {
	rng := rand.New(rand.NewPCG(seed, 5))
	e := NewEstimator()
	for range 200 {
		s := e.NewStep(keyFor(2*second), 2*second, 8)
		common := 0.7 * rng.NormFloat64()
		for range 8 {
			s.Finished(scale(2*second, common+0.1*rng.NormFloat64()))
		}
	}
	return e
}

// TestRunningTasksCount guards against ignoring the runs that go on: their progress tells how long they take, and
// without progress a run that lasts longer than expected is a lower bound.
func TestRunningTasksCount(t *testing.T) {
	e := roughEstimator(11)
	s := e.NewStep(keyFor(2*second), 2*second, 8)
	if got := s.Expect([]Running{{Elapsed: 2 * second, Done: 0.25}, {Elapsed: 3 * second, Done: 0.375}}); !near(got.Median, 8*second, 1.2) {
		t.Errorf("got %v from progress that gives 8 s", got)
	}
	if got := s.Expect([]Running{{Elapsed: 9 * second}, {Elapsed: 9 * second}}); got.Median < 8*second || got.Median > 30*second {
		t.Errorf("got %v while two runs have lasted for 9 s", got)
	}
	short := s.Expect([]Running{{Elapsed: 10 * time.Millisecond}})
	if want := s.Expect(nil); !near(short.Median, want.Median, 1.05) {
		t.Errorf("got %v after 10 ms, want %v as before", short, want)
	}
}

// TestExpectWithoutARun guards against comparing a run with itself: a slow worker would make its task look long.
func TestExpectWithoutARun(t *testing.T) {
	e := roughEstimator(12)
	s := e.NewStep(keyFor(2*second), 2*second, 2)
	alone := s.Expect(nil)
	slow := Running{Elapsed: 6 * second, Done: 0.3}
	with := s.Expect([]Running{slow})
	without := s.ExpectWithout(slow)
	if with.Median < 15*second || !near(without.Median, alone.Median, 1.01) {
		t.Errorf("got %v with the run and %v without it, want 20 s and %v", with, without, alone)
	}
}

// TestExpectationOfARunThatGoesOn checks the conditional run time against draws.
func TestExpectationOfARunThatGoesOn(t *testing.T) {
	x := Expectation{Median: 2 * second, P90: scale(2*second, 0.7*normalP90)}
	rng := rand.New(rand.NewPCG(7, 8))
	for _, elapsed := range []time.Duration{second, 3 * second, 6 * second} {
		var longer, belowMedian, belowP90 float64
		after := x.After(elapsed)
		for range 200000 {
			d := scale(x.Median, 0.7*rng.NormFloat64())
			if d < elapsed {
				continue
			}
			longer++
			if d < after.Median {
				belowMedian++
			}
			if d < after.P90 {
				belowP90++
			}
		}
		if math.Abs(belowMedian/longer-0.5) > 0.02 || math.Abs(belowP90/longer-0.9) > 0.02 {
			t.Errorf("after %v: shares %.3f and %.3f of the runs are below the median and the P90", elapsed, belowMedian/longer, belowP90/longer)
		}
	}
	previous := time.Duration(0)
	for elapsed := second; elapsed < 1000000*second; elapsed *= 2 {
		after := x.After(elapsed)
		if after.Median < elapsed || after.P90 < after.Median || after.Median < previous {
			t.Errorf("after %v: got %v", elapsed, after)
		}
		previous = after.Median
	}
}

// TestMemoryIsBounded guards against growth with the number of classes and shapes that callers send.
func TestMemoryIsBounded(t *testing.T) {
	e := NewEstimator()
	for i := range 20000 {
		stated := time.Duration(1+i%4000) * time.Millisecond
		key := KeyOf(fmt.Sprint("class ", i), i%2 == 0, stated, int64(i), i)
		s := e.NewStep(key, stated, 2)
		s.Finished(stated)
		s.Finished(stated)
	}
	if n, m := len(e.distributions), len(e.spreads); n > maxDistributions || m > maxClassSpreads {
		t.Errorf("%d distributions and %d spreads, want at most %d and %d", n, m, maxDistributions, maxClassSpreads)
	}
	if n := len(e.Summaries()); n > maxDistributions {
		t.Errorf("%d classes are reported", n)
	}
}

// TestOddInputs guards against results that are no durations: callers state any times, and clocks give any differences.
func TestOddInputs(t *testing.T) {
	e := NewEstimator()
	times := []time.Duration{-second, 0, 1, second, math.MaxInt64}
	for _, stated := range times {
		for _, actual := range times {
			key := KeyOf("odd", false, stated, -5, 0)
			e.Add(key, stated, actual, actual > stated)
			s := e.NewStep(key, stated, 0)
			s.Finished(actual)
			for _, x := range []Expectation{e.Expect(key, stated), s.Expect([]Running{{Elapsed: actual}, {Elapsed: actual, Done: 0.5}}), s.Expect(nil).After(actual)} {
				if x.Median < 0 && stated >= 0 || x.P90 < x.Median {
					t.Errorf("stated %v, actual %v: got %v", stated, actual, x)
				}
			}
		}
	}
}

func BenchmarkStepExpect(b *testing.B) {
	e := roughEstimator(13)
	s := e.NewStep(keyFor(2*second), 2*second, 25)
	running := make([]Running, 25)
	for i := range running {
		running[i] = Running{Elapsed: second, Done: float64(i) / 25}
	}
	for b.Loop() {
		s.Expect(running)
	}
}

func BenchmarkFinished(b *testing.B) {
	e := NewEstimator()
	s := e.NewStep(keyFor(2*second), 2*second, 25)
	for b.Loop() {
		s.Finished(3 * second)
	}
}
