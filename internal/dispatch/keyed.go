package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"dotterelhitch/internal/structs"
)

// settleAgain is the pause before a home that could not be told is told again.
const settleAgain = 200 * time.Millisecond

// keyed runs a request that bears an idempotency key: with leave of the key's
// home, which is told of the outcome.
func (d *Dispatcher) keyed(ctx context.Context, j *job) structs.Answer {
	decision, err := d.opts.Keys.Permit(ctx, j.req.Key, j.req.ID, Fingerprint(j.req))
	if err != nil {
		return d.refusedByHome(j.req, err)
	}
	if !decision.Granted {
		d.counts.replayed.Inc()
		return decision.Answer
	}
	if !decision.ValidUntil.IsZero() && decision.ValidUntil.Before(j.deadline) {
		j.deadline = decision.ValidUntil
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	a := d.run(ctx, j).answer()
	a.RequestID = j.req.ID
	d.settle(j.req, a)
	return a
}

// refusedByHome gives the verdict on a request without leave. While an earlier
// request of the key may run, the key's work can't be called not run. Where the
// home's answer may have been lost, the home is told that nothing was run under
// the leave that it may have given.
func (d *Dispatcher) refusedByHome(r structs.Request, err error) structs.Answer {
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

// settle tells the home of a key in the background; if too many settlements are
// under way it does so at once.
func (d *Dispatcher) settle(r structs.Request, a structs.Answer) {
	select {
	case d.settling <- struct{}{}:
	default:
		d.tellHome(r, a)
		return
	}
	d.background.Go(func() {
		defer func() { <-d.settling }()
		d.tellHome(r, a)
	})
}

// tellHome repeats until the home has heard or SettleTimeout has passed. A home
// that never hears keeps the key as in progress, then unknown; nothing runs
// again.
func (d *Dispatcher) tellHome(r structs.Request, a structs.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), d.opts.SettleTimeout)
	defer cancel()
	for {
		err := d.opts.Keys.Settle(ctx, r.Key, Fingerprint(r), a)
		if err == nil {
			return
		}
		timer := time.NewTimer(settleAgain)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			d.counts.unsettled.Inc()
			return
		}
	}
}

// Fingerprint is a hash of what a request asks for, so that a key used again for
// something else is noticed.
func Fingerprint(r structs.Request) []byte {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(r.Class)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(r.Class))
	_, _ = h.Write(r.Body)
	return h.Sum(nil)
}
