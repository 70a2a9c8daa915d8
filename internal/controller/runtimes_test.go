package controller

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// TestUndisturbedRunsAreLearned guards against learning from runs that do not tell how long a task takes, such as those
// that were resumed from a checkpoint, and against learning where it is switched off.
func TestUndisturbedRunsAreLearned(t *testing.T) {
	for _, test := range []struct {
		name string
		edit func(sim *simulation)
		want int
	}{
		{"undisturbed", func(*simulation) {}, 4},
		{"switched off", func(sim *simulation) { sim.ctl.runTimes = nil }, 0},
		{"resumed", func(sim *simulation) { eachRun(sim, func(r *run) { r.resumed = true }) }, 0},
		{"start without an answer", func(sim *simulation) { eachRun(sim, func(r *run) { r.copyMayArrive = true }) }, 0},
		{"start answered late", func(sim *simulation) {
			eachRun(sim, func(r *run) { r.startSent = r.startSent.Add(-2 * maxStartUncertainty) })
		}, 0},
		{"slow worker", func(sim *simulation) {
			for _, w := range sim.ctl.workers {
				w.speed = speedEstimate{ratio: 0.3, samples: 5}
			}
			sim.ctl.speeds.median = 1
			// No sample may change the median during the test.
			sim.ctl.speeds.sinceMedian = -1000
		}, 0},
		{"avoided worker", func(sim *simulation) {
			for _, w := range sim.ctl.workers {
				w.currentHealth().avoidUntil = sim.now.Add(time.Minute)
			}
		}, 0},
		{"silent worker", func(sim *simulation) {
			for _, f := range sim.workers {
				f.partitioned = true
				sim.after(3*time.Second, func() { f.partitioned = false })
			}
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulationWithController(t, 1, 4000)
			sim.submit(simpleJob("j1", "batch", 4, 1000, nil))
			sim.advance(300 * time.Millisecond)
			if n := len(sim.workers["i-aa"].runs); n != 4 {
				t.Fatalf("%d runs, want 4", n)
			}
			test.edit(sim)
			sim.advance(5 * time.Second)
			if got := sim.state("j1"); got != workload.JobCompleted {
				t.Fatalf("state %q, want completed", got)
			}
			samples := 0
			for _, s := range sim.ctl.LearnedRunTimes() {
				samples += s.Samples
			}
			// The first end on an avoided worker ends its avoidance.
			if test.name == "avoided worker" && samples < 4 {
				return
			}
			if samples != test.want {
				t.Errorf("learned from %d runs, want %d", samples, test.want)
			}
		})
	}
}

func eachRun(sim *simulation, f func(*run)) {
	for _, w := range sim.ctl.workers {
		for _, r := range w.runs {
			f(r)
		}
	}
}

// TestGangCountsOnce guards against weighing a gang by its members, which all take equally long.
func TestGangCountsOnce(t *testing.T) {
	sim := newSimulationWithController(t, 3, 4000)
	sim.allowedShare = 1
	sim.submit(simpleJob("g", "gang", 6, 1000, func(s *workload.Step) { s.Gang = true; s.EstimateMs = 500 }))
	sim.advance(5 * time.Second)
	if got := sim.state("g"); got != workload.JobCompleted {
		t.Fatalf("state %q, want completed", got)
	}
	got := sim.ctl.LearnedRunTimes()
	if len(got) != 1 || got[0].Class != "gang" || got[0].Samples != 1 || got[0].Median < 1 {
		t.Errorf("learned %v, want one sample of a run that took longer than stated", got)
	}
}

// TestLearnedTimesAreExpected has tasks of one kind take four times as long as stated. Once that is learned,
// reservations must reckon with it. The job's deadline and latest start must stay those of the stated times, since the
// target belongs to the operator.
func TestLearnedTimesAreExpected(t *testing.T) {
	sim := newSimulationWithController(t, 8, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 4 * time.Second, workload.EndDone
	}
	for i := range 40 {
		sim.submit(simpleJob(fmt.Sprint("j", i), "batch", 1, 1000, nil))
		sim.advance(time.Second)
	}
	sim.submit(simpleJob("last", "batch", 1, 1000, nil))
	sim.advance(100 * time.Millisecond)
	j := sim.ctl.jobs["last"]
	s := j.open[0].steps[0]
	if len(s.tasks[0].runs) != 1 {
		t.Fatal("the task does not run")
	}
	r := s.tasks[0].runs[0]
	if end := sim.ctl.expectedEnd(r, sim.now).Sub(r.confirmedAt); end < 3500*time.Millisecond || end > 4500*time.Millisecond {
		t.Errorf("the run is expected to take %v, want about 4 s", end)
	}
	if got := j.deadline.Sub(j.acceptedAt); got != 5*time.Second {
		t.Errorf("the deadline is %v after the submission, want twice the stated time and 3 s", got)
	}
	if got := j.deadline.Sub(s.latestStart()); got != time.Second {
		t.Errorf("the latest start is %v before the deadline, want the stated time", got)
	}
}

// TestEndOfRunsWithEarlierProgress guards against ends that are expected far too soon: the progress of a run that was
// resumed from a checkpoint, or adopted from an earlier controller, was taken for the work of the time since its start
// was known.
func TestEndOfRunsWithEarlierProgress(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		sim := newSimulationWithController(t, 1, 4000)
		sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
			return 10 * time.Second, workload.EndDone
		}
		sim.submit(simpleJob("j1", "batch", 1, 1000, func(s *workload.Step) { s.SavesCheckpoints = true; s.EstimateMs = 10000 }))
		if !adopted {
			sim.ctl.jobs["j1"].open[0].steps[0].tasks[0].checkpoint = "half"
		}
		sim.advance(5 * time.Second)
		if adopted {
			sim.startController(true)
			sim.advance(time.Second)
		}
		runs := sim.ctl.jobs["j1"].open[0].steps[0].tasks[0].runs
		if len(runs) != 1 {
			t.Fatalf("adopted %v: %d runs, want 1", adopted, len(runs))
		}
		r := runs[0]
		if !adopted {
			r.percent, r.percentAt = 50, r.confirmedAt.Add(500*time.Millisecond)
		}
		want := time.Duration(100-r.percent) * 100 * time.Millisecond
		if got := sim.ctl.expectedEnd(r, r.percentAt).Sub(r.percentAt); got < want*9/10 || got > want*11/10 {
			t.Errorf("adopted %v: expected to take %v more at %d%%, want %v", adopted, got, r.percent, want)
		}
	}
}

// TestWrongEstimatesMakeNoWorkerSlow guards against moves of tasks off workers that are as fast as the others, because
// their tasks take longer than stated.
func TestWrongEstimatesMakeNoWorkerSlow(t *testing.T) {
	sim := newSimulationWithController(t, 12, 4000)
	sim.drawResult = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		return 300 * time.Millisecond << (fnv(id.Job) % 5), workload.EndDone
	}
	moves := 0
	sim.observe = func(e event.Event) {
		if e.Type == event.TaskMoved {
			moves++
		}
	}
	for i := range 60 {
		sim.submit(simpleJob(fmt.Sprint("j", i), "batch", 6, 1000, func(s *workload.Step) { s.EstimateMs = 2000 }))
		sim.advance(600 * time.Millisecond)
	}
	sim.advance(10 * time.Second)
	if moves > 0 {
		t.Errorf("%d tasks were moved between workers of the same speed", moves)
	}
}

// TestMedianOfSpeeds guards against a relative speed that a few samples from fast workers change for all others.
func TestMedianOfSpeeds(t *testing.T) {
	var e speedEstimator
	workers := map[string]*worker{}
	for i := range 9 {
		workers[fmt.Sprint(i)] = &worker{}
	}
	for range 20 {
		for _, w := range workers {
			e.add(w, workers, time.Second, time.Second)
		}
	}
	for range 50 {
		e.add(workers["0"], workers, 8*time.Second, time.Second)
		e.add(workers["1"], workers, time.Second, 4*time.Second)
	}
	for id, want := range map[string]float64{"0": 3, "1": 0.25, "2": 1, "8": 1} {
		if got := e.relativeSpeed(workers[id]); got < want*0.95 || got > want*1.05 {
			t.Errorf("worker %s: speed %.2f, want %.2f", id, got, want)
		}
	}
}

var runTimeSeeds = flag.Uint64("run-time-seeds", 3, "seeds of BenchmarkLearnedRunTimes")

// newRoughMix returns a load of three classes whose stated run times are rough: off by a log-normal factor with a
// spread of 0.9 for batch jobs and 0.2 for the others.
func newRoughMix(t testing.TB, seed uint64, learn bool) *mix {
	classes := mixClasses()
	gangs, batch, tight := &classes[0], &classes[1], &classes[2]
	gangs.jobsPerSecond, gangs.meanTasks, gangs.maxTasks, gangs.twoStepShare = 3.5, 16, 40, 0
	gangs.meanRunTime, gangs.estimateSpread = 5500*time.Millisecond, 0.2
	batch.jobsPerSecond, batch.meanTasks, batch.maxTasks = 10, 25, 100
	batch.meanCPU, batch.maxCPU, batch.meanMemory, batch.maxMemory = 3500, 10000, 4000, 12000
	batch.meanRunTime, batch.estimateSpread = 2700*time.Millisecond, 0.9
	tight.jobsPerSecond, tight.meanTasks, tight.maxTasks, tight.gangShare = 90, 3, 19, 0
	tight.meanCPU, tight.maxCPU = 5000, 15000
	tight.meanRunTime = 770 * time.Millisecond
	m := newMixOf(t, seed, 350, 32000, classes)
	m.speeds = []float64{1, 1, 1, 1.15}
	m.advisorEntries = nil
	for i := range 38 {
		m.advisorEntries = append(m.advisorEntries, fmt.Sprintf("entry-%02d", i))
	}
	m.statedRunTimes = !learn
	m.startController(true)
	m.advance(time.Second)
	return m
}

// roughResult is what the classes of a rough mix got.
type roughResult struct {
	onTime      [3]float64
	value       [3]float64
	urgentWaits []time.Duration
	evictions   int
	moves       int
	stoppedWork float64
	speedError  float64
}

// playRoughMix plays a load with a burst of each class.
func playRoughMix(t testing.TB, seed uint64, load float64, learn bool) roughResult {
	m := newRoughMix(t, seed, learn)
	m.loadFactor = load
	var out roughResult
	m.observe = func(e event.Event) {
		switch e.Type {
		case event.JobStarted:
			if e.Class == "tight" {
				out.urgentWaits = append(out.urgentWaits, time.Duration(e.AgeMs)*time.Millisecond)
			}
		case event.TaskEvicted:
			out.evictions++
		case event.TaskMoved:
			out.moves++
		}
	}
	m.playArrivals(8 * time.Second)
	for _, burst := range []struct {
		class  int
		factor float64
	}{{2, 2}, {0, 1.7}, {1, 2}} {
		m.classes[burst.class].jobsPerSecond *= burst.factor
		m.playArrivals(5 * time.Second)
		m.classes[burst.class].jobsPerSecond /= burst.factor
		m.playArrivals(6 * time.Second)
	}
	m.advanceAndWatch(15 * time.Second)
	for i, r := range m.results() {
		out.onTime[i] = float64(r.onTime) / float64(r.jobs)
		out.value[i] = r.value / r.maxValue
	}
	out.stoppedWork = m.stoppedWork
	mean := 0.0
	for _, w := range m.ctl.workers {
		mean += m.speeds[int(fnv(w.info.ID))%len(m.speeds)] / float64(len(m.ctl.workers))
	}
	for _, w := range m.ctl.workers {
		truth := m.speeds[int(fnv(w.info.ID))%len(m.speeds)] / mean
		out.speedError += max(m.ctl.speeds.relativeSpeed(w)-truth, truth-m.ctl.speeds.relativeSpeed(w)) / truth / float64(len(m.ctl.workers))
	}
	slices.Sort(out.urgentWaits)
	return out
}

// BenchmarkLearnedRunTimes compares what a load with rough stated run times gets with learned run times and
// with the stated ones.
func BenchmarkLearnedRunTimes(b *testing.B) {
	for _, load := range []float64{1, 1.25, 1.5, 1.8} {
		for _, learn := range []bool{false, true} {
			b.Run(fmt.Sprintf("load=%v/learn=%v", load, learn), func(b *testing.B) {
				for b.Loop() {
					for seed := range *runTimeSeeds {
						r := playRoughMix(b, seed, load, learn)
						b.Logf("seed %d: on time %.3f value %.3f, urgent waits p50 %v p95 %v p99 %v, %d evictions, %d moves, %.0f core-seconds stopped, speed error %.3f", seed, r.onTime, r.value,
							r.urgentWaits[len(r.urgentWaits)/2], r.urgentWaits[len(r.urgentWaits)*95/100], r.urgentWaits[len(r.urgentWaits)*99/100], r.evictions, r.moves, r.stoppedWork, r.speedError)
					}
				}
			})
		}
	}
}
