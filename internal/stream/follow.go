package stream

import (
	"context"
	"strings"
	"time"
	"unicode/utf8"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/structs"
)

// Reader reads topics.
type Reader interface {
	// Read returns the records from an offset on. If there are none, it waits for one, at
	// most for the duration wait.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns a page of the newest records by key, in the order of the keys, beginning
	// after a key.
	Newest(ctx context.Context, topic, after string) (Page, error)
}

// ReadNewest returns the newest record of every key, and the offset from which to read on.
// The pages are no snapshot: the offset is the end of the topic at the first page, so that no
// record is missed.
func ReadNewest(ctx context.Context, r Reader, topic string) ([]Record, int64, error) {
	all, first, err := readPages(ctx, r, topic, "", "")
	return all, first.End, err
}

// ReadRange returns the newest records of the keys above after and below before. An empty
// before means no upper bound.
func ReadRange(ctx context.Context, r Reader, topic, after, before string) ([]Record, error) {
	records, _, err := readPages(ctx, r, topic, after, before)
	return records, err
}

// readPages reads the pages of a range of keys. It also returns the first page.
func readPages(ctx context.Context, r Reader, topic, after, before string) (all []Record, first Page, err error) {
	for isFirst := true; ; isFirst = false {
		page, err := r.Newest(ctx, topic, after)
		if err != nil {
			return nil, Page{}, err
		}
		if isFirst {
			first = page
		}
		for _, record := range page.Records {
			if before != "" && record.Key >= before {
				return all, first, nil
			}
			all = append(all, record)
		}
		if !page.HasMore {
			return all, first, nil
		}
		if len(page.Records) == 0 {
			return nil, Page{}, structs.NewError(structs.CodeInternal, "an empty page of keys after %q, with more to follow", after)
		}
		after, err = nextPageStart(after, page.Records[len(page.Records)-1].Key)
		if err != nil {
			return nil, Page{}, err
		}
	}
}

// maxKeyBytes is the maximum length of a key.
const maxKeyBytes = 255

// nextPageStart returns the key after which the next page begins. last is the last key of the page
// that began after after. In a key that is not UTF-8, the log replaces bytes; such a key may be
// returned as one that is not above after, which would lead to the same page again. The next page
// then begins above all keys with the same readable prefix and a byte that is not ASCII.
func nextPageStart(after, last string) (string, error) {
	if last > after {
		return last, nil
	}
	prefix, _, _ := strings.Cut(last, string(utf8.RuneError))
	next := prefix + strings.Repeat("\xff", maxKeyBytes-min(len(prefix), maxKeyBytes))
	if next <= after {
		return "", structs.NewError(structs.CodeInternal, "a page of keys after %q ends at %q", after, last)
	}
	return next, nil
}

// Follower reads the records of a keyed topic as they are appended. Its callbacks run on the
// goroutine that calls Run.
type Follower struct {
	Reader Reader
	Topic  string
	// PollWait is how long a read waits for a record. PauseAfterRecords is the pause after a
	// read that returned some, so that following records are read together.
	PollWait          time.Duration
	PauseAfterRecords time.Duration
	// OnReload is called with the newest records of all keys after the whole topic was read.
	// In both callbacks, sent is when the read began.
	OnReload func(records []Record, sent time.Time)
	// OnRecords is called with the records of each read, also if there are none.
	OnRecords func(records []Record, sent time.Time)
	// OnError is called with the error of each failed read.
	OnError func(err error)
	// NextOffset is the offset of the next read. If OffsetKnown is false, the whole topic is
	// read first.
	NextOffset  int64
	OffsetKnown bool
	// LastRelay is the member through which the last successful read was made, empty for a direct
	// one. CurrentAt is a time at which the topic ended at NextOffset, zero if it may have had more
	// records. Both are set before a callback is called.
	LastRelay string
	CurrentAt time.Time
}

// Limits of the pause after a failed read.
const (
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	retryPause := minRetryPause
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
			f.OnError(err)
			sleep(ctx, retryPause)
			retryPause = min(2*retryPause, maxRetryPause)
			continue
		}
		retryPause = minRetryPause
	}
}

// readOnce makes one read.
func (f *Follower) readOnce(ctx context.Context) error {
	sent := clock.Now()
	if !f.OffsetKnown {
		records, first, err := readPages(ctx, f.Reader, f.Topic, "", "")
		if err != nil {
			return err
		}
		f.NextOffset = first.End
		f.OffsetKnown = true
		f.LastRelay = first.Relay
		f.CurrentAt = sent
		f.OnReload(records, sent)
		return nil
	}
	batch, err := f.Reader.Read(ctx, f.Topic, f.NextOffset, f.PollWait)
	if structs.CodeOf(err) == structs.CodeBehind {
		// The records have expired: only the newest one of each key is left.
		f.OffsetKnown = false
		return nil
	}
	if err != nil {
		return err
	}
	f.NextOffset = batch.Next
	f.LastRelay = batch.Relay
	f.CurrentAt = f.currentAt(batch, sent)
	f.OnRecords(batch.Records, sent)
	if len(batch.Records) > 0 && f.PauseAfterRecords > 0 {
		sleep(ctx, f.PauseAfterRecords)
	}
	return nil
}

// currentAt returns a time at which the topic ended where a batch ends, zero if there is none. A read
// without records was answered PollWait after it was sent.
func (f *Follower) currentAt(batch Batch, sent time.Time) time.Time {
	switch {
	case batch.Next < batch.End:
		return time.Time{}
	case len(batch.Records) == 0 && clock.Since(sent) >= f.PollWait:
		return sent.Add(f.PollWait)
	}
	return sent
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
