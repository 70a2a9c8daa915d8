package cell

import (
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

// commit stores batches one after the other.
func (l *lead) commit() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.kick:
		}
		b := l.takeBatch()
		if b == nil {
			continue
		}
		if !l.appendBatch(b) {
			return
		}
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(commitGap):
		}
	}
}

// takeBatch asks the control goroutine for what has to be stored.
func (l *lead) takeBatch() *controller.Batch {
	b, err := callOn(l.ctx, l, func(now time.Time) *controller.Batch {
		b := l.ctl.TakeBatch()
		if b != nil {
			l.appending = now
		}
		return b
	})
	if err != nil {
		// The term has ended.
		return nil
	}
	return b
}

// appendBatch appends a batch until it is stored. It returns false if the term ends. While
// the store refuses, submissions in the batch are taken out and refused too: they have
// certainly not been stored, unless a try before was left without an answer.
func (l *lead) appendBatch(b *controller.Batch) bool {
	began := time.Now()
	open := false
	for l.ctx.Err() == nil {
		sent := time.Now()
		err := l.store.Append(l.ctx, b.Records)
		now := time.Now()
		l.n.stats.append(now.Sub(sent), err)
		open = open || err != nil && !certain(err)
		if err != nil && !open && now.Sub(began) >= storeFailing {
			l.withdraw(b)
		}
		switch structs.CodeOf(err) {
		case "":
			l.prove(sent)
			l.post(func(now time.Time) { l.stored(b, now) })
			return true
		case structs.CodeStaleEpoch, structs.CodeInternal, structs.CodeInvalid:
			l.n.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Epoch: l.epoch, Detail: structs.AsError(err).Message})
			l.stop()
			return false
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(commitPause):
		}
	}
	return false
}

// withdraw takes the submissions out of a batch that was certainly not stored.
func (l *lead) withdraw(b *controller.Batch) {
	if len(b.Accepted) == 0 {
		return
	}
	_, err := callOn(l.ctx, l, func(now time.Time) struct{} {
		l.refuseAll(l.ctl.Withdraw(b), l.storeAway(now))
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
	l.appending = time.Time{}
	l.ctl.Stored(b, now)
	for _, id := range b.Accepted {
		answerAll(l.accepts, id, nil)
	}
	for _, id := range b.Ended {
		answerAll(l.endWaits, id, nil)
	}
}

// storeAway returns how long the store has not answered, zero while it does.
func (l *lead) storeAway(now time.Time) time.Duration {
	if l.appending.IsZero() || now.Sub(l.appending) < storeFailing {
		return 0
	}
	return now.Sub(l.appending)
}

// refuseUnsent refuses what no batch holds while the store is away: it has certainly not
// been accepted.
func (l *lead) refuseUnsent(now time.Time) {
	away := l.storeAway(now)
	if away == 0 || len(l.accepts) == 0 {
		return
	}
	l.refuseAll(l.ctl.DropUnsent(), away)
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
	return structs.RetryAfter(structs.CodeUnavailable, after, "the platform's store is away")
}
