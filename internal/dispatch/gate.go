package dispatch

import (
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/scheduler/admission"
	"dotterelhitch/internal/structs"
)

// retryWhenFull is the hint of a refusal by a full line.
const retryWhenFull = 200 * time.Millisecond

// gate decides which requests use the entry's own slots, in which order, and
// which are refused because they would miss their target anyway. It makes the
// admission controller safe for concurrent use and wakes those that wait.
type gate struct {
	bound int

	mu      sync.Mutex
	line    *admission.Controller
	slots   int
	waiting map[string]*ticket
}

// ticketState is where a request stands at the gate.
type ticketState uint8

const (
	ticketRunning ticketState = iota + 1 // counted as using a slot
	ticketWaiting                        // in the line
	ticketRefused                        // refused or dropped: not run
	ticketGone                           // left, or its slot was given back
)

// ticket is one attempt's place at the gate. The gate's lock guards it.
type ticket struct {
	gate       *gate
	id, class  string
	state      ticketState
	retryAfter time.Duration
	// changed is closed when a waiting ticket leaves the line.
	changed chan struct{}
}

func newGate(bound int) *gate {
	return &gate{bound: bound, line: admission.NewController(), waiting: make(map[string]*ticket)}
}

// offer asks for a slot for r, whose ID must be new.
func (g *gate) offer(r admission.Request) *ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &ticket{gate: g, id: r.ID, class: r.Class, changed: make(chan struct{})}
	if len(g.waiting) >= g.bound {
		t.state, t.retryAfter = ticketRefused, retryWhenFull
		return t
	}
	decision := g.line.Admit(time.Now(), r)
	switch decision.Verdict {
	case admission.Run:
		t.state = ticketRunning
	case admission.Wait:
		t.state = ticketWaiting
		g.waiting[r.ID] = t
		g.pump()
	default:
		t.state, t.retryAfter = ticketRefused, decision.RetryAfter
	}
	return t
}

// setSlots tells how many requests may use own slots at a time.
func (g *gate) setSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n == g.slots {
		return
	}
	g.slots = n
	g.line.SetSlots(n)
	g.pump()
}

// capacity returns what setSlots told last.
func (g *gate) capacity() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots
}

// length returns the number of requests that wait.
func (g *gate) length() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

// usual returns a time that nearly all requests of a class take at an endpoint.
func (g *gate) usual(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.line.ServiceTime(class).HighQuantile()
}

// pump drops what is too late and wakes those for whom there is a slot. The
// caller holds the lock.
func (g *gate) pump() {
	now := time.Now()
	g.line.DropExpired(now)
	for {
		r, ok := g.line.Next(now)
		if !ok {
			break
		}
		g.leaveLine(r.ID, ticketRunning, 0)
	}
	for _, drop := range g.line.TakeDropped(now) {
		g.leaveLine(drop.ID, ticketRefused, drop.RetryAfter)
	}
}

func (g *gate) leaveLine(id string, state ticketState, retryAfter time.Duration) {
	t := g.waiting[id]
	if t == nil {
		return
	}
	delete(g.waiting, id)
	t.state, t.retryAfter = state, retryAfter
	close(t.changed)
}

// may reports whether a slot may be taken now.
func (t *ticket) may() bool {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	return t.state == ticketRunning
}

// refusal returns a typed failure if the request was refused or dropped.
func (t *ticket) refusal() error {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.state != ticketRefused {
		return nil
	}
	if t.gate.slots == 0 {
		return structs.NewRetryAfterError(structs.CodeNoCapacity, t.retryAfter, "no worker can take requests now")
	}
	return structs.NewRetryAfterError(structs.CodeOverload, t.retryAfter, "the target could not be met behind the requests that are due before")
}

// wait waits until the ticket leaves the line, at most recheck, or until ctx
// ends.
func (t *ticket) wait(ctx context.Context, recheck time.Duration) error {
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	select {
	case <-t.changed:
	case <-timer.C:
		t.gate.mu.Lock()
		defer t.gate.mu.Unlock()
		t.gate.pump()
	case <-ctx.Done():
		return structs.NewError(structs.CodeDeadline, "the deadline passed before a slot was free")
	}
	return nil
}

// end takes the ticket out of the line or gives its slot back; took is the time
// of an answered request, else zero. Only the first call counts.
func (t *ticket) end(took time.Duration) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case ticketRunning:
		g.line.Done(time.Now(), t.class, took)
	case ticketWaiting:
		g.line.Remove(t.id)
		delete(g.waiting, t.id)
	}
	t.state = ticketGone
	g.pump()
}
