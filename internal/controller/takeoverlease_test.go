package controller

import (
	"testing"
	"time"
)

// TestSuccessorWaitsForALeaseFromALatePoll guards against two runs at once: a poll of the former controller, for the former
// boot of a worker, is carried out late by the next boot, which has a run by a ticket and is cut off. The successor has
// never heard that boot.
func TestSuccessorWaitsForALeaseFromALatePoll(t *testing.T) {
	h, f, start, poll := newTicketedStartForLaterBoot(t)
	if got := f.startRun(start.FencingToken, &start); got != CarriedOut {
		t.Fatalf("the start is answered with %q", got)
	}
	f.partitioned = true
	h = h.succeed(true)
	ended := h.sim.now
	h.deliverAllowedFor(4 * time.Second)
	if h.carryOutPoll(poll) == nil {
		t.Fatal("the late poll is refused")
	}
	t.Logf("the lease of the run ends %v after the end of the former controller, by the successor's bound %v", f.leaseDeadline.Sub(ended),
		h.ctl.latestLeaseEnd(h.ctl.workers[f.id]).Sub(ended))
	h.deliverAllowedFor(10 * time.Second)
}
