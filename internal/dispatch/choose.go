package dispatch

import (
	"math"
	"slices"
	"time"
)

// noSlotsWait is the expected wait at an entry without slots.
const noSlotsWait = time.Duration(math.MaxInt64 / 4)

// defaultServiceTime is assumed until a service time has been observed.
const defaultServiceTime = 20 * time.Millisecond

// ExpectedWait returns the expected time until a slot is free at an entry with this
// load.
func (l Load) ExpectedWait() time.Duration {
	if l.TotalSlots <= 0 {
		return noSlotsWait
	}
	ahead := l.Queued - l.FreeSlots + 1
	if ahead <= 0 {
		return 0
	}
	service := l.ServiceTime
	if service <= 0 {
		service = defaultServiceTime
	}
	return service * time.Duration(ahead) / time.Duration(l.TotalSlots)
}

// expectedDelay returns the expected wait plus the round trip to the entry.
func (l Load) expectedDelay() time.Duration { return l.ExpectedWait() + l.RoundTrip }

// Destination is where a request goes that found no free slot on an own worker.
type Destination struct {
	// Peer is the peer to forward to; its Member is empty if the request should wait at
	// this entry.
	Peer Load
	// OtherRegion is true for a peer in the other region.
	OtherRegion bool
}

// chooseDestination chooses between waiting at this entry and forwarding to a peer. It
// compares this entry with the better of two random peers in the same region. Two
// random peers of the other region are considered only if even the best choice in this
// region makes the request wait. random(n) returns a number in [0, n). allowCrossRegion
// reports whether the budget of the link between regions allows the request; it is
// called last, because it charges the budget.
func chooseDestination(self Load, peers []Load, exclude []string, random func(n int) int, allowCrossRegion func() bool) Destination {
	sameRegion, otherRegion := splitByRegion(peers, exclude)
	best := Destination{Peer: self}
	if p, ok := lessLoadedOfTwo(sameRegion, random); ok && p.expectedDelay() < best.Peer.expectedDelay() {
		best.Peer = p
	}
	if best.Peer.ExpectedWait() == 0 {
		return best
	}
	p, ok := lessLoadedOfTwo(otherRegion, random)
	if ok && p.expectedDelay() < best.Peer.expectedDelay() && allowCrossRegion() {
		return Destination{Peer: p, OtherRegion: true}
	}
	return best
}

// splitByRegion groups the peers that have slots and are not excluded by region.
func splitByRegion(peers []Load, exclude []string) (sameRegion, otherRegion []Load) {
	for _, p := range peers {
		switch {
		case p.TotalSlots <= 0 || slices.Contains(exclude, p.Member):
		case p.SameRegion:
			sameRegion = append(sameRegion, p)
		default:
			otherRegion = append(otherRegion, p)
		}
	}
	return sameRegion, otherRegion
}

// lessLoadedOfTwo returns the load with the smaller expected delay of two random ones.
func lessLoadedOfTwo(loads []Load, random func(n int) int) (Load, bool) {
	switch len(loads) {
	case 0:
		return Load{}, false
	case 1:
		return loads[0], true
	}
	i := random(len(loads))
	j := random(len(loads) - 1)
	if j >= i {
		j++
	}
	if loads[j].expectedDelay() < loads[i].expectedDelay() {
		return loads[j], true
	}
	return loads[i], true
}
