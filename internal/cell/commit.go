package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

const (
	// commitGap is the least time between two appends: records that come meanwhile go
	// into one.
	commitGap = 25 * time.Millisecond
	// commitPause is the pause after an append that failed.
	commitPause = 60 * time.Millisecond
	// storeFailing is how long an append may be under way before submissions are
	// refused: a store that is only slow answers in less.
	storeFailing = 700 * time.Millisecond
)

// commit takes batches and has them appended, some of them at the same time.
func (l *lead) commit() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.kick:
		}
		if !l.awaitTurn() {
			return
		}
		b := l.takeBatch()
		if b == nil {
			continue
		}
		l.group.Go(func() { l.appendBatch(b) })
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(l.flight.gap()):
		}
	}
}

// awaitTurn waits until another batch may be appended. It returns false if the term ends.
func (l *lead) awaitTurn() bool {
	for !l.flight.mayAdd(time.Now()) {
		select {
		case <-l.ctx.Done():
			return false
		case <-l.flight.changed:
		}
	}
	return true
}

// takeBatch asks the control goroutine for what has to be stored.
func (l *lead) takeBatch() *pendingBatch {
	b, err := callOn(l.ctx, l, func(now time.Time) *pendingBatch {
		b := l.ctl.NextBatch()
		if b == nil {
			return nil
		}
		p := &pendingBatch{batch: b, sequence: l.store.NextSequence(), at: now}
		p.ctx, p.cancel = context.WithCancel(l.ctx)
		l.flight.add(p)
		return p
	})
	if err != nil {
		// The term has ended.
		return nil
	}
	return b
}

// appendBatch appends a batch until it is stored or the term ends. While the store refuses,
// submissions in the batch are taken out and refused too: they have certainly not been
// stored, unless a try before was left without an answer.
func (l *lead) appendBatch(p *pendingBatch) {
	defer p.cancel()
	open := false
	for p.ctx.Err() == nil {
		sent := time.Now()
		err := l.store.Append(p.ctx, p.sequence, p.batch.Records)
		now := time.Now()
		if p.ctx.Err() != nil {
			// A later batch is stored, so this one is, or the term has ended.
			return
		}
		l.n.stats.append(now.Sub(sent), err)
		switch structs.CodeOf(err) {
		case "":
			l.prove(sent)
			l.post(func(now time.Time) { l.storedUpTo(p.sequence, now.Sub(sent), now) })
			return
		case structs.CodeStaleEpoch, structs.CodeInternal, structs.CodeInvalid:
			l.n.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Epoch: l.epoch, Detail: structs.AsError(err).Message})
			l.stop()
			return
		}
		// One that came before its turn (CodeBehind) is open too: another try of it may
		// be on its way.
		open = open || !certain(err)
		if !open && now.Sub(p.at) >= storeFailing {
			l.withdraw(p.batch)
		}
		select {
		case <-p.ctx.Done():
		case <-time.After(commitPause):
		}
	}
}

// storedUpTo tells those who wait that a batch is stored, and with it those before it.
func (l *lead) storedUpTo(sequence int64, took time.Duration, now time.Time) {
	for _, p := range l.flight.stored(sequence, took) {
		l.stored(p.batch, now)
	}
}

// withdraw takes the submissions out of a batch that was certainly not stored.
func (l *lead) withdraw(b *controller.Batch) {
	if len(b.Accepted) == 0 {
		return
	}
	_, err := callOn(l.ctx, l, func(now time.Time) struct{} {
		l.refuseAll(l.ctl.WithdrawSubmissions(b), l.storeAway(now))
		return struct{}{}
	})
	if err != nil {
		// The term has ended, and the callers are told so.
		l.n.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Epoch: l.epoch, Detail: "submissions left in a batch: " + structs.AsError(err).Message})
	}
}

// refuseAll refuses submissions that are not stored.
func (l *lead) refuseAll(ids []string, away time.Duration) {
	for _, id := range ids {
		answerAll(l.accepts, id, errStoreAway(away))
		answerAll(l.endWaits, id, structs.NewError(structs.CodeNotFound, "no job %s", id))
	}
}

// stored tells those who wait that a batch is stored.
func (l *lead) stored(b *controller.Batch, now time.Time) {
	l.ctl.BatchStored(b, now)
	for _, id := range b.Accepted {
		answerAll(l.accepts, id, nil)
	}
	for _, id := range b.Ended {
		answerAll(l.endWaits, id, nil)
	}
}

// storeAway returns how long the store has not answered, zero while it does.
func (l *lead) storeAway(now time.Time) time.Duration {
	since := l.flight.since()
	if since.IsZero() || now.Sub(since) < storeFailing {
		return 0
	}
	return now.Sub(since)
}

// refuseUnsent refuses what no batch holds while the store is away: it has certainly not
// been accepted.
func (l *lead) refuseUnsent(now time.Time) {
	away := l.storeAway(now)
	if away == 0 || len(l.accepts) == 0 {
		return
	}
	l.refuseAll(l.ctl.DropUnbatchedSubmissions(), away)
}

// answerAll answers all who wait for a job.
func answerAll(waits map[string][]chan error, id string, err error) {
	for _, ch := range waits[id] {
		ch <- err
	}
	delete(waits, id)
}

// Bounds on when a caller should come back while the store is away.
const (
	retryAfterLeast = time.Second
	retryAfterMost  = 8 * time.Second
)

// errStoreAway refuses a submission. How long an outage will last is not known; as long
// again as it has lasted is the estimate.
func errStoreAway(away time.Duration) error {
	after := min(max(away, retryAfterLeast), retryAfterMost)
	return structs.NewRetryAfterError(structs.CodeUnavailable, after, "the platform's store is away")
}
