package journal

import (
	"context"
	"log/slog"
	"time"

	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// Bounds of group commit.
const (
	queueLength   = 2048
	batchChanges  = 2000
	batchBytes    = 256 << 10
	retryShortest = 50 * time.Millisecond
	retryLongest  = 2 * time.Second
)

// Appender appends one record to a stream. An error of any type but
// structs.CodeUnknown says that the record certainly was not appended.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// Committer appends changes to one stream, several to a record. An append whose
// outcome is not known is repeated with the same change IDs, which is harmless.
// Its methods are safe for concurrent use; Run is called once.
type Committer struct {
	log    Appender
	stream string
	linger time.Duration
	logger *slog.Logger
	queue  chan pending
}

type pending struct {
	ctx    context.Context
	change state.Change
}

// NewCommitter returns a committer that waits up to linger for changes to share a
// record.
func NewCommitter(log Appender, stream string, linger time.Duration, logger *slog.Logger) *Committer {
	return &Committer{
		log:    log,
		stream: stream,
		linger: linger,
		logger: logger,
		queue:  make(chan pending, queueLength),
	}
}

// Submit queues a change. The change is dropped if ctx ends before its first
// append is tried, and no longer repeated once ctx has ended. The outcome is
// learnt by reading the stream. It fails with CodeOverload if the queue is full.
func (c *Committer) Submit(ctx context.Context, ch state.Change) error {
	select {
	case c.queue <- pending{ctx: ctx, change: ch}:
		return nil
	default:
		return structs.RetryAfter(structs.CodeOverload, retryLongest, "stream %s: %d changes wait for the log", c.stream, queueLength)
	}
}

// Run appends what is submitted until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	var carried *pending
	for {
		batch, next := c.collect(ctx, carried)
		if ctx.Err() != nil {
			return
		}
		carried = next
		c.append(ctx, batch)
	}
}

// collect waits for a first change and then for others until the linger has
// passed or the record is full. A change that no longer fits is carried over.
func (c *Committer) collect(ctx context.Context, carried *pending) (batch []pending, next *pending) {
	size := 0
	if carried != nil {
		batch = append(batch, *carried)
		size = sizeOf(carried.change)
	} else {
		select {
		case p := <-c.queue:
			batch = append(batch, p)
			size = sizeOf(p.change)
		case <-ctx.Done():
			return nil, nil
		}
	}
	full := time.NewTimer(c.linger)
	defer full.Stop()
	for len(batch) < batchChanges {
		select {
		case p := <-c.queue:
			n := sizeOf(p.change)
			if size+n > batchBytes {
				return batch, &p
			}
			size += n
			batch = append(batch, p)
		case <-full.C:
			return batch, nil
		case <-ctx.Done():
			return nil, nil
		}
	}
	return batch, nil
}

// append repeats a batch until it is acknowledged or nobody wants it any more.
func (c *Committer) append(ctx context.Context, batch []pending) {
	wait := retryShortest
	for ctx.Err() == nil {
		batch = wanted(batch)
		if len(batch) == 0 {
			return
		}
		err := c.try(ctx, batch)
		if err == nil {
			return
		}
		c.logger.Warn("append failed", "stream", c.stream, "changes", len(batch), "error", err.Error())
		sleep(ctx, wait)
		wait = min(2*wait, retryLongest)
	}
}

func (c *Committer) try(ctx context.Context, batch []pending) error {
	changes := make([]state.Change, len(batch))
	for i, p := range batch {
		changes[i] = p.change
	}
	data, err := state.Encode(changes)
	if err != nil {
		return err
	}
	_, err = c.log.Append(ctx, c.stream, data)
	return err
}

// wanted returns the changes whose context has not ended.
func wanted(batch []pending) []pending {
	kept := batch[:0]
	for _, p := range batch {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}

// perEnd and perChange are the rough JSON sizes of a task's end and of the rest
// of a change, in bytes.
const (
	perEnd    = 24
	perChange = 400
)

// sizeOf estimates the encoded size of a change in bytes.
func sizeOf(ch state.Change) int {
	n := perChange + perEnd*len(ch.Ends)
	if ch.Job != nil {
		n += len(ch.Job.Payload)
	}
	if ch.Part != nil {
		n += 2 * len(ch.Part.Data)
	}
	return n
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
