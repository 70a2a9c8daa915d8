package dispatch

import (
	"context"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// job is one request on its way through the dispatcher.
type job struct {
	req      structs.Request
	deadline time.Time
	// target is when the class wants the answer.
	target  time.Time
	history History
	// avoidWorkers and avoidPeers have refused or failed the request.
	avoidWorkers []string
	avoidPeers   []string
	// forwarded is true if a peer sent the request here: it stays here.
	forwarded bool
}

func (j *job) slack() time.Duration { return time.Until(j.target) }

func (j *job) left() time.Duration { return time.Until(j.deadline) }

// Request runs a caller's request and returns its outcome. ctx carries the
// deadline.
func (d *Dispatcher) Request(ctx context.Context, r structs.Request) structs.Answer {
	d.opts.Events.Record(event.Event{
		Type: event.RequestIn, Request: r.ID, Key: r.Key, Class: r.Class, Idempotent: r.Idempotent,
	})
	a := d.request(ctx, r)
	a.RequestID = r.ID
	d.counts.outcome(a)
	d.opts.Events.Record(event.Event{
		Type: event.RequestOut, Request: r.ID, Key: r.Key, Class: r.Class,
		Outcome: a.Outcome, Code: codeOf(a.Err), Worker: a.Worker,
	})
	return a
}

func (d *Dispatcher) request(ctx context.Context, r structs.Request) structs.Answer {
	j, err := d.newJob(ctx, r)
	if err != nil {
		return notRunAnswer(err)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if r.Key == "" {
		return d.run(ctx, j).answer()
	}
	return d.keyed(ctx, j)
}

// newJob checks the class and finds the deadline and the target.
func (d *Dispatcher) newJob(ctx context.Context, r structs.Request) (*job, error) {
	class, ok := d.opts.Classes.Class(r.Class)
	if !ok {
		return nil, structs.NewError(structs.CodeNotFound, "no class %q", r.Class)
	}
	if class.Kind != structs.KindService {
		return nil, structs.NewError(structs.CodeInvalid, "class %q is of kind %s: it takes jobs", r.Class, class.Kind)
	}
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultDeadline)
	}
	j := &job{req: r, deadline: deadline, target: deadline}
	if within := class.Target.AnswerWithin.D(); within > 0 {
		j.target = now.Add(within)
	}
	j.history = History{Idempotent: r.Idempotent, RetryUnknown: true}
	return j, nil
}

// run makes attempts until one settles the request.
func (d *Dispatcher) run(ctx context.Context, j *job) Result {
	d.opts.Budget.Deposit()
	for {
		j.history.Add(d.attempt(ctx, j))
		if !j.history.Retry(j.left(), d.opts.Budget.Withdraw) {
			return j.history.Outcome()
		}
		d.counts.retries.Inc()
	}
}

// attempt finds a place for the request, waiting if need be, and makes one
// attempt there.
func (d *Dispatcher) attempt(ctx context.Context, j *job) Result {
	admitted := false
	for {
		if j.left() <= 0 {
			return notRun(structs.NewError(structs.CodeDeadline, "the deadline passed before the request was sent"))
		}
		lease, err := d.acquire(ctx, j, admitted)
		if err == nil {
			return d.send(ctx, j, lease)
		}
		choice := d.choose(j, err)
		if choice.Peer.Member != "" {
			return d.forward(ctx, j, choice)
		}
		if structs.CodeOf(err) != structs.CodeNoCapacity {
			return notRun(err)
		}
		if err := d.wait(ctx, j, admitted); err != nil {
			return notRun(err)
		}
		admitted = true
	}
}

// acquire takes an own slot, unless others wait whose target is earlier.
func (d *Dispatcher) acquire(ctx context.Context, j *job, waited bool) (Lease, error) {
	if !waited && !d.queue.mayPass(j.target) {
		return Lease{}, structs.NewError(structs.CodeNoCapacity, "other requests wait with an earlier target")
	}
	lease, err := d.opts.Slots.Acquire(ctx, Ask{Class: j.req.Class, Slack: j.slack(), Exclude: j.avoidWorkers})
	if err != nil && waited && len(j.avoidWorkers) > 0 {
		d.queue.wake()
	}
	return lease, err
}

// wait puts the request into the queue until a slot may be free, or until it is
// time to look at the peers again.
func (d *Dispatcher) wait(ctx context.Context, j *job, admitted bool) error {
	if !admitted {
		if err := d.opts.Admission.Admit(j.req.Class, j.slack(), d.queue.len()); err != nil {
			d.counts.refused.Inc()
			return err
		}
	}
	w, err := d.queue.join(j.target)
	if err != nil {
		d.counts.refused.Inc()
		return err
	}
	return d.queue.wait(ctx, w, recheckEvery)
}

// send makes one attempt under a lease.
func (d *Dispatcher) send(ctx context.Context, j *job, l Lease) Result {
	d.opts.Events.Record(event.Event{
		Type: event.RequestAttempt, Request: j.req.ID, Key: j.req.Key, Class: j.req.Class,
		Idempotent: j.req.Idempotent,
		Worker:     l.Target.Worker, Attempt: j.history.Attempts + 1, Epoch: l.Fence.Epoch,
	})
	start := time.Now()
	res := d.opts.Sender.Send(ctx, l.Target, l.Fence, j.req, attemptDeadline(start, j.deadline, &j.history))
	took := time.Since(start)
	d.opts.Slots.Release(l, Usage{Outcome: res.Outcome, Code: codeOf(res.Err), Unsent: res.Unsent, Took: took})
	d.queue.wake()
	if res.Outcome == structs.OutcomeAnswered {
		d.opts.Admission.Observe(j.req.Class, took)
	} else {
		j.avoidWorkers = append(j.avoidWorkers, l.Target.Worker)
	}
	return Result{Outcome: res.Outcome, Body: res.Body, Worker: l.Target.Worker, Err: res.Err, Unsent: res.Unsent}
}
