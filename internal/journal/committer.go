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

// pending are changes that one call has queued.
type pending struct {
	ctx     context.Context
	changes []state.Change
	// queued is when the call was made; the linger counts from it, so that what came
	// while an append was under way does not wait for a whole one more.
	queued time.Time
	// appended is closed once the log has acknowledged them; it may be nil.
	appended chan struct{}
}

func newPending(ctx context.Context, changes ...state.Change) pending {
	return pending{ctx: ctx, changes: changes, queued: time.Now()}
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
	return c.enqueue(newPending(ctx, ch))
}

func (c *Committer) enqueue(p pending) error {
	select {
	case c.queue <- p:
		return nil
	default:
		return structs.NewRetryAfterError(structs.CodeOverload, retryLongest, "stream %s: %d changes wait for the log", c.stream, queueLength)
	}
}

// Commit queues the changes of another member and returns once the log has
// acknowledged them. If ctx ends first it fails with CodeUnknown: they may have been
// appended, or may yet be.
func (c *Committer) Commit(ctx context.Context, changes []state.Change) error {
	p := newPending(ctx, changes...)
	p.appended = make(chan struct{})
	if err := c.enqueue(p); err != nil {
		return err
	}
	select {
	case <-p.appended:
		return nil
	case <-ctx.Done():
		return structs.NewError(structs.CodeUnknown, "stream %s: %d changes not acknowledged in time", c.stream, len(changes))
	}
}

// resubmit queues changes that were accepted for the log before; it waits for room.
func (c *Committer) resubmit(ctx context.Context, list []pending) {
	for _, p := range list {
		select {
		case c.queue <- p:
		case <-ctx.Done():
			return
		}
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
	var record size
	if carried != nil {
		batch = append(batch, *carried)
		record.add(*carried)
	} else {
		select {
		case p := <-c.queue:
			batch = append(batch, p)
			record.add(p)
		case <-ctx.Done():
			return nil, nil
		}
	}
	full := time.NewTimer(c.linger - time.Since(batch[0].queued))
	defer full.Stop()
	for record.changes < batchChanges {
		select {
		case p := <-c.queue:
			if !record.fits(p) {
				return batch, &p
			}
			record.add(p)
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
			acknowledge(batch)
			return
		}
		c.logger.Warn("append failed", "stream", c.stream, "changes", len(batch), "error", err.Error())
		sleep(ctx, wait)
		wait = min(2*wait, retryLongest)
	}
}

func (c *Committer) try(ctx context.Context, batch []pending) error {
	data, err := encode(batch)
	if err != nil {
		return err
	}
	_, err = c.log.Append(ctx, c.stream, data)
	return err
}

// encode returns the record that holds a batch.
func encode(batch []pending) ([]byte, error) {
	var changes []state.Change
	for _, p := range batch {
		changes = append(changes, p.changes...)
	}
	return state.Encode(changes)
}

func acknowledge(batch []pending) {
	for _, p := range batch {
		if p.appended != nil {
			close(p.appended)
		}
	}
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

// size is that of a record: its changes and its estimated bytes.
type size struct {
	changes int
	bytes   int
}

func (s *size) add(p pending) {
	s.changes += len(p.changes)
	s.bytes += p.bytes()
}

func (s *size) fits(p pending) bool { return s.bytes+p.bytes() <= batchBytes }

func (p pending) bytes() int {
	n := 0
	for _, ch := range p.changes {
		n += sizeOf(ch)
	}
	return n
}

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
