package gang

import (
	"slices"
	"time"
)

// Claims are the claims of gangs on the workers of one owner, in job order: gangs that
// have reserved resources there and gangs that wait for workers to become free. A claim
// expires, so that the failure of a job's owner does not block other gangs for long.
type Claims struct {
	list []Claim
}

// Claim is the request of one gang to one owner of workers.
type Claim struct {
	Rank Rank
	// Reserved is set once resources are reserved for the gang; otherwise the gang
	// waits for them.
	Reserved bool
	// Until is when the claim expires.
	Until time.Time
}

// Standing tells a gang that requests resources whether an earlier gang waits.
type Standing uint8

const (
	// Proceed means that no earlier gang waits for this owner's workers: the gang may
	// reserve resources, and workers may be reserved for it.
	Proceed Standing = iota + 1
	// BehindEarlierGang means that an earlier gang waits: the gang may reserve what is
	// free on workers not reserved for that gang, but no workers are reserved for it.
	BehindEarlierGang
)

// Renew adds a claim or extends it until the given time, and returns the gang's
// standing. Expired claims do not affect it; Expire removes them.
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

// MarkReserved records that resources were reserved for a gang.
func (c *Claims) MarkReserved(rank Rank) {
	if at, found := c.find(rank); found {
		c.list[at].Reserved = true
	}
}

// WoundCandidates returns the gangs after rank that have reserved resources, the last
// in job order first. The owner releases the resources of as many of them as the
// waiting gang at rank needs. The owners of their jobs learn of that when they try to
// start, and then release the gang's other reservations.
func (c *Claims) WoundCandidates(rank Rank) []Rank {
	var later []Rank
	for _, claim := range slices.Backward(c.list) {
		if claim.Reserved && claim.Rank.Compare(rank) > 0 {
			later = append(later, claim.Rank)
		}
	}
	return later
}

// FirstWaiting returns the first gang in job order that waits; workers are reserved for
// that one.
func (c *Claims) FirstWaiting(now time.Time) (Rank, bool) {
	for _, claim := range c.list {
		if !claim.Reserved && now.Before(claim.Until) {
			return claim.Rank, true
		}
	}
	return Rank{}, false
}

// Remove removes the claim of a gang that has started, was released or was cancelled.
func (c *Claims) Remove(rank Rank) {
	if at, found := c.find(rank); found {
		c.list = slices.Delete(c.list, at, at+1)
	}
}

// RemoveJob removes the claims of a job when the caller does not know its rank.
func (c *Claims) RemoveJob(job string) {
	c.list = slices.DeleteFunc(c.list, func(claim Claim) bool { return claim.Rank.Job == job })
}

// Expire removes expired claims and returns their gangs. The caller releases the
// resources reserved for them.
func (c *Claims) Expire(now time.Time) []Rank {
	var expired []Rank
	c.list = slices.DeleteFunc(c.list, func(claim Claim) bool {
		if now.Before(claim.Until) {
			return false
		}
		expired = append(expired, claim.Rank)
		return true
	})
	return expired
}

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.list) }

// find returns the index of a rank in the list, or where to insert it.
func (c *Claims) find(rank Rank) (int, bool) {
	return slices.BinarySearchFunc(c.list, rank, func(claim Claim, r Rank) int { return claim.Rank.Compare(r) })
}
