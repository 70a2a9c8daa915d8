package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// newHandDeliveryAfterOneEnd returns a cell with one worker whose boot has had one end acknowledged.
func newHandDeliveryAfterOneEnd(t *testing.T) (*handDelivery, *fakeWorker) {
	sim := newSimulation(t, 1)
	sim.addWorkers(1, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 200 * time.Millisecond, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j0", "batch", 1, 1000, nil))
	sim.advance(2 * time.Second)
	f := sim.workers["i-aa"]
	if w := sim.ctl.workers[f.id]; w.ackedSeq != 1 || len(f.ends) != 0 {
		t.Fatalf("ends up to %d are acknowledged, %d are listed; want 1 and none", w.ackedSeq, len(f.ends))
	}
	return newHandDelivery(sim), f
}

// TestLatePollDropsNoEndOfALateStart guards against a task that runs again after its end as done was acknowledged: a
// start and a poll that acknowledges an end of the former boot are both carried out by the next boot, before the
// controller knows of that.
func TestLatePollDropsNoEndOfALateStart(t *testing.T) {
	for name, pollFirst := range map[string]bool{"poll sent before the start": true, "poll sent after the start": false} {
		t.Run(name, func(t *testing.T) {
			h, f := newHandDeliveryAfterOneEnd(t)
			var start Start
			var polls []Poll
			if pollFirst {
				polls = h.next(50 * time.Millisecond).Polls
				h.submit(simpleJob("j1", "batch", 1, 1000, nil))
				start, _ = h.awaitStart(false)
			} else {
				h.deliverFor(50 * time.Millisecond)
				h.submit(simpleJob("j1", "batch", 1, 1000, nil))
				start, polls = h.awaitStart(true)
				for len(polls) == 0 {
					polls = h.next(5 * time.Millisecond).Polls
				}
			}
			if len(polls) != 1 {
				t.Fatalf("%d polls are under way, want 1", len(polls))
			}
			sent := h.sim.now
			f.restart()
			h.sim.advance(50 * time.Millisecond)
			f.startRun(start.FencingToken, &start)
			h.sim.advance(300 * time.Millisecond)
			h.carryOutPoll(polls[0])
			h.ctl.StartDone(f.id, start.Run, NoResponse, 0, sent, h.sim.now)
			h.ctl.PollFailed(f.id, NoResponse, h.sim.now)
			h.ctl.SetWorker(f.info(), h.sim.now)
			h.deliverFor(5 * time.Second)
			h.requireCompleted(t, "j1")
		})
	}
}

// TestListedRunWithALateStartWaitsForTheFence guards against two runs of a task: a worker has a run by the second
// copy of its start order, is restarted, and the next boot carries out the first copy before it refuses orders for
// the former boot.
func TestListedRunWithALateStartWaitsForTheFence(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(2, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 2 * time.Second, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	h := newHandDelivery(sim)
	h.deliverFor(50 * time.Millisecond)
	h.submit(simpleJob("j1", "batch", 1, 1000, nil))
	late, _ := h.awaitStart(true)
	h.ctl.StartDone(late.Worker, late.Run, NoResponse, 0, sim.now, sim.now)
	h.deliverFor(300 * time.Millisecond)
	f := sim.workers[late.Worker]
	if f.runs[late.Run.Task] == nil || !h.ctl.workers[f.id].runs[late.Run].listedByWorker {
		t.Fatal("the second copy of the start was not carried out and listed")
	}
	f.restart()
	for h.ctl.workers[f.id].boot != f.boot {
		h.deliver(h.next(5 * time.Millisecond))
	}
	o := h.next(time.Millisecond)
	f.startRun(late.FencingToken, &late)
	h.deliver(o)
	h.ctl.SetWorker(f.info(), h.sim.now)
	h.deliverFor(10 * time.Second)
	h.requireCompleted(t, "j1")
}

// TestReturningWorkerRefusesFormerStarts guards against a task that runs again after its end: a start gets no answer, its
// worker leaves the list and is forgotten, and is restarted under its ID before the start arrives.
func TestReturningWorkerRefusesFormerStarts(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(2, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	h := newHandDelivery(sim)
	h.deliverFor(50 * time.Millisecond)
	h.submit(simpleJob("j1", "batch", 1, 1000, nil))
	late, _ := h.awaitStart(true)
	f := sim.workers[late.Worker]
	f.crash()
	h.ctl.StartDone(f.id, late.Run, NoResponse, 0, sim.now, sim.now)
	h.ctl.UnlistWorker(f.id, sim.now)
	h.deliverFor(lapsedRunsRetention + 20*time.Second)
	h.requireCompleted(t, "j1")
	if h.ctl.workers[f.id] != nil {
		t.Fatal("the worker is still known")
	}
	f.start()
	h.ctl.SetWorker(f.info(), sim.now)
	h.deliverFor(time.Second)
	if result := f.startRun(late.FencingToken, &late); result.Effect() != EffectNone {
		t.Errorf("the new boot answers the former start with %q", result)
	}
}

// TestRunOfALaterBootIsNoCertainCrash guards against a job that is shown as failed without cause: a start that was
// under way when the worker's process ended is answered by the next boot, whose clock is ahead of the former one's.
func TestRunOfALaterBootIsNoCertainCrash(t *testing.T) {
	sim, w, r := newRunOnBoot(t)
	r.listedByWorker, r.acceptedByBoot = false, false
	r.confirmedAt = time.Time{}
	r.inFlight = true
	const aheadMs = 60_000
	clockMs := w.clockMs + aheadMs
	sent := sim.now
	now := sent.Add(300 * time.Millisecond)
	sim.ctl.PollFailed(w.info.ID, ConnectionBroken, sent.Add(time.Millisecond))
	sim.ctl.StartDone(w.info.ID, r.id(), CarriedOut, clockMs, sent, now)
	boot := w.boot + 1
	for range 2 { // the second answer may be to a poll under a higher fencing token
		sent, now = now, now.Add(200*time.Millisecond)
		clockMs += 200
		running := []workload.RunningTask{{Run: r.id()}}
		sim.ctl.PollDone(w.info.ID, &workload.PollResult{BootMs: boot, ClockMs: clockMs, Running: running}, sent, now)
	}
	if w.runs[r.id()] != r || !r.listedByWorker {
		t.Fatal("the run is not left to the later boot, which lists it")
	}
	for _, crash := range r.task.crashes {
		if crash.Finding == workload.CrashCertain {
			t.Errorf("a run that the later boot has counts as lost with the former one: %s", describeCrashes(r.task.crashes))
		}
	}
}

// TestAdviceOnAFormerBootIsNotReused guards against a job that waits for good: the advisor refuses a boot of the only
// worker, which is restarted before the answer arrives. Another boot may be of another kind.
func TestAdviceOnAFormerBootIsNotReused(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.config.Classes["batch"].Advisor = &workload.AdvisorTiming{
		DecisionTime: 2 * time.Second, TimePerWorker: time.Millisecond, TicketValidity: 2 * time.Second,
	}
	answers := 0
	sim.allowedShareOf = func(workload.StepID) float64 {
		answers++
		if answers == 1 {
			return 0
		}
		return 1
	}
	sim.addWorkers(1, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j1", "batch", 1, 1000, nil))
	sim.advance(500 * time.Millisecond) // the call is under way
	f := sim.workers["i-aa"]
	f.crashProcess()
	f.start()
	sim.listWorker(f)
	sim.advance(time.Second)
	if answers != 0 || sim.ctl.workers[f.id].boot != f.boot {
		t.Fatalf("%d answers, want none before the new boot is known", answers)
	}
	sim.advance(20 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("the job is %q after %d answers, want completed", got, answers)
	}
}

// TestGangMembersGetOneCheckpoint guards against members of a gang that start from different checkpoints: the start of
// one is sent again after the end of a former attempt, with a checkpoint, is listed by a worker.
func TestGangMembersGetOneCheckpoint(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(2, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	h := newHandDelivery(sim)
	h.submit(simpleJob("j1", "batch", 2, 3000, func(s *workload.Step) { s.Gang = true }))
	for _, j := range h.ctl.active {
		for _, task := range j.open[0].steps[0].tasks {
			task.highestRun = 5 // five attempts ended with the leases of workers
		}
	}
	var starts []Start
	for range 20 {
		if starts = h.next(5 * time.Millisecond).Starts; len(starts) > 0 {
			break
		}
	}
	if len(starts) != 2 || starts[0].Run.Number != 6 {
		t.Fatalf("starts %v, want the two of attempt 6", starts)
	}
	unanswered := starts[1]
	h.deliver(Orders{Starts: starts[:1]})
	h.ctl.StartDone(unanswered.Worker, unanswered.Run, NoResponse, 0, sim.now, sim.now)
	result := sim.workers[starts[0].Worker].pollResult()
	former := workload.Run{Task: starts[0].Run.Task, Number: 5}
	result.Ended = []workload.EndedTask{{Seq: 1, Run: former, Reason: workload.EndLeaseExpired, Checkpoint: "saved"}}
	h.ctl.PollDone(starts[0].Worker, result, sim.now, sim.now)
	for range 50 {
		for _, s := range h.next(5 * time.Millisecond).Starts {
			if s.Run.Number == starts[0].Run.Number && s.Checkpoint != starts[0].Checkpoint {
				t.Fatalf("a member is started from %q, another one from %q", s.Checkpoint, starts[0].Checkpoint)
			}
		}
	}
}

// newHandDeliveryWithTicketedEnd returns a cell of one worker, all of whose starts bear tickets. The end of the job j0 is
// listed, but not acknowledged. Other tasks run for a time.
func newHandDeliveryWithTicketedEnd(t *testing.T, runTime time.Duration) (*handDelivery, *fakeWorker) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.timing.PollPause = 50 * time.Millisecond // long enough for a start between two polls
	delete(sim.config.Classes, "batch")
	sim.addWorkers(1, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return runTime, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j0", "gang", 1, 1000, nil))
	f := sim.workers["i-aa"]
	for len(f.ends) == 0 {
		sim.advance(time.Millisecond)
	}
	return newHandDelivery(sim), f
}

// nextAllowed returns the orders that are due after a time. The advisor answers at once, for the boots that are there.
func (h *handDelivery) nextAllowed(d time.Duration) Orders {
	o := h.next(d)
	for _, call := range o.AdvisorCalls {
		h.allowAll(&call)
	}
	return o
}

// deliverAllowedFor delivers the orders of a time. The advisor allows all workers.
func (h *handDelivery) deliverAllowedFor(d time.Duration) {
	for end := h.sim.now.Add(d); h.sim.now.Before(end); {
		h.deliver(h.nextAllowed(5 * time.Millisecond))
	}
}

// TestPollForFormerBootDropsNoEndOfATicketedStart guards against a task that runs again after its end as done was
// acknowledged: the advisor issues a ticket for a boot of which the controller does not know yet, whose run ends before
// a poll arrives there that was sent earlier and acknowledges an end of the former boot. The poll is answered by the next
// boot, or gets no response and is carried out later still.
func TestPollForFormerBootDropsNoEndOfATicketedStart(t *testing.T) {
	for name, answered := range map[string]bool{"the poll is answered": true, "the poll gets no response": false} {
		t.Run(name, func(t *testing.T) {
			h, f := newHandDeliveryWithTicketedEnd(t, 200*time.Millisecond)
			polls := h.next(50 * time.Millisecond).Polls
			if len(polls) != 1 || polls[0].AckedSeq == 0 {
				t.Fatalf("polls %v, want one that acknowledges an end", polls)
			}
			pollSent := h.sim.now
			f.restart() // before the poll arrives
			h.sim.advance(50 * time.Millisecond)
			h.submit(simpleJob("j1", "gang", 1, 1000, nil))
			h.deliverAllowedFor(600 * time.Millisecond) // the run ends meanwhile if it is started
			if answered {
				h.ctl.PollDone(f.id, h.carryOutPoll(polls[0]), pollSent, h.sim.now)
			} else {
				h.ctl.PollFailed(f.id, NoResponse, h.sim.now)
			}
			h.ctl.SetWorker(f.info(), h.sim.now)
			for range 2000 {
				h.deliver(h.nextAllowed(time.Millisecond))
				if !answered && len(f.ends) > 0 {
					h.carryOutPoll(polls[0]) // late
				}
			}
			h.requireCompleted(t, "j1")
		})
	}
}

// TestAcknowledgmentWaitsForTicketedStarts guards against the same in the other order: the start with a ticket for the
// next boot is sent before the acknowledgment of an end of the former boot.
func TestAcknowledgmentWaitsForTicketedStarts(t *testing.T) {
	for _, result := range []OrderResult{CarriedOut, NoResponse} {
		t.Run(result.String(), func(t *testing.T) {
			const runTime = 3 * time.Millisecond
			h, f := newHandDeliveryWithTicketedEnd(t, runTime)
			f.restart()
			h.submit(simpleJob("j1", "gang", 1, 1000, nil))
			var o Orders
			for range 40 {
				if o = h.nextAllowed(time.Millisecond); len(o.Starts)+len(o.Polls) > 0 {
					break
				}
			}
			if len(o.Starts) != 1 || len(o.Polls) > 0 {
				t.Fatalf("starts %v and polls %v are sent, want one start before the next poll", o.Starts, o.Polls)
			}
			start, sent := o.Starts[0], h.sim.now
			if got := f.startRun(start.FencingToken, &start); got != CarriedOut {
				t.Fatalf("the start is answered with %q", got)
			}
			clockMs := f.clock()
			if result == NoResponse {
				clockMs = 0
			}
			h.sim.advance(2 * runTime)
			h.ctl.StartDone(f.id, start.Run, result, clockMs, sent, h.sim.now)
			h.deliverAllowedFor(time.Second)
			h.ctl.SetWorker(f.info(), h.sim.now)
			h.deliverAllowedFor(5 * time.Second)
			h.requireCompleted(t, "j1")
		})
	}
}

// TestFormerBootsAnswerHidesNoOtherBoot guards against a task that runs again after its end as done was acknowledged, and
// against starts with deadlines by the clock of a former boot: the answer to a start shows that another boot is there,
// and an answer of the former boot to a poll that was sent before arrives only then.
func TestFormerBootsAnswerHidesNoOtherBoot(t *testing.T) {
	h, f := newHandDeliveryAfterOneEnd(t)
	h.submit(simpleJob("j2", "batch", 1, 1000, nil))
	ending, _ := h.awaitStart(true)
	h.deliver(Orders{Starts: []Start{ending}})
	polls := h.next(50 * time.Millisecond).Polls
	if len(polls) != 1 {
		t.Fatalf("%d polls are under way, want 1", len(polls))
	}
	pollSent := h.sim.now
	h.sim.advance(250 * time.Millisecond)
	held := h.carryOutPoll(polls[0])
	if len(held.Ended) != 1 {
		t.Fatalf("%d ends are listed, want 1", len(held.Ended))
	}
	f.restart()
	h.submit(simpleJob("j1", "batch", 1, 1000, nil))
	start, _ := h.awaitStart(false)
	sent := h.sim.now
	result := f.startRun(start.FencingToken, &start)
	h.ctl.StartDone(f.id, start.Run, result, f.clock(), sent, h.sim.now)
	w := h.ctl.workers[f.id]
	if !w.otherBootAnswered {
		t.Fatal("the answer to the start has not shown the other boot")
	}
	h.sim.advance(300 * time.Millisecond) // the run ends
	h.ctl.PollDone(f.id, held, pollSent, h.sim.now)
	if w.takesStarts() {
		t.Error("the worker takes starts for its former boot")
	}
	for _, p := range h.next(20 * time.Millisecond).Polls {
		if p.AckedSeq > 0 || p.LeaseDeadlineMs > 0 {
			t.Errorf("a poll for the former boot acknowledges %d ends and has the lease deadline %d", p.AckedSeq, p.LeaseDeadlineMs)
		}
		h.deliver(Orders{Polls: []Poll{p}})
	}
	h.ctl.SetWorker(f.info(), h.sim.now)
	h.deliverFor(5 * time.Second)
	h.requireCompleted(t, "j1")
}

// awaitTicketedStart has the advisor allow all workers until a start is sent.
func (h *handDelivery) awaitTicketedStart() Start {
	h.sim.t.Helper()
	for range 200 {
		if o := h.nextAllowed(5 * time.Millisecond); len(o.Starts) > 0 {
			return o.Starts[0]
		}
	}
	h.sim.t.Fatal("no start is sent")
	return Start{}
}

// TestLatePollExtendsTheLeaseOfAnotherBoot guards against two runs of one task at once: a worker restarts, its next boot
// carries out a start before the controller has polled it and is cut off, and a late poll for the former boot extends the
// lease there. The boot answers no poll before the cut, or one that does not fence it yet.
func TestLatePollExtendsTheLeaseOfAnotherBoot(t *testing.T) {
	for name, polled := range map[string]bool{"not polled": false, "polled once": true} {
		t.Run(name, func(t *testing.T) { playLatePollAtAnotherBoot(t, polled) })
	}
}

func playLatePollAtAnotherBoot(t *testing.T, polled bool) {
	h, late := newHandDeliveryWithLongTasks(t)
	sim := h.sim
	h.submit(simpleJob("j1", "gang", 1, 1000, nil))
	for _, f := range sim.workers {
		f.restart()
		f.firstReadingMs = 1
	}
	start := h.awaitTicketedStart()
	f := sim.workers[start.Worker]
	sent := sim.now
	result := f.startRun(start.FencingToken, &start)
	if result != CarriedOut {
		t.Fatalf("the start is answered with %q", result)
	}
	h.ctl.StartDone(f.id, start.Run, result, f.clock(), sent, sim.now)
	for _, p := range late {
		h.ctl.PollFailed(p.Worker, NoResponse, sim.now)
		if p.Worker == f.id {
			sim.after(5*time.Second, func() { h.carryOutPoll(p) })
			continue
		}
		h.ctl.SetWorker(sim.workers[p.Worker].info(), sim.now)
	}
	if polled {
		h.deliverUntilBootSeen(f)
	}
	f.partitioned = true
	h.ctl.UnlistWorker(f.id, sim.now)
	h.deliverAllowedFor(40 * time.Second)
	h.requireCompleted(t, "j1")
}

// newHandDeliveryWithLongTasks returns a cell with two workers whose tasks take 10 s, and a poll under way to each.
func newHandDeliveryWithLongTasks(t *testing.T) (*handDelivery, []Poll) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(2, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 10 * time.Second, workload.EndDone
	}
	sim.startController(true)
	sim.advance(time.Second)
	h := newHandDelivery(sim)
	return h, h.next(50 * time.Millisecond).Polls
}

// deliverUntilBootSeen delivers orders until the controller knows the boot of a worker.
func (h *handDelivery) deliverUntilBootSeen(f *fakeWorker) {
	h.sim.t.Helper()
	for range 200 {
		if h.ctl.workers[f.id].boot == f.boot {
			return
		}
		h.deliver(h.nextAllowed(5 * time.Millisecond))
	}
	h.sim.t.Fatal("the controller does not learn of the boot")
}
