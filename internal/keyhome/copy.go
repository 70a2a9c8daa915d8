package keyhome

import (
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// ApplyCopy keeps a state of a key at the backup. An error means that it was not kept.
// A member at a newer epoch refuses: once it has moved on, no permit of the old
// epoch can come about without being among its entries.
func (s *Store) ApplyCopy(now time.Time, c *KeyCopy, age time.Duration) error {
	p := ownership.PartitionOf(c.Entry.Key)
	switch {
	case c.Epoch < s.Epoch():
		return structs.NewError(structs.CodeStaleEpoch, "the copy is of epoch %d, this member is at %d", c.Epoch, s.Epoch())
	case c.Epoch > s.Epoch():
		return structs.NewError(structs.CodeBehind, "the copy is of epoch %d, this member has read to %d", c.Epoch, s.Epoch())
	case s.current().holders[p] != (holders{home: c.From, backup: s.self}):
		return structs.NewError(structs.CodeNotOwner, "this member is not the backup of the key")
	}
	if s.live(now, p, c.Entry.Key) == nil {
		if err := s.room(); err != nil {
			return err
		}
	}
	e := c.Entry
	e.PermittedAt = now.Add(-age)
	if !s.merge(p, &e) {
		return structs.NewError(structs.CodeConflict, "a newer state of the key is known here")
	}
	return nil
}

// merge keeps an entry unless a newer state of its key is known, which it reports as
// false. The same state again is kept too.
func (s *Store) merge(p int, e *Entry) bool {
	have := s.parts[p].entries[e.Key]
	if have != nil && e.Version.Before(have.Version) {
		return false
	}
	if have == nil || have.Version != e.Version {
		s.put(p, e)
	}
	return true
}
