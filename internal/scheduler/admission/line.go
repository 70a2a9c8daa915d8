package admission

import (
	"slices"
	"time"
)

// classQueue contains the waiting requests of one class, ordered by deadline. Requests
// of one class mostly arrive in the order of their deadlines, so that most insertions
// are appends.
type classQueue struct {
	class       string
	serviceTime *ServiceTime
	// target is the answer target of the class, as stated by its latest request.
	target time.Duration
	// requests[head:] are waiting; the elements before head have been removed.
	requests []Request
	head     int
	// running counts requests of the class that occupy a slot.
	running int
	// requestRate is the rate of requests and recentRequestRate its value over
	// recentRateWindow. demandSlots is the number of slots that requestRate needs,
	// peakDemandSlots the number for the higher of both rates. admitShare is the share
	// of requests that may be admitted while shares are enforced, and admitCredit the
	// accumulated fraction of an admission.
	requestRate       Rate
	recentRequestRate Rate
	demandSlots       float64
	peakDemandSlots   float64
	admitShare        float64
	admitCredit       float64
}

// mayStartNow reports whether a request with the given time to its deadline may use a
// free slot at once. A request that would probably miss its deadline may do so if no
// other request of its class is running, since without a new sample the estimate could
// never decrease.
func (q *classQueue) mayStartNow(timeLeft time.Duration) bool {
	return timeLeft > 0 && (q.serviceTime.Mean() <= timeLeft || q.running == 0)
}

// waitingRequests returns the waiting requests, earliest deadline first.
func (q *classQueue) waitingRequests() []Request { return q.requests[q.head:] }

func (q *classQueue) insert(r Request) {
	index, _ := slices.BinarySearchFunc(q.waitingRequests(), r, compareRequests)
	if index == 0 && q.head > 0 {
		q.head--
		q.requests[q.head] = r
		return
	}
	q.requests = slices.Insert(q.requests, q.head+index, r)
}

// pop removes and returns the request with the earliest deadline.
func (q *classQueue) pop() Request {
	r := q.requests[q.head]
	q.requests[q.head] = Request{}
	q.head++
	if q.head*2 > len(q.requests) {
		q.requests = slices.Delete(q.requests, 0, q.head)
		q.head = 0
	}
	return r
}

// remove removes a request and reports whether it was waiting.
func (q *classQueue) remove(r Request) bool {
	index, found := slices.BinarySearchFunc(q.waitingRequests(), r, compareRequests)
	if found {
		q.requests = slices.Delete(q.requests, q.head+index, q.head+index+1)
	}
	return found
}

// countDueBy returns the number of waiting requests that are due no later than a
// deadline.
func (q *classQueue) countDueBy(deadline time.Time) int {
	at, _ := slices.BinarySearchFunc(q.waitingRequests(), deadline, func(r Request, d time.Time) int {
		if r.Deadline.After(d) {
			return 1
		}
		return -1
	})
	return at
}
