// Package keyhome gives requests that bear a key at-most-once semantics over all
// entries of the cell. Each key has a home, which permits its request, and a backup,
// which has the home's intent before the home permits. docs/design/request-keys.md
// gives the argument why no key is permitted twice.
//
// A Store is the part of one member, in both roles. It is plain state with the clock
// passed in and is run by the one control goroutine; its methods must not be called
// from two goroutines at once. What they return says what to send.
package keyhome

import (
	"time"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// Limits bounds a store. All members of a cell have the same.
type Limits struct {
	// MaxEntries and Bytes bound what is kept; requests beyond are refused.
	MaxEntries int
	MaxBytes   int
	// MaxAnswerBytes is the largest answer body that is kept for a repeat.
	MaxAnswerBytes int
	// Retention is how long a key is remembered from its permit.
	Retention time.Duration
	// DispatchWindow is how long a permit may be used, counted by the dispatching entry
	// from the start of its call.
	DispatchWindow time.Duration
	// MaxRunTime is how long a request may take from its permit. Retention is longer.
	MaxRunTime time.Duration
	// AuthorityBound is the authority bound with its clock margin.
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

// Rights says what the member may do; package authority decides it.
type Rights interface {
	// Holds reports whether the member has authority at its epoch.
	Holds(now time.Time) bool
}

// Store is one member's share of the keys.
type Store struct {
	self   string
	limits Limits
	rights Rights

	parts [ownership.PartitionCount]part
	// terms are the tables read lately, oldest first; the last is in force.
	terms []term
	// sequence numbers the states that this member writes.
	sequence int64
	entries  int
	bytes    int
}

// part is one partition.
type part struct {
	entries map[string]*Entry
	// covers is the epoch below which every permit is known here: each key that a
	// home permitted at an older epoch has an entry, unless it expired.
	covers int64
	// source says that the member has held the partition, so that others may need
	// what it knows.
	source bool
	// certainAt is when a home without the older permits may take every key that
	// it does not know for new: they have all expired.
	certainAt time.Time
	// known are the covers of other holders, as far as they were told.
	known map[string]int64
}

// term is the table of an epoch with the holders of each partition.
type term struct {
	epoch   int64
	members map[string]bool
	holders [ownership.PartitionCount]holders
}

// holders are the IDs of a partition's home and backup; empty if there is none.
type holders struct{ home, backup string }

func (h holders) has(id string) bool { return id != "" && (h.home == id || h.backup == id) }

// maxTerms bounds the tables that are kept to follow a partition through changes.
const maxTerms = 32

// NewStore returns the store of a member that has read no table yet.
func NewStore(self string, limits Limits, rights Rights) *Store {
	return &Store{self: self, limits: limits, rights: rights}
}

// Epoch returns the epoch in force, zero before the first table.
func (s *Store) Epoch() int64 {
	if len(s.terms) == 0 {
		return 0
	}
	return s.current().epoch
}

// Len returns the number of entries kept.
func (s *Store) Len() int { return s.entries }

func (s *Store) current() *term { return &s.terms[len(s.terms)-1] }

// complete reports whether every older permit of the partition is known here.
func (s *Store) complete(p int) bool { return s.parts[p].covers == s.Epoch() }

// TableChanged takes over a table, read at now. First says that no table came before
// it in the log: no permit can be older. Tables are taken over one by one in the
// order of their epochs.
func (s *Store) TableChanged(now time.Time, m *ownership.Map, first bool) {
	t := newTerm(m)
	if len(s.terms) == 0 && first {
		for p := range s.parts {
			s.parts[p].covers = t.epoch
		}
	}
	s.terms = append(s.terms, t)
	if len(s.terms) > maxTerms {
		s.terms = append([]term(nil), s.terms[1:]...)
	}
	for p := range s.parts {
		s.abandonCopies(p)
		s.forgetGone(p)
		s.rollForward(p)
		s.startWait(now, p)
	}
}

// TablesSkipped is called when tables were skipped because the log no longer has them,
// before the next table is taken over. Others may have held each partition in
// between, so that nothing is known for certain until they or time tell.
func (s *Store) TablesSkipped() {
	s.terms = nil
	for p := range s.parts {
		s.abandonCopies(p)
		s.parts[p] = part{entries: s.parts[p].entries}
	}
}

func newTerm(m *ownership.Map) term {
	t := term{epoch: m.Epoch(), members: make(map[string]bool)}
	for _, member := range m.Table().Members {
		t.members[member.ID] = true
	}
	for p := range t.holders {
		home, backup := m.HomeOfPartition(p)
		t.holders[p] = holders{home: home.ID, backup: backup.ID}
	}
	return t
}

// abandonCopies gives up permits whose copy was under way at the old epoch. They
// were not granted.
func (s *Store) abandonCopies(p int) {
	for _, e := range s.parts[p].entries {
		if e.State == Copying {
			e.State = Free
		}
	}
}

// forgetGone drops what is known of members that are no more in the table.
func (s *Store) forgetGone(p int) {
	for id := range s.parts[p].known {
		if !s.current().members[id] {
			delete(s.parts[p].known, id)
		}
	}
}

// rollForward raises covers over every term that is over and in which the member
// held the partition: it then knows the permits of that term as well, as their home,
// or as the backup whose answer each of them needed.
func (s *Store) rollForward(p int) {
	part := &s.parts[p]
	for i := range len(s.terms) - 1 {
		t := &s.terms[i]
		next := s.terms[i+1].epoch
		if part.covers == t.epoch && t.holders[p].has(s.self) {
			part.covers = next
			part.source = true
		}
		for id, covers := range part.known {
			if covers == t.epoch && t.holders[p].has(id) {
				part.known[id] = next
			}
		}
	}
}

// startWait sets from when a home that misses older permits is certain of its keys.
func (s *Store) startWait(now time.Time, p int) {
	part := &s.parts[p]
	switch {
	case s.current().holders[p].home != s.self || s.complete(p):
		part.certainAt = time.Time{}
	case part.certainAt.IsZero():
		part.certainAt = now.Add(s.limits.AuthorityBound + s.limits.Retention)
	}
}

// Expire drops what is older than the retention, and ends the wait of partitions
// whose unknown permits must have expired.
func (s *Store) Expire(now time.Time) {
	for p := range s.parts {
		part := &s.parts[p]
		for key, e := range part.entries {
			if now.Sub(e.PermittedAt) >= s.limits.Retention {
				s.drop(p, key)
			}
		}
		if !part.certainAt.IsZero() && !now.Before(part.certainAt) {
			part.certainAt = time.Time{}
			part.covers = s.Epoch()
			part.source = true
		}
	}
}

// put keeps an entry in place of an older one of its key.
func (s *Store) put(p int, e *Entry) {
	part := &s.parts[p]
	if part.entries == nil {
		part.entries = make(map[string]*Entry)
	}
	s.drop(p, e.Key)
	part.entries[e.Key] = e
	s.entries++
	s.bytes += e.size()
}

func (s *Store) drop(p int, key string) {
	e, found := s.parts[p].entries[key]
	if !found {
		return
	}
	delete(s.parts[p].entries, key)
	s.entries--
	s.bytes -= e.size()
}

// room returns an error if the store is full.
func (s *Store) room() error {
	if s.entries < s.limits.MaxEntries && s.bytes < s.limits.MaxBytes {
		return nil
	}
	const retry = 5 * time.Second
	return structs.NewRetryAfterError(structs.CodeOverload, retry, "%d request keys are remembered, which is the limit", s.entries)
}

func (s *Store) nextVersion() Version {
	s.sequence++
	return Version{Epoch: s.Epoch(), Sequence: s.sequence}
}
