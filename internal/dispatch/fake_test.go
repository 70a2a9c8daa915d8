package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/endpoint"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

const testTimeout = time.Second

// cell stands for everything around a dispatcher.
type cell struct {
	mu sync.Mutex
	// free counts the free slots of each own worker.
	free map[string]int
	// slots is what the digest says of each worker.
	slots int
	// refuse is the failure of Acquire; nil to give slots.
	refuse error
	peers  []Load
	// send and dispatch play one attempt; its number counts from 1.
	send     func(n int, r structs.Request, deadline time.Time) endpoint.Result
	dispatch func(n int, member string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error)
	permit   func(key, id string) (Decision, error)
	// sent and forwarded count attempts by request; settled holds the last word.
	sent      map[string]int
	forwarded map[string]int
	leases    int
	usages    []AttemptReport
	settled   map[string]structs.Answer
}

func newCell(workers, slots int) *cell {
	c := &cell{
		slots:     max(slots, 1),
		free:      make(map[string]int),
		sent:      make(map[string]int),
		forwarded: make(map[string]int),
		settled:   make(map[string]structs.Answer),
		permit:    func(string, string) (Decision, error) { return Decision{Granted: true}, nil },
		send: func(_ int, r structs.Request, _ time.Time) endpoint.Result {
			return endpoint.Result{Outcome: structs.OutcomeAnswered, Body: []byte("body of " + r.ID)}
		},
	}
	for i := range workers {
		c.free[fmt.Sprintf("w%d", i)] = slots
	}
	return c
}

func (c *cell) dispatcher(t *testing.T, o Options) *Dispatcher {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	o.Member, o.Slots, o.Peers, o.Keys, o.Sender, o.Classes = "e0", c, c, c, c, c
	if o.Random == nil {
		o.Random = random.IntN
	}
	return New(o)
}

// Acquire implements Slots.
func (c *cell) Acquire(_ context.Context, a SlotRequest) (SlotLease, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse != nil {
		return SlotLease{}, c.refuse
	}
	for _, w := range slices.Sorted(keysOf(c.free)) {
		if c.free[w] > 0 && !slices.Contains(a.ExcludeWorkers, w) {
			c.free[w]--
			c.leases++
			return SlotLease{ID: uint64(c.leases), Target: endpoint.Target{Worker: w}}, nil
		}
	}
	return SlotLease{}, structs.NewError(structs.CodeNoCapacity, "no free slot")
}

func keysOf(m map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Release implements Slots.
func (c *cell) Release(l SlotLease, u AttemptReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free[l.Target.Worker]++
	c.usages = append(c.usages, u)
}

// Loads implements Peers.
func (c *cell) Loads() (Load, []Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Load{SameRegion: true, TotalSlots: len(c.free) * c.slots, ServiceTime: 100 * time.Millisecond}, c.peers
}

// Dispatch implements Peers.
func (c *cell) Dispatch(_ context.Context, member string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
	c.mu.Lock()
	c.forwarded[r.GetId()]++
	n := c.forwarded[r.GetId()]
	c.mu.Unlock()
	return c.dispatch(n, member, r)
}

// Send implements Sender.
func (c *cell) Send(_ context.Context, _ endpoint.Target, _ endpoint.FencingToken, r structs.Request, deadline time.Time) endpoint.Result {
	c.mu.Lock()
	c.sent[r.ID]++
	n := c.sent[r.ID]
	c.mu.Unlock()
	return c.send(n, r, deadline)
}

// Permit implements Keys.
func (c *cell) Permit(_ context.Context, key, id string, _ []byte) (Decision, error) {
	return c.permit(key, id)
}

// Settle implements Keys.
func (c *cell) Settle(_ context.Context, key string, _ []byte, a structs.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled[key] = a
	return nil
}

// Class implements Classes.
func (c *cell) Class(name string) (structs.Class, error) {
	if name == "missing" {
		return structs.Class{}, structs.NewError(structs.CodeNotFound, "no class")
	}
	kind := structs.KindService
	if name == "reconcile" {
		kind = structs.KindBatch
	}
	target := structs.Target{AnswerWithin: structs.Duration(300 * time.Millisecond)}
	return structs.Class{Name: name, Kind: kind, Target: target}, nil
}

// ask sends a request with the test's timeout.
func ask(t *testing.T, d *Dispatcher, r structs.Request) structs.Answer {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if r.Class == "" {
		r.Class = "tickets"
	}
	return d.HandleRequest(ctx, r)
}

func wantOutcome(t *testing.T, a structs.Answer, outcome structs.Outcome, code structs.Code) {
	t.Helper()
	if a.Outcome != outcome || codeOf(a.Err) != code {
		t.Fatalf("got %s %v, want %s %s", a.Outcome, a.Err, outcome, code)
	}
}

func endpointUnknown() endpoint.Result {
	err := structs.NewError(structs.CodeDeadline, "silent")
	return endpoint.Result{Outcome: structs.OutcomeUnknown, Err: structs.AsError(err)}
}

func endpointUnsent() endpoint.Result {
	err := structs.NewError(structs.CodeUnavailable, "dial")
	return endpoint.Result{Outcome: structs.OutcomeNotRun, Err: structs.AsError(err), Unsent: true}
}

func endpointRefused() endpoint.Result {
	err := structs.NewError(structs.CodeOverload, "refused")
	return endpoint.Result{Outcome: structs.OutcomeNotRun, Err: structs.AsError(err)}
}

func peerAnswer(r *peerv1.DispatchRequest, outcome structs.Outcome, code structs.Code) *peerv1.DispatchResponse {
	resp := &peerv1.DispatchResponse{Id: r.GetId(), Outcome: string(outcome), Worker: "far"}
	if outcome == structs.OutcomeAnswered {
		resp.Body = []byte("body of " + r.GetId())
		return resp
	}
	resp.Error = &peerv1.Error{Code: string(code)}
	return resp
}
