// Package jobstore keeps a cell's jobs in a keyed topic of the platform's log. Only the
// controller of the newest epoch can append: it is a fenced producer, whose repeats of an
// append get the first answer.
package jobstore

import (
	"context"
	"sync"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/stream"
)

// Topic is where the jobs are, producer the name under which controllers append.
const (
	Topic    = "keyed.jobs"
	producer = "controller"
)

// Log is what is used of the platform's log.
type Log interface {
	stream.Reader
	Append(ctx context.Context, a stream.Append) (stream.AppendResult, error)
}

// Store appends under one epoch. One goroutine fences, loads and reserves numbers; appends
// may be made by several.
type Store struct {
	log      Log
	epoch    int64
	sequence int64
	// loaded are the ranges that Load has read, nil where it has not.
	loaded [][]stream.Record
}

// New returns a store for an epoch.
func New(log Log, epoch int64) *Store {
	return &Store{log: log, epoch: epoch, loaded: noRanges()}
}

// Fence sets the epoch: from then on no earlier controller can append.
func (s *Store) Fence(ctx context.Context) error {
	_, err := s.log.Append(ctx, stream.Append{
		Topic:    Topic,
		Producer: &stream.Producer{Name: producer, Epoch: s.epoch},
	})
	return err
}

// cuts divide the keys into ranges that are read at the same time: a page follows from the
// one before, so that one range after the other would take as many round trips. Jobs' IDs
// are hexadecimal; most keys are those of ended jobs' progress.
var cuts = []string{"p/", "p/4", "p/8", "p/c"}

// Load returns all records. It is called after Fence, so that nothing changes meanwhile.
// After a failure the next call reads only what is missing.
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
	s.loaded = noRanges()
	return out, nil
}

// noRanges has room for every range and none of them read.
func noRanges() [][]stream.Record { return make([][]stream.Record, len(cuts)+1) }

// loadRange reads range i unless it has been read.
func (s *Store) loadRange(ctx context.Context, i int) error {
	if s.loaded[i] != nil {
		return nil
	}
	after, before := "", ""
	if i > 0 {
		after = cuts[i-1]
	}
	if i < len(cuts) {
		before = cuts[i]
	}
	records, err := stream.ReadRange(ctx, s.log, Topic, after, before)
	if err != nil {
		return err
	}
	s.loaded[i] = append([]stream.Record{}, records...)
	return nil
}

// voidKey is dropped by an append that has nothing to store.
const voidKey = "m/void"

// NextSequence returns the sequence number of the next append.
func (s *Store) NextSequence() int64 {
	n := s.sequence
	s.sequence++
	return n
}

// Append appends a batch under a number from Reserve; several may be under way. The store
// takes them in the order of their numbers: one that comes before its turn is refused as
// CodeBehind. After a failure the same batch is appended again; a repeat does nothing. A
// batch without records uses up its number all the same.
func (s *Store) Append(ctx context.Context, sequence int64, records []controller.Record) error {
	out := make([]stream.Record, 0, max(len(records), 1))
	for _, r := range records {
		out = append(out, stream.Record{Key: r.Key, Value: r.Value})
	}
	if len(out) == 0 {
		out = append(out, stream.Record{Key: voidKey})
	}
	_, err := s.log.Append(ctx, stream.Append{
		Topic:    Topic,
		Records:  out,
		Producer: &stream.Producer{Name: producer, Epoch: s.epoch, Sequence: sequence},
	})
	return err
}
