package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// succeed replaces the controller of a cell. The orders of the successor are delivered by hand, too.
func (h *handDelivery) succeed(predecessorEnded bool) *handDelivery {
	former := h.sim.storeEpoch
	h.sim.startControllerByHand(predecessorEnded)
	if h.sim.storeEpoch == former {
		h.sim.t.Fatal("the epoch is the former one")
	}
	next := &handDelivery{sim: h.sim, ctl: h.sim.ctl}
	h.sim.ctl = nil
	return next
}

// startControllerByHand is startController without delivery of the first orders.
func (sim *simulation) startControllerByHand(predecessorEnded bool) {
	listed := map[string]bool{}
	for id, f := range sim.workers {
		listed[id] = f.listed
		f.listed = false
	}
	sim.startController(predecessorEnded)
	for id, f := range sim.workers {
		f.listed = listed[id]
	}
	for _, id := range sim.workerIDs() {
		if f := sim.workers[id]; f.listed {
			sim.ctl.workers[id].polling = false
			sim.ctl.SetWorker(f.info(), sim.now)
		}
	}
}

// requireAckAfter checks that no poll of a worker acknowledges ends before a time, and that one does within 2 s after it.
func (h *handDelivery) requireAckAfter(worker string, earliest time.Time) {
	h.sim.t.Helper()
	for end := earliest.Add(2 * time.Second); h.sim.now.Before(end); {
		o := h.nextAllowed(5 * time.Millisecond)
		for _, p := range o.Polls {
			if p.Worker != worker || p.AckedSeq == 0 {
				continue
			}
			if h.sim.now.Before(earliest) {
				h.sim.t.Fatalf("a poll acknowledges ends up to %d %v too early", p.AckedSeq, earliest.Sub(h.sim.now))
			}
			return
		}
		h.deliver(o)
	}
	h.sim.t.Fatal("no poll acknowledges an end")
}

// newCellWithAnEndBeforeAChange returns a cell of one worker that lists the end of j0, and an undelivered start of j1 there.
func newCellWithAnEndBeforeAChange(t *testing.T) (*handDelivery, *fakeWorker) {
	sim := newSimulation(t, 1)
	sim.addWorkers(1, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 20 * time.Millisecond, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	h := newHandDelivery(sim)
	h.deliverFor(50 * time.Millisecond)
	h.submit(simpleJob("j0", "batch", 1, 1000, nil))
	h.submit(simpleJob("j1", "batch", 1, 1000, nil))
	f := sim.workers["i-aa"]
	for range 100 {
		o := h.next(5 * time.Millisecond)
		if len(o.Starts) == 2 {
			h.deliver(Orders{Starts: o.Starts[:1]})
			sim.advance(30 * time.Millisecond)
			return h, f
		}
		h.deliver(o)
	}
	t.Fatal("the two starts are not sent together")
	return nil, nil
}

// TestSuccessorsAcknowledgmentDropsNoEndOfAnInheritedStart guards against a task that runs again after its end as done was
// acknowledged: a successor acknowledges ends of a boot while a start of the former controller, sent less than the
// delivery time ago, may be carried out by the next boot.
func TestSuccessorsAcknowledgmentDropsNoEndOfAnInheritedStart(t *testing.T) {
	h, f := newCellWithAnEndBeforeAChange(t)
	sent := h.sim.now
	h = h.succeed(true)
	h.requireAckAfter(f.id, sent.Add(h.sim.timing.LateStartTime))
}

// TestSuccessorsAcknowledgmentDropsNoEndOfItsPredecessorsStart guards against the same while the former controller may
// still issue orders: it sends a start with a ticket for the next boot after the known boot has answered the successor.
func TestSuccessorsAcknowledgmentDropsNoEndOfItsPredecessorsStart(t *testing.T) {
	former, f := newHandDeliveryWithTicketedEnd(t, 100*time.Millisecond)
	former.deliverAllowedFor(300 * time.Millisecond) // the end of j0 is acknowledged
	former.submit(simpleJob("j2", "gang", 1, 1000, nil))
	former.deliverAllowedFor(50 * time.Millisecond)
	if len(f.runs) != 1 {
		t.Fatalf("%d runs, want that of j2", len(f.runs))
	}
	former.sim.advance(100 * time.Millisecond) // j2 ends
	if len(f.ends) == 0 {
		t.Fatal("no end is listed")
	}
	h := former.succeed(false)
	earliest := h.ctl.predecessorsExpiry
	if !earliest.After(h.sim.now) {
		t.Fatal("the former controller may send no start any more")
	}
	h.requireAckAfter(f.id, earliest)
}

// newCellWithOneLongRun returns a simulation of one worker with a run without a ticket, which ends at the given age, and whose
// controller is lost after a time.
func newCellWithOneLongRun(t *testing.T, lasts, lostAfter time.Duration) (*simulation, *fakeWorker) {
	sim := newSimulation(t, 1)
	sim.addWorkers(1, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return lasts, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j0", "batch", 1, 1000, nil))
	f := sim.workers["i-aa"]
	for len(f.runs) == 0 {
		sim.advance(time.Millisecond)
	}
	sim.advance(lostAfter)
	sim.ctl = nil
	return sim, f
}

// requireAckWithin checks that the end that a worker lists is acknowledged in time, and that its job is completed.
func (sim *simulation) requireAckWithin(f *fakeWorker, most time.Duration) {
	sim.t.Helper()
	sim.advance(most)
	if len(f.ends) > 0 || f.seq != 1 {
		sim.t.Errorf("%d of %d ends are listed after %v, want none of 1", len(f.ends), f.seq, most)
	}
	if got := sim.state("j0"); got != workload.JobCompleted {
		sim.t.Errorf("state %q, want completed", got)
	}
}

// TestAnsweredStartsDelayNoSuccessor guards against ends that a successor does not acknowledge for as long as a start may be
// late, since the store names a start that was answered long before and nothing has been stored since.
func TestAnsweredStartsDelayNoSuccessor(t *testing.T) {
	sim, f := newCellWithOneLongRun(t, 5*time.Second, 4*time.Second)
	sim.advance(2 * time.Second)
	sim.startController(true)
	sim.requireAckWithin(f, time.Second)
}

// TestListedStartsDelayNoSuccessor guards against the same while the successor sees that the start was carried out.
func TestListedStartsDelayNoSuccessor(t *testing.T) {
	sim, f := newCellWithOneLongRun(t, time.Second, 10*time.Millisecond)
	sim.startController(true)
	sim.requireAckWithin(f, 2*time.Second)
}
