package journal

import (
	"context"
	"log/slog"

	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// maxForwardsInFlight is the maximum number of records in flight to another member.
const maxForwardsInFlight = 4

// ForwardFunc sends a record to the member that appends for the group, and returns once
// the log has acknowledged the record. forwarded is false if this process has to append
// the record itself.
type ForwardFunc func(ctx context.Context, data []byte) (forwarded bool, err error)

// Forwarder sends changes to another member, which appends them together with those of
// others. Changes that the member does not acknowledge are appended by this process's
// own committer; a change that is appended twice takes effect once. Its methods are
// safe for concurrent use; Run must be called once.
type Forwarder struct {
	committer *Committer
	forward   ForwardFunc
	logger    *slog.Logger
	queue     chan queuedChanges
	// inFlight is a semaphore for the records in flight.
	inFlight chan struct{}
}

// NewForwarder returns a forwarder that falls back to the given committer.
func NewForwarder(committer *Committer, forward ForwardFunc, logger *slog.Logger) *Forwarder {
	return &Forwarder{
		committer: committer,
		forward:   forward,
		logger:    logger,
		queue:     make(chan queuedChanges, maxQueueLength),
		inFlight:  make(chan struct{}, maxForwardsInFlight),
	}
}

// Submit queues a change under the same conditions as Committer.Submit.
func (f *Forwarder) Submit(ctx context.Context, ch state.Change) error {
	select {
	case f.queue <- newQueuedChanges(ctx, ch):
		return nil
	default:
		return structs.NewRetryAfterError(structs.CodeOverload, maxRetryDelay, "stream %s: %d changes wait to be forwarded", f.committer.stream, maxQueueLength)
	}
}

// Run forwards the queued changes until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	var carriedOver *queuedChanges
	for {
		batch, next := f.collectBatch(ctx, carriedOver)
		if len(batch) == 0 {
			return
		}
		carriedOver = next
		select {
		case f.inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			f.send(ctx, batch)
			<-f.inFlight
		}()
	}
}

// collectBatch waits for a first change and adds the changes that are already queued,
// as far as they fit into a record. Changes that no longer fit are returned as next,
// for the following batch.
func (f *Forwarder) collectBatch(ctx context.Context, carriedOver *queuedChanges) (batch []queuedChanges, next *queuedChanges) {
	var record recordSize
	if carriedOver != nil {
		batch = append(batch, *carriedOver)
	} else {
		select {
		case p := <-f.queue:
			batch = append(batch, p)
		case <-ctx.Done():
			return nil, nil
		}
	}
	record.add(batch[0])
	for record.changes < maxBatchChanges {
		select {
		case p := <-f.queue:
			if !record.fits(p) {
				return batch, &p
			}
			record.add(p)
			batch = append(batch, p)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// send forwards a batch, and queues it at the own committer if that fails.
func (f *Forwarder) send(ctx context.Context, batch []queuedChanges) {
	batch = withoutCancelled(batch)
	if len(batch) == 0 {
		return
	}
	data, err := encode(batch)
	if err == nil {
		var forwarded bool
		forwarded, err = f.forward(ctx, data)
		if forwarded && err == nil {
			return
		}
	}
	if err != nil {
		f.logger.Info("changes were not forwarded, appending them locally", "stream", f.committer.stream, "changes", len(batch), "error", err.Error())
	}
	f.committer.resubmit(ctx, batch)
}
