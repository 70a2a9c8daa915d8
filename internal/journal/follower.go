// Package journal reads streams of the platform's log and appends to them: a Follower
// reads a stream in order, a Committer appends changes in batches, and a Forwarder has
// another member append them.
package journal

import (
	"context"
	"log/slog"
	"time"

	"dotterelhitch/internal/platformlog"
	"dotterelhitch/internal/structs"
)

// maxReadRecords is the maximum number of records of one read.
const maxReadRecords = 256

// Page is the result of one read.
type Page struct {
	// AsOf is the time as of which the page is current: the start of the read, less the
	// age of the answer. First is the offset of the first record, Next the offset to
	// read next.
	AsOf    time.Time
	First   int64
	Next    int64
	Records []platformlog.Record
	// AtTail is true if the page reaches the end of the stream.
	AtTail bool
}

// Source reads a stream. Read returns at most max records from an offset on, and at the
// end of the stream waits up to wait for one. age is how old the answer already was
// when the call began; it is zero for the log itself.
type Source interface {
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (b platformlog.Batch, age time.Duration, err error)
}

// Follower reads one stream in order.
type Follower struct {
	source Source
	stream string
	wait   time.Duration
	logger *slog.Logger
	// deliver handles a page and returns the offset to read next.
	deliver func(Page) int64
}

// NewFollower returns a follower that passes each page to deliver. At the end of the
// stream, a read waits up to wait for a record.
func NewFollower(source Source, stream string, wait time.Duration, deliver func(Page) int64, logger *slog.Logger) *Follower {
	return &Follower{source: source, stream: stream, wait: wait, deliver: deliver, logger: logger}
}

// Run reads from the given offset until ctx ends. A failed read is retried with
// increasing delays.
func (f *Follower) Run(ctx context.Context, from int64) {
	retryDelay := minRetryDelay
	poll := time.Duration(0)
	for ctx.Err() == nil {
		start := time.Now()
		batch, age, err := f.source.Read(ctx, f.stream, from, maxReadRecords, poll)
		if err != nil {
			f.logReadError(ctx, err)
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		page := newPage(batch, from, start.Add(-age))
		from = f.deliver(page)
		poll = 0
		if page.AtTail {
			poll = f.wait
		}
	}
}

// ReadToTail reads a stream from an offset until its end. It passes each page to
// deliver, which returns the offset to read next. It returns the first error of a read.
func ReadToTail(ctx context.Context, source Source, stream string, from int64, deliver func(Page) int64) error {
	for {
		start := time.Now()
		batch, age, err := source.Read(ctx, stream, from, maxReadRecords, 0)
		if err != nil {
			return err
		}
		page := newPage(batch, from, start.Add(-age))
		from = deliver(page)
		if page.AtTail {
			return nil
		}
	}
}

// newPage returns the page of a read from an offset whose content was current at start.
func newPage(b platformlog.Batch, from int64, start time.Time) Page {
	return Page{
		AsOf:    start,
		First:   b.FirstOffset,
		Next:    b.NextOffset,
		Records: b.Records,
		AtTail:  endsAtTail(b, from),
	}
}

// endsAtTail reports whether a read from an offset reached the end of the stream.
func endsAtTail(b platformlog.Batch, from int64) bool {
	if len(b.Records) == 0 {
		return b.NextOffset <= max(from, b.FirstOffset)
	}
	return b.Records[len(b.Records)-1].Offset+1 >= b.NextOffset
}

func (f *Follower) logReadError(ctx context.Context, err error) {
	if ctx.Err() == nil {
		f.logger.Warn("reading stream failed, will retry", "stream", f.stream, "code", string(structs.CodeOf(err)), "error", err.Error())
	}
}

// LogSource reads from the log service itself.
type LogSource struct{ Log *platformlog.Client }

// Read implements Source.
func (d LogSource) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (platformlog.Batch, time.Duration, error) {
	b, err := d.Log.Read(ctx, stream, from, max, wait)
	return b, 0, err
}
