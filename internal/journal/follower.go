// Package journal follows the streams of the platform's log and appends to them:
// a follower reads a stream in order, a committer appends changes in groups.
package journal

import (
	"context"
	"log/slog"
	"time"

	"dotterelhitch/internal/platformlog"
	"dotterelhitch/internal/structs"
)

// readRecords bounds the records of one read.
const readRecords = 256

// Page is the outcome of one read.
type Page struct {
	// AsOf is when the read began; what the page shows was current then.
	AsOf    time.Time
	First   int64
	Next    int64
	Records []platformlog.Record
	// AtTail is true if the page ends at the end of the stream.
	AtTail bool
}

// Source reads a stream; age is how long ago the answer was current when the call
// began, zero for the log itself.
type Source interface {
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (b platformlog.Batch, age time.Duration, err error)
}

// Follower reads one stream in order.
type Follower struct {
	source Source
	stream string
	wait   time.Duration
	logger *slog.Logger
	// deliver takes a page and returns the offset to read next.
	deliver func(Page) int64
}

// NewFollower returns a follower that hands each page to deliver. At the end of the
// stream a read waits for up to wait for a record.
func NewFollower(source Source, stream string, wait time.Duration, deliver func(Page) int64, logger *slog.Logger) *Follower {
	return &Follower{source: source, stream: stream, wait: wait, deliver: deliver, logger: logger}
}

// Run reads from the given offset until ctx ends.
func (f *Follower) Run(ctx context.Context, from int64) {
	retry := retryShortest
	poll := time.Duration(0)
	for ctx.Err() == nil {
		start := time.Now()
		batch, age, err := f.source.Read(ctx, f.stream, from, readRecords, poll)
		if err != nil {
			f.report(ctx, err)
			sleep(ctx, retry)
			retry = min(2*retry, retryLongest)
			continue
		}
		retry = retryShortest
		page := newPage(batch, from, start.Add(-age))
		from = f.deliver(page)
		poll = 0
		if page.AtTail {
			poll = f.wait
		}
	}
}

// ReadToTail hands the pages of a stream from an offset on to deliver, which returns
// the offset to read next, until one ends at the end of the stream.
func ReadToTail(ctx context.Context, source Source, stream string, from int64, deliver func(Page) int64) error {
	for {
		start := time.Now()
		batch, age, err := source.Read(ctx, stream, from, readRecords, 0)
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

// newPage is the page of a read from an offset, which was current at start.
func newPage(b platformlog.Batch, from int64, start time.Time) Page {
	return Page{
		AsOf:    start,
		First:   b.FirstOffset,
		Next:    b.NextOffset,
		Records: b.Records,
		AtTail:  endsAtTail(b, from),
	}
}

func endsAtTail(b platformlog.Batch, from int64) bool {
	if len(b.Records) == 0 {
		return b.NextOffset <= max(from, b.FirstOffset)
	}
	return b.Records[len(b.Records)-1].Offset+1 >= b.NextOffset
}

func (f *Follower) report(ctx context.Context, err error) {
	if ctx.Err() == nil {
		f.logger.Warn("read failed", "stream", f.stream, "code", string(structs.CodeOf(err)), "error", err.Error())
	}
}

// LogSource reads from the log service itself.
type LogSource struct{ Log *platformlog.Client }

// Read implements Source.
func (d LogSource) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (platformlog.Batch, time.Duration, error) {
	b, err := d.Log.Read(ctx, stream, from, max, wait)
	return b, 0, err
}
