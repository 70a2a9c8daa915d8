// Package jobstore stores a cell's jobs in a keyed topic of the platform's log. Only the
// controller of the newest epoch can append: appends are fenced by the epoch, and a repeated
// append gets the result of the first one.
package jobstore

import (
	"context"
	"sync"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/stream"
)

// Topic is the topic of the jobs, producer the name under which controllers append.
const (
	Topic    = "keyed.jobs"
	producer = "controller"
)

// Log is the part of the platform's log that the store uses.
type Log interface {
	stream.Reader
	Append(ctx context.Context, a stream.Append) (stream.AppendResult, error)
}

// Store appends under one epoch. One goroutine calls Fence, Load and NextSequence; Append may
// be called concurrently.
type Store struct {
	log      Log
	epoch    int64
	sequence int64
	// loaded holds the records of each key range, nil for a range that Load has not read yet.
	loaded [][]stream.Record
}

// New returns a store for an epoch.
func New(log Log, epoch int64) *Store {
	return &Store{log: log, epoch: epoch, loaded: newRanges()}
}

// Fence registers the epoch with the log. From then on no earlier controller can append.
func (s *Store) Fence(ctx context.Context) error {
	_, err := s.log.Append(ctx, stream.Append{
		Topic:    Topic,
		Producer: &stream.Producer{Name: producer, Epoch: s.epoch},
	})
	return err
}

// rangeBounds divide the keys into ranges that are read concurrently. The pages of a range
// can only be read one after the other, so that reading all keys as one range takes a round
// trip per page. Job IDs are hexadecimal, and most keys belong to the progress of ended jobs.
var rangeBounds = []string{"p/", "p/4", "p/8", "p/c"}

// Load returns all records. It must be called after Fence, so that no record changes
// meanwhile. After a failure, the next call reads only the ranges that are missing.
func (s *Store) Load(ctx context.Context) ([]controller.Record, error) {
	errs := make([]error, len(s.loaded))
	var group sync.WaitGroup
	for i := range s.loaded {
		group.Go(func() { errs[i] = s.loadRange(ctx, i) })
	}
	group.Wait()
	var out []controller.Record
	for i, records := range s.loaded {
		if errs[i] != nil {
			return nil, errs[i]
		}
		for _, r := range records {
			out = append(out, controller.Record{Key: r.Key, Value: r.Value})
		}
	}
	s.loaded = newRanges()
	return out, nil
}

// newRanges returns the list of ranges with none of them read.
func newRanges() [][]stream.Record { return make([][]stream.Record, len(rangeBounds)+1) }

// loadRange reads range i unless it has been read.
func (s *Store) loadRange(ctx context.Context, i int) error {
	if s.loaded[i] != nil {
		return nil
	}
	after, before := "", ""
	if i > 0 {
		after = rangeBounds[i-1]
	}
	if i < len(rangeBounds) {
		before = rangeBounds[i]
	}
	records, err := stream.ReadRange(ctx, s.log, Topic, after, before)
	if err != nil {
		return err
	}
	s.loaded[i] = append([]stream.Record{}, records...)
	return nil
}

// emptyBatchKey is the key that the append of an empty batch deletes, since an append without
// any record only sets the producer's epoch.
const emptyBatchKey = "m/void"

// NextSequence returns the sequence number for the next append, and reserves it.
func (s *Store) NextSequence() int64 {
	n := s.sequence
	s.sequence++
	return n
}

// Append appends a batch under a number from NextSequence. Several appends may be in flight.
// The log accepts them in the order of their numbers, and refuses one that arrives too early
// with CodeBehind. After a failure, the same batch must be appended again under the same
// number; a repetition has no effect. A batch without records uses up its number as well.
func (s *Store) Append(ctx context.Context, sequence int64, records []controller.Record) error {
	out := make([]stream.Record, 0, max(len(records), 1))
	for _, r := range records {
		out = append(out, stream.Record{Key: r.Key, Value: r.Value})
	}
	if len(out) == 0 {
		out = append(out, stream.Record{Key: emptyBatchKey})
	}
	_, err := s.log.Append(ctx, stream.Append{
		Topic:    Topic,
		Records:  out,
		Producer: &stream.Producer{Name: producer, Epoch: s.epoch, Sequence: sequence},
	})
	return err
}
