package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/controller"
)

const (
	// orderTimeout is how long the result of a start or stop may take by way of an agent, and
	// that of a poll in addition to the time that the worker waits. It covers the agent's own
	// timeout and a loaded link.
	orderTimeout = 2 * time.Second
	// linkSilence is the time without a message after which other agents are preferred.
	linkSilence = 700 * time.Millisecond
	// linkTimeout is the time without a message after which a stream is given up.
	linkTimeout = 2500 * time.Millisecond
	// maxQueueTime is how long an order may wait to be sent. After a pause of this process the
	// controller may no longer want it, or may have lost its leadership.
	maxQueueTime = time.Second
	// maxBatchOrders is the maximum number of orders in a message, which bounds its size.
	maxBatchOrders = 200
)

// LinkStream is the controller's end of a stream.
type LinkStream interface {
	Send(*cellv1.ExecuteRequest) error
	Receive() (*cellv1.ExecuteResponse, error)
}

// Link is the controller's connection to one agent. It is safe for concurrent use.
type Link struct {
	epoch int64
	ready func() bool
	now   func() time.Time
	wake  chan struct{}

	mu sync.Mutex
	// open is true while Run accepts orders. takesTokens says that the agent sends each order under its
	// own fencing token.
	open        bool
	takesTokens bool
	lastID      uint64
	pending     map[uint64]*pendingOrder
	// unsent are the orders of pending that are in no message yet.
	unsent []*pendingOrder
	// agentClockMs is the agent's clock in its latest message, which arrived at lastReceived.
	agentClockMs int64
	lastReceived time.Time
}

// pendingOrder is an order without a result. done is called exactly once.
type pendingOrder struct {
	order    *cellv1.Order
	token    int64
	payload  string
	queuedAt time.Time
	deadline time.Time
	sent     bool
	done     func(Result)
}

// NewLink returns a link for the controller of an epoch. ready tells whether it serves. now is a
// clock that counts the time for which the machine is suspended.
func NewLink(epoch int64, ready func() bool, now func() time.Time) *Link {
	return &Link{epoch: epoch, ready: ready, now: now, wake: make(chan struct{}, 1), pending: map[uint64]*pendingOrder{}}
}

// Poll queues a poll.
func (l *Link) Poll(p *controller.Poll, done func(Result)) {
	order := &cellv1.Order{
		Worker: p.Worker,
		Addr:   p.Addr,
		Poll:   &cellv1.PollOrder{LeaseDeadlineMs: p.LeaseDeadlineMs, AckedSeq: p.AckedSeq, WaitMs: p.Wait.Milliseconds()},
	}
	l.add(&pendingOrder{order: order, token: p.FencingToken, deadline: l.now().Add(orderTimeout + p.Wait), done: done})
}

// Start queues a start.
func (l *Link) Start(s *controller.Start, done func(Result)) {
	order := &cellv1.Order{
		Worker: s.Worker,
		Addr:   s.Addr,
		Start: &cellv1.StartOrder{
			Run:             runToProto(s.Run),
			LeaseDeadlineMs: s.LeaseDeadlineMs,
			Checkpoint:      s.Checkpoint,
			Ticket:          s.Ticket,
		},
	}
	l.add(&pendingOrder{order: order, token: s.FencingToken, payload: s.Payload, deadline: l.now().Add(orderTimeout), done: done})
}

// Stop queues a stop.
func (l *Link) Stop(s *controller.Stop, done func(Result)) {
	order := &cellv1.Order{Worker: s.Worker, Addr: s.Addr, Stop: &cellv1.StopOrder{Run: runToProto(s.Run)}}
	l.add(&pendingOrder{order: order, token: s.FencingToken, deadline: l.now().Add(orderTimeout), done: done})
}

// SendsUnder reports whether the agent would send an order under a fencing token. Zero stands for the
// epoch.
func (l *Link) SendsUnder(token int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sendsUnder(token)
}

// sendsUnder is SendsUnder for a caller that holds mu.
func (l *Link) sendsUnder(token int64) bool {
	return l.takesTokens || token == 0 || token == l.epoch
}

// add queues an order. It is refused if the link is closed, or if the agent would send it under another
// fencing token.
func (l *Link) add(p *pendingOrder) {
	l.mu.Lock()
	if !l.open || !l.sendsUnder(p.token) {
		l.mu.Unlock()
		// The caller may be the goroutine that the result is for.
		go p.done(Result{Code: controller.NotDelivered})
		return
	}
	l.lastID++
	p.order.Id = l.lastID
	if l.takesTokens {
		p.order.Token = p.token
	}
	p.queuedAt = l.now()
	l.pending[p.order.Id] = p
	l.unsent = append(l.unsent, p)
	l.mu.Unlock()
	wakeUp(l.wake)
}

// Run sends orders over a stream and takes their results until the stream or ctx ends, or the
// agent is silent for linkTimeout. The orders that have no result then get one: NotDelivered if
// they were not sent, else NoResponse. cancel has to end the stream.
func (l *Link) Run(ctx context.Context, stream LinkStream, cancel context.CancelFunc) error {
	received := make(chan error, 1)
	opened := make(chan struct{})
	go func() {
		received <- l.receive(stream, opened)
		cancel()
	}()
	defer l.close()
	defer cancel()
	select {
	case <-opened:
	case <-time.After(linkTimeout):
		return context.DeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := pace(ctx, l.wake, func() error { return stream.Send(l.nextBatch()) }); ctx.Err() == nil {
		return err
	}
	return <-received
}

// receive takes results until the stream ends. It opens the link at the first message.
func (l *Link) receive(stream LinkStream, opened chan struct{}) error {
	for first := true; ; first = false {
		msg, err := stream.Receive()
		if err != nil {
			return err
		}
		l.takeResults(msg)
		if first {
			close(opened)
		}
	}
}

func (l *Link) takeResults(msg *cellv1.ExecuteResponse) {
	l.mu.Lock()
	l.open = true
	l.takesTokens = msg.TakesFencingTokens
	l.agentClockMs = msg.ClockMs
	l.lastReceived = l.now()
	done := make([]*pendingOrder, len(msg.Results))
	for i, r := range msg.Results {
		done[i] = l.pending[r.GetId()]
		delete(l.pending, r.GetId())
	}
	l.mu.Unlock()
	for i, r := range msg.Results {
		if done[i] != nil {
			done[i].done(resultFromProto(r))
		}
	}
}

// nextBatch returns a message with the unsent orders, at most maxBatchOrders. Orders that have
// waited for longer than maxQueueTime are not sent.
func (l *Link) nextBatch() *cellv1.ExecuteRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropOutdated()
	batch := &cellv1.ExecuteRequest{
		Epoch:      l.epoch,
		Ready:      l.ready(),
		ClockMs:    l.agentClockMs,
		ClockAgeMs: l.now().Sub(l.lastReceived).Milliseconds(),
	}
	n := min(len(l.unsent), maxBatchOrders)
	payloads := map[string]int32{}
	for _, p := range l.unsent[:n] {
		p.sent = true
		if p.order.Start != nil {
			index, known := payloads[p.payload]
			if !known {
				index = int32(len(batch.Payloads))
				payloads[p.payload] = index
				batch.Payloads = append(batch.Payloads, p.payload)
			}
			p.order.Start.Payload = index
		}
		batch.Orders = append(batch.Orders, p.order)
	}
	l.unsent = slices.Delete(l.unsent, 0, n)
	if len(l.unsent) > 0 {
		wakeUp(l.wake)
	}
	return batch
}

// dropOutdated takes the orders that have waited for longer than maxQueueTime out of the queue. The
// caller holds mu.
func (l *Link) dropOutdated() {
	limit := l.now().Add(-maxQueueTime)
	var outdated []*pendingOrder
	l.unsent = slices.DeleteFunc(l.unsent, func(p *pendingOrder) bool {
		if !p.queuedAt.Before(limit) {
			return false
		}
		outdated = append(outdated, p)
		delete(l.pending, p.order.Id)
		return true
	})
	if len(outdated) > 0 {
		go failOrders(outdated)
	}
}

// Expire gives a result to the orders whose time is over. It reports whether the agent has been
// silent for so long that the stream has to be given up.
func (l *Link) Expire(now time.Time) (silent bool) {
	l.mu.Lock()
	var expired []*pendingOrder
	for id, p := range l.pending {
		if now.After(p.deadline) {
			expired = append(expired, p)
			delete(l.pending, id)
		}
	}
	if len(expired) > 0 {
		l.unsent = slices.DeleteFunc(l.unsent, func(p *pendingOrder) bool { return now.After(p.deadline) })
	}
	silent = l.open && now.Sub(l.lastReceived) > linkTimeout
	l.mu.Unlock()
	failOrders(expired)
	return silent
}

// close refuses further orders and gives a result to those that have none.
func (l *Link) close() {
	l.mu.Lock()
	l.open = false
	rest := make([]*pendingOrder, 0, len(l.pending))
	for _, p := range l.pending {
		rest = append(rest, p)
	}
	clear(l.pending)
	l.unsent = nil
	l.mu.Unlock()
	failOrders(rest)
}

// failOrders gives the orders the result of one that the agent has not answered.
func failOrders(orders []*pendingOrder) {
	for _, p := range orders {
		code := controller.NotDelivered
		if p.sent {
			code = controller.NoResponse
		}
		p.done(Result{Code: code})
	}
}

// Health is the state of a link.
type Health uint8

// The states of a link.
const (
	// Closed means that the link takes no orders.
	Closed Health = iota
	// Silent means that the agent's next message is overdue.
	Silent
	// Responsive means that the agent's messages arrive in time.
	Responsive
)

// Health returns the state of the link.
func (l *Link) Health(now time.Time) Health {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.open:
		return Closed
	case now.Sub(l.lastReceived) > linkSilence:
		return Silent
	default:
		return Responsive
	}
}

// Pending returns the number of orders without a result.
func (l *Link) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}
