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

// awaitAck returns the first poll of a worker that acknowledges ends, undelivered.
func (h *handDelivery) awaitAck(worker string) Poll {
	h.sim.t.Helper()
	for range 400 {
		o := h.next(5 * time.Millisecond)
		for _, p := range o.Polls {
			if p.Worker == worker && p.AckedSeq > 0 {
				return p
			}
		}
		h.deliver(o)
	}
	h.sim.t.Fatal("no poll acknowledges an end")
	return Poll{}
}

// newCellWithAnEndBeforeAChange returns a cell of one worker that lists the end of j0, and an undelivered start of j1 there.
func newCellWithAnEndBeforeAChange(t *testing.T) (*handDelivery, *fakeWorker, Start) {
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
			return h, f, o.Starts[1]
		}
		h.deliver(o)
	}
	t.Fatal("the two starts are not sent together")
	return nil, nil, Start{}
}

// TestSuccessorsAcknowledgmentDropsNoEndOfAnInheritedStart guards against a task that runs again after its end as done was
// acknowledged: a successor acknowledges ends of a boot while a start of the former controller, sent less than the
// delivery time ago, may be carried out by the next boot.
func TestSuccessorsAcknowledgmentDropsNoEndOfAnInheritedStart(t *testing.T) {
	h, f, late := newCellWithAnEndBeforeAChange(t)
	sent := h.sim.now
	h = h.succeed(true)
	poll := h.awaitAck(f.id)
	t.Logf("a poll acknowledges ends up to %d %v after the start was sent, within %v", poll.AckedSeq, h.sim.now.Sub(sent), h.sim.timing.DeliveryTime)
	f.restart()
	h.sim.advance(20 * time.Millisecond)
	if got := f.startRun(late.FencingToken, &late); got != CarriedOut {
		t.Fatalf("the late start is answered with %q", got)
	}
	h.sim.advance(40 * time.Millisecond)
	pollSent := h.sim.now
	h.ctl.PollDone(f.id, h.carryOutPoll(poll), pollSent, h.sim.now)
	h.ctl.SetWorker(f.info(), h.sim.now)
	h.deliverFor(h.sim.timing.LateStartTime + 5*time.Second)
	h.requireCompleted(t, late.Run.Task.Job)
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
	former.submit(simpleJob("j1", "gang", 1, 1000, nil))
	var call *AdvisorCall
	for range 100 {
		o := former.next(time.Millisecond)
		if len(o.AdvisorCalls) > 0 {
			call = &o.AdvisorCalls[0]
			break
		}
		former.deliver(o)
	}
	if call == nil {
		t.Fatal("the advisor is not called")
	}
	former.sim.advance(100 * time.Millisecond) // j2 ends
	if len(f.ends) == 0 {
		t.Fatal("no end is listed")
	}
	h := former.succeed(false)
	poll := h.awaitAck(f.id)
	f.restart()
	former.allowAll(call)
	o := former.ctl.NextOrders(h.sim.now)
	t.Logf("the former controller sends %d starts, it may until %v", len(o.Starts), h.ctl.predecessorsExpiry.Sub(h.sim.now))
	if len(o.Starts) != 1 {
		t.Fatal("no start is sent")
	}
	if got := f.startRun(o.Starts[0].FencingToken, &o.Starts[0]); got != CarriedOut {
		t.Fatalf("the start is answered with %q", got)
	}
	h.sim.advance(200 * time.Millisecond)
	pollSent := h.sim.now
	h.ctl.PollDone(f.id, h.carryOutPoll(poll), pollSent, h.sim.now)
	h.ctl.SetWorker(f.info(), h.sim.now)
	h.deliverAllowedFor(40 * time.Second)
	h.requireCompleted(t, "j1")
}
