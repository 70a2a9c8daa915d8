package keyhome

import (
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// Transfer carries the content of partitions to another of their holders, which may not
// know all older permits.
type Transfer struct {
	From, To string
	// Epoch is the sender's epoch.
	Epoch      int64
	Partitions []PartitionContent
}

// PartitionContent is the content of one partition.
type PartitionContent struct {
	Partition int
	// CompleteBelow is the epoch below which Entries contains every permit.
	CompleteBelow int64
	Entries       []Entry
}

// maxTransferBytes limits the entries of one transfer. A single partition may exceed
// it.
const maxTransferBytes = 256 << 10

// PendingTransfers returns what other holders still need from this member, at most one
// transfer for each of them. It is called after every table change and then
// periodically until it returns nothing; TransferAcked is called with the acknowledged
// transfers.
func (s *Store) PendingTransfers(now time.Time) []Transfer {
	byTarget := make(map[string]*Transfer)
	bytesLeft := make(map[string]int)
	for p := range s.partitions {
		for _, to := range s.membersNeeding(p) {
			t, found := byTarget[to]
			if !found {
				t = &Transfer{From: s.self, To: to, Epoch: s.Epoch()}
				byTarget[to] = t
				bytesLeft[to] = maxTransferBytes
			}
			if bytesLeft[to] <= 0 {
				continue
			}
			content := s.partitionContent(now, p)
			for i := range content.Entries {
				bytesLeft[to] -= content.Entries[i].size()
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

// membersNeeding returns the members that may need the partition from this one: the
// holders at the first epoch whose permits this member does not know completely. Those
// holders know the permits of that epoch, so that with this member's entries they know
// all.
func (s *Store) membersNeeding(p int) []string {
	part := &s.partitions[p]
	holder := part.wasHolder || s.isHolder(p)
	if !holder || part.completeBelow == 0 {
		return nil
	}
	var to []string
	for i := range s.tables {
		if s.tables[i].epoch != part.completeBelow {
			continue
		}
		h := s.tables[i].holders[p]
		for _, id := range []string{h.home, h.backup} {
			if id != "" && id != s.self && s.currentTable().members[id] && part.peerCompleteBelow[id] < part.completeBelow {
				to = append(to, id)
			}
		}
	}
	return to
}

// Drained reports whether no other member needs anything from this one. A leaving
// member stays until then, or until its grace period is over.
func (s *Store) Drained() bool {
	for p := range s.partitions {
		if len(s.membersNeeding(p)) > 0 {
			return false
		}
	}
	return true
}

// isHolder reports whether this member is a holder of the partition now.
func (s *Store) isHolder(p int) bool {
	return len(s.tables) > 0 && s.currentTable().holders[p].has(s.self)
}

// partitionContent returns the live entries of a partition. An entry in state Copying is
// sent as Intended.
func (s *Store) partitionContent(now time.Time, p int) PartitionContent {
	part := &s.partitions[p]
	content := PartitionContent{Partition: p, CompleteBelow: part.completeBelow}
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

// ApplyTransfer stores the content of a transfer. ageOf returns the age of an entry at
// the time of sending, by the indexes of its partition and entry in the transfer. A
// member that has not read the tables that the transfer refers to refuses it.
func (s *Store) ApplyTransfer(now time.Time, t Transfer, ageOf func(part, entry int) time.Duration) error {
	for _, content := range t.Partitions {
		if content.Partition < 0 || content.Partition >= len(s.partitions) {
			return structs.NewError(structs.CodeInvalid, "invalid partition %d", content.Partition)
		}
		if content.CompleteBelow > s.Epoch() {
			return structs.NewError(structs.CodeBehind, "the transfer is of epoch %d, this member has read to %d", content.CompleteBelow, s.Epoch())
		}
	}
	for i, content := range t.Partitions {
		for j := range content.Entries {
			e := content.Entries[j]
			e.PermittedAt = now.Add(-ageOf(i, j))
			s.merge(content.Partition, &e)
		}
		s.raiseCompleteBelow(now, content.Partition, content.CompleteBelow)
		s.recordPeerCompleteBelow(content.Partition, t.From, content.CompleteBelow)
	}
	return nil
}

// raiseCompleteBelow records that every permit below an epoch is known here.
func (s *Store) raiseCompleteBelow(now time.Time, p int, epoch int64) {
	part := &s.partitions[p]
	if epoch <= part.completeBelow {
		return
	}
	part.completeBelow = epoch
	s.advanceCompleteness(p)
	s.updateAssumeCompleteAt(now, p)
}

// TransferAcked is called when the receiver has stored a transfer.
func (s *Store) TransferAcked(t Transfer) {
	for _, content := range t.Partitions {
		s.recordPeerCompleteBelow(content.Partition, t.To, content.CompleteBelow)
	}
}

// recordPeerCompleteBelow records a lower bound of completeBelow at another member.
func (s *Store) recordPeerCompleteBelow(p int, id string, completeBelow int64) {
	part := &s.partitions[p]
	if part.peerCompleteBelow == nil {
		part.peerCompleteBelow = make(map[string]int64)
	}
	if completeBelow > part.peerCompleteBelow[id] {
		part.peerCompleteBelow[id] = completeBelow
	}
	s.advanceCompleteness(p)
}
