package leaderlease

import (
	"time"
)

// Timing holds the durations of a leader lease.
type Timing struct {
	// Lease is how long a controller may issue orders after its epoch was shown to be current.
	Lease time.Duration
	// MaxLease is how long it may issue orders after the store last showed that, however often
	// its witnesses renew the lease.
	MaxLease time.Duration
}

const (
	// maxClockDrift is the largest fraction by which the clock of a machine may run slow.
	maxClockDrift = 0.02
	// expiryMargin is added to the computed expiry of another controller's lease.
	expiryMargin = 20 * time.Millisecond
)

// expiry returns the time by which a lease has expired, by any clock, that another controller renewed
// at a time at the latest.
func expiry(renewed time.Time, lease time.Duration) time.Time {
	return renewed.Add(time.Duration(float64(lease)/(1-maxClockDrift)) + expiryMargin)
}

// WitnessSet holds the witnesses of the controller of an epoch, by the names of their machines.
type WitnessSet struct {
	Epoch int64    `json:"epoch"`
	Nodes []string `json:"nodes"`
}

// quorum returns the number of witnesses that have to follow the epoch for a renewal. One may be
// missing if there are enough of them.
func (s *WitnessSet) quorum() int {
	const minToMissOne = 3
	if len(s.Nodes) < minToMissOne {
		return len(s.Nodes)
	}
	return len(s.Nodes) - 1
}

// renewable reports whether enough of the witnesses follow the epoch for a renewal. A set without
// witnesses is renewable at all times.
func (s *WitnessSet) renewable(follows map[string]bool) bool {
	return s.count(follows) >= s.quorum()
}

// revoked reports whether so many of the witnesses have left the epoch that the others are too few for
// a renewal.
func (s *WitnessSet) revoked(left map[string]bool) bool {
	return len(s.Nodes)-s.count(left) < s.quorum()
}

// count returns the number of witnesses that are in a set of nodes.
func (s *WitnessSet) count(nodes map[string]bool) int {
	n := 0
	for _, node := range s.Nodes {
		if nodes[node] {
			n++
		}
	}
	return n
}

// Record is what a controller stores about leader leases for its successors: the controllers with
// epochs from From to Epoch that may still issue orders hold their leases by the sets in Sets, or for
// Timing.Lease after a call of the store if they have none there.
type Record struct {
	Epoch int64        `json:"epoch"`
	From  int64        `json:"from"`
	Sets  []WitnessSet `json:"sets,omitempty"`
	// UnreachedMs are the workers to which the controller has granted no lease: all leases there
	// have ended by that many milliseconds after the record was stored.
	UnreachedMs map[string]int64 `json:"unreached_ms,omitempty"`
}
