package gang

import (
	"slices"
	"time"
)

// Claims is kept by an owner of workers: the gangs that have reserved there or wait
// for workers to become free, in job order. Claims end by themselves, so that a job's
// owner that dies blocks nobody for long.
type Claims struct {
	list []Claim
}

// Claim is one gang's wish at this owner.
type Claim struct {
	Rank Rank
	// Reserved says that room is set aside; the gang else waits for it.
	Reserved bool
	Until    time.Time
}

// Standing is what an owner tells a gang that asks for room.
type Standing uint8

const (
	// Proceed means that no earlier gang waits here: the gang may reserve, and
	// workers may be held for it.
	Proceed Standing = iota + 1
	// BehindEarlierGang means that an earlier gang waits here: the gang may reserve what is
	// free beside the workers held for that one, but holds none itself.
	BehindEarlierGang
)

// Renew renews or adds a claim until a time, and tells the gang's standing. Claims that
// have run out do not count; Expire ends them.
func (c *Claims) Renew(now time.Time, rank Rank, until time.Time) Standing {
	at, found := c.find(rank)
	if found {
		c.list[at].Until = until
	} else {
		c.list = slices.Insert(c.list, at, Claim{Rank: rank, Until: until})
	}
	for _, earlier := range c.list[:at] {
		if !earlier.Reserved && now.Before(earlier.Until) {
			return BehindEarlierGang
		}
	}
	return Proceed
}

// MarkReserved marks that room was set aside for a gang.
func (c *Claims) MarkReserved(rank Rank) {
	if at, found := c.find(rank); found {
		c.list[at].Reserved = true
	}
}

// WoundCandidates returns the later gangs that have reserved here, the last first. The owner
// releases the room of as many as a waiting gang of the rank needs; their job owners
// learn of it when they try to start, and release the rest.
func (c *Claims) WoundCandidates(rank Rank) []Rank {
	var later []Rank
	for _, claim := range slices.Backward(c.list) {
		if claim.Reserved && claim.Rank.Compare(rank) > 0 {
			later = append(later, claim.Rank)
		}
	}
	return later
}

// FirstWaiting returns the first gang that waits: the one for which workers are held.
func (c *Claims) FirstWaiting(now time.Time) (Rank, bool) {
	for _, claim := range c.list {
		if !claim.Reserved && now.Before(claim.Until) {
			return claim.Rank, true
		}
	}
	return Rank{}, false
}

// Remove removes a gang that has started, was released or was cancelled.
func (c *Claims) Remove(rank Rank) {
	if at, found := c.find(rank); found {
		c.list = slices.Delete(c.list, at, at+1)
	}
}

// RemoveJob removes the claims of a job whose rank is not at hand.
func (c *Claims) RemoveJob(job string) {
	c.list = slices.DeleteFunc(c.list, func(claim Claim) bool { return claim.Rank.Job == job })
}

// Expire removes claims that have run out and returns their gangs, whose reserved
// room is to be released.
func (c *Claims) Expire(now time.Time) []Rank {
	var ended []Rank
	c.list = slices.DeleteFunc(c.list, func(claim Claim) bool {
		if now.Before(claim.Until) {
			return false
		}
		ended = append(ended, claim.Rank)
		return true
	})
	return ended
}

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.list) }

// find returns the place of a rank in the list.
func (c *Claims) find(rank Rank) (int, bool) {
	return slices.BinarySearchFunc(c.list, rank, func(claim Claim, r Rank) int { return claim.Rank.Compare(r) })
}
