package dispatch

import (
	"context"
	"time"
)

// attemptLoop makes the attempts at one request. It is used by one goroutine.
type attemptLoop struct {
	d       *Dispatcher
	inbound *inboundRequest
	history History
	// attemptsStarted and attemptsRunning are numbers of attempts.
	attemptsStarted, attemptsRunning int
	results                          chan Result
	// sent receives the recipient of every attempt that leaves the entry.
	sent         chan recipient
	avoidWorkers []string
	avoidPeers   []string
}

// runAttempts makes attempts until one decides the outcome. An idempotent request is
// also hedged: if the first attempt takes longer than nearly all requests do, a second
// one is sent in parallel.
func (d *Dispatcher) runAttempts(ctx context.Context, in *inboundRequest) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.retryBudget.earn()
	r := &attemptLoop{
		d:       d,
		inbound: in,
		history: History{Idempotent: in.req.Idempotent, RetryUnknown: !in.forwarded},
		results: make(chan Result, maxAttempts),
		sent:    make(chan recipient, maxAttempts),
	}
	r.startAttempt(ctx)
	return r.awaitOutcome(ctx)
}

// startAttempt starts another attempt in its own goroutine.
func (r *attemptLoop) startAttempt(ctx context.Context) {
	r.attemptsStarted++
	r.attemptsRunning++
	a := &attempt{
		inboundRequest: r.inbound,
		number:         r.attemptsStarted,
		avoidWorkers:   append([]string(nil), r.avoidWorkers...),
		avoidPeers:     append([]string(nil), r.avoidPeers...),
		onSent:         func(p recipient) { r.sent <- p },
	}
	r.d.background.Go(func() { r.results <- r.d.makeAttempt(ctx, a) })
}

// awaitOutcome handles results and timers until the outcome is decided.
func (r *attemptLoop) awaitOutcome(ctx context.Context) Result {
	hedge := time.NewTimer(time.Hour)
	hedge.Stop()
	defer hedge.Stop()
	for {
		select {
		case p := <-r.sent:
			r.avoidRecipient(p)
			if after, ok := r.hedgeDelay(p); ok {
				hedge.Reset(after)
			}
		case <-hedge.C:
			if r.mayHedge() {
				r.d.counts.hedges.Inc()
				r.startAttempt(ctx)
			}
		case res := <-r.results:
			if r.handleResult(ctx, res) {
				return r.history.Outcome()
			}
		}
	}
}

// handleResult records a result, starts a retry if one is allowed, and reports whether
// the outcome is decided.
func (r *attemptLoop) handleResult(ctx context.Context, res Result) bool {
	r.attemptsRunning--
	r.history.Add(res)
	r.avoidRecipient(recipient{worker: res.Worker, peer: res.Peer})
	if res.answered() {
		return true
	}
	if r.attemptsStarted < maxAttempts && r.history.MayRetry(r.inbound.remaining(), r.d.retryBudget.spend) {
		r.d.counts.retries.Inc()
		r.startAttempt(ctx)
	}
	return r.attemptsRunning == 0
}

// avoidRecipient excludes a worker or peer that was sent the request from later
// attempts.
func (r *attemptLoop) avoidRecipient(p recipient) {
	switch {
	case p.peer != "":
		r.avoidPeers = append(r.avoidPeers, p.peer)
	case p.worker != "":
		r.avoidWorkers = append(r.avoidWorkers, p.worker)
	}
}

// hedgeDelay returns the delay before a second attempt is sent in parallel to the first
// one, which was sent to p; false if there must be none.
func (r *attemptLoop) hedgeDelay(p recipient) (time.Duration, bool) {
	if !r.history.Idempotent || !r.history.RetryUnknown || r.attemptsStarted > 1 {
		return 0, false
	}
	typical := r.d.gate.typicalServiceTime(r.inbound.req.Class)
	if p.peer != "" {
		typical = r.d.peerTimes.typicalAnswerTime(r.inbound.req.Class)
	}
	return hedgeDelay(typical, r.inbound.slack(), r.inbound.remaining()), true
}

// mayHedge reports whether a second attempt may be sent now, and charges the retry
// budget if so.
func (r *attemptLoop) mayHedge() bool {
	return r.attemptsRunning == 1 && r.attemptsStarted < maxAttempts && r.inbound.remaining() >= minAttemptTime && r.d.retryBudget.spend()
}
