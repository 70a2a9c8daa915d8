package logsvc

import (
	"time"

	"dotterelhitch/internal/platformlog"
)

// entry is one kept record with the time of its append.
type entry struct {
	record platformlog.Record
	at     time.Time
}

// stream is one append-only sequence of records. Its service's lock guards it.
type stream struct {
	next    int64
	entries []entry
	// changed is closed and replaced at every append.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{next: 1, changed: make(chan struct{})}
}

// append adds a record and wakes the readers that wait for it.
func (s *stream) append(data []byte, now time.Time) int64 {
	offset := s.next
	s.next++
	s.entries = append(s.entries, entry{platformlog.Record{Offset: offset, Data: data}, now})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// first returns the oldest kept offset.
func (s *stream) first() int64 {
	return s.next - int64(len(s.entries))
}

// retain drops the oldest records past either bound; zero is no bound.
func (s *stream) retain(maxRecords int, maxAge time.Duration, now time.Time) {
	drop := 0
	for drop < len(s.entries) {
		tooMany := maxRecords > 0 && len(s.entries)-drop > maxRecords
		tooOld := maxAge > 0 && now.Sub(s.entries[drop].at) > maxAge
		if !tooMany && !tooOld {
			break
		}
		drop++
	}
	s.entries = s.entries[drop:]
}

// read returns up to limit records from offset from on, of at most maxBatchBytes
// but always one if there is any.
func (s *stream) read(from int64, limit int) platformlog.Batch {
	batch := platformlog.Batch{FirstOffset: s.first(), NextOffset: s.next, Records: []platformlog.Record{}}
	start := max(from, batch.FirstOffset) - batch.FirstOffset
	bytes := 0
	for i := start; i < int64(len(s.entries)) && len(batch.Records) < limit; i++ {
		r := s.entries[i].record
		bytes += len(r.Data)
		if bytes > maxBatchBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, r)
	}
	return batch
}
