package scheduler

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// hash returns a 64-bit hash of names that is the same in every process.
func hash(names ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, name := range names {
		_, _ = d.WriteString(name)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// tieBreak combines two seeds into a rendezvous weight that orders equally good nodes:
// different requests order them differently, the same request always in the same way.
// The constants are those of the SplitMix64 finalizer (Steele, Lea and Flood, 2014).
func tieBreak(a, b uint64) uint64 {
	z := a ^ (b * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// compareNodes orders nodes by worker ID.
func compareNodes(a, b *Node) int { return cmp.Compare(a.worker.ID, b.worker.ID) }

// compareRacks orders racks by region, failure domain and rack.
func compareRacks(a, b *rack) int {
	return cmp.Or(
		cmp.Compare(a.key.region, b.key.region),
		cmp.Compare(a.key.domain, b.key.domain),
		cmp.Compare(a.key.rack, b.key.rack),
	)
}
