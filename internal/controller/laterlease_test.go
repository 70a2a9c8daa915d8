package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestRunThatALaterBootMayHaveIsNotStartedElsewhere guards against two runs at once: a start that is meant for the
// former boot of a worker reaches the new one, by whose clock its lease lasts longer than was asked for, and the
// worker is cut off before the controller hears of that boot.
func TestRunThatALaterBootMayHaveIsNotStartedElsewhere(t *testing.T) {
	changes := map[string]func(sim *simulation){
		"same controller": func(*simulation) {},
		"next controller": func(sim *simulation) { sim.startController(true) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.timing.MaxLease = 12 * time.Second
			sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
				return 11 * time.Second, workload.EndDone
			}
			sim.addWorkers(2, 4000)
			sim.startController(true)
			sim.advance(20 * time.Second) // so that the new clock is far behind
			sim.lostAnswerShare = 1
			for _, f := range sim.workers {
				f.restartOnOrder = true
			}
			sim.submit(simpleJob("j1", "batch", 1, 4000, nil))
			f := sim.awaitWorkerOf("j1", 100*time.Millisecond)
			if f == nil {
				t.Fatal("no worker has the run")
			}
			f.partitioned = true
			for _, other := range sim.workers {
				other.restartOnOrder = false
			}
			sim.lostAnswerShare = 0
			sim.advance(500 * time.Millisecond)
			change(sim)
			sim.advance(40 * time.Second)
			if got := sim.state("j1"); got != workload.JobCompleted {
				t.Errorf("state %q, want completed", got)
			}
		})
	}
}

// TestDelayedOrdersAreWaitedFor guards against the same where orders take longer on their way: a successor would take
// the leases on a silent worker to have ended by the time of direct calls.
func TestDelayedOrdersAreWaitedFor(t *testing.T) {
	const delay = 4 * time.Second
	sim := newSimulationWithLostWorker(t)
	sim.startController(true)
	sim.ctl.AllowForDelay(delay)
	sim.ctl.AllowForDelay(0)
	sim.advance(sim.timing.longestLease() + delay - 100*time.Millisecond)
	if sim.ctl.takeoverComplete {
		t.Error("the takeover is complete although a lease from a delayed order may be in force")
	}
	sim.advance(time.Second)
	if !sim.ctl.takeoverComplete {
		t.Error("the takeover is not complete after every lease has ended")
	}
}

// awaitWorkerOf returns the worker that has a run of a job as soon as there is one, nil if there is none within a time.
func (sim *simulation) awaitWorkerOf(job string, atMost time.Duration) *fakeWorker {
	for end := sim.now.Add(atMost); sim.now.Before(end); {
		if f := sim.workerOf(job); f != nil {
			return f
		}
		sim.advance(time.Millisecond)
	}
	return sim.workerOf(job)
}
