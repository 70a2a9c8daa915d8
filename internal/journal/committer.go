package journal

import (
	"context"
	"log/slog"
	"time"

	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// Limits of batches and retries.
const (
	maxQueueLength  = 2048
	maxBatchChanges = 2000
	maxBatchBytes   = 256 << 10
	minRetryDelay   = 50 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// Appender appends one record to a stream and returns its offset. An error with any
// code other than structs.CodeUnknown means that the record certainly was not appended.
type Appender interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// Committer appends changes to one stream, several in one record. An append with
// unknown outcome is repeated with the same change IDs, so that the repeat has no
// further effect. Its methods are safe for concurrent use; Run must be called once.
type Committer struct {
	log    Appender
	stream string
	linger time.Duration
	logger *slog.Logger
	queue  chan queuedChanges
}

// queuedChanges are the changes queued by one call.
type queuedChanges struct {
	ctx     context.Context
	changes []state.Change
	// queuedAt is when the call was made. The linger time counts from it, so that
	// changes that were queued during an append do not wait for another full linger
	// time.
	queuedAt time.Time
	// acknowledged is closed once the log has acknowledged the changes; it may be nil.
	acknowledged chan struct{}
}

func newQueuedChanges(ctx context.Context, changes ...state.Change) queuedChanges {
	return queuedChanges{ctx: ctx, changes: changes, queuedAt: time.Now()}
}

// NewCommitter returns a committer for a stream. A queued change waits up to linger for
// others to share its record.
func NewCommitter(log Appender, stream string, linger time.Duration, logger *slog.Logger) *Committer {
	return &Committer{
		log:    log,
		stream: stream,
		linger: linger,
		logger: logger,
		queue:  make(chan queuedChanges, maxQueueLength),
	}
}

// Submit queues a change. The change is dropped if ctx ends before its first append;
// after that it is not retried once ctx has ended. The caller learns the outcome by
// reading the stream. Submit fails with CodeOverload if the queue is full.
func (c *Committer) Submit(ctx context.Context, ch state.Change) error {
	return c.enqueue(newQueuedChanges(ctx, ch))
}

func (c *Committer) enqueue(p queuedChanges) error {
	select {
	case c.queue <- p:
		return nil
	default:
		return structs.NewRetryAfterError(structs.CodeOverload, maxRetryDelay, "stream %s: %d changes wait for the log", c.stream, maxQueueLength)
	}
}

// Commit queues changes of another member and returns once the log has acknowledged
// them. If ctx ends first it fails with CodeUnknown: the changes may have been
// appended, or may still be.
func (c *Committer) Commit(ctx context.Context, changes []state.Change) error {
	p := newQueuedChanges(ctx, changes...)
	p.acknowledged = make(chan struct{})
	if err := c.enqueue(p); err != nil {
		return err
	}
	select {
	case <-p.acknowledged:
		return nil
	case <-ctx.Done():
		return structs.NewError(structs.CodeUnknown, "stream %s: %d changes not acknowledged in time", c.stream, len(changes))
	}
}

// resubmit queues changes that a Forwarder accepted before. It waits for space in the
// queue.
func (c *Committer) resubmit(ctx context.Context, list []queuedChanges) {
	for _, p := range list {
		select {
		case c.queue <- p:
		case <-ctx.Done():
			return
		}
	}
}

// Run appends the queued changes until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	var carriedOver *queuedChanges
	for {
		batch, next := c.collectBatch(ctx, carriedOver)
		if ctx.Err() != nil {
			return
		}
		carriedOver = next
		c.appendWithRetries(ctx, batch)
	}
}

// collectBatch waits for a first change and then for others until the linger time has
// passed or the record is full. Changes that no longer fit are returned as next, for
// the following batch.
func (c *Committer) collectBatch(ctx context.Context, carriedOver *queuedChanges) (batch []queuedChanges, next *queuedChanges) {
	var record recordSize
	if carriedOver != nil {
		batch = append(batch, *carriedOver)
		record.add(*carriedOver)
	} else {
		select {
		case p := <-c.queue:
			batch = append(batch, p)
			record.add(p)
		case <-ctx.Done():
			return nil, nil
		}
	}
	linger := time.NewTimer(c.linger - time.Since(batch[0].queuedAt))
	defer linger.Stop()
	for record.changes < maxBatchChanges {
		select {
		case p := <-c.queue:
			if !record.fits(p) {
				return batch, &p
			}
			record.add(p)
			batch = append(batch, p)
		case <-linger.C:
			return batch, nil
		case <-ctx.Done():
			return nil, nil
		}
	}
	return batch, nil
}

// appendWithRetries appends a batch, and retries until it is acknowledged or the
// contexts of all its changes have ended.
func (c *Committer) appendWithRetries(ctx context.Context, batch []queuedChanges) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		batch = withoutCancelled(batch)
		if len(batch) == 0 {
			return
		}
		err := c.appendOnce(ctx, batch)
		if err == nil {
			acknowledge(batch)
			return
		}
		c.logger.Warn("append failed, will retry", "stream", c.stream, "changes", len(batch), "error", err.Error())
		sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

func (c *Committer) appendOnce(ctx context.Context, batch []queuedChanges) error {
	data, err := encode(batch)
	if err != nil {
		return err
	}
	_, err = c.log.Append(ctx, c.stream, data)
	return err
}

// encode returns the record for a batch.
func encode(batch []queuedChanges) ([]byte, error) {
	var changes []state.Change
	for _, p := range batch {
		changes = append(changes, p.changes...)
	}
	return state.Encode(changes)
}

func acknowledge(batch []queuedChanges) {
	for _, p := range batch {
		if p.acknowledged != nil {
			close(p.acknowledged)
		}
	}
}

// withoutCancelled removes the changes whose context has ended.
func withoutCancelled(batch []queuedChanges) []queuedChanges {
	kept := batch[:0]
	for _, p := range batch {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	return kept
}

// endBytes and changeBytes are the approximate JSON sizes in bytes of a task's end and
// of the rest of a change.
const (
	endBytes    = 24
	changeBytes = 400
)

// recordSize is the size of a record: the number of changes and the estimated bytes.
type recordSize struct {
	changes int
	bytes   int
}

func (s *recordSize) add(p queuedChanges) {
	s.changes += len(p.changes)
	s.bytes += p.bytes()
}

func (s *recordSize) fits(p queuedChanges) bool { return s.bytes+p.bytes() <= maxBatchBytes }

func (p queuedChanges) bytes() int {
	n := 0
	for _, ch := range p.changes {
		n += encodedSize(ch)
	}
	return n
}

// encodedSize estimates the encoded size of a change in bytes.
func encodedSize(ch state.Change) int {
	n := changeBytes + endBytes*len(ch.Ends)
	if ch.Job != nil {
		n += len(ch.Job.Payload)
	}
	if ch.Part != nil {
		n += 2 * len(ch.Part.Data)
	}
	return n
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
