package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultAnswerTarget is the answer target of a class that specifies none.
	DefaultAnswerTarget = 10 * time.Second
	// usableTimePercent is the percentage of the time to a request's deadline that its
	// estimated wait and service time may use. The rest covers estimation errors.
	usableTimePercent = 90
	// maxRetryTargets bounds the retry time in multiples of the class's target.
	maxRetryTargets = 30
	// minRetryAfter is the lower bound of the time from which the retry time is
	// derived.
	minRetryAfter = 100 * time.Millisecond
)

// Controller admits requests to the slots of one entry's workers. Waiting requests are
// ordered by deadline across all classes. A request is refused on arrival if the
// requests due before it leave it too little time. A waiting request is dropped without
// having been run once it can no longer meet its deadline. Refusing by expected delay
// follows the sojourn-time rule of Nichols and Jacobson, "Controlling Queue Delay",
// 2012; here the bound is the deadline of each request.
type Controller struct {
	queues       []*classQueue
	waiting      map[string]Request
	queueByClass map[string]*classQueue
	slots        int
	// running counts requests that occupy a slot.
	running        int
	arrivalRate    Rate
	completionRate Rate
	dropped        []Request
	fairness       fairness
}

// NewController returns a controller with zero slots.
func NewController() *Controller {
	return &Controller{waiting: make(map[string]Request), queueByClass: make(map[string]*classQueue)}
}

// SetSlots sets the number of requests that may run concurrently.
func (c *Controller) SetSlots(n int) { c.slots = n }

// NumWaiting returns the number of waiting requests.
func (c *Controller) NumWaiting() int { return len(c.waiting) }

// NumRunning returns the number of requests that occupy a slot.
func (c *Controller) NumRunning() int { return c.running }

// ServiceTime returns the service time estimate of a class.
func (c *Controller) ServiceTime(class string) *ServiceTime { return c.classQueue(class).serviceTime }

// Admit decides on a new request. For Run, the caller sends the request at once and
// reports its end by Done. For Wait, the request is returned later by Next or
// TakeDropped.
func (c *Controller) Admit(now time.Time, r Request) Decision {
	if r.Target <= 0 {
		r.Target = DefaultAnswerTarget
	}
	c.arrivalRate.Add(now, 1)
	q := c.classQueue(r.Class)
	q.target = r.Target
	q.countRequest(now)
	backlog := c.backlog()
	c.fairness.refresh(now, c.queues, c.slots, backlog)
	timeLeft := r.Deadline.Sub(now)
	if c.running < c.slots && len(c.waiting) == 0 && q.mayStartNow(timeLeft) {
		c.acquireSlot(q)
		return Decision{Verdict: Run, Expected: q.serviceTime.Mean()}
	}
	expected := c.estimateWait(r) + q.serviceTime.HighQuantile()
	if c.slots == 0 || expected > timeLeft*usableTimePercent/100 || (backlog > c.fairness.backlogLimit && !q.spendAdmitCredit()) {
		return Decision{Verdict: Refuse, RetryAfter: c.retryAfter(now, r), Expected: expected}
	}
	q.insert(r)
	c.waiting[r.ID] = r
	return Decision{Verdict: Wait, Expected: expected}
}

// Next removes the waiting request with the earliest deadline and assigns it a slot, if
// one is free. Requests that can no longer meet their deadline are dropped instead;
// TakeDropped returns them.
func (c *Controller) Next(now time.Time) (Request, bool) {
	for c.running < c.slots {
		q := c.nextQueue()
		if q == nil {
			return Request{}, false
		}
		r := q.pop()
		delete(c.waiting, r.ID)
		if now.Add(q.serviceTime.HighQuantile()).After(r.Deadline) {
			c.dropped = append(c.dropped, r)
			continue
		}
		c.acquireSlot(q)
		return r, true
	}
	return Request{}, false
}

// DropExpired drops the waiting requests that can no longer meet their deadline, even
// if no slot becomes free.
func (c *Controller) DropExpired(now time.Time) {
	for _, q := range c.queues {
		for len(q.waitingRequests()) > 0 {
			r := q.waitingRequests()[0]
			if !now.Add(q.serviceTime.HighQuantile()).After(r.Deadline) {
				break
			}
			q.pop()
			delete(c.waiting, r.ID)
			c.dropped = append(c.dropped, r)
		}
	}
}

// DroppedRequest is a request that was dropped while waiting and has certainly not been
// run.
type DroppedRequest struct {
	Request
	RetryAfter time.Duration
}

// TakeDropped returns the requests dropped since the previous call.
func (c *Controller) TakeDropped(now time.Time) []DroppedRequest {
	list := make([]DroppedRequest, len(c.dropped))
	for i, r := range c.dropped {
		list[i] = DroppedRequest{Request: r, RetryAfter: c.retryAfter(now, r)}
	}
	c.dropped = c.dropped[:0]
	return list
}

// Remove removes a waiting request whose caller has disconnected. It reports whether
// the request was waiting.
func (c *Controller) Remove(id string) bool {
	r, found := c.waiting[id]
	if !found {
		return false
	}
	delete(c.waiting, id)
	return c.classQueue(r.Class).remove(r)
}

// Done ends a request that occupied a slot. took is recorded as its service time; it
// must be zero if the endpoint did not answer.
func (c *Controller) Done(now time.Time, class string, took time.Duration) {
	q := c.classQueue(class)
	c.running = max(c.running-1, 0)
	q.running = max(q.running-1, 0)
	c.completionRate.Add(now, 1)
	if took > 0 {
		q.serviceTime.Record(took)
	}
}

// classQueue returns the queue of a class and creates it if needed.
func (c *Controller) classQueue(class string) *classQueue {
	q := c.queueByClass[class]
	if q == nil {
		q = &classQueue{class: class, serviceTime: NewServiceTime(), admitShare: 1, recentRequestRate: NewRate(recentRateWindow)}
		c.queueByClass[class] = q
		c.queues = append(c.queues, q)
	}
	return q
}

// ForgetClass deletes the queue and the estimates of a class that no longer exists. Its
// waiting requests are dropped; TakeDropped returns them.
func (c *Controller) ForgetClass(class string) {
	q := c.queueByClass[class]
	if q == nil {
		return
	}
	for _, r := range q.waitingRequests() {
		delete(c.waiting, r.ID)
		c.dropped = append(c.dropped, r)
	}
	delete(c.queueByClass, class)
	c.queues = slices.DeleteFunc(c.queues, func(o *classQueue) bool { return o == q })
}

// nextQueue returns the queue that contains the request with the earliest deadline, nil
// if no request waits.
func (c *Controller) nextQueue() *classQueue {
	var best *classQueue
	for _, q := range c.queues {
		if len(q.waitingRequests()) == 0 {
			continue
		}
		if best == nil || compareRequests(q.waitingRequests()[0], best.waitingRequests()[0]) < 0 {
			best = q
		}
	}
	return best
}

// acquireSlot counts a request that occupies a slot.
func (c *Controller) acquireSlot(q *classQueue) {
	c.running++
	q.running++
}

// estimateWait estimates the time until a request would get a slot: the total service
// time of the request and of those due before it, divided by the number of slots.
func (c *Controller) estimateWait(r Request) time.Duration {
	if c.slots == 0 {
		return 0
	}
	work := c.classQueue(r.Class).serviceTime.Mean()
	for _, q := range c.queues {
		work += time.Duration(q.countDueBy(r.Deadline)) * q.serviceTime.Mean()
	}
	return work / time.Duration(c.slots)
}

// backlog estimates the time that the slots need to run all waiting requests.
func (c *Controller) backlog() time.Duration {
	var work time.Duration
	for _, q := range c.queues {
		work += time.Duration(len(q.waitingRequests())) * q.serviceTime.Mean()
	}
	return work / time.Duration(max(c.slots, 1))
}

// retryAfter returns a time that grows with the overload, with a jitter derived from
// the request ID, so that requests refused together are not retried together.
func (c *Controller) retryAfter(now time.Time, r Request) time.Duration {
	factor := 1.0
	if completions := c.completionRate.PerSecond(now); completions > 0 {
		factor = c.arrivalRate.PerSecond(now) / completions
	}
	factor = min(max(factor, 1), maxRetryTargets)
	base := max(time.Duration(factor*float64(r.Target)), minRetryAfter)
	jitter := time.Duration(xxhash.Sum64String(r.ID) % uint64(base))
	return base/2 + jitter
}
