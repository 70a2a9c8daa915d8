package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

const (
	// commitInterval is the minimum time between two appends; the records of that time are
	// batched into one append.
	commitInterval = 25 * time.Millisecond
	// commitRetryPause is the pause before a failed append is retried. commitTurnPause is the pause if the append
	// reached the store before its turn, since the preceding append is under way then.
	commitRetryPause = 60 * time.Millisecond
	commitTurnPause  = 25 * time.Millisecond
	// storeOutageThreshold is how long an append may be in flight before submissions are
	// refused. While the store is slow, it is slowStoreFactor times the usual duration of an
	// append, up to maxStoreOutageThreshold.
	storeOutageThreshold    = 700 * time.Millisecond
	slowStoreFactor         = 2
	maxStoreOutageThreshold = 1500 * time.Millisecond
)

// commitLoop collects changes into batches and appends them to the store until the term ends.
// Several appends may be in flight.
func (l *leaderTerm) commitLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.commitSignal:
		}
		if !l.awaitPipelineSlot() {
			return
		}
		b := l.nextBatch()
		if b == nil {
			continue
		}
		l.wg.Go(func() { l.appendBatch(b) })
	}
}

// awaitPipelineSlot waits until another batch may be appended. It returns false if the term
// ends first.
func (l *leaderTerm) awaitPipelineSlot() bool {
	for {
		wait, ok := l.appends.nextAdd(clock.Now())
		if ok && wait == 0 {
			return true
		}
		var due <-chan time.Time
		if ok {
			due = time.After(wait)
		}
		select {
		case <-l.ctx.Done():
			return false
		case <-l.appends.changed:
		case <-due:
		}
	}
}

// nextBatch collects the changes that are not in a batch yet and adds them to the pipeline as
// one batch. It returns nil if there are none or the term has ended.
func (l *leaderTerm) nextBatch() *pendingBatch {
	b, err := callControl(l.ctx, l, func(now time.Time) *pendingBatch {
		b := l.ctl.NextBatch()
		if b == nil {
			return nil
		}
		p := &pendingBatch{batch: b, sequence: l.store.NextSequence(), createdAt: now}
		p.ctx, p.cancel = context.WithCancel(l.ctx)
		l.appends.add(p)
		return p
	})
	if err != nil {
		// The term has ended.
		return nil
	}
	return b
}

// appendBatch retries the append of a batch until the batch is stored or the term ends. If the
// store has refused every attempt for storeOutageThreshold, the submissions in the batch are
// withdrawn and refused: they are certainly not stored. After an attempt without an answer the
// batch may be stored, and the submissions stay in it.
func (l *leaderTerm) appendBatch(p *pendingBatch) {
	defer p.cancel()
	outcomeUnknown := false
	for p.ctx.Err() == nil {
		sent := clock.Now()
		err := l.store.Append(p.ctx, p.sequence, p.batch.Records)
		now := clock.Now()
		if p.ctx.Err() != nil {
			// Either a later batch is stored, and therefore this one too, or the term has
			// ended.
			return
		}
		l.node.stats.observeAppend(now.Sub(sent), err)
		switch structs.CodeOf(err) {
		case "":
			l.confirmEpoch(sent)
			l.post(func(now time.Time) { l.confirmUpTo(p.sequence, now.Sub(sent), now) })
			return
		case structs.CodeStaleEpoch, structs.CodeInternal, structs.CodeInvalid:
			l.node.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Epoch: l.epoch, Detail: structs.AsError(err).Message})
			l.stop()
			return
		}
		// The outcome is also unknown if the append arrived before its turn (CodeBehind):
		// another attempt of it may still be in flight.
		outcomeUnknown = outcomeUnknown || !certainlyNotDone(err)
		if !outcomeUnknown && now.Sub(p.createdAt) >= storeOutageThreshold {
			l.withdrawSubmissions(p.batch)
		}
		pause := commitRetryPause
		if structs.CodeOf(err) == structs.CodeBehind {
			pause = commitTurnPause
		}
		select {
		case <-p.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// confirmUpTo confirms the batch with a sequence number and all batches before it: the store
// appends batches in order. took is the duration of that batch's append.
func (l *leaderTerm) confirmUpTo(sequence int64, took time.Duration, now time.Time) {
	for _, p := range l.appends.confirm(sequence, took) {
		l.confirmBatch(p.batch, now)
	}
}

// withdrawSubmissions removes the submissions from a batch that is certainly not stored, and
// refuses them.
func (l *leaderTerm) withdrawSubmissions(b *controller.Batch) {
	if len(b.Accepted) == 0 {
		return
	}
	_, err := callControl(l.ctx, l, func(now time.Time) struct{} {
		l.refuseSubmissions(l.ctl.WithdrawSubmissions(b), l.storeOutage(now))
		return struct{}{}
	})
	if err != nil {
		// The term has ended; awaitResult returns that to the callers.
		l.node.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Epoch: l.epoch, Detail: "withdrawing submissions from a batch: " + structs.AsError(err).Message})
	}
}

// refuseSubmissions answers the calls that wait for submissions which were dropped because the
// store has been unavailable for the duration of outage.
func (l *leaderTerm) refuseSubmissions(ids []string, outage time.Duration) {
	for _, id := range ids {
		notifyWaiters(l.acceptWaiters, id, errStoreUnavailable(outage))
		notifyWaiters(l.endWaiters, id, structs.NewError(structs.CodeNotFound, "no job %s", id))
	}
}

// confirmBatch tells ctl that a batch is stored and answers the calls that wait for its
// changes.
func (l *leaderTerm) confirmBatch(b *controller.Batch, now time.Time) {
	l.ctl.BatchStored(b, now)
	for _, id := range b.Accepted {
		notifyWaiters(l.acceptWaiters, id, nil)
	}
	for _, id := range b.Ended {
		notifyWaiters(l.endWaiters, id, nil)
	}
}

// storeOutage returns how long the oldest append in flight has been without success, zero if
// that is no sign of an outage.
func (l *leaderTerm) storeOutage(now time.Time) time.Duration { return l.appends.outage(now) }

// refuseUnbatched refuses, during an outage of the store, the submissions that are in no batch
// yet: they have certainly not been stored.
func (l *leaderTerm) refuseUnbatched(now time.Time) {
	outage := l.storeOutage(now)
	if outage == 0 || len(l.acceptWaiters) == 0 {
		return
	}
	l.refuseSubmissions(l.ctl.DropUnbatchedSubmissions(), outage)
}

// notifyWaiters sends a result to all calls that wait for a job.
func notifyWaiters(waiters map[string][]chan error, id string, err error) {
	for _, ch := range waiters[id] {
		ch <- err
	}
	delete(waiters, id)
}

// Bounds on the retry delay that callers are given during an outage of the store.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 8 * time.Second
)

// errStoreUnavailable returns the error for a submission that is refused during an outage of
// the store. The rest of the outage is estimated to last as long as it has lasted so far.
func errStoreUnavailable(outage time.Duration) error {
	after := min(max(outage, minRetryAfter), maxRetryAfter)
	return structs.NewRetryAfterError(structs.CodeUnavailable, after, "the platform's store is unavailable")
}
