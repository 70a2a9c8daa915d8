package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// handDelivery delivers the orders of a controller to fake workers one by one, so that a test chooses which boot
// gets an order, and when.
type handDelivery struct {
	sim *simulation
	ctl *Controller
}

// newHandDelivery takes over from the simulated network: the polls that wait at workers are answered.
func newHandDelivery(sim *simulation) *handDelivery {
	h := &handDelivery{sim: sim, ctl: sim.ctl}
	sim.ctl = nil
	for _, id := range sim.workerIDs() {
		f := sim.workers[id]
		f.answerPoll, f.breakPoll = nil, nil
		if w := h.ctl.workers[id]; w.polling {
			h.ctl.PollDone(id, f.pollResult(), w.pollSent, sim.now)
		}
	}
	return h
}

// submit submits a job and stores it.
func (h *handDelivery) submit(job *workload.Job) {
	h.sim.t.Helper()
	h.sim.jobs[job.ID] = job
	copied := *job
	if _, err := h.ctl.Submit(&copied, h.sim.now); err != nil {
		h.sim.t.Fatal(err)
	}
	h.store()
}

// store stores all changes.
func (h *handDelivery) store() {
	for b := h.ctl.NextBatch(); b != nil; b = h.ctl.NextBatch() {
		for _, id := range b.Accepted {
			h.sim.accepted[id] = true
		}
		h.sim.applyBatch(b)
		h.ctl.BatchStored(b, h.sim.now)
	}
}

// next returns the orders that are due after a time.
func (h *handDelivery) next(d time.Duration) Orders {
	h.sim.advance(d)
	h.ctl.ConfirmEpoch(h.sim.now)
	h.store()
	out := h.ctl.NextOrders(h.sim.now)
	out.sort()
	return out
}

// carryOutPoll has the boot that is there now carry out a poll without a wait, and returns its answer, nil for a
// refusal.
func (h *handDelivery) carryOutPoll(p Poll) *workload.PollResult {
	f := h.sim.workers[p.Worker]
	if p.FencingToken < f.fencingToken {
		return nil
	}
	f.fencingToken = p.FencingToken
	f.dropAckedEnds(p.AckedSeq)
	if p.LeaseDeadlineMs > 0 {
		f.extendLease(p.LeaseDeadlineMs)
	}
	return f.pollResult()
}

// deliver has the boots that are there now carry out orders, and their answers arrive. A worker that is down or cut
// off answers nothing.
func (h *handDelivery) deliver(o Orders) {
	sent := h.sim.now
	for _, s := range o.Starts {
		f := h.sim.workers[s.Worker]
		if !f.up || f.partitioned {
			h.ctl.StartDone(s.Worker, s.Run, NoResponse, 0, sent, h.sim.now)
			continue
		}
		result := f.startRun(s.FencingToken, &s)
		h.ctl.StartDone(s.Worker, s.Run, result, f.clock(), sent, h.sim.now)
	}
	for _, s := range o.Stops {
		f := h.sim.workers[s.Worker]
		if !f.up || f.partitioned {
			h.ctl.StopDone(s.Worker, s.Run, NoResponse, 0, sent, h.sim.now)
			continue
		}
		result := RefusedStaleToken
		if s.FencingToken >= f.fencingToken {
			result = CarriedOut
			f.fencingToken = s.FencingToken
			f.stopRun(s.Run)
		}
		h.ctl.StopDone(s.Worker, s.Run, result, f.clock(), sent, h.sim.now)
	}
	h.sim.advance(time.Millisecond)
	for _, p := range o.Polls {
		if f := h.sim.workers[p.Worker]; !f.up || f.partitioned {
			h.ctl.PollFailed(p.Worker, NoResponse, h.sim.now)
		} else if result := h.carryOutPoll(p); result != nil {
			h.ctl.PollDone(p.Worker, result, sent, h.sim.now)
		} else {
			h.ctl.PollFailed(p.Worker, RefusedStaleToken, h.sim.now)
		}
	}
}

// deliverFor delivers the orders of a time.
func (h *handDelivery) deliverFor(d time.Duration) {
	for end := h.sim.now.Add(d); h.sim.now.Before(end); {
		h.deliver(h.next(5 * time.Millisecond))
	}
}

// awaitStart returns the first start that the controller sends, undelivered. Polls meanwhile are delivered if
// deliverPolls is set, else they are returned.
func (h *handDelivery) awaitStart(deliverPolls bool) (Start, []Poll) {
	h.sim.t.Helper()
	var polls []Poll
	for range 100 {
		o := h.next(5 * time.Millisecond)
		if deliverPolls {
			h.deliver(Orders{Polls: o.Polls})
		} else {
			polls = append(polls, o.Polls...)
		}
		if len(o.Starts) > 0 {
			return o.Starts[0], polls
		}
	}
	h.sim.t.Fatal("no start")
	return Start{}, nil
}

// requireCompleted checks that a job is completed.
func (h *handDelivery) requireCompleted(t *testing.T, job string) {
	t.Helper()
	if state, _ := h.ctl.JobState(job); state != workload.JobCompleted {
		t.Errorf("the job is %q, want completed", state)
	}
}
