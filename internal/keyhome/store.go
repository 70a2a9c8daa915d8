// Package keyhome gives requests with an idempotency key at-most-once semantics across
// all entries of the cell. Each key has a home, which permits its request, and a
// backup, which stores the home's intent before the home grants the permit.
// docs/design/request-keys.md argues why no key is permitted twice.
//
// A Store holds the keys of one member in both roles. It does no I/O and is passed the
// time. It is used by the control goroutine only; its methods must not be called
// concurrently. Their results say which messages to send.
package keyhome

import (
	"time"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// Limits are the limits of a store. They are the same on all members of a cell.
type Limits struct {
	// MaxEntries and MaxBytes limit the stored entries; requests with further keys are
	// refused.
	MaxEntries int
	MaxBytes   int
	// MaxAnswerBytes is the largest answer body that is stored for repeats.
	MaxAnswerBytes int
	// Retention is how long a key is remembered after its permit.
	Retention time.Duration
	// DispatchWindow is how long a permit may be used, counted by the dispatching entry
	// from the start of its call.
	DispatchWindow time.Duration
	// MaxRunTime is how long a request may take after its permit. It is shorter than
	// Retention.
	MaxRunTime time.Duration
	// AuthorityBound is the validity of authority plus the clock margin.
	AuthorityBound time.Duration
}

// DefaultLimits returns limits for a small entry instance.
func DefaultLimits(cfg authority.Config) Limits {
	return Limits{
		MaxEntries:     40000,
		MaxBytes:       16 << 20,
		MaxAnswerBytes: 8 << 10,
		Retention:      10 * time.Minute,
		DispatchWindow: 5 * time.Second,
		MaxRunTime:     time.Minute,
		AuthorityBound: cfg.AuthorityValidity + cfg.ClockMargin,
	}
}

// Rights reports what the member may do. It is implemented by package authority.
type Rights interface {
	// Holds reports whether the member has authority at its epoch.
	Holds(now time.Time) bool
}

// Store holds the keys of one member.
type Store struct {
	self   string
	limits Limits
	rights Rights

	partitions [ownership.PartitionCount]partition
	// tables holds the most recent membership tables, oldest first; the last one is in
	// force.
	tables []epochTable
	// sequence is the sequence number of the last state that this member wrote.
	sequence int64
	entries  int
	bytes    int
}

// partition is the state of one key partition.
type partition struct {
	entries map[string]*Entry
	// completeBelow is the epoch below which every permit is known here: each key
	// permitted by a home at an older epoch has an entry, unless the entry has expired.
	completeBelow int64
	// wasHolder is true if the member has been a holder of the partition, so that other
	// holders may need its entries.
	wasHolder bool
	// assumeCompleteAt is when a home that does not know all older permits may treat
	// every unknown key as new, because all unknown permits have expired.
	assumeCompleteAt time.Time
	// peerCompleteBelow holds lower bounds of completeBelow at other holders.
	peerCompleteBelow map[string]int64
}

// epochTable is the membership table of one epoch with the holders of each partition.
type epochTable struct {
	epoch   int64
	members map[string]bool
	holders [ownership.PartitionCount]holders
}

// holders are the member IDs of a partition's home and backup; empty if there is none.
type holders struct{ home, backup string }

func (h holders) has(id string) bool { return id != "" && (h.home == id || h.backup == id) }

// maxTables is the number of tables that are kept to follow a partition through
// changes.
const maxTables = 32

// NewStore returns the store of a member that has not read any table yet.
func NewStore(self string, limits Limits, rights Rights) *Store {
	return &Store{self: self, limits: limits, rights: rights}
}

// Epoch returns the epoch in force, zero before the first table.
func (s *Store) Epoch() int64 {
	if len(s.tables) == 0 {
		return 0
	}
	return s.currentTable().epoch
}

// Len returns the number of stored entries.
func (s *Store) Len() int { return s.entries }

func (s *Store) currentTable() *epochTable { return &s.tables[len(s.tables)-1] }

// isComplete reports whether every older permit of the partition is known here.
func (s *Store) isComplete(p int) bool { return s.partitions[p].completeBelow == s.Epoch() }

// TableChanged applies a membership table that was read at now. first means that no
// table precedes it in the log, so there can be no older permits. Tables must be
// applied one by one in the order of their epochs.
func (s *Store) TableChanged(now time.Time, m *ownership.Map, first bool) {
	t := newEpochTable(m)
	if len(s.tables) == 0 && first {
		for p := range s.partitions {
			s.partitions[p].completeBelow = t.epoch
		}
	}
	s.tables = append(s.tables, t)
	if len(s.tables) > maxTables {
		s.tables = append([]epochTable(nil), s.tables[1:]...)
	}
	for p := range s.partitions {
		s.abandonCopies(p)
		s.forgetRemovedMembers(p)
		s.advanceCompleteness(p)
		s.updateAssumeCompleteAt(now, p)
	}
}

// TablesSkipped is called before the next table is applied if tables were skipped
// because the log no longer has them. Other members may have held each partition in
// between, so no partition is complete until a transfer arrives or enough time has
// passed.
func (s *Store) TablesSkipped() {
	s.tables = nil
	for p := range s.partitions {
		s.abandonCopies(p)
		s.partitions[p] = partition{entries: s.partitions[p].entries}
	}
}

func newEpochTable(m *ownership.Map) epochTable {
	t := epochTable{epoch: m.Epoch(), members: make(map[string]bool)}
	for _, member := range m.Table().Members {
		t.members[member.ID] = true
	}
	for p := range t.holders {
		home, backup := m.HomeOfPartition(p)
		t.holders[p] = holders{home: home.ID, backup: backup.ID}
	}
	return t
}

// abandonCopies frees the keys whose intent was being copied at the previous epoch. No
// permit was granted for them.
func (s *Store) abandonCopies(p int) {
	for _, e := range s.partitions[p].entries {
		if e.State == Copying {
			e.State = Free
		}
	}
}

// forgetRemovedMembers drops the completeness of members that are no longer in the
// table.
func (s *Store) forgetRemovedMembers(p int) {
	for id := range s.partitions[p].peerCompleteBelow {
		if !s.currentTable().members[id] {
			delete(s.partitions[p].peerCompleteBelow, id)
		}
	}
}

// advanceCompleteness raises completeBelow past every ended epoch in which the member
// was a holder of the partition: the member knows the permits of that epoch, either as
// their home or as the backup whose answer each of them needed. It does the same for
// the other holders.
func (s *Store) advanceCompleteness(p int) {
	part := &s.partitions[p]
	for i := range len(s.tables) - 1 {
		t := &s.tables[i]
		next := s.tables[i+1].epoch
		if part.completeBelow == t.epoch && t.holders[p].has(s.self) {
			part.completeBelow = next
			part.wasHolder = true
		}
		for id, completeBelow := range part.peerCompleteBelow {
			if completeBelow == t.epoch && t.holders[p].has(id) {
				part.peerCompleteBelow[id] = next
			}
		}
	}
}

// updateAssumeCompleteAt sets the time from which a home that misses older permits may
// assume that they have expired.
func (s *Store) updateAssumeCompleteAt(now time.Time, p int) {
	part := &s.partitions[p]
	switch {
	case s.currentTable().holders[p].home != s.self || s.isComplete(p):
		part.assumeCompleteAt = time.Time{}
	case part.assumeCompleteAt.IsZero():
		part.assumeCompleteAt = now.Add(s.limits.AuthorityBound + s.limits.Retention)
	}
}

// Expire drops entries older than the retention, and marks partitions as complete whose
// unknown permits must have expired.
func (s *Store) Expire(now time.Time) {
	for p := range s.partitions {
		part := &s.partitions[p]
		for key, e := range part.entries {
			if now.Sub(e.PermittedAt) >= s.limits.Retention {
				s.drop(p, key)
			}
		}
		if !part.assumeCompleteAt.IsZero() && !now.Before(part.assumeCompleteAt) {
			part.assumeCompleteAt = time.Time{}
			part.completeBelow = s.Epoch()
			part.wasHolder = true
		}
	}
}

// put stores an entry in place of an older one of the same key.
func (s *Store) put(p int, e *Entry) {
	part := &s.partitions[p]
	if part.entries == nil {
		part.entries = make(map[string]*Entry)
	}
	s.drop(p, e.Key)
	part.entries[e.Key] = e
	s.entries++
	s.bytes += e.size()
}

func (s *Store) drop(p int, key string) {
	e, found := s.partitions[p].entries[key]
	if !found {
		return
	}
	delete(s.partitions[p].entries, key)
	s.entries--
	s.bytes -= e.size()
}

// checkCapacity returns an error if the store is full.
func (s *Store) checkCapacity() error {
	if s.entries < s.limits.MaxEntries && s.bytes < s.limits.MaxBytes {
		return nil
	}
	const retry = 5 * time.Second
	return structs.NewRetryAfterError(structs.CodeOverload, retry, "%d request keys are stored, which is the limit", s.entries)
}

func (s *Store) nextVersion() Version {
	s.sequence++
	return Version{Epoch: s.Epoch(), Sequence: s.sequence}
}
