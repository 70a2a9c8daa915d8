package keyhome

import "dotterelhitch/internal/ownership"

// KnowsOlderPermits reports whether every older permit of the key's partition is known
// here. A new home for which this is false may still learn them from a transfer.
func (s *Store) KnowsOlderPermits(key string) bool {
	return len(s.tables) > 0 && s.isComplete(ownership.PartitionOf(key))
}
