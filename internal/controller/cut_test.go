package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// entryTimeout is how long a worker that is cut off stays in the platform's list.
const entryTimeout = 1500 * time.Millisecond

// cutOff cuts a worker off from the controller and from the platform's list for a time. The worker goes
// on meanwhile.
func (sim *simulation) cutOff(f *fakeWorker, d time.Duration) {
	if f.partitioned {
		return
	}
	f.partitioned = true
	sim.after(entryTimeout, func() {
		if !f.partitioned {
			return
		}
		sim.unlistWorker(f)
	})
	sim.after(d, func() {
		f.reconnect()
		if !f.replaced {
			sim.listWorker(f)
		}
	})
}

// unlistWorker removes a worker from the platform's list.
func (sim *simulation) unlistWorker(f *fakeWorker) {
	f.listed = false
	if sim.ctl != nil {
		sim.ctl.UnlistWorker(f.id, sim.nowOf(sim.ctl))
	}
}

// workerOf returns the worker that runs the first task of a job, nil if none does.
func (sim *simulation) workerOf(job string) *fakeWorker {
	for _, f := range sim.workers {
		if f.runs[workload.TaskID{StepID: workload.StepID{Job: job}}] != nil {
			return f
		}
	}
	return nil
}

// TestLapsedLeasesFailNoJob guards against jobs that are shown as failed although no worker crashed and
// no task failed: the worker of a task is cut off until its lease has lapsed, again and again.
func TestLapsedLeasesFailNoJob(t *testing.T) {
	tests := map[string]struct {
		// untilCut is the time from the start of a run to the cut.
		untilCut time.Duration
		cuts     int
	}{
		"long after the start":    {untilCut: time.Second, cuts: 4},
		"shortly after the start": {untilCut: 100 * time.Millisecond, cuts: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newOneTaskSimulation(t, 4, 8*time.Second)
			for range test.cuts {
				sim.awaitStart("j1")
				sim.advance(test.untilCut)
				sim.cutOff(sim.workerOf("j1"), 8*time.Second)
				sim.advance(9 * time.Second)
			}
			sim.advance(20 * time.Second)
			if got := sim.state("j1"); got != workload.JobCompleted {
				t.Errorf("the job is %q after %d cuts, want completed", got, test.cuts)
			}
		})
	}
}

// awaitStart advances until a worker runs the first task of a job.
func (sim *simulation) awaitStart(job string) {
	sim.t.Helper()
	for end := sim.now.Add(20 * time.Second); sim.now.Before(end); {
		if sim.workerOf(job) != nil {
			return
		}
		sim.advance(10 * time.Millisecond)
	}
	sim.t.Fatalf("job %s is %q and does not start", job, sim.state(job))
}

// TestNoJobFailsWithoutCause guards against jobs that are shown as failed without cause. It walks through
// cuts longer than the leases, lost and late answers, changes of the controller and, in some seeds,
// crashes. No task fails, so a job may fail only if two workers have crashed under one of its tasks.
func TestNoJobFailsWithoutCause(t *testing.T) {
	walks := map[string]cutWalk{
		"cuts":                        {},
		"cuts, controllers":           {controllerLosses: 1},
		"cuts, crashes":               {crashes: 1},
		"cuts, crashes, controllers":  {crashes: 1, controllerLosses: 1},
		"cuts, crashes behind them":   {rebirths: 1},
		"cuts, crashes, late answers": {crashes: 1, rebirths: 1, controllerLosses: 1, lateAnswers: true},
	}
	for name, walk := range walks {
		t.Run(name, func(t *testing.T) {
			for seed := range *randomSeeds {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					walk.play(t, seed)
				})
			}
		})
	}
}

// cutWalk says which faults a walk has beside cuts. The numbers are weights, that of a cut is 2.
type cutWalk struct {
	crashes, rebirths, controllerLosses int
	lateAnswers                         bool
}

const cutWeight = 2

func (walk cutWalk) play(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	rng := rand.New(rand.NewPCG(seed, 6))
	sim.allowedShare = 1
	if walk.lateAnswers {
		sim.lostAnswerShare = 0.03
		sim.delayedOrderShare = 0.03
	}
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Duration(1000+rng.IntN(7000)) * time.Millisecond, workload.EndDone
	}
	ended := sim.checkEnds()
	sim.addWorkers(8, 8000)
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	for i := range 8 {
		class := []string{"batch", "gang"}[i%2]
		sim.submit(simpleJob(fmt.Sprintf("j%d", i), class, 1+rng.IntN(4), 1000, func(s *workload.Step) {
			s.EstimateMs = 8000
			s.Gang = class == "gang"
		}))
	}
	for range 40 {
		sim.advance(time.Duration(500+rng.IntN(2000)) * time.Millisecond)
		walk.injectFault(sim, rng)
	}
	sim.endFaults()
	sim.advance(60 * time.Second)
	for id := range sim.jobs {
		if !ended[id] {
			t.Errorf("job %s is %q in the end", id, sim.state(id))
		}
	}
}

// checkEnds checks each end of a job when the controller decides on it. It returns the set of the jobs
// that have ended.
func (sim *simulation) checkEnds() map[string]bool {
	ended := map[string]bool{}
	record := sim.record
	sim.record = func(e event.Event) {
		record(e)
		if e.Type != event.JobEnded {
			return
		}
		ended[e.Job] = true
		if most := sim.mostCrashes(sim.jobs[e.Job]); e.State != string(workload.JobCompleted) && most < crashesToGiveUp {
			sim.violation("job %s ended %s after %d workers had crashed under one task: %s", e.Job, e.State, most, e.Detail)
		}
	}
	return ended
}

// injectFault starts one fault on a worker that runs something, if there is one, or takes the controller.
func (walk cutWalk) injectFault(sim *simulation, rng *rand.Rand) {
	ids := sim.workerIDs()
	f := sim.workers[ids[rng.IntN(len(ids))]]
	duration := time.Duration(5000+rng.IntN(4000)) * time.Millisecond
	switch n := rng.IntN(cutWeight + walk.crashes + walk.rebirths + walk.controllerLosses); {
	case n < cutWeight:
		sim.cutOff(f, duration)
	case n < cutWeight+walk.crashes:
		if f.up && !f.partitioned {
			f.crash()
			sim.after(time.Duration(1000+rng.IntN(9000))*time.Millisecond, func() { sim.comeBack(f) })
		}
	case n < cutWeight+walk.crashes+walk.rebirths:
		sim.cutOff(f, duration)
		sim.after(time.Duration(rng.Int64N(int64(duration))), func() {
			if f.up {
				f.crash()
				f.start()
			}
		})
	default:
		sim.replaceController(rng, duration)
	}
}
