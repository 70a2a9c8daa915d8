package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultAnswerTarget is the target of a class that states none for answers.
	DefaultAnswerTarget = 10 * time.Second
	// startShare is the part of the time left that the estimate of a new request
	// may fill, in percent. The rest covers errors of the estimate.
	startShare = 90
	// maxRetryFactor bounds the retry time in multiples of the class's target.
	maxRetryFactor = 30
	// minRetry is the least retry time.
	minRetry = 100 * time.Millisecond
)

// Controller admits requests to the slots of one entry's workers. The line is
// ordered by deadline over all classes. A request is refused on arrival if those due
// before it leave it too little time, and dropped from the line, as certainly not
// run, once it can no longer meet its deadline. Refusing by the expected delay goes
// back to the sojourn-time rule of Nichols and Jacobson, "Controlling Queue Delay",
// 2012; here the bound is each request's own deadline.
type Controller struct {
	lines []*line
	byID  map[string]Request
	class map[string]*line
	slots int
	// running counts requests that hold a slot.
	running int
	offered Rate
	ended   Rate
	dropped []Request
	fair    fairness
}

// NewController returns a controller without slots.
func NewController() *Controller {
	return &Controller{byID: make(map[string]Request), class: make(map[string]*line)}
}

// SetSlots sets the number of requests that may run at a time.
func (c *Controller) SetSlots(n int) { c.slots = n }

// NumWaiting returns the number of requests in line.
func (c *Controller) NumWaiting() int { return len(c.byID) }

// NumRunning returns the number of requests that hold a slot.
func (c *Controller) NumRunning() int { return c.running }

// ServiceTime returns the estimate for a class.
func (c *Controller) ServiceTime(class string) *ServiceTime { return c.line(class).service }

// Admit decides on a new request. For Run the caller sends it at once and tells its
// end by Done; for Wait it comes back from Next or Dropped.
func (c *Controller) Admit(now time.Time, r Request) Decision {
	if r.Target <= 0 {
		r.Target = DefaultAnswerTarget
	}
	c.offered.Add(now, 1)
	l := c.line(r.Class)
	l.within = r.Target
	l.demand(now)
	backlog := c.backlog()
	c.fair.refresh(now, c.lines, c.slots, backlog)
	left := r.Deadline.Sub(now)
	if c.running < c.slots && len(c.byID) == 0 && l.mayStart(left) {
		c.start(l)
		return Decision{Verdict: Run, Expected: l.service.Mean()}
	}
	expected := c.wait(r) + l.service.HighQuantile()
	if c.slots == 0 || expected > left*startShare/100 || (backlog > c.fair.limit && !l.deal()) {
		return Decision{Verdict: Refuse, RetryAfter: c.retryAfter(now, r), Expected: expected}
	}
	l.insert(r)
	c.byID[r.ID] = r
	return Decision{Verdict: Wait, Expected: expected}
}

// Next takes the request that is due first if a slot is free, which it then holds.
// Requests that can't meet their deadline any more go to Dropped instead.
func (c *Controller) Next(now time.Time) (Request, bool) {
	for c.running < c.slots {
		l := c.first()
		if l == nil {
			return Request{}, false
		}
		r := l.pop()
		delete(c.byID, r.ID)
		if now.Add(l.service.HighQuantile()).After(r.Deadline) {
			c.dropped = append(c.dropped, r)
			continue
		}
		c.start(l)
		return r, true
	}
	return Request{}, false
}

// DropExpired drops the requests in line that can't meet their deadline any more, also
// while no slot gets free.
func (c *Controller) DropExpired(now time.Time) {
	for _, l := range c.lines {
		for len(l.waiting()) > 0 {
			r := l.waiting()[0]
			if !now.Add(l.service.HighQuantile()).After(r.Deadline) {
				break
			}
			l.pop()
			delete(c.byID, r.ID)
			c.dropped = append(c.dropped, r)
		}
	}
}

// DroppedRequest is a request that was taken out of the line, certainly not run.
type DroppedRequest struct {
	Request
	RetryAfter time.Duration
}

// TakeDropped returns the requests dropped since the last call.
func (c *Controller) TakeDropped(now time.Time) []DroppedRequest {
	list := make([]DroppedRequest, len(c.dropped))
	for i, r := range c.dropped {
		list[i] = DroppedRequest{Request: r, RetryAfter: c.retryAfter(now, r)}
	}
	c.dropped = c.dropped[:0]
	return list
}

// Remove takes a request whose caller has gone out of the line. It reports whether
// the request was in it.
func (c *Controller) Remove(id string) bool {
	r, found := c.byID[id]
	if !found {
		return false
	}
	delete(c.byID, id)
	return c.line(r.Class).remove(r)
}

// Done ends a request that held a slot. The service time is recorded if the endpoint
// answered; pass zero if it did not.
func (c *Controller) Done(now time.Time, class string, took time.Duration) {
	l := c.line(class)
	c.running = max(c.running-1, 0)
	l.running = max(l.running-1, 0)
	c.ended.Add(now, 1)
	if took > 0 {
		l.service.Record(took)
	}
}

// line returns the line of a class.
func (c *Controller) line(class string) *line {
	l := c.class[class]
	if l == nil {
		l = &line{class: class, service: NewServiceTime(), admit: 1, recent: NewRate(recentWindow)}
		c.class[class] = l
		c.lines = append(c.lines, l)
	}
	return l
}

// ForgetClass drops what was learnt of a class that no longer exists. Its waiting
// requests go to Dropped.
func (c *Controller) ForgetClass(class string) {
	l := c.class[class]
	if l == nil {
		return
	}
	for _, r := range l.waiting() {
		delete(c.byID, r.ID)
		c.dropped = append(c.dropped, r)
	}
	delete(c.class, class)
	c.lines = slices.DeleteFunc(c.lines, func(o *line) bool { return o == l })
}

// first returns the line whose first request is due first, nil if none waits.
func (c *Controller) first() *line {
	var best *line
	for _, l := range c.lines {
		if len(l.waiting()) == 0 {
			continue
		}
		if best == nil || compareRequests(l.waiting()[0], best.waiting()[0]) < 0 {
			best = l
		}
	}
	return best
}

// start counts a request that takes a slot.
func (c *Controller) start(l *line) {
	c.running++
	l.running++
}

// wait estimates the time until a request would get a slot: the work due before it
// shared by all slots.
func (c *Controller) wait(r Request) time.Duration {
	if c.slots == 0 {
		return 0
	}
	work := c.line(r.Class).service.Mean()
	for _, l := range c.lines {
		work += time.Duration(l.before(r.Deadline)) * l.service.Mean()
	}
	return work / time.Duration(c.slots)
}

// backlog is the time that the slots take to work off the whole line.
func (c *Controller) backlog() time.Duration {
	var work time.Duration
	for _, l := range c.lines {
		work += time.Duration(len(l.waiting())) * l.service.Mean()
	}
	return work / time.Duration(max(c.slots, 1))
}

// retryAfter spreads retries over a time that grows with the overload, so that what
// was refused together does not come back together.
func (c *Controller) retryAfter(now time.Time, r Request) time.Duration {
	factor := 1.0
	if ended := c.ended.PerSecond(now); ended > 0 {
		factor = c.offered.PerSecond(now) / ended
	}
	factor = min(max(factor, 1), maxRetryFactor)
	base := max(time.Duration(factor*float64(r.Target)), minRetry)
	jitter := time.Duration(xxhash.Sum64String(r.ID) % uint64(base))
	return base/2 + jitter
}
