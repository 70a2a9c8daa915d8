package ownership

import "github.com/cespare/xxhash/v2"

// hashName returns the hash of a member, group, worker, job or partition name.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// score returns the rendezvous weight of a node for a key, both given by their
// hashes. The rule is that of Thaler and Ravishankar, "Using Name-Based Mappings
// to Increase Hit Rates", 1998: the node with the highest weight has the key, so
// that a node that comes or goes moves only its own keys. The two hashes are
// joined with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014), which
// spares hashing the joined names for every pair.
func score(node, key uint64) uint64 {
	z := node ^ key
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
