package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// shortLeaderLease is the leader lease of controllers that store no witnesses.
const shortLeaderLease = 4 * time.Second

// newSimulationWithLastingTasks returns a simulation in which tasks that last run on three workers.
func newSimulationWithLastingTasks(t *testing.T) *simulation {
	sim := newSimulation(t, 1)
	sim.timing.LeaderLease.Lease = shortLeaderLease
	sim.addWorkers(3, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j1", "batch", 9, 1000, func(s *workload.Step) { s.LongRunning = true }))
	sim.advance(time.Second)
	return sim
}

// newSimulationWithLostWorker returns a simulation in which tasks that last run on three workers, one
// of which has crashed and left the list.
func newSimulationWithLostWorker(t *testing.T) *simulation {
	sim := newSimulationWithLastingTasks(t)
	sim.workers["i-aa"].crash()
	sim.workers["i-aa"].listed = false
	return sim
}

// replaceControllers loses the controller and starts the next one, n times. Each lasts for a time.
func (sim *simulation) replaceControllers(n int, predecessorEnded bool, each time.Duration) {
	for range n {
		sim.ctl = nil
		sim.startController(predecessorEnded)
		sim.advance(each)
	}
}

// TestTakeoverAfterLossDuringTakeover guards against tasks that waited for another leader lease since
// a controller was lost before it could store that its predecessor had ended, although both are
// known to have ended.
func TestTakeoverAfterLossDuringTakeover(t *testing.T) {
	sim := newSimulationWithLostWorker(t)
	sim.replaceControllers(1, false, 4*time.Second)
	sim.replaceControllers(1, true, sim.timing.longestLease()+time.Second)
	if !sim.ctl.takeoverComplete {
		t.Error("the takeover is not complete after the longest lease, although all predecessors have ended")
	}
}

// TestTakeoversInARowKeepElapsedWait guards against tasks that waited for as long as controllers
// followed one another, since each of them waited for the leases of all before it from the start.
func TestTakeoversInARowKeepElapsedWait(t *testing.T) {
	for name, predecessorEnded := range map[string]bool{"ended": true, "not known to have ended": false} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithLostWorker(t)
			wait := sim.timing.longestLease()
			if !predecessorEnded {
				wait += sim.timing.LeaderLease.Lease
			}
			const each = 4 * time.Second
			changes := int(wait/each) + 3
			sim.replaceControllers(changes, predecessorEnded, each)
			if !sim.ctl.takeoverComplete {
				t.Errorf("the takeover is not complete %v after the first of %d changes", time.Duration(changes)*each, changes)
			}
		})
	}
}

// TestUnreachedWorkerGetsNoLeaseBeforeThatIsStored guards against a task that two controllers start: the
// store says that a worker has got no lease from the first, and the second need not wait for it.
func TestUnreachedWorkerGetsNoLeaseBeforeThatIsStored(t *testing.T) {
	sim := newSimulationWithLastingTasks(t)
	f := sim.workers["i-aa"]
	f.partitioned = true
	sim.replaceControllers(1, false, time.Second)
	deadline := f.leaseDeadline
	sim.storeDown = true
	f.partitioned = false
	sim.advance(2 * time.Second)
	if f.leaseDeadline.After(deadline) {
		t.Errorf("the lease was renewed by %v while the store says that it was not", f.leaseDeadline.Sub(deadline))
	}
	sim.storeDown = false
	sim.advance(time.Second)
	if !f.leaseDeadline.After(deadline) {
		t.Error("the lease is not renewed once the store has a record without the worker")
	}
}

// TestTakeoversInARowStartNothingTwice guards against a controller that takes the leases on a worker to
// have ended because an earlier one had not reached it, although that one has since.
func TestTakeoversInARowStartNothingTwice(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playTakeoversInARow(t, seed) })
	}
}

func playTakeoversInARow(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	sim.timing.LeaderLease.Lease = shortLeaderLease
	sim.timing.StatusRetention = 10 * time.Minute // longer than the play
	rng := rand.New(rand.NewPCG(seed, 3))
	sim.addWorkers(5, 8000)
	sim.delayedOrderShare = 0.03 * rng.Float64()
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Duration(1+rng.IntN(15)) * time.Second, workload.EndDone
	}
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	for i := range 40 {
		if sim.ctl != nil && !sim.storeDown {
			sim.submit(simpleJob(fmt.Sprintf("j%d", i), "batch", 2, 1000, func(*workload.Step) {}))
		}
		f := sim.workers[sim.workerIDs()[rng.IntN(5)]]
		switch rng.IntN(6) {
		case 0, 1:
			f.partitioned = !f.partitioned
		case 2:
			sim.storeDown = true
			sim.after(time.Duration(rng.IntN(1500))*time.Millisecond, func() { sim.storeDown = false })
		case 3, 4:
			sim.ctl = nil
			sim.after(time.Duration(rng.IntN(300))*time.Millisecond, func() { sim.startSuccessor(rng.IntN(3) == 0) })
		}
		sim.advance(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
	}
	sim.endFaults()
	sim.advance(90 * time.Second)
	sim.checkAllJobsEnded()
}

// TestAdoptedRunGoesOnBeforeTheFirstRenewal guards against a task that is started while its adopted run goes
// on: its worker fell silent before the new controller had renewed the lease there, which counted as ended.
func TestAdoptedRunGoesOnBeforeTheFirstRenewal(t *testing.T) {
	sim := newSimulationWithLastingTasks(t)
	f := sim.workers["i-aa"]
	f.partitioned = true
	sim.replaceControllers(1, false, time.Second)
	sim.storeDown = true
	f.partitioned = false
	for !sim.ctl.workers["i-aa"].bootAnswered {
		sim.advance(10 * time.Millisecond)
	}
	f.partitioned = true
	sim.storeDown = false
	for sim.now.Before(f.leaseDeadline) {
		sim.advance(50 * time.Millisecond)
		if w := sim.ctl.workers["i-aa"]; w.leaseExpired {
			t.Fatalf("the lease counts as ended %v before it does", f.leaseDeadline.Sub(sim.now))
		}
	}
}

// TestJobThatMayNotHaveBegunWaits guards against a job that does not count as waiting after a change of the
// controller, although nothing of it has begun: a worker that was cut off had got its start order, or not (MIXED).
func TestJobThatMayNotHaveBegunWaits(t *testing.T) {
	sim := newSimulationWithController(t, 2, 4000)
	for _, f := range sim.workers {
		f.partitioned = true
	}
	sim.submit(simpleJob("j1", "batch", 1, 1000, nil))
	sim.advance(4 * time.Second)
	if p := sim.store[progressPrefix+"j1"]; p == nil {
		t.Fatal("no progress is stored, which the case is about")
	}
	if got := sim.ctl.WaitingJobs("batch"); got != 1 {
		t.Fatalf("%d waiting jobs before the change, want 1", got)
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	if got := sim.ctl.WaitingJobs("batch"); got != 1 {
		t.Errorf("%d waiting jobs after the change, want 1", got)
	}
}

// TestBegunJobDoesNotWaitAfterTakeover guards against the reverse: a job of which a run has ended is not waiting.
func TestBegunJobDoesNotWaitAfterTakeover(t *testing.T) {
	for _, reason := range []workload.EndReason{workload.EndDone, workload.EndFailed} {
		sim := newSimulation(t, 1)
		sim.addWorkers(1, 4000)
		sim.drawResult = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
			if id.Index == 0 {
				return 300 * time.Millisecond, reason
			}
			return time.Hour, workload.EndDone
		}
		sim.startController(true)
		sim.advance(100 * time.Millisecond)
		sim.submit(simpleJob("j1", "batch", 2, 1000, nil))
		sim.advance(time.Second)
		for _, f := range sim.workers {
			f.partitioned = true
		}
		sim.startController(true)
		if got := sim.ctl.WaitingJobs("batch"); got != 0 {
			t.Errorf("%s: %d waiting jobs after the change, want 0", reason, got)
		}
	}
}

// TestSilenceUnderThePredecessorCounts guards against tasks that wait for the longest lease once more: their worker had been
// silent under the former controller for so long that all leases there had nearly ended.
func TestSilenceUnderThePredecessorCounts(t *testing.T) {
	sim := newSimulationWithLastingTasks(t)
	f := sim.workers["i-aa"]
	f.partitioned = true
	const margin = time.Second
	sim.advance(minRecordedSilence + 2*margin + sim.timing.PollWait)
	sim.startController(false)
	sim.advance(sim.timing.longestLease() - minRecordedSilence)
	if !sim.ctl.takeoverComplete {
		t.Error("the takeover is not complete although every lease has ended")
	}
}

// TestSilentWorkerThatIsRecordedGetsNoLease guards against a task that two controllers start: the store says that no lease
// on a silent worker outlasts a time, the worker answers again, and the controller is lost.
func TestSilentWorkerThatIsRecordedGetsNoLease(t *testing.T) {
	sim := newSimulationWithLastingTasks(t)
	f := sim.workers["i-aa"]
	f.partitioned = true
	sim.advance(minRecordedSilence + 2*time.Second)
	sim.storeDown = true
	deadline := f.leaseDeadline
	f.partitioned = false
	sim.advance(500 * time.Millisecond)
	if f.leaseDeadline.After(deadline) {
		t.Errorf("the lease was renewed by %v while the store says that it was not", f.leaseDeadline.Sub(deadline))
	}
	sim.storeDown = false
	sim.advance(500 * time.Millisecond)
	if !f.leaseDeadline.After(deadline) {
		t.Error("the lease is not renewed once the store has a record without the worker")
	}
}

// TestReturningWorkerGetsNoLeaseBehindTheRecord guards against two runs of a task after a takeover: a worker is cut off
// until it is forgotten, returns and gets runs while the stored lease record still says that its leases have ended, and is
// cut off again before the controller is replaced.
func TestReturningWorkerGetsNoLeaseBehindTheRecord(t *testing.T) {
	sim := newSimulationWithController(t, 2, 4000)
	f := sim.workers["i-aa"]
	sim.drawResult = func(_ workload.TaskID, on *fakeWorker) (time.Duration, workload.EndReason) {
		if on == f {
			return 4500 * time.Millisecond, workload.EndDone
		}
		return 200 * time.Millisecond, workload.EndDone
	}
	sim.cutOff(f, time.Hour)
	for range 600 {
		if sim.ctl.workers[f.id] == nil {
			break
		}
		sim.advance(100 * time.Millisecond)
	}
	if sim.ctl.workers[f.id] != nil {
		t.Fatal("the worker is still known")
	}
	f.reconnect()
	sim.listWorker(f)
	sim.submit(simpleJob("j1", "batch", 2, 4000, nil))
	for range 500 {
		if len(f.runs) > 0 {
			break
		}
		sim.advance(time.Millisecond)
	}
	if len(f.runs) == 0 {
		t.Fatal("the worker gets no run")
	}
	f.partitioned = true
	sim.ctl = nil
	sim.startController(true)
	sim.advance(20 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("the job is %q, want completed", got)
	}
}
