// Package jobstore keeps a cell's jobs in a keyed topic of the platform's log. Only the
// controller of the newest epoch can append: it is a fenced producer, whose repeats of an
// append get the first answer.
package jobstore

import (
	"context"

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
	Append(ctx context.Context, a stream.Append) (stream.Appended, error)
}

// Store appends under one epoch. One goroutine uses it.
type Store struct {
	log      Log
	epoch    int64
	sequence int64
}

// New returns a store for an epoch.
func New(log Log, epoch int64) *Store { return &Store{log: log, epoch: epoch} }

// Fence sets the epoch: from then on no earlier controller can append.
func (s *Store) Fence(ctx context.Context) error {
	_, err := s.log.Append(ctx, stream.Append{
		Topic:    Topic,
		Producer: &stream.Producer{Name: producer, Epoch: s.epoch},
	})
	return err
}

// Load returns all records. It is called after Fence, so that nothing changes meanwhile.
func (s *Store) Load(ctx context.Context) ([]controller.Record, error) {
	newest, _, err := stream.ReadNewest(ctx, s.log, Topic)
	if err != nil {
		return nil, err
	}
	out := make([]controller.Record, 0, len(newest))
	for _, r := range newest {
		out = append(out, controller.Record{Key: r.Key, Value: r.Value})
	}
	return out, nil
}

// Append appends a batch. After a failure the same batch is appended again: the sequence
// number goes on only when it was stored.
func (s *Store) Append(ctx context.Context, records []controller.Record) error {
	out := make([]stream.Record, 0, len(records))
	for _, r := range records {
		out = append(out, stream.Record{Key: r.Key, Value: r.Value})
	}
	_, err := s.log.Append(ctx, stream.Append{
		Topic:    Topic,
		Records:  out,
		Producer: &stream.Producer{Name: producer, Epoch: s.epoch, Sequence: s.sequence},
	})
	if err == nil {
		s.sequence++
	}
	return err
}
