package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestLateStartAfterRefusedStop guards against tasks that ran twice because a refused stop counted
// as carried out. A worker leaves a start unanswered, refuses the stop of that run for a while, and
// then carries out the start.
func TestLateStartAfterRefusedStop(t *testing.T) {
	sim := newSimulationWithController(t, 2, 4000)
	sim.delayedOrderShare = 1
	sim.submit(simpleJob("j1", "batch", 1, 4000, nil))
	sim.advance(30 * time.Millisecond)
	sim.delayedOrderShare = 0
	for _, f := range sim.workers {
		f.unhealthy = true
	}
	sim.advance(1500 * time.Millisecond)
	for _, f := range sim.workers {
		f.unhealthy = false
	}
	sim.advance(20 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestStopOfLeftRunIsRepeated guards against runs that went on after their job was cancelled
// because the stop of a run that an earlier controller had started was sent only once.
func TestStopOfLeftRunIsRepeated(t *testing.T) {
	sim := newSimulationWithController(t, 1, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Minute, workload.EndDone
	}
	sim.submit(simpleJob("j1", "batch", 1, 1000, nil))
	sim.advance(500 * time.Millisecond)
	f := sim.workers["i-aa"]
	f.unhealthy = true
	sim.ctl.Cancel("j1", sim.now)
	sim.advance(500 * time.Millisecond)
	sim.ctl = nil
	sim.startController(true)
	sim.advance(500 * time.Millisecond)
	f.unhealthy = false
	sim.advance(2 * time.Second)
	if n := len(f.runs); n != 0 {
		t.Errorf("%d runs of a cancelled job go on, want none", n)
	}
}

// TestLateOrdersAmongRefusals guards against the double runs and overfull workers of issue 24: many
// orders are carried out late while others are refused, on the same workers. Every start is
// checked, and in the end all jobs must have ended.
func TestLateOrdersAmongRefusals(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playLateOrdersAmongRefusals(t, seed) })
	}
}

func playLateOrdersAmongRefusals(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	rng := rand.New(rand.NewPCG(seed, 3))
	sim.addWorkers(6, 8000)
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	sim.delayedOrderShare = 0.1 + 0.2*rng.Float64()
	sim.refusedOrderShare = 0.5 * rng.Float64()
	for i := range 20 {
		sim.advance(time.Duration(rng.IntN(700)) * time.Millisecond)
		if rng.IntN(12) == 0 {
			sim.startController(true)
		}
		sim.submit(randomJob(fmt.Sprintf("j%d", i), rng))
	}
	sim.refusedOrderShare = 0
	sim.endFaults()
	sim.advance(60 * time.Second)
	sim.checkAllJobsEnded()
}

// newCellWithAnUnansweredStart returns a cell of two workers, and the first copy of a start that gets no answer. Its
// second copy is carried out, and runs for a time.
func newCellWithAnUnansweredStart(t *testing.T, result OrderResult, runTime time.Duration) (*handDelivery, Start) {
	sim := newSimulation(t, 1)
	sim.addWorkers(2, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return runTime, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	h := newHandDelivery(sim)
	h.deliverFor(50 * time.Millisecond)
	h.submit(simpleJob("j1", "batch", 1, 1000, nil))
	late, _ := h.awaitStart(true)
	h.ctl.StartDone(late.Worker, late.Run, result, 0, sim.now, sim.now)
	return h, late
}

// TestEndIsNotAcknowledgedWhileAStartMayArrive guards against a start after an acknowledged end: a task has ended as
// done, and the worker's next boot carries out a copy of its start that got no response. A connection that breaks
// brings none either.
func TestEndIsNotAcknowledgedWhileAStartMayArrive(t *testing.T) {
	for _, result := range []OrderResult{NoResponse, ConnectionBroken} {
		t.Run(result.String(), func(t *testing.T) {
			h, late := newCellWithAnUnansweredStart(t, result, 100*time.Millisecond)
			arrivesUntil := h.sim.now.Add(h.sim.timing.LateStartTime)
			h.deliverFor(500 * time.Millisecond)
			h.requireCompleted(t, "j1")
			for h.sim.now.Before(arrivesUntil) {
				if h.sim.ackedDone[late.Run.Task] {
					t.Fatalf("the end is acknowledged %v before the start can't arrive any more", arrivesUntil.Sub(h.sim.now))
				}
				h.deliverFor(10 * time.Millisecond)
			}
			h.deliverFor(100 * time.Millisecond)
			if !h.sim.ackedDone[late.Run.Task] {
				t.Error("the end is not acknowledged after the start can't arrive any more")
			}
		})
	}
}

// TestSilentWorkerMayHaveALateStart guards against two runs of a task: a start without an answer is carried out by the
// next boot of a worker that is cut off, after the leases that the controller knows of have ended.
func TestSilentWorkerMayHaveALateStart(t *testing.T) {
	h, late := newCellWithAnUnansweredStart(t, NoResponse, 30*time.Second)
	sent := h.sim.now
	f := h.sim.workers[late.Worker]
	f.crash()
	h.deliverFor(sent.Add(h.sim.timing.LateStartTime - time.Second).Sub(h.sim.now))
	task := h.ctl.jobs["j1"].open[0].steps[0].tasks[0]
	if len(task.runs) > 0 {
		t.Fatal("the run is not given up, or the task is started elsewhere")
	}
	if got := task.step.whyNotStartable(h.sim.now); got != WaitLateStart {
		t.Errorf("the task waits since %q", got)
	}
	f.start()
	f.firstReadingMs = 1 // the deadlines of the former boot lie far ahead
	f.startRun(late.FencingToken, &late)
	f.partitioned = true
	for end := h.sim.now.Add(h.sim.timing.MaxLease); h.sim.now.Before(end); {
		h.deliverFor(10 * time.Millisecond)
	}
	if len(task.runs) > 0 {
		t.Error("the task is started elsewhere while the late start holds a lease")
	}
	h.deliverFor(10 * time.Second)
	if len(task.runs) != 1 {
		t.Errorf("the task has %d runs once the late start can't hold a lease any more, want 1", len(task.runs))
	}
}

// TestTicketCausesNoWait guards against tasks that wait without need: a start with a ticket can't be carried out by
// another boot than the one that the ticket is for.
func TestTicketCausesNoWait(t *testing.T) {
	sim := newSimulationWithController(t, 2, 4000)
	sim.allowedShare = 1
	sim.orderTimeout = platformOrderTimeout
	sim.delayedOrderShare = 1
	sim.submit(simpleJob("j1", "gang", 1, 1000, nil))
	for range 1000 {
		if sim.startsSent > 0 {
			break
		}
		sim.advance(time.Millisecond)
	}
	sim.advance(30 * time.Millisecond)
	sim.delayedOrderShare = 0
	if sim.startsSent != 1 {
		t.Fatalf("%d starts were sent, want 1", sim.startsSent)
	}
	if starts := sim.ctl.jobs["j1"].open[0].steps[0].tasks[0].unansweredStarts; len(starts) > 0 {
		t.Errorf("%d starts with tickets are waited for", len(starts))
	}
	sim.advance(5 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}
