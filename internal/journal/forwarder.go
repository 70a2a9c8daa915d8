package journal

import (
	"context"
	"log/slog"

	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// forwardsOpen is the number of records that may be under way to another member.
const forwardsOpen = 4

// ForwardFunc hands a record to the member that appends for the group and returns once
// the log has acknowledged it. It is false, with any error, if this process is to
// append by itself.
type ForwardFunc func(ctx context.Context, data []byte) (forwarded bool, err error)

// Forwarder hands changes to another member that appends them with those of others.
// What that member does not acknowledge goes to this process's own committer: a
// change that is appended twice does nothing the second time. Its methods are safe
// for concurrent use; Run is called once.
type Forwarder struct {
	own     *Committer
	forward ForwardFunc
	logger  *slog.Logger
	queue   chan pending
	// open bounds the records under way.
	open chan struct{}
}

// NewForwarder returns a forwarder that falls back to the given committer.
func NewForwarder(own *Committer, forward ForwardFunc, logger *slog.Logger) *Forwarder {
	return &Forwarder{
		own:     own,
		forward: forward,
		logger:  logger,
		queue:   make(chan pending, queueLength),
		open:    make(chan struct{}, forwardsOpen),
	}
}

// Submit queues a change, with the conditions of Committer.Submit.
func (f *Forwarder) Submit(ctx context.Context, ch state.Change) error {
	select {
	case f.queue <- newPending(ctx, ch):
		return nil
	default:
		return structs.NewRetryAfterError(structs.CodeOverload, retryLongest, "stream %s: %d changes wait to be appended", f.own.stream, queueLength)
	}
}

// Run forwards what is submitted until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	var carried *pending
	for {
		batch, next := f.collect(ctx, carried)
		if len(batch) == 0 {
			return
		}
		carried = next
		select {
		case f.open <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			f.send(ctx, batch)
			<-f.open
		}()
	}
}

// collect waits for a first change and takes what else is queued, as far as it fits
// a record. A change that no longer fits is carried over.
func (f *Forwarder) collect(ctx context.Context, carried *pending) (batch []pending, next *pending) {
	var record size
	if carried != nil {
		batch = append(batch, *carried)
	} else {
		select {
		case p := <-f.queue:
			batch = append(batch, p)
		case <-ctx.Done():
			return nil, nil
		}
	}
	record.add(batch[0])
	for record.changes < batchChanges {
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

// send forwards a batch, or gives it to the own committer.
func (f *Forwarder) send(ctx context.Context, batch []pending) {
	batch = wanted(batch)
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
		f.logger.Info("appending without the group's appender", "stream", f.own.stream, "changes", len(batch), "error", err.Error())
	}
	f.own.resubmit(ctx, batch)
}
