package stream

import (
	"context"
	"time"

	"dotterelhitch/internal/structs"
)

// Reader reads a topic.
type Reader interface {
	// Read returns the records from an offset on, waiting up to wait for one.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns a page of the newest records by key, after a key.
	Newest(ctx context.Context, topic, after string) (Page, error)
}

// ReadNewest returns the newest record of every key and the end from which to read on.
// Pages are no snapshot: the end is that of the first page, so that nothing is missed.
func ReadNewest(ctx context.Context, r Reader, topic string) ([]Record, int64, error) {
	return readPages(ctx, r, topic, "", "")
}

// ReadRange returns the newest records of the keys above after and below before; an empty
// before is no bound.
func ReadRange(ctx context.Context, r Reader, topic, after, before string) ([]Record, error) {
	records, _, err := readPages(ctx, r, topic, after, before)
	return records, err
}

// readPages reads the pages of a range of keys, and the end as the first page tells it.
func readPages(ctx context.Context, r Reader, topic, after, before string) (all []Record, end int64, err error) {
	for first := true; ; first = false {
		page, err := r.Newest(ctx, topic, after)
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = page.End
		}
		for _, record := range page.Records {
			if before != "" && record.Key >= before {
				return all, end, nil
			}
			all = append(all, record)
		}
		if !page.HasMore || len(page.Records) == 0 {
			return all, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// Follower keeps up with a keyed topic. Its callbacks run on the caller's goroutine.
type Follower struct {
	Reader Reader
	Topic  string
	// PollWait is how long a read waits for a record, Gap the pause after one that found
	// some, so that records come together.
	PollWait          time.Duration
	PauseAfterRecords time.Duration
	// OnReload is called with all keys when the topic was read as a whole.
	OnReload func(records []Record, sent time.Time)
	// OnRecords is called with the records of a read, none if it found nothing.
	OnRecords func(records []Record, sent time.Time)
	// OnError is called with each failure.
	OnError func(err error)
	// NextOffset is the offset to begin at without reading the topic as a whole, if Known.
	NextOffset  int64
	OffsetKnown bool
}

// Pauses after failed reads.
const (
	followPauseLeast = 50 * time.Millisecond
	followPauseMost  = 400 * time.Millisecond
)

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := followPauseLeast
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.OnError(err)
			pause(ctx, wait)
			wait = min(2*wait, followPauseMost)
			continue
		}
		wait = followPauseLeast
	}
}

// step makes one read.
func (f *Follower) step(ctx context.Context) error {
	sent := time.Now()
	if !f.OffsetKnown {
		records, end, err := ReadNewest(ctx, f.Reader, f.Topic)
		if err != nil {
			return err
		}
		f.NextOffset = end
		f.OffsetKnown = true
		f.OnReload(records, sent)
		return nil
	}
	batch, err := f.Reader.Read(ctx, f.Topic, f.NextOffset, f.PollWait)
	if structs.CodeOf(err) == structs.CodeBehind {
		// The history was dropped: only the newest of each key is left.
		f.OffsetKnown = false
		return nil
	}
	if err != nil {
		return err
	}
	f.NextOffset = batch.Next
	f.OnRecords(batch.Records, sent)
	if len(batch.Records) > 0 && f.PauseAfterRecords > 0 {
		pause(ctx, f.PauseAfterRecords)
	}
	return nil
}

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
