package keyhome

import "dotterelhitch/internal/ownership"

// KnowsOlderPermits reports whether every older permit of the key's partition is known here. A
// new home that does not know may still be told by a transfer.
func (s *Store) KnowsOlderPermits(key string) bool {
	return len(s.terms) > 0 && s.complete(ownership.PartitionOf(key))
}
