// Package intake accounts for what clients take up in a process before their requests are complete: connections, and
// the memory of requests that are being read. It decides which clients are refused or cut off when a limit is reached.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package intake

import (
	"bytes"
	"time"
)

// Costs in bytes of memory.
const (
	// byteCost is the cost of a byte that has arrived: buffers grow by copying, so that two versions of them exist at a
	// time.
	byteCost = 2
	// headerLineCost is the cost of a header line, however short, in addition to its bytes: entries of a map, a list of
	// values and two strings.
	headerLineCost = 128
	// smallRequestCost is the cost up to which a request counts as small. It is twice the cost of a body of 5 KB with
	// an ordinary header.
	smallRequestCost = 32 << 10
)

// Parts of the memory limit, as divisors of it.
const (
	// smallReserveDivisor gives the part that only small requests may use, so that they are read beside large ones.
	smallReserveDivisor = 4
	// freedDivisor gives the part up to which the memory of clients that were cut off counts as free although their
	// handlers have not returned, so that others get room at once.
	freedDivisor = 2
	// closingDivisor gives the part of an interface's connections that may be cut off for others while their handlers
	// have not returned.
	closingDivisor = 2
)

const (
	// minStall is how long a client must have made no progress before it is cut off for another one.
	minStall = 200 * time.Millisecond
	// minIdle is how long a connection on which requests were answered must have waited for the next one before it is
	// cut off while there are connections on which none was.
	minIdle = 5 * time.Second
)

// Phase is the state of a client.
type Phase uint8

// The phases of a client.
const (
	// Waiting: nothing of a request has arrived since the last one was answered.
	Waiting Phase = iota
	// ReadingHeader: a part of a header has arrived.
	ReadingHeader
	// ReadingBody: the body of the request is being read.
	ReadingBody
	// Handling: the header has been read, and the reading of the body has not begun or has ended.
	Handling
	// Ended: the client was refused or cut off. What it sends is not accepted.
	Ended
)

// Reason is why a client was refused or cut off.
type Reason string

// The reasons.
const (
	// OutOfMemory: the requests being read take up all of the memory for them.
	OutOfMemory Reason = "memory"
	// OutOfConnections: the interface has as many connections as it may have.
	OutOfConnections Reason = "connections"
	// TooSlow: a header or body took too long, or made no progress for too long.
	TooSlow Reason = "time"
)

// Client is a connection, or a stream of one, whose requests are accounted for.
type Client struct {
	// Owner is what the caller of this package needs to cut the client off.
	Owner any

	account *Account
	pool    *Pool // nil for a stream, and once the connection was cut off for another one
	closing *Pool // the pool of a connection that was cut off for another one
	phase   Phase
	reason  Reason    // why it has Ended
	used    bool      // a request was answered on the connection
	ahead   bool      // a request was sent on the connection before the answer to the one before it
	discard bool      // what arrives is not kept
	cost    int64     // in bytes of memory
	began   time.Time // when the phase began
	// progress is when something of the request last arrived.
	progress time.Time

	queue      *queue
	prev, next *Client
}

// Phase returns the client's phase.
func (c *Client) Phase() Phase { return c.phase }

// Reason returns why the client has Ended.
func (c *Client) Reason() Reason { return c.reason }

// enter begins a phase.
func (c *Client) enter(phase Phase, now time.Time) {
	c.phase, c.began, c.progress = phase, now, now
	c.enqueue()
}

// enqueue moves the client to the end of the queue that it belongs to.
func (c *Client) enqueue() {
	c.queue.remove(c)
	switch {
	case c.phase == ReadingHeader, c.phase == ReadingBody:
		c.account.reading.push(c)
	case c.ahead:
		c.pool.ahead.push(c)
	case c.phase == Waiting && c.used:
		c.pool.idle.push(c)
	case c.phase == Waiting:
		c.pool.waiting.push(c)
	case c.phase == Handling:
		c.account.handling.push(c)
	}
}

// end refuses the client or cuts it off. Its memory is free once its handler has returned.
func (c *Client) end(reason Reason) {
	c.queue.remove(c)
	c.phase, c.reason = Ended, reason
	c.account.freed += c.cost
}

// release no longer counts the client's cost.
func (c *Client) release() {
	if c.phase == Ended {
		c.account.freed -= c.cost
	}
	c.account.cost -= c.cost
	c.cost = 0
}

// Account is the memory that requests take up, at all interfaces that share it.
type Account struct {
	limit int64 // in bytes
	cost  int64 // in bytes
	freed int64 // the part of cost of clients that have Ended
	// reading are the clients that may be cut off for memory, those first that have made no progress for the longest
	// time.
	reading  queue
	handling queue
	pools    []*Pool
}

// NewAccount returns an account with a limit in bytes of memory.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// Cost returns the memory taken up, in bytes.
func (a *Account) Cost() int64 { return a.cost }

// Pool is the connections of one interface.
type Pool struct {
	account *Account
	max     int
	open    int
	// closing counts the connections that were cut off for others and whose handlers have not returned.
	closing int
	// waiting are the connections on which no request was answered, idle the others that wait for one; those first that
	// have waited for the longest time.
	waiting, idle queue
	// ahead are the connections of clients that have sent requests ahead, of which no request is being read; those first
	// whose request has been handled, or that have waited for one, for the longest time.
	ahead queue
}

// NewPool returns the pool of an interface that may have a number of connections.
func (a *Account) NewPool(connections int) *Pool {
	p := &Pool{account: a, max: connections}
	a.pools = append(a.pools, p)
	return p
}

// Open returns the number of connections.
func (p *Pool) Open() int { return p.open }

// Connect adds a connection. At the limit of connections it cuts off one and returns it: one whose client has sent
// requests ahead, or else one that has been idle for minIdle, or else the one that has made no progress for the longest
// time in or before its first request, or else the one that has been idle for the longest time. It reports false if
// there is none, or if the handlers of too many that were cut off have not returned: the new connection is refused.
func (p *Pool) Connect(c *Client, now time.Time) (victim *Client, ok bool) {
	if p.open >= p.max {
		if p.closing >= max(p.max/closingDivisor, 1) {
			return nil, false
		}
		victim = p.stalled(now)
		if victim == nil {
			return nil, false
		}
		victim.end(OutOfConnections)
		p.forget(victim)
		victim.closing = p
		p.closing++
	}
	c.account, c.pool = p.account, p
	p.open++
	c.enter(Waiting, now)
	return victim, true
}

// stalled returns the connection that may be cut off for another, nil if there is none.
func (p *Pool) stalled(now time.Time) *Client {
	// These are cut off even while they make progress, since their clients never have to pause. A caller that
	// sends a request only after it has read the last answer is not among them.
	if c := p.ahead.front; c != nil {
		return c
	}
	if c := p.idle.front; c != nil && now.Sub(c.progress) >= minIdle {
		return c
	}
	oldest := p.waiting.front
	for c := p.account.reading.front; c != nil; c = c.next {
		if c.pool == p {
			if oldest == nil || c.progress.Before(oldest.progress) {
				oldest = c
			}
			break
		}
	}
	if oldest == nil {
		oldest = p.idle.front
	}
	if oldest == nil || now.Sub(oldest.progress) < minStall {
		return nil
	}
	return oldest
}

// forget takes a connection out of the number of open ones, once.
func (p *Pool) forget(c *Client) {
	if c.pool == p {
		c.pool = nil
		p.open--
	}
}

// OpenStream adds a stream of a connection, whose request's header has arrived. It returns the clients that were cut
// off to make room, and false if the stream is refused.
func (a *Account) OpenStream(c *Client, headerBytes int64, now time.Time) (victims []*Client, ok bool) {
	c.account = a
	c.enter(Handling, now)
	return c.charge(headerBytes*byteCost, now)
}

// Close removes a client whose connection is closed, or whose stream has ended.
func (c *Client) Close() {
	if c.account == nil {
		return // it was refused by Connect
	}
	c.queue.remove(c)
	c.release()
	c.phase = Ended // without a cost, so that nothing is freed twice
	if c.pool != nil {
		c.pool.forget(c)
	}
	if c.closing != nil {
		c.closing.closing--
		c.closing = nil
	}
}

// Receive accounts for what has arrived on a connection, or of a stream's body. It returns the clients that were cut
// off to make room, and false if the client is refused or was cut off before.
func (c *Client) Receive(arrived []byte, now time.Time) (victims []*Client, ok bool) {
	cost := int64(len(arrived)) * byteCost
	switch c.phase {
	case Ended:
		return nil, false
	case Waiting:
		c.enter(ReadingHeader, now)
		cost += headerLineCost * int64(bytes.Count(arrived, newline))
	case ReadingHeader:
		cost += headerLineCost * int64(bytes.Count(arrived, newline))
	case Handling:
		// What arrives ahead of the next request fits into the connection's buffer.
		return nil, true
	case ReadingBody:
	}
	c.progress = now
	c.queue.moveToBack(c)
	if c.discard {
		return nil, true
	}
	return c.charge(cost, now)
}

var newline = []byte{'\n'}

// Charge accounts for memory, in bytes, that the client's request takes up in addition to what has arrived. It returns
// the clients that were cut off to make room, and false if the client is refused or was cut off before.
func (c *Client) Charge(bytes int64, now time.Time) (victims []*Client, ok bool) {
	if c.phase == Ended {
		return nil, false
	}
	return c.charge(bytes, now)
}

// charge adds to the client's cost. If that exceeds the limit, it cuts off clients without recent progress, and refuses
// this one if that is not enough. A request that is alone is never refused.
func (c *Client) charge(cost int64, now time.Time) (victims []*Client, ok bool) {
	a := c.account
	c.cost += cost
	a.cost += cost
	limit := a.limit
	if c.cost > smallRequestCost {
		limit -= limit / smallReserveDivisor
	}
	for a.cost-min(a.freed, limit/freedDivisor) > limit && a.cost > c.cost {
		victim := a.reading.front
		if victim == c {
			victim = c.next
		}
		if victim == nil || now.Sub(victim.progress) < minStall || a.freed > limit/freedDivisor {
			// What has arrived is not kept.
			c.cost -= cost
			a.cost -= cost
			c.end(OutOfMemory)
			return victims, false
		}
		victim.end(OutOfMemory)
		victims = append(victims, victim)
	}
	return victims, true
}

// HeaderRead begins the handling of a request on a connection.
func (c *Client) HeaderRead(now time.Time) {
	if c.phase != Ended {
		c.enter(Handling, now)
	}
}

// SentAhead notes that a request, or a part of one, has arrived on the connection before the answer to the one before
// it. At the limit of connections, the connection is cut off before others, even if a request was passed on: it has to
// be closed without an answer then, since the request may have been carried out.
func (c *Client) SentAhead() {
	if c.phase != Ended && !c.ahead {
		c.ahead = true
		c.enqueue()
	}
}

// BeginBody begins the reading of a request's body. It reports false if the client is refused, since there is no room,
// or was cut off before.
func (c *Client) BeginBody(now time.Time) (victims []*Client, ok bool) {
	if c.phase == Ended {
		return nil, false
	}
	c.enter(ReadingBody, now)
	return c.charge(0, now)
}

// BodyRead ends the reading of a body: the client is not cut off any more. It reports false if it was before. The
// memory of a small body of a stream is free from then on, since a connection may have any number of such streams that
// wait for their answers.
func (c *Client) BodyRead(now time.Time) bool {
	switch c.phase {
	case Ended:
		return false
	case ReadingBody:
		c.enter(Handling, now)
		if c.pool == nil && c.cost <= smallRequestCost {
			c.release()
		}
	case Waiting, ReadingHeader, Handling:
	}
	return true
}

// MessageRead ends the reading of one message of a stream that has several, and frees its memory. BeginBody begins the
// next one.
func (c *Client) MessageRead(now time.Time) bool {
	if c.phase == Ended {
		return false
	}
	c.release()
	c.enter(Handling, now)
	return true
}

// Discard frees the memory of a request that has been handled. What else arrives of it is not kept.
func (c *Client) Discard() {
	c.discard = true
	c.release()
}

// Answered begins the wait for the next request.
func (c *Client) Answered(now time.Time) {
	if c.phase == Ended {
		return
	}
	c.used, c.discard = true, false
	c.release()
	c.enter(Waiting, now)
}

// Bounds are the times that requests may take.
type Bounds struct {
	// Header is from the first byte of a header to its end, and from the opening of a connection to its first byte.
	Header time.Duration
	// Stall is without progress of a body, Body from the first byte of a body to its end.
	Stall, Body time.Duration
}

// Expire cuts off the clients that have exceeded the bounds, and returns them.
func (a *Account) Expire(b Bounds, now time.Time) []*Client {
	var victims []*Client
	expire := func(q *queue, overdue func(c *Client) bool) {
		for c := q.front; c != nil; {
			next := c.next
			if overdue(c) {
				c.end(TooSlow)
				victims = append(victims, c)
			}
			c = next
		}
	}
	expire(&a.reading, func(c *Client) bool {
		if c.phase == ReadingHeader {
			return now.Sub(c.began) > b.Header
		}
		return now.Sub(c.progress) > b.Stall || now.Sub(c.began) > b.Body
	})
	for _, p := range a.pools {
		expire(&p.waiting, func(c *Client) bool { return now.Sub(c.began) > b.Header })
	}
	return victims
}

// Handling yields the clients whose requests are being handled.
func (a *Account) Handling(yield func(*Client) bool) {
	if !a.handling.each(yield) {
		return
	}
	for _, p := range a.pools {
		if !p.ahead.each(func(c *Client) bool { return c.phase != Handling || yield(c) }) {
			return
		}
	}
}

// Reading yields the clients whose requests are being read.
func (a *Account) Reading(yield func(*Client) bool) { a.reading.each(yield) }

// queue is a list of clients. A client is in one queue at most.
type queue struct{ front, back *Client }

// push appends a client that is in no queue.
func (q *queue) push(c *Client) {
	c.queue, c.prev, c.next = q, q.back, nil
	if q.back == nil {
		q.front = c
	} else {
		q.back.next = c
	}
	q.back = c
}

// remove takes a client out of the queue. A client that is in none has a nil queue.
func (q *queue) remove(c *Client) {
	if q == nil {
		return
	}
	if c.prev == nil {
		q.front = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		q.back = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.queue, c.prev, c.next = nil, nil, nil
}

// each yields the clients in order, until yield returns false, and reports whether it has yielded all of them. The
// client that was yielded may be removed meanwhile.
func (q *queue) each(yield func(*Client) bool) bool {
	for c := q.front; c != nil; {
		next := c.next
		if !yield(c) {
			return false
		}
		c = next
	}
	return true
}

func (q *queue) moveToBack(c *Client) {
	if q.back != c {
		q.remove(c)
		q.push(c)
	}
}
