package agent

import (
	"context"
	"errors"

	"dotterelhitch/internal/cell/cellv1"
)

// pipe is a stream between a link and an executor whose two directions can be held.
type pipe struct {
	ctx       context.Context
	requests  chan *cellv1.ExecuteRequest
	responses chan *cellv1.ExecuteResponse
	// requestsHeld keeps requests from the executor while it is held, like a paused process. sendsHeld
	// keeps the link from sending.
	requestsHeld  gate
	sendsHeld     gate
	responsesHeld gate
}

// gate holds up whoever passes it while it is held. A mutex would keep the time of a synctest
// bubble from advancing.
type gate struct{ held chan struct{} }

func newGate() gate { return gate{held: make(chan struct{}, 1)} }

func (g gate) hold() { g.held <- struct{}{} }

func (g gate) release() { <-g.held }

func (g gate) pass(ctx context.Context) {
	select {
	case g.held <- struct{}{}:
		<-g.held
	case <-ctx.Done():
	}
}

func newPipe(ctx context.Context) *pipe {
	return &pipe{
		ctx:           ctx,
		requests:      make(chan *cellv1.ExecuteRequest, 100),
		responses:     make(chan *cellv1.ExecuteResponse, 100),
		requestsHeld:  newGate(),
		sendsHeld:     newGate(),
		responsesHeld: newGate(),
	}
}

var errStreamEnded = errors.New("stream ended")

func send[T any](ctx context.Context, ch chan T, msg T) error {
	select {
	case ch <- msg:
		return nil
	case <-ctx.Done():
		return errStreamEnded
	}
}

func receive[T any](ctx context.Context, ch chan T, held gate) (T, error) {
	var zero T
	select {
	case msg := <-ch:
		held.pass(ctx)
		if ctx.Err() != nil {
			return zero, errStreamEnded
		}
		return msg, nil
	case <-ctx.Done():
		return zero, errStreamEnded
	}
}

// linkEnd and executorEnd are the two ends of a pipe.
type (
	linkEnd     struct{ *pipe }
	executorEnd struct{ *pipe }
)

func (e linkEnd) Send(m *cellv1.ExecuteRequest) error {
	e.sendsHeld.pass(e.ctx)
	return send(e.ctx, e.requests, m)
}

func (e linkEnd) Receive() (*cellv1.ExecuteResponse, error) {
	return receive(e.ctx, e.responses, e.responsesHeld)
}

func (e executorEnd) Send(m *cellv1.ExecuteResponse) error { return send(e.ctx, e.responses, m) }

func (e executorEnd) Receive() (*cellv1.ExecuteRequest, error) {
	return receive(e.ctx, e.requests, e.requestsHeld)
}

// earlierExecutorEnd is the end of an agent whose program knows no fencing tokens of orders: it neither
// says that it takes them nor reads them.
type earlierExecutorEnd struct{ executorEnd }

func (e earlierExecutorEnd) Send(m *cellv1.ExecuteResponse) error {
	m.TakesFencingTokens = false
	return e.executorEnd.Send(m)
}

func (e earlierExecutorEnd) Receive() (*cellv1.ExecuteRequest, error) {
	m, err := e.executorEnd.Receive()
	for _, o := range m.GetOrders() {
		o.Token = 0
	}
	return m, err
}
