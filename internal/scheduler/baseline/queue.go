// Package baseline also contains the policy against which admission and endpoint
// selection are measured: one unbounded FIFO queue whose first request goes to a random
// endpoint with a free slot. It does no I/O.
package baseline

import (
	"math/rand/v2"
	"slices"
)

// Queue contains requests of type T in order of arrival and counts the free slots of
// endpoints, which are numbered from 0.
type Queue[T comparable] struct {
	rng       *rand.Rand
	freeSlots []int
	requests  []T
}

// NewQueue returns an empty queue for the given number of endpoints, each with the
// given number of slots.
func NewQueue[T comparable](rng *rand.Rand, endpoints, slots int) *Queue[T] {
	return &Queue[T]{rng: rng, freeSlots: slices.Repeat([]int{slots}, endpoints)}
}

// Add appends a request.
func (q *Queue[T]) Add(r T) { q.requests = append(q.requests, r) }

// Remove removes a request whose caller has disconnected. It reports whether the
// request was queued.
func (q *Queue[T]) Remove(r T) bool {
	i := slices.Index(q.requests, r)
	if i < 0 {
		return false
	}
	q.requests = slices.Delete(q.requests, i, i+1)
	return true
}

// Next removes the first request if an endpoint has a free slot. The request occupies
// that slot until Done.
func (q *Queue[T]) Next() (r T, endpoint int, ok bool) {
	if len(q.requests) == 0 {
		return r, 0, false
	}
	endpoint, ok = q.randomFreeEndpoint()
	if !ok {
		return r, 0, false
	}
	r = q.requests[0]
	q.requests = q.requests[1:]
	q.freeSlots[endpoint]--
	return r, endpoint, true
}

// Done releases a slot of an endpoint.
func (q *Queue[T]) Done(endpoint int) { q.freeSlots[endpoint]++ }

// randomFreeEndpoint returns the first endpoint with a free slot, starting the search
// at a random endpoint.
func (q *Queue[T]) randomFreeEndpoint() (int, bool) {
	first := q.rng.IntN(len(q.freeSlots))
	for i := range q.freeSlots {
		endpoint := (first + i) % len(q.freeSlots)
		if q.freeSlots[endpoint] > 0 {
			return endpoint, true
		}
	}
	return 0, false
}
