package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// newTicketedStartForLaterBoot returns a cell of two workers that have both been restarted unseen, and an undelivered
// start with a ticket for the new boot of the returned worker, whose poll is under way. The clock of that boot is far
// behind the former one's.
func newTicketedStartForLaterBoot(t *testing.T) (*handDelivery, *fakeWorker, Start, Poll) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	delete(sim.config.Classes, "batch")
	sim.addWorkers(2, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 20 * time.Second, workload.EndDone
	}
	sim.startController(true)
	sim.advance(60 * time.Second)
	h := newHandDelivery(sim)
	h.deliverAllowedFor(100 * time.Millisecond)
	for _, id := range sim.workerIDs() {
		f := sim.workers[id]
		f.restart()
		f.firstReadingMs = 1
	}
	h.submit(simpleJob("j1", "gang", 1, 4000, nil))
	polls := map[string]Poll{}
	for range 100 {
		o := h.nextAllowed(5 * time.Millisecond)
		for _, p := range o.Polls {
			polls[p.Worker] = p
		}
		if len(o.Starts) > 0 {
			s := o.Starts[0]
			return h, sim.workers[s.Worker], s, polls[s.Worker]
		}
	}
	t.Fatal("no start is sent")
	return nil, nil, Start{}, Poll{}
}

// cutOff cuts a worker off. The polls under way get no response. The other workers are listed with their present boots.
func (h *handDelivery) cutOff(f *fakeWorker) {
	f.partitioned = true
	for _, id := range h.sim.workerIDs() {
		h.ctl.PollFailed(id, NoResponse, h.sim.now)
		if id != f.id {
			h.ctl.SetWorker(h.sim.workers[id].info(), h.sim.now)
		}
	}
}

// TestLateTicketedStartAtALaterBootIsNotStartedElsewhere guards against two runs at once: a start with a ticket for a boot
// that the controller does not know yet is carried out there late, within the validity of its ticket, while that boot is
// cut off. Its lease lasts from then on.
func TestLateTicketedStartAtALaterBootIsNotStartedElsewhere(t *testing.T) {
	h, f, start, _ := newTicketedStartForLaterBoot(t)
	sent := h.sim.now
	h.cutOff(f)
	h.ctl.StartDone(f.id, start.Run, NoResponse, 0, sent, h.sim.now)
	h.deliverAllowedFor(2 * time.Second)
	if got := f.startRun(start.FencingToken, &start); got != CarriedOut {
		t.Fatalf("the late start is answered with %q", got)
	}
	t.Logf("the lease of the run ends %v after the start was sent, by the controller's bound %v", f.leaseDeadline.Sub(sent),
		h.ctl.latestLeaseEnd(h.ctl.workers[f.id]).Sub(sent))
	h.deliverAllowedFor(10 * time.Second)
}

// TestLatePollAtALaterBootIsNotStartedElsewhere guards against the same by a poll: the start is carried out in time, and a
// poll for the former boot that got no response extends the lease of the later one.
func TestLatePollAtALaterBootIsNotStartedElsewhere(t *testing.T) {
	h, f, start, poll := newTicketedStartForLaterBoot(t)
	sent := h.sim.now
	if poll.LeaseDeadlineMs == 0 {
		t.Fatal("no poll that extends the lease is under way")
	}
	if got := f.startRun(start.FencingToken, &start); got != CarriedOut {
		t.Fatalf("the start is answered with %q", got)
	}
	h.cutOff(f)
	h.ctl.StartDone(f.id, start.Run, NoResponse, 0, sent, h.sim.now)
	h.deliverAllowedFor(4 * time.Second)
	if h.carryOutPoll(poll) == nil {
		t.Fatal("the late poll is refused")
	}
	t.Logf("the lease of the run ends %v after the start was sent, by the controller's bound %v", f.leaseDeadline.Sub(sent),
		h.ctl.latestLeaseEnd(h.ctl.workers[f.id]).Sub(sent))
	h.deliverAllowedFor(10 * time.Second)
}
