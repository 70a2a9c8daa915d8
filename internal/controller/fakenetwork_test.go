package controller

import "time"

// How long after its arrival a late order is carried out.
const (
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 12 * time.Second
)

// heldCall is a call to a worker that is down. A boot that comes up within the call's time-out carries it out.
type heldCall struct {
	call     *call
	deadline time.Time
	deliver  func()
}

// takeHeldCalls has the worker carry out the calls that are held for it.
func (f *fakeWorker) takeHeldCalls() {
	held := f.heldCalls
	f.heldCalls = nil
	for _, h := range held {
		f.sim.after(f.sim.networkDelay(), func() {
			if !f.sim.now.Before(h.deadline) || !f.replaced && (!f.up || f.partitioned) {
				return
			}
			h.call.taken = true
			h.deliver()
		})
	}
}

// call is a call to a worker, as its sender sees it. It ends once, with a response or without one.
type call struct {
	sim   *simulation
	ctl   *Controller
	fail  func(OrderResult)
	ended bool
	// taken says that a worker has got the call, unheard that the sender gets none of its responses.
	taken, unheard bool
	// late says that the call is carried out seconds after its arrival, boot which boot the controller means.
	late bool
	boot int64
	sent time.Time
	// deadline is when the sender gives up a call whose response is held.
	deadline time.Time
}

// end ends the call with an outcome, unless it has ended.
func (c *call) end(outcome func()) {
	if c.ended {
		return
	}
	c.ended = true
	if c.sim.ctl == c.ctl {
		outcome()
	}
}

// respond has a response reach the sender.
func (c *call) respond(outcome func()) {
	if c.unheard {
		return
	}
	hold := c.sim.answerHold()
	if hold > 0 {
		c.sim.after(max(0, c.deadline.Sub(c.sim.now)), func() { c.end(func() { c.fail(NoResponse) }) })
	}
	c.sim.after(c.sim.networkDelay()+hold, func() { c.end(outcome) })
}

// endAfter ends the call without a response after a time, unless it has ended.
func (c *call) endAfter(d time.Duration) {
	c.sim.after(d, func() { c.end(func() { c.fail(NoResponse) }) })
}

// callWorker delivers an order to a worker over the network. An order is addressed to an ID: a late one is
// carried out by whatever boot is up when it arrives, and one to a worker that is down may be held until the next
// boot is up. Lost and late orders end with fail(NoResponse) after a time-out.
func (sim *simulation) callWorker(ctl *Controller, id string, route Route, deliver func(f *fakeWorker, c *call) func(), fail func(OrderResult)) {
	c := &call{sim: sim, ctl: ctl, fail: fail, sent: sim.now, deadline: sim.now.Add(sim.orderTimeout)}
	if w := ctl.workers[id]; w != nil {
		c.boot = w.boot
	}
	timeout := func() { c.endAfter(sim.orderTimeout + sim.networkDelay()) }
	draw := sim.rng.Float64()
	sim.after(sim.networkDelay(), func() {
		f := sim.workers[id]
		switch {
		case f != nil && f.replaced && !f.partitioned:
			c.respond(func() { fail(RefusedBoot) })
		case f != nil && !f.up && f.portClosed && !f.partitioned:
			c.respond(func() { fail(NotDelivered) })
		case f == nil || f.partitioned || f.firstWayCut && route == 0:
			if f != nil && f.partitioned {
				f.keepInCut(c, deliver)
			}
			timeout()
		case draw < sim.delayedOrderShare:
			c.unheard, c.late = true, true
			sim.after(minOrderDelay+time.Duration(sim.rng.Int64N(int64(maxOrderDelay-minOrderDelay))), func() {
				if f.up {
					deliver(f, c)
				}
			})
			timeout()
		case !f.up:
			if sim.bootRNG.Float64() < sim.heldCallShare {
				f.hold(c, deliver)
			}
			sim.after(sim.orderTimeout, func() {
				if !c.taken {
					c.endAfter(sim.networkDelay())
				}
			})
		case draw < sim.delayedOrderShare+sim.lostAnswerShare || f.mute:
			c.unheard = true
			deliver(f, c)
			timeout()
		default:
			if outcome := deliver(f, c); outcome != nil {
				c.respond(outcome)
			}
		}
	})
}

// hold keeps a call to the worker, which is down, until its time-out.
func (f *fakeWorker) hold(c *call, deliver func(f *fakeWorker, c *call) func()) {
	f.heldCalls = append(f.heldCalls, &heldCall{
		call:     c,
		deadline: f.sim.now.Add(f.sim.orderTimeout),
		deliver: func() {
			if f.replaced {
				c.respond(func() { c.fail(RefusedBoot) })
				return
			}
			if outcome := deliver(f, c); outcome != nil {
				c.respond(outcome)
			}
		},
	})
}

func (sim *simulation) poll(ctl *Controller, poll Poll) {
	sent := sim.now
	sim.callWorker(ctl, poll.Worker, poll.Route, func(f *fakeWorker, c *call) func() {
		if poll.FencingToken < f.fencingToken {
			return func() { ctl.PollFailed(poll.Worker, RefusedStaleToken, sim.nowOf(ctl)) }
		}
		f.fencingToken = poll.FencingToken
		f.dropAckedEnds(poll.AckedSeq)
		if poll.LeaseDeadlineMs > 0 {
			f.extendLease(poll.LeaseDeadlineMs)
		}
		reply := func() func() {
			result := f.pollResult()
			return func() { ctl.PollDone(poll.Worker, result, sim.clockOf(ctl, sent), sim.nowOf(ctl)) }
		}
		if len(f.ends) > 0 || poll.Wait == 0 || c.unheard {
			return reply()
		}
		sim.waitForEnd(f, c, poll.Wait, reply)
		return nil
	}, func(failure OrderResult) { ctl.PollFailed(poll.Worker, failure, sim.nowOf(ctl)) })
}

// waitForEnd answers a poll when a run ends, or after a time. A poll whose boot is gone by then, or cut off, gets no
// answer.
func (sim *simulation) waitForEnd(f *fakeWorker, c *call, wait time.Duration, reply func() func()) {
	boot := f.boot
	c.deadline = c.deadline.Add(wait)
	answered := false
	answer := func() {
		if answered || f.partitioned || f.mute {
			return
		}
		answered = true
		c.respond(reply())
	}
	f.answerPoll = answer
	f.breakPoll = func(failure OrderResult) {
		if answered {
			return
		}
		answered = true
		c.respond(func() { c.fail(failure) })
	}
	sim.after(wait, func() {
		if f.up && f.boot == boot && !f.partitioned && !f.mute {
			answer()
			return
		}
		if !answered {
			c.endAfter(time.Second)
		}
	})
}

func (sim *simulation) start(ctl *Controller, s Start) {
	sent := sim.now
	sim.callWorker(ctl, s.Worker, s.Route, func(f *fakeWorker, c *call) func() {
		if sim.lateStartsEndWithBoot && c.late && f.boot != c.boot {
			return nil
		}
		result := RefusedUnhealthy
		if f.restartOnOrder {
			f.restart()
		}
		if !f.refusesOrder() {
			result = f.startRun(s.FencingToken, &s)
		}
		if !f.up {
			return func() { ctl.StartDone(s.Worker, s.Run, ConnectionBroken, 0, sim.clockOf(ctl, sent), sim.nowOf(ctl)) }
		}
		clock := f.clock()
		return func() { ctl.StartDone(s.Worker, s.Run, result, clock, sim.clockOf(ctl, sent), sim.nowOf(ctl)) }
	}, func(failure OrderResult) {
		ctl.StartDone(s.Worker, s.Run, failure, 0, sim.clockOf(ctl, sent), sim.nowOf(ctl))
	})
}

func (sim *simulation) stop(ctl *Controller, s Stop) {
	sent := sim.now
	sim.stopsSent++
	sim.callWorker(ctl, s.Worker, s.Route, func(f *fakeWorker, _ *call) func() {
		result := CarriedOut
		switch {
		case f.refusesOrder():
			result = RefusedUnhealthy
		case s.FencingToken < f.fencingToken:
			result = RefusedStaleToken
		default:
			f.fencingToken = s.FencingToken
			f.stopRun(s.Run)
		}
		clock := f.clock()
		return func() { ctl.StopDone(s.Worker, s.Run, result, clock, sim.clockOf(ctl, sent), sim.nowOf(ctl)) }
	}, func(failure OrderResult) {
		ctl.StopDone(s.Worker, s.Run, failure, 0, sim.clockOf(ctl, sent), sim.nowOf(ctl))
	})
}
