package controller

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// nextAcknowledgingPoll delivers orders until a poll acknowledges ends, which it returns undelivered with the starts
// that are sent with it.
func (h *handDelivery) nextAcknowledgingPoll() (Poll, []Start) {
	h.sim.t.Helper()
	for range 200 {
		o := h.next(5 * time.Millisecond)
		if len(o.Polls) == 1 && o.Polls[0].AckedSeq > 0 {
			return o.Polls[0], o.Starts
		}
		h.deliver(o)
	}
	h.sim.t.Fatal("no poll acknowledges an end")
	return Poll{}, nil
}

// newHandDeliveryWithAckDue returns a cell with one worker, and a poll under way that acknowledges the end of the job
// j1 there.
func newHandDeliveryWithAckDue(t *testing.T) (*handDelivery, *fakeWorker, Poll) {
	h, f := newHandDeliveryAfterOneEnd(t)
	h.deliverFor(50 * time.Millisecond)
	h.submit(simpleJob("j1", "batch", 1, 1000, nil))
	poll, _ := h.nextAcknowledgingPoll()
	return h, f, poll
}

// requireNoStart delivers the polls of a time, and checks that no start is sent.
func (h *handDelivery) requireNoStart(t *testing.T, d time.Duration) {
	t.Helper()
	for end := h.sim.now.Add(d); h.sim.now.Before(end); {
		o := h.next(5 * time.Millisecond)
		if len(o.Starts) > 0 {
			t.Fatalf("%s is sent, want no start yet", o.Starts[0].Run)
		}
		h.deliver(o)
	}
}

// TestStartWaitsForAnAcknowledgment guards against a start without a ticket that is under way together with a poll
// that acknowledges ends: the worker's next boot may carry out both, and drop the end of that start unseen.
func TestStartWaitsForAnAcknowledgment(t *testing.T) {
	h, _, poll := newHandDeliveryWithAckDue(t)
	if poll.Wait != 0 {
		t.Errorf("the poll that acknowledges waits %v, so that starts wait as long", poll.Wait)
	}
	h.submit(simpleJob("j2", "batch", 1, 1000, nil))
	h.requireNoStart(t, 300*time.Millisecond)
	h.deliver(Orders{Polls: []Poll{poll}})
	h.awaitStart(true)
}

// TestStartAfterAnUnansweredAcknowledgment guards against a task that runs again after its end: a poll that acknowledges
// ends gets no response, and the worker's next boot carries it out after a start that was sent later.
func TestStartAfterAnUnansweredAcknowledgment(t *testing.T) {
	h, f, poll := newHandDeliveryWithAckDue(t)
	h.ctl.PollFailed(f.id, NoResponse, h.sim.now)
	h.submit(simpleJob("j2", "batch", 1, 1000, nil))
	start, _ := h.awaitStart(true)
	if start.FencingToken <= poll.FencingToken {
		t.Errorf("the start has the fencing token %d, want one above that of the poll, %d", start.FencingToken, poll.FencingToken)
	}
	sent := h.sim.now
	f.restart()
	h.sim.advance(50 * time.Millisecond)
	f.startRun(start.FencingToken, &start)
	h.sim.advance(300 * time.Millisecond)
	if h.carryOutPoll(poll) != nil {
		t.Error("the next boot carries out the acknowledgment for the former one")
	}
	h.ctl.StartDone(f.id, start.Run, NoResponse, 0, sent, h.sim.now)
	h.ctl.SetWorker(f.info(), h.sim.now)
	h.deliverFor(5 * time.Second)
	h.requireCompleted(t, "j2")
}

// TestStartWaitsWithoutAToken guards against the same for a worker that has used up the fencing tokens that unanswered
// acknowledgments may lead to.
func TestStartWaitsWithoutAToken(t *testing.T) {
	h, f, poll := newHandDeliveryWithAckDue(t)
	h.ctl.workers[f.id].fencingToken = h.ctl.lastTokenForAcks()
	h.ctl.PollFailed(f.id, NoResponse, h.sim.now)
	h.submit(simpleJob("j2", "batch", 1, 1000, nil))
	h.requireNoStart(t, h.sim.timing.LateStartTime-10*time.Millisecond)
	if start, _ := h.awaitStart(true); start.FencingToken != h.ctl.lastTokenForAcks() {
		t.Errorf("the start has the fencing token %d, poll %d", start.FencingToken, poll.FencingToken)
	}
}

// TestAcknowledgmentWaitsForStarts guards against a poll that acknowledges ends while a start without a ticket is in
// flight, or got no response and may still arrive.
func TestAcknowledgmentWaitsForStarts(t *testing.T) {
	h, f := newHandDeliveryAfterOneEnd(t)
	h.deliverFor(50 * time.Millisecond)
	h.submit(simpleJob("j1", "batch", 1, 1000, nil))
	ended, _ := h.awaitStart(true)
	h.deliver(Orders{Starts: []Start{ended}})
	h.submit(simpleJob("j2", "batch", 1, 1000, nil))
	h.awaitStart(true)
	sent := h.sim.now
	unanswered := h.ctl.workers[f.id].acks.starts
	if len(unanswered) != 1 {
		t.Fatalf("%d starts without a ticket are in flight, want 1", len(unanswered))
	}
	for run := range unanswered {
		h.sim.after(400*time.Millisecond, func() { h.ctl.StartDone(f.id, run, NoResponse, 0, sent, h.sim.now) })
	}
	for h.sim.now.Before(sent.Add(h.sim.timing.LateStartTime + h.sim.timing.DeliveryTime)) {
		o := h.next(5 * time.Millisecond)
		for _, poll := range o.Polls {
			switch {
			case poll.AckedSeq == 0:
			case h.sim.now.Before(sent.Add(h.sim.timing.LateStartTime)):
				t.Fatalf("%v after the start a poll acknowledges ends up to %d", h.sim.now.Sub(sent), poll.AckedSeq)
			case len(f.ends) == 0:
				t.Fatal("no end is to be acknowledged")
			default:
				return
			}
		}
		h.deliver(o)
	}
	t.Fatal("no poll acknowledges the end once the start can't arrive any more")
}

// TestStartsGoOnBesideALateStart guards against a worker that takes no start for LateStartTime since one start without a
// ticket got no response and acknowledgments wait for it, and against ends that pile up to the longest list meanwhile.
func TestStartsGoOnBesideALateStart(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(1, 100_000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 200 * time.Millisecond, workload.EndDone
	}
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	f, w := sim.workers["i-aa"], sim.ctl.workers["i-aa"]
	lateUntil := sim.now.Add(sim.timing.LateStartTime)
	w.acks.startArrivesUntil = lateUntil
	ended := 0
	for i := range 20 {
		sim.submit(simpleJob(fmt.Sprintf("j%d", i), "batch", 10, 1000, nil))
		sim.advance(500 * time.Millisecond)
		if sim.state(fmt.Sprintf("j%d", i)) == workload.JobCompleted {
			ended++
		}
	}
	if ended < 20 || len(f.ends) != 200 {
		t.Errorf("%d jobs are completed and %d ends listed, want 20 and 200", ended, len(f.ends))
	}
	sim.submit(simpleJob("many", "batch", 1000, 1000, nil))
	most := 0
	for sim.now.Before(lateUntil) {
		sim.advance(10 * time.Millisecond)
		most = max(most, len(f.ends))
	}
	if most < maxUnacknowledgedEnds || most >= maxEndsListed {
		t.Errorf("%d ends are listed at once, want %d to %d", most, maxUnacknowledgedEnds, maxEndsListed-1)
	}
	sim.advance(10 * time.Second)
	if got := sim.state("many"); got != workload.JobCompleted || len(f.ends) > 0 {
		t.Errorf("the job is %q and %d ends are listed, want completed and none", got, len(f.ends))
	}
}

// TestBusyWorkerGetsAcknowledgments guards against ends that pile up, up to the longest list, and against starts that come
// to a standstill, on a worker that gets starts all the time, without tickets or with them.
func TestBusyWorkerGetsAcknowledgments(t *testing.T) {
	const (
		tasks   = 4000
		maxEnds = maxEndsListed / 2
		latency = 20 * time.Millisecond // long, so that some start is nearly always in flight
	)
	for _, class := range []string{"batch", "gang"} {
		t.Run(class, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.meanLatency = latency
			sim.allowedShare = 1
			sim.addWorkers(1, 100_000)
			n := 0
			sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
				n++
				return time.Duration(100+n%97) * time.Millisecond, workload.EndDone
			}
			sim.startController(true)
			sim.advance(200 * time.Millisecond)
			sim.submit(simpleJob("j1", class, tasks, 1000, nil))
			f := sim.workers["i-aa"]
			most := 0
			begun := sim.now
			for sim.state("j1") != workload.JobCompleted {
				if sim.advance(10 * time.Millisecond); sim.now.Sub(begun) > time.Minute {
					t.Fatal("the job is not completed after a minute")
				}
				most = max(most, len(f.ends))
			}
			t.Logf("%d tasks took %v, at most %d ends were listed", tasks, sim.now.Sub(begun), most)
			if most > maxEnds {
				t.Errorf("%d ends were listed at once, want at most %d", most, maxEnds)
			}
		})
	}
}

// allowAll answers a call of the advisor at once with tickets for all workers.
func (h *handDelivery) allowAll(call *AdvisorCall) {
	h.ctl.AdvisorCallDone(call, h.sim.issueTickets(call), 0, nil, h.sim.now)
}

// TestPollsWithAdvisorsAcknowledgeOrWait guards, where all starts bear tickets, against polls that acknowledge and wait,
// since starts wait for their response, and against more polls that do not wait than one or two for each list of ends.
func TestPollsWithAdvisorsAcknowledgeOrWait(t *testing.T) {
	sim := newSimulation(t, 1)
	delete(sim.config.Classes, "batch")
	sim.allowedShare = 1
	sim.addWorkers(2, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	h := newHandDelivery(sim)
	acks, waiting, probes := 0, 0, 0
	for i := range 400 {
		if i%40 == 0 {
			h.submit(simpleJob(fmt.Sprintf("j%d", i), "gang", 2, 1000, nil))
		}
		o := h.nextAllowed(5 * time.Millisecond)
		for _, poll := range o.Polls {
			w := h.ctl.workers[poll.Worker]
			switch {
			case poll.AckedSeq > 0:
				acks++
				if poll.AckedSeq != w.ackedSeq || poll.Wait != 0 {
					t.Fatalf("a poll acknowledges ends up to %d of %d and waits %v", poll.AckedSeq, w.ackedSeq, poll.Wait)
				}
			case poll.Wait == 0:
				probes++
			case poll.Wait == sim.timing.PollWait:
				waiting++
			default:
				t.Fatalf("a poll waits %v, want %v", poll.Wait, sim.timing.PollWait)
			}
		}
		h.deliver(o)
	}
	t.Logf("%d polls acknowledge, %d others do not wait, %d wait", acks, probes, waiting)
	ends := int64(0)
	for id, w := range h.ctl.workers {
		ends += w.ackedSeq
		if w.ackedSeq == 0 || len(sim.workers[id].ends) > 0 {
			t.Errorf("%s: ends up to %d are acknowledged, %d are listed", id, w.ackedSeq, len(sim.workers[id].ends))
		}
	}
	if int64(acks) > ends || int64(probes) > ends || waiting == 0 {
		t.Errorf("%d polls acknowledge %d ends, %d others do not wait, %d wait", acks, ends, probes, waiting)
	}
}
