package dispatch

import (
	"context"
	"time"
)

// run is the attempts at one job, as one goroutine sees them.
type run struct {
	d       *Dispatcher
	job     *job
	history History
	// started and running count attempts.
	started, running int
	results          chan Result
	// sent gets the place of every attempt that leaves the entry.
	sent         chan place
	avoidWorkers []string
	avoidPeers   []string
}

// run makes attempts until one settles the job. A request that may run twice is
// also sent a second time while the first attempt is silent for longer than
// nearly all requests take.
func (d *Dispatcher) run(ctx context.Context, j *job) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.budget.earn()
	r := &run{
		d:       d,
		job:     j,
		history: History{Idempotent: j.req.Idempotent, RetryUnknown: !j.forwarded},
		results: make(chan Result, maxAttempts),
		sent:    make(chan place, maxAttempts),
	}
	r.start(ctx)
	return r.await(ctx)
}

// start begins another attempt in a goroutine of its own.
func (r *run) start(ctx context.Context) {
	r.started++
	r.running++
	a := &attempt{
		job:          r.job,
		number:       r.started,
		avoidWorkers: append([]string(nil), r.avoidWorkers...),
		avoidPeers:   append([]string(nil), r.avoidPeers...),
		sent:         func(p place) { r.sent <- p },
	}
	r.d.background.Go(func() { r.results <- r.d.attempt(ctx, a) })
}

// await collects results until the job is settled.
func (r *run) await(ctx context.Context) Result {
	hedge := time.NewTimer(time.Hour)
	hedge.Stop()
	defer hedge.Stop()
	for {
		select {
		case p := <-r.sent:
			r.avoid(p)
			if after, ok := r.hedgeAfter(p); ok {
				hedge.Reset(after)
			}
		case <-hedge.C:
			if r.mayHedge() {
				r.d.counts.hedges.Inc()
				r.start(ctx)
			}
		case res := <-r.results:
			if r.settled(ctx, res) {
				return r.history.Outcome()
			}
		}
	}
}

// settled takes in a result and reports whether the job has ended.
func (r *run) settled(ctx context.Context, res Result) bool {
	r.running--
	r.history.Add(res)
	r.avoid(place{worker: res.Worker, peer: res.Peer})
	if res.answered() {
		return true
	}
	if r.started < maxAttempts && r.history.MayRetry(r.job.left(), r.d.budget.spend) {
		r.d.counts.retries.Inc()
		r.start(ctx)
	}
	return r.running == 0
}

// avoid remembers where the request has been sent.
func (r *run) avoid(p place) {
	switch {
	case p.peer != "":
		r.avoidPeers = append(r.avoidPeers, p.peer)
	case p.worker != "":
		r.avoidWorkers = append(r.avoidWorkers, p.worker)
	}
}

// hedgeAfter is the silence after which a second attempt runs beside the first one,
// which was sent to p.
func (r *run) hedgeAfter(p place) (time.Duration, bool) {
	if !r.history.Idempotent || !r.history.RetryUnknown || r.started > 1 {
		return 0, false
	}
	usual := r.d.gate.usual(r.job.req.Class)
	if p.peer != "" {
		usual = r.d.peerTimes.usual(r.job.req.Class)
	}
	return hedgeAfter(usual, r.job.slack(), r.job.left()), true
}

func (r *run) mayHedge() bool {
	return r.running == 1 && r.started < maxAttempts && r.job.left() >= minAttempt && r.d.budget.spend()
}
