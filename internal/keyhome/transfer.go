package keyhome

import (
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// Transfer carries partitions to a member that holds them and may not know their
// older permits.
type Transfer struct {
	From, To string
	// Epoch is the sender's.
	Epoch      int64
	Partitions []PartitionContent
}

// PartitionContent is the content of one partition.
type PartitionContent struct {
	Partition int
	// CompleteBelow is the epoch below which Entries holds every permit.
	CompleteBelow int64
	Entries       []Entry
}

// maxTransferBytes bounds the entries of one transfer; a single partition may pass
// it.
const maxTransferBytes = 256 << 10

// PendingTransfers returns what other holders still need from this member, one transfer for
// each of them at most. It is called after a change of the table and regularly until
// it returns nothing; TransferAcked takes the answers.
func (s *Store) PendingTransfers(now time.Time) []Transfer {
	byTarget := make(map[string]*Transfer)
	room := make(map[string]int)
	for p := range s.parts {
		for _, to := range s.needy(p) {
			t, found := byTarget[to]
			if !found {
				t = &Transfer{From: s.self, To: to, Epoch: s.Epoch()}
				byTarget[to] = t
				room[to] = maxTransferBytes
			}
			if room[to] <= 0 {
				continue
			}
			content := s.content(now, p)
			for i := range content.Entries {
				room[to] -= content.Entries[i].size()
			}
			t.Partitions = append(t.Partitions, content)
		}
	}
	transfers := make([]Transfer, 0, len(byTarget))
	for _, t := range byTarget {
		transfers = append(transfers, *t)
	}
	slices.SortFunc(transfers, func(a, b Transfer) int {
		if a.To < b.To {
			return -1
		}
		return 1
	})
	return transfers
}

// needy returns the members that may need the partition from this one: the holders
// of the first term whose permits this member does not know for certain. They hold
// those permits, so that together they know all.
func (s *Store) needy(p int) []string {
	part := &s.parts[p]
	held := part.source || s.holdsNow(p)
	if !held || part.covers == 0 {
		return nil
	}
	var to []string
	for i := range s.terms {
		if s.terms[i].epoch != part.covers {
			continue
		}
		h := s.terms[i].holders[p]
		for _, id := range []string{h.home, h.backup} {
			if id != "" && id != s.self && s.current().members[id] && part.known[id] < part.covers {
				to = append(to, id)
			}
		}
	}
	return to
}

// Drained reports whether no other member needs anything from this one; a member that
// leaves stays until then, or until its grace time is over.
func (s *Store) Drained() bool {
	for p := range s.parts {
		if len(s.needy(p)) > 0 {
			return false
		}
	}
	return true
}

func (s *Store) holdsNow(p int) bool {
	return len(s.terms) > 0 && s.current().holders[p].has(s.self)
}

func (s *Store) content(now time.Time, p int) PartitionContent {
	part := &s.parts[p]
	content := PartitionContent{Partition: p, CompleteBelow: part.covers}
	for _, e := range part.entries {
		if now.Sub(e.PermittedAt) >= s.limits.Retention {
			continue
		}
		entry := *e
		if entry.State == Copying {
			entry.State = Intended
		}
		content.Entries = append(content.Entries, entry)
	}
	return content
}

// ApplyTransfer takes over a transfer. Ages are those of the entries when it was sent, in
// the order of the parts' entries. A member that has not read the tables that the
// transfer speaks of refuses it.
func (s *Store) ApplyTransfer(now time.Time, t Transfer, age func(part, entry int) time.Duration) error {
	for _, content := range t.Partitions {
		if content.Partition < 0 || content.Partition >= len(s.parts) {
			return structs.NewError(structs.CodeInvalid, "partition %d", content.Partition)
		}
		if content.CompleteBelow > s.Epoch() {
			return structs.NewError(structs.CodeBehind, "the transfer is of epoch %d, this member has read to %d", content.CompleteBelow, s.Epoch())
		}
	}
	for i, content := range t.Partitions {
		for j := range content.Entries {
			e := content.Entries[j]
			e.PermittedAt = now.Add(-age(i, j))
			s.merge(content.Partition, &e)
		}
		s.cover(now, content.Partition, content.CompleteBelow)
		s.learn(content.Partition, t.From, content.CompleteBelow)
	}
	return nil
}

// cover counts that every permit below an epoch is known here.
func (s *Store) cover(now time.Time, p int, epoch int64) {
	part := &s.parts[p]
	if epoch <= part.covers {
		return
	}
	part.covers = epoch
	s.rollForward(p)
	s.startWait(now, p)
}

// TransferAcked is called when the receiver has taken over a transfer.
func (s *Store) TransferAcked(t Transfer) {
	for _, content := range t.Partitions {
		s.learn(content.Partition, t.To, content.CompleteBelow)
	}
}

// learn notes what another member covers, at least.
func (s *Store) learn(p int, id string, covers int64) {
	part := &s.parts[p]
	if part.known == nil {
		part.known = make(map[string]int64)
	}
	if covers > part.known[id] {
		part.known[id] = covers
	}
	s.rollForward(p)
}
