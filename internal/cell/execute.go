package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/agent"
	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// executeOrders has the orders that were decided at a time carried out: those to workers by the agents, or from
// this machine on a goroutine each if the worker has no agent. Results are posted to the control goroutine.
func (l *leaderTerm) executeOrders(o *controller.Orders, decidedAt time.Time) {
	for i := range o.Polls {
		l.poll(&o.Polls[i], decidedAt)
	}
	for i := range o.Starts {
		l.start(&o.Starts[i], decidedAt)
	}
	for i := range o.Stops {
		l.stopRun(&o.Stops[i], decidedAt)
	}
	for i := range o.AdvisorCalls {
		go l.callAdvisor(&o.AdvisorCalls[i])
	}
}

func (l *leaderTerm) poll(order *controller.Poll, decidedAt time.Time) {
	sent := clock.Now()
	done := func(r agent.Result) {
		l.post(func(now time.Time) {
			if r.Poll != nil {
				l.ctl.PollDone(order.Worker, r.Poll, sent, now)
				return
			}
			l.ctl.PollFailed(order.Worker, r.Code, now)
		})
	}
	if link := l.agents.linkFor(order.Worker, order.Route, order.FencingToken); link != nil {
		link.Poll(order, done)
		return
	}
	l.sendDirectly(&directOrder{
		kind:      "look",
		worker:    order.Worker,
		decidedAt: decidedAt,
		wait:      order.Wait,
		send: func(ctx context.Context) agent.Result {
			return agent.SendPoll(ctx, l.node.workers, order.FencingToken, order)
		},
		done: done,
	})
}

func (l *leaderTerm) start(order *controller.Start, decidedAt time.Time) {
	sent := clock.Now()
	done := func(r agent.Result) {
		l.post(func(now time.Time) { l.ctl.StartDone(order.Worker, order.Run, r.Code, r.ClockMs, sent, now) })
	}
	if link := l.agents.linkFor(order.Worker, order.Route, order.FencingToken); link != nil {
		link.Start(order, done)
		return
	}
	l.sendDirectly(&directOrder{
		kind:      "start",
		worker:    order.Worker,
		decidedAt: decidedAt,
		send: func(ctx context.Context) agent.Result {
			return agent.SendStart(ctx, l.node.workers, order.FencingToken, order)
		},
		done: done,
	})
}

func (l *leaderTerm) stopRun(order *controller.Stop, decidedAt time.Time) {
	sent := clock.Now()
	done := func(r agent.Result) {
		l.post(func(now time.Time) { l.ctl.StopDone(order.Worker, order.Run, r.Code, r.ClockMs, sent, now) })
	}
	if link := l.agents.linkFor(order.Worker, order.Route, order.FencingToken); link != nil {
		link.Stop(order, done)
		return
	}
	l.sendDirectly(&directOrder{
		kind:      "stop",
		worker:    order.Worker,
		decidedAt: decidedAt,
		send: func(ctx context.Context) agent.Result {
			return agent.SendStop(ctx, l.node.workers, order.FencingToken, order)
		},
		done: done,
	})
}

// advisorCallSlack is the time that a call to the advisor may take beyond its expected
// duration.
const advisorCallSlack = 1500 * time.Millisecond

// callAdvisor calls the placement advisor from this machine or through another member, as the
// order says.
func (l *leaderTerm) callAdvisor(order *controller.AdvisorCall) {
	timeout := order.ExpectedDuration + advisorCallSlack
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	var tickets []workload.Ticket
	var validity time.Duration
	var err error
	if order.Entry == l.node.self.Node {
		tickets, validity, err = l.node.advise(ctx, order.Step, order.Workers)
	} else {
		tickets, validity, err = l.callAdvisorThrough(ctx, order, timeout)
	}
	l.node.stats.observeAdvisorCall(clock.Since(order.Sent), err)
	l.post(func(now time.Time) { l.ctl.AdvisorCallDone(order, tickets, validity, err, now) })
}

// callAdvisorThrough has another member call the advisor.
func (l *leaderTerm) callAdvisorThrough(ctx context.Context, order *controller.AdvisorCall, timeout time.Duration) ([]workload.Ticket, time.Duration, error) {
	addr := l.node.view.addrOf(order.Entry)
	if addr == "" {
		return nil, 0, structs.NewError(structs.CodeUnavailable, "member %s is not known", order.Entry)
	}
	resp, err := callPeer(ctx, l.node.peers, addr, timeout, (*peerClient).Advise, &cellv1.AdviseRequest{
		Job:        order.Step.Job,
		Occurrence: int32(order.Step.Occurrence),
		Step:       int32(order.Step.Step),
		Workers:    order.Workers,
	})
	if err != nil {
		return nil, 0, err
	}
	if err := errorFromProto(resp.Error); err != nil {
		return nil, 0, err
	}
	tickets := make([]workload.Ticket, 0, len(resp.Good))
	for _, g := range resp.Good {
		tickets = append(tickets, workload.Ticket{Worker: g.Worker, Ticket: g.Ticket})
	}
	return tickets, time.Duration(resp.ValidityMs) * time.Millisecond, nil
}

// addrOf returns the peer address of the member on a machine, empty if it is not known.
func (v *cellView) addrOf(node string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members[node].Addr
}
