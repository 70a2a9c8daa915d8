package admission

import (
	"slices"
	"time"
)

// line is the waiting requests of one class, ordered by deadline. Requests of one
// class mostly arrive in the order of their deadlines, so that an insertion is an
// append.
type line struct {
	class   string
	service *ServiceTime
	// within is the class's target as of its last request.
	within time.Duration
	// requests from head on wait; those before it are gone.
	requests []Request
	head     int
	// running counts requests of the class that hold a slot.
	running int
	// asked is the rate of requests and recent that of the last moment, work and
	// sudden what they ask for in slots, admit the share of requests that may be
	// admitted and credit the rights not used yet.
	asked  Rate
	recent Rate
	work   float64
	sudden float64
	admit  float64
	credit float64
}

// mayStart reports whether a request may take a free slot at once. One that would
// likely miss its deadline may do so if no other of its class runs, since the
// estimate could never fall again otherwise.
func (l *line) mayStart(left time.Duration) bool {
	return left > 0 && (l.service.Mean() <= left || l.running == 0)
}

// waiting returns the requests that wait.
func (l *line) waiting() []Request { return l.requests[l.head:] }

// insert adds a request.
func (l *line) insert(r Request) {
	at, _ := slices.BinarySearchFunc(l.waiting(), r, compareRequests)
	if at == 0 && l.head > 0 {
		l.head--
		l.requests[l.head] = r
		return
	}
	l.requests = slices.Insert(l.requests, l.head+at, r)
}

// pop takes the request with the earliest deadline.
func (l *line) pop() Request {
	r := l.requests[l.head]
	l.requests[l.head] = Request{}
	l.head++
	if l.head*2 > len(l.requests) {
		l.requests = slices.Delete(l.requests, 0, l.head)
		l.head = 0
	}
	return r
}

// remove takes a request out and reports whether it waited.
func (l *line) remove(r Request) bool {
	at, found := slices.BinarySearchFunc(l.waiting(), r, compareRequests)
	if found {
		l.requests = slices.Delete(l.requests, l.head+at, l.head+at+1)
	}
	return found
}

// before returns the number of requests that are due no later than a deadline.
func (l *line) before(deadline time.Time) int {
	at, _ := slices.BinarySearchFunc(l.waiting(), deadline, func(r Request, d time.Time) int {
		if r.Deadline.After(d) {
			return 1
		}
		return -1
	})
	return at
}
