package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// execute carries out orders, each on a goroutine of its own.
func (l *lead) execute(o *controller.Orders) {
	for i := range o.Polls {
		go l.look(&o.Polls[i])
	}
	for i := range o.Starts {
		go l.start(&o.Starts[i])
	}
	for i := range o.Stops {
		go l.stopRun(&o.Stops[i])
	}
	for i := range o.AdvisorCalls {
		go l.ask(&o.AdvisorCalls[i])
	}
}

func (l *lead) look(order *controller.Poll) {
	sent := time.Now()
	obs, answer := l.n.opts.Workers.Poll(l.ctx, l.epoch, order)
	l.n.stats.order("look", answer)
	l.post(func(now time.Time) {
		if answer == controller.CarriedOut {
			l.ctl.PollDone(order.Worker, obs, sent, now)
			return
		}
		l.ctl.PollFailed(order.Worker, answer, now)
	})
}

func (l *lead) start(order *controller.Start) {
	sent := time.Now()
	answer, clock := l.n.opts.Workers.Start(l.ctx, l.epoch, order)
	l.n.stats.order("start", answer)
	l.post(func(now time.Time) { l.ctl.StartDone(order.Worker, order.Run, answer, clock, sent, now) })
}

func (l *lead) stopRun(order *controller.Stop) {
	sent := time.Now()
	answer, clock := l.n.opts.Workers.Stop(l.ctx, l.epoch, order)
	l.n.stats.order("stop", answer)
	l.post(func(now time.Time) { l.ctl.StopDone(order.Worker, order.Run, answer, clock, sent, now) })
}

// adviceSlack is the time that a call for advice may take beyond what it is stated to.
const adviceSlack = 1500 * time.Millisecond

// ask asks the placement advisor from this machine or through another member.
func (l *lead) ask(order *controller.AdvisorCall) {
	timeout := order.ExpectedDuration + adviceSlack
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	var good []workload.Ticket
	var validity time.Duration
	var err error
	if order.Entry == l.n.self.Node {
		good, validity, err = l.n.advise(ctx, order.Step, order.Workers)
	} else {
		good, validity, err = l.askThrough(ctx, order, timeout)
	}
	l.n.stats.advice(time.Since(order.Sent), err)
	l.post(func(now time.Time) { l.ctl.AdvisorCallDone(order, good, validity, err, now) })
}

// askThrough has another member ask the advisor.
func (l *lead) askThrough(ctx context.Context, order *controller.AdvisorCall, timeout time.Duration) ([]workload.Ticket, time.Duration, error) {
	addr := l.n.view.addrOf(order.Entry)
	if addr == "" {
		return nil, 0, structs.NewError(structs.CodeUnavailable, "member %s is not known", order.Entry)
	}
	resp, err := callPeer(ctx, l.n.peers, addr, timeout, (*peerClient).Advise, &cellv1.AdviseRequest{
		Job:        order.Step.Job,
		Occurrence: int32(order.Step.Occurrence),
		Step:       int32(order.Step.Step),
		Workers:    order.Workers,
	})
	if err != nil {
		return nil, 0, err
	}
	if err := fromError(resp.Error); err != nil {
		return nil, 0, err
	}
	good := make([]workload.Ticket, 0, len(resp.Good))
	for _, g := range resp.Good {
		good = append(good, workload.Ticket{Worker: g.Worker, Ticket: g.Ticket})
	}
	return good, time.Duration(resp.ValidityMs) * time.Millisecond, nil
}

// addrOf returns where peers reach a machine, empty if it is not known.
func (v *view) addrOf(node string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members[node].Addr
}
