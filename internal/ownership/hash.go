package ownership

import "github.com/cespare/xxhash/v2"

// hashName returns the hash of a name of a member, group, worker, job or partition.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousWeight returns the rendezvous weight of a node for a key, both given by
// their hashes. As in Thaler and Ravishankar, "Using Name-Based Mappings to Increase
// Hit Rates", 1998, the node with the highest weight owns the key, so that adding or
// removing a node moves only that node's keys. The two hashes are combined by the
// SplitMix64 finalizer (Steele, Lea and Flood, 2014), which avoids hashing the
// concatenated names for every pair.
func rendezvousWeight(node, key uint64) uint64 {
	z := node ^ key
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
