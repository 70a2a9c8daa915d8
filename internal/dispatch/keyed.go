package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"dotterelhitch/internal/structs"
)

// settleRetryInterval is the delay before a failed settlement is retried.
const settleRetryInterval = 200 * time.Millisecond

// runKeyed runs a request that has an idempotency key: it obtains a permit from the
// key's home and reports the outcome to the home.
func (d *Dispatcher) runKeyed(ctx context.Context, in *inboundRequest) structs.Answer {
	decision, err := d.opts.Keys.Permit(ctx, in.req.Key, in.req.ID, Fingerprint(in.req))
	if err != nil {
		return d.answerWithoutPermit(in.req, err)
	}
	if !decision.Granted {
		d.counts.replayed.Inc()
		return decision.Answer
	}
	if !decision.ValidUntil.IsZero() && decision.ValidUntil.Before(in.deadline) {
		in.deadline = decision.ValidUntil
	}
	ctx, cancel := context.WithDeadline(ctx, in.deadline)
	defer cancel()
	a := d.runAttempts(ctx, in).answer()
	a.RequestID = in.req.ID
	d.settle(in.req, a)
	return a
}

// answerWithoutPermit returns the answer to a request that got no permit. While an
// earlier request with the key may be running, the answer can't be not run. If the
// home's answer may have been lost, the home may have granted a permit, so the outcome
// not run is reported to it.
func (d *Dispatcher) answerWithoutPermit(r structs.Request, err error) structs.Answer {
	switch structs.CodeOf(err) {
	case structs.CodeInProgress, structs.CodeUnknown:
		return unknownAnswer(err)
	case structs.CodeKeyReused, structs.CodeInvalid, structs.CodeNoAuthority:
		return notRunAnswer(err)
	}
	a := notRunAnswer(err)
	a.RequestID = r.ID
	d.settle(r, a)
	return a
}

// settle reports the outcome to the home of the key in the background, or synchronously
// if too many settlements are in flight.
func (d *Dispatcher) settle(r structs.Request, a structs.Answer) {
	select {
	case d.settlements <- struct{}{}:
	default:
		d.settleWithRetries(r, a)
		return
	}
	d.background.Go(func() {
		defer func() { <-d.settlements }()
		d.settleWithRetries(r, a)
	})
}

// settleWithRetries reports the outcome until the home has acknowledged it or
// SettleTimeout has passed. A home that never receives it treats the key as in
// progress, then as unknown; nothing runs again.
func (d *Dispatcher) settleWithRetries(r structs.Request, a structs.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), d.opts.SettleTimeout)
	defer cancel()
	for {
		err := d.opts.Keys.Settle(ctx, r.Key, Fingerprint(r), a)
		if err == nil {
			return
		}
		timer := time.NewTimer(settleRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			d.counts.unsettled.Inc()
			return
		}
	}
}

// Fingerprint returns a hash of the class and body of a request, with which the reuse
// of a key for a different request is detected.
func Fingerprint(r structs.Request) []byte {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(r.Class)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(r.Class))
	_, _ = h.Write(r.Body)
	return h.Sum(nil)
}
