package dispatch

import (
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/scheduler/admission"
	"dotterelhitch/internal/structs"
)

// queueFullRetryAfter is the retry delay suggested to a caller when the queue is full.
const queueFullRetryAfter = 200 * time.Millisecond

// admissionGate decides which requests use the entry's own slots and in which order,
// and refuses those that would miss their target. It makes the admission controller
// safe for concurrent use and wakes waiting requests.
type admissionGate struct {
	maxWaiting int

	mu         sync.Mutex
	controller *admission.Controller
	slots      int
	waiting    map[string]*ticket
}

// ticketState is the state of a request at the gate.
type ticketState uint8

const (
	ticketRunning  ticketState = iota + 1 // admitted, counted as using a slot
	ticketWaiting                         // queued
	ticketRefused                         // refused or dropped from the queue: not run
	ticketReleased                        // removed from the queue, or its slot was released
)

// ticket represents one attempt at the gate. The gate's mutex guards it.
type ticket struct {
	gate       *admissionGate
	id, class  string
	state      ticketState
	retryAfter time.Duration
	// waitEnded is closed when a waiting ticket leaves the queue.
	waitEnded chan struct{}
}

func newAdmissionGate(maxWaiting int) *admissionGate {
	return &admissionGate{maxWaiting: maxWaiting, controller: admission.NewController(), waiting: make(map[string]*ticket)}
}

// admit requests a slot for r, whose ID must be unique.
func (g *admissionGate) admit(r admission.Request) *ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &ticket{gate: g, id: r.ID, class: r.Class, waitEnded: make(chan struct{})}
	if len(g.waiting) >= g.maxWaiting {
		t.state, t.retryAfter = ticketRefused, queueFullRetryAfter
		return t
	}
	decision := g.controller.Admit(time.Now(), r)
	switch decision.Verdict {
	case admission.Run:
		t.state = ticketRunning
	case admission.Wait:
		t.state = ticketWaiting
		g.waiting[r.ID] = t
		g.advance()
	default:
		t.state, t.retryAfter = ticketRefused, decision.RetryAfter
	}
	return t
}

// setSlots sets the number of requests that may use own slots at the same time.
func (g *admissionGate) setSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n == g.slots {
		return
	}
	g.slots = n
	g.controller.SetSlots(n)
	g.advance()
}

// slotCount returns the number of slots set last.
func (g *admissionGate) slotCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots
}

// queueLength returns the number of waiting requests.
func (g *admissionGate) queueLength() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// typicalServiceTime returns a high quantile of the time that requests of a class take
// at an endpoint.
func (g *admissionGate) typicalServiceTime(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.ServiceTime(class).HighQuantile()
}

// advance drops requests that can no longer meet their deadline and admits waiting
// requests while slots are free. The caller holds the mutex.
func (g *admissionGate) advance() {
	now := time.Now()
	g.controller.DropExpired(now)
	for {
		r, ok := g.controller.Next(now)
		if !ok {
			break
		}
		g.endWait(r.ID, ticketRunning, 0)
	}
	for _, drop := range g.controller.TakeDropped(now) {
		g.endWait(drop.ID, ticketRefused, drop.RetryAfter)
	}
}

// endWait moves a waiting ticket out of the queue and wakes its request.
func (g *admissionGate) endWait(id string, state ticketState, retryAfter time.Duration) {
	t := g.waiting[id]
	if t == nil {
		return
	}
	delete(g.waiting, id)
	t.state, t.retryAfter = state, retryAfter
	close(t.waitEnded)
}

// mayRun reports whether the request is admitted.
func (t *ticket) mayRun() bool {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.state == ticketRunning
}

// refusal returns the error of a request that was refused or dropped, nil otherwise.
func (t *ticket) refusal() error {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.state != ticketRefused {
		return nil
	}
	if t.gate.slots == 0 {
		return structs.NewRetryAfterError(structs.CodeNoCapacity, t.retryAfter, "no worker accepts requests now")
	}
	return structs.NewRetryAfterError(structs.CodeOverload, t.retryAfter, "the target cannot be met, since requests that are due earlier go first")
}

// wait waits until the ticket leaves the queue, or for recheck at most. It fails with
// CodeDeadline if ctx ends first.
func (t *ticket) wait(ctx context.Context, recheck time.Duration) error {
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	select {
	case <-t.waitEnded:
	case <-timer.C:
		t.gate.mu.Lock()
		defer t.gate.mu.Unlock()
		t.gate.advance()
	case <-ctx.Done():
		return structs.NewError(structs.CodeDeadline, "the deadline passed before a slot was free")
	}
	return nil
}

// release removes the ticket from the queue or releases its slot. took is the service
// time of an answered request, otherwise zero. Only the first call has an effect.
func (t *ticket) release(took time.Duration) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case ticketRunning:
		g.controller.Done(time.Now(), t.class, took)
	case ticketWaiting:
		g.controller.Remove(t.id)
		delete(g.waiting, t.id)
	}
	t.state = ticketReleased
	g.advance()
}
