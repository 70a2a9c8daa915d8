package agent

import (
	"cmp"
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/controller"
)

const (
	// sendInterval is the least time between two messages in one direction of a stream. What
	// comes up meanwhile goes into one message.
	sendInterval = 25 * time.Millisecond
	// keepaliveInterval is the time after which a message is sent although there is nothing to
	// send.
	keepaliveInterval = 250 * time.Millisecond
	// maxOrderAge is how long after the controller's sending an order is still sent to its
	// worker. An older one may have been overtaken by orders that went another way.
	maxOrderAge = 1500 * time.Millisecond
)

// ExecutorStream is the agent's end of a stream.
type ExecutorStream interface {
	Receive() (*cellv1.ExecuteRequest, error)
	Send(*cellv1.ExecuteResponse) error
}

// Executor sends the controller's orders to workers.
type Executor struct {
	Workers Workers
	// Now is a clock that counts the time for which the machine is suspended.
	Now func() time.Time
	// NewestEpoch returns the newest epoch that this member knows.
	NewestEpoch func() int64
	// OnBatch is called with the epoch of each batch and whether its controller serves.
	OnBatch func(epoch int64, ready bool)
	// OnStale is called with the number of orders that were not sent, and their age, because
	// they were older than maxOrderAge.
	OnStale func(orders int, age time.Duration)
}

// resultQueue holds the results that are not sent yet.
type resultQueue struct {
	mu      sync.Mutex
	results []*cellv1.OrderResult
	wake    chan struct{}
}

func newResultQueue() *resultQueue { return &resultQueue{wake: make(chan struct{}, 1)} }

func (q *resultQueue) add(results ...*cellv1.OrderResult) {
	q.mu.Lock()
	q.results = append(q.results, results...)
	q.mu.Unlock()
	wakeUp(q.wake)
}

func (q *resultQueue) take() []*cellv1.OrderResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.results
	q.results = nil
	return out
}

// wakeUp sends to a channel with a buffer of one unless a value is waiting there.
func wakeUp(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Serve executes the orders of a stream until it ends. Calls to workers that are in flight then
// are cancelled; their orders may have been carried out.
func (e *Executor) Serve(ctx context.Context, stream ExecutorStream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := newResultQueue()
	sendDone := make(chan error, 1)
	go func() {
		sendDone <- e.sendResults(ctx, stream, q)
		cancel()
	}()
	for ctx.Err() == nil {
		batch, err := stream.Receive()
		if err != nil {
			cancel()
			<-sendDone
			return err
		}
		e.execute(ctx, batch, q)
	}
	return <-sendDone
}

// sendResults sends the results in batches, and an empty batch first, from which the controller
// learns the clock of this member.
func (e *Executor) sendResults(ctx context.Context, stream ExecutorStream, q *resultQueue) error {
	return pace(ctx, q.wake, func() error {
		return stream.Send(&cellv1.ExecuteResponse{ClockMs: e.Now().UnixMilli(), Results: q.take(), TakesFencingTokens: true})
	})
}

// pace calls send at once, then after each wake-up and at least each keepaliveInterval, but at
// most once each sendInterval. It returns the error of send, or that of ctx.
func pace(ctx context.Context, wake <-chan struct{}, send func() error) error {
	keepalive := time.NewTimer(keepaliveInterval)
	defer keepalive.Stop()
	for {
		if err := send(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(sendInterval):
		}
		keepalive.Reset(keepaliveInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		case <-keepalive.C:
		}
	}
}

// execute starts the orders of a batch. Orders of a former controller are refused, and those
// that are too old are not sent.
func (e *Executor) execute(ctx context.Context, batch *cellv1.ExecuteRequest, q *resultQueue) {
	if batch.Epoch < e.NewestEpoch() {
		q.addAll(batch.Orders, controller.RefusedStaleToken)
		return
	}
	age := time.Duration(e.Now().UnixMilli()-batch.ClockMs-batch.ClockAgeMs) * time.Millisecond
	e.OnBatch(batch.Epoch, batch.Ready)
	if age > maxOrderAge {
		if len(batch.Orders) > 0 {
			e.OnStale(len(batch.Orders), age)
		}
		q.addAll(batch.Orders, controller.NotDelivered)
		return
	}
	for _, o := range batch.Orders {
		call := e.callOf(batch, o)
		if call == nil {
			q.add(resultToProto(o.GetId(), Result{Code: controller.RefusedMalformed}))
			continue
		}
		go func() { q.add(resultToProto(o.Id, call(ctx))) }()
	}
}

// addAll adds the same result for all orders.
func (q *resultQueue) addAll(orders []*cellv1.Order, code controller.OrderResult) {
	results := make([]*cellv1.OrderResult, 0, len(orders))
	for _, o := range orders {
		results = append(results, resultToProto(o.GetId(), Result{Code: code}))
	}
	q.add(results...)
}

// callOf returns the call to the worker that an order asks for, nil if the order is malformed.
func (e *Executor) callOf(batch *cellv1.ExecuteRequest, o *cellv1.Order) func(context.Context) Result {
	token := cmp.Or(o.GetToken(), batch.Epoch)
	switch {
	case o.GetPoll() != nil:
		return func(ctx context.Context) Result { return SendPoll(ctx, e.Workers, token, pollFromProto(o)) }
	case o.GetStart() != nil:
		index := int(o.Start.Payload)
		if index < 0 || index >= len(batch.Payloads) {
			return nil
		}
		return func(ctx context.Context) Result {
			return SendStart(ctx, e.Workers, token, startFromProto(o, batch.Payloads[index]))
		}
	case o.GetStop() != nil:
		return func(ctx context.Context) Result { return SendStop(ctx, e.Workers, token, stopFromProto(o)) }
	default:
		return nil
	}
}
