// Package baseline is the plain policy that admission and the choice of endpoints are
// measured against: one FIFO queue without a bound, the head of which goes to a random
// endpoint with a free slot. It is for experiments only. It does no I/O.
package baseline

import (
	"math/rand/v2"
	"slices"
)

// Queue holds requests of type T in order of arrival and counts the free slots of
// endpoints, which are numbered from 0.
type Queue[T comparable] struct {
	rng  *rand.Rand
	free []int
	line []T
}

// NewQueue returns a queue before endpoints with so many slots each.
func NewQueue[T comparable](rng *rand.Rand, endpoints, slots int) *Queue[T] {
	return &Queue[T]{rng: rng, free: slices.Repeat([]int{slots}, endpoints)}
}

// Add puts a request at the end.
func (q *Queue[T]) Add(r T) { q.line = append(q.line, r) }

// Remove takes a request whose caller has gone out of the queue. It reports whether
// the request was in it.
func (q *Queue[T]) Remove(r T) bool {
	i := slices.Index(q.line, r)
	if i < 0 {
		return false
	}
	q.line = slices.Delete(q.line, i, i+1)
	return true
}

// Next takes the head if an endpoint has a free slot, which it then holds until Done.
func (q *Queue[T]) Next() (r T, endpoint int, ok bool) {
	if len(q.line) == 0 {
		return r, 0, false
	}
	endpoint, ok = q.randomFree()
	if !ok {
		return r, 0, false
	}
	r = q.line[0]
	q.line = q.line[1:]
	q.free[endpoint]--
	return r, endpoint, true
}

// Done gives a slot back.
func (q *Queue[T]) Done(endpoint int) { q.free[endpoint]++ }

// randomFree returns the first endpoint with a free slot from a random one on.
func (q *Queue[T]) randomFree() (int, bool) {
	first := q.rng.IntN(len(q.free))
	for i := range q.free {
		endpoint := (first + i) % len(q.free)
		if q.free[endpoint] > 0 {
			return endpoint, true
		}
	}
	return 0, false
}
