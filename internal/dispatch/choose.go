package dispatch

import (
	"math"
	"slices"
	"time"
)

// noSlots is the expected wait at an entry that has no slot at all.
const noSlots = time.Duration(math.MaxInt64 / 4)

// defaultService stands for a service time that was not observed yet.
const defaultService = 20 * time.Millisecond

// ExpectedWait is the expected time until a slot is free at an entry with this load.
func (l Load) ExpectedWait() time.Duration {
	if l.TotalSlots <= 0 {
		return noSlots
	}
	ahead := l.Queued - l.FreeSlots + 1
	if ahead <= 0 {
		return 0
	}
	service := l.ServiceTime
	if service <= 0 {
		service = defaultService
	}
	return service * time.Duration(ahead) / time.Duration(l.TotalSlots)
}

// delay is the wait and the way there and back.
func (l Load) delay() time.Duration { return l.ExpectedWait() + l.RoundTrip }

// Destination is where a request that found no own slot goes.
type Destination struct {
	// Peer is the peer to forward to; its Member is empty to wait at home.
	Peer Load
	// OtherRegion is true for a peer in the other region.
	OtherRegion bool
}

// choose picks the place for a request. It takes two random peers of the region
// and compares the better one with waiting at home; two random ones of the other
// region are looked at only if even the best near place makes the request wait.
// random(n) returns a number below n; far reports whether the link's budget
// allows a request, and is asked last.
func choose(self Load, peers []Load, exclude []string, random func(n int) int, far func() bool) Destination {
	near, remote := split(peers, exclude)
	best := Destination{Peer: self}
	if p, ok := twoChoices(near, random); ok && p.delay() < best.Peer.delay() {
		best.Peer = p
	}
	if best.Peer.ExpectedWait() == 0 {
		return best
	}
	p, ok := twoChoices(remote, random)
	if ok && p.delay() < best.Peer.delay() && far() {
		return Destination{Peer: p, OtherRegion: true}
	}
	return best
}

// split sorts the peers that may be asked by region.
func split(peers []Load, exclude []string) (near, far []Load) {
	for _, p := range peers {
		switch {
		case p.TotalSlots <= 0 || slices.Contains(exclude, p.Member):
		case p.SameRegion:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return near, far
}

// twoChoices returns the less loaded of two random loads.
func twoChoices(loads []Load, random func(n int) int) (Load, bool) {
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
	if loads[j].delay() < loads[i].delay() {
		return loads[j], true
	}
	return loads[i], true
}
