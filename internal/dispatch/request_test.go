package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/endpoint"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

func TestAnswerOfAnOwnWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := ask(t, newCell(1, 1).dispatcher(t, Options{}), structs.Request{ID: "r1"})
		wantOutcome(t, a, structs.OutcomeAnswered, "")
		if a.RequestID != "r1" || string(a.Body) != "body of r1" || a.Worker != "w0" {
			t.Fatalf("got %+v", a)
		}
	})
}

func TestRefusedBeforeAnySlot(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		err   error
		code  structs.Code
	}{
		"no such class":    {"missing", nil, structs.CodeNotFound},
		"class of jobs":    {"reconcile", nil, structs.CodeInvalid},
		"authority lapsed": {"tickets", structs.NewError(structs.CodeNoAuthority, "lapsed"), structs.CodeNoAuthority},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newCell(1, 1)
				cell.refuse = c.err
				a := ask(t, cell.dispatcher(t, Options{}), structs.Request{ID: "r1", Class: c.class})
				wantOutcome(t, a, structs.OutcomeNotRun, c.code)
				if len(cell.sent) != 0 {
					t.Fatal("an attempt was made")
				}
			})
		})
	}
}

func TestRetriesAtOwnWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		idempotent bool
		first      func() endpoint.Result
		outcome    structs.Outcome
		code       structs.Code
		attempts   int
	}{
		"unsent":                  {false, endpointUnsent, structs.OutcomeAnswered, "", 2},
		"refused":                 {false, endpointRefused, structs.OutcomeAnswered, "", 2},
		"in doubt":                {false, endpointUnknown, structs.OutcomeUnknown, structs.CodeDeadline, 1},
		"in doubt and idempotent": {true, endpointUnknown, structs.OutcomeAnswered, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newCell(3, 1)
				answer := cell.send
				cell.send = func(n int, r structs.Request, deadline time.Time) endpoint.Result {
					if n == 1 {
						return c.first()
					}
					return answer(n, r, deadline)
				}
				a := ask(t, cell.dispatcher(t, Options{}), structs.Request{ID: "r1", Idempotent: c.idempotent})
				wantOutcome(t, a, c.outcome, c.code)
				if cell.sent["r1"] != c.attempts || len(cell.usages) != c.attempts {
					t.Fatalf("%d attempts, %d leases given back, want %d", cell.sent["r1"], len(cell.usages), c.attempts)
				}
			})
		})
	}
}

func TestSilentWorkerIsHedged(t *testing.T) {
	for name, c := range map[string]struct {
		workers    int
		idempotent bool
		outcome    structs.Outcome
		took       time.Duration
	}{
		"idempotent":                 {2, true, structs.OutcomeAnswered, minHedge},
		"idempotent, no other there": {1, true, structs.OutcomeAnswered, minHedge},
		"not idempotent":             {2, false, structs.OutcomeUnknown, testTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newCell(c.workers, 2/c.workers)
				answer := cell.send
				cell.send = func(n int, r structs.Request, deadline time.Time) endpoint.Result {
					if n == 1 {
						time.Sleep(time.Until(deadline))
						return endpointUnknown()
					}
					return answer(n, r, deadline)
				}
				d := cell.dispatcher(t, Options{})
				start := time.Now()
				a := ask(t, d, structs.Request{ID: "r1", Idempotent: c.idempotent})
				if took := time.Since(start); a.Outcome != c.outcome || took != c.took {
					t.Fatalf("%s after %v, want %s after %v", a.Outcome, took, c.outcome, c.took)
				}
				if err := d.Drain(t.Context()); err != nil || len(cell.usages) != cell.sent["r1"] {
					t.Fatalf("%v, %d leases given back after %d attempts", err, len(cell.usages), cell.sent["r1"])
				}
			})
		})
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newCell(4, 1)
		cell.send = func(int, structs.Request, time.Time) endpoint.Result { return endpointRefused() }
		d := cell.dispatcher(t, Options{})
		const requests = 400
		attempts := 0
		for i := range requests {
			id := fmt.Sprintf("r%d", i)
			wantOutcome(t, ask(t, d, structs.Request{ID: id}), structs.OutcomeNotRun, structs.CodeOverload)
			attempts += cell.sent[id]
		}
		if limit := requests + requests/10 + 1; attempts > limit {
			t.Fatalf("%d attempts at %d requests, want at most %d", attempts, requests, limit)
		}
	})
}

func TestForwarding(t *testing.T) {
	lost := errors.New("connection lost")
	for name, c := range map[string]struct {
		idempotent bool
		play       func(n int, member string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error)
		outcome    structs.Outcome
		calls      int
	}{
		"answered": {false, func(_ int, _ string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
			return peerAnswer(r, structs.OutcomeAnswered, ""), nil
		}, structs.OutcomeAnswered, 1},
		"answer lost": {false, func(int, string, *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
			return nil, lost
		}, structs.OutcomeUnknown, 1},
		"answer lost, idempotent": {true, func(n int, _ string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
			if n == 1 {
				return nil, lost
			}
			return peerAnswer(r, structs.OutcomeAnswered, ""), nil
		}, structs.OutcomeAnswered, 2},
		"not sent": {false, func(n int, _ string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
			if n == 1 {
				return nil, &NotSentError{Cause: lost}
			}
			return peerAnswer(r, structs.OutcomeAnswered, ""), nil
		}, structs.OutcomeAnswered, 2},
		"refused by both": {false, func(_ int, _ string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
			return peerAnswer(r, structs.OutcomeNotRun, structs.CodeNoCapacity), nil
		}, structs.OutcomeNotRun, 2},
		"another's answer": {false, func(_ int, _ string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
			other := peerAnswer(r, structs.OutcomeAnswered, "")
			other.Id = "r2"
			return other, nil
		}, structs.OutcomeUnknown, 1},
		"no such outcome": {false, func(_ int, _ string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
			return peerAnswer(r, "maybe", ""), nil
		}, structs.OutcomeUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newCell(0, 0)
				cell.peers = []Load{
					{Member: "e1", SameRegion: true, FreeSlots: 4, TotalSlots: 8},
					{Member: "e2", SameRegion: true, FreeSlots: 4, TotalSlots: 8},
				}
				cell.dispatch = c.play
				a := ask(t, cell.dispatcher(t, Options{}), structs.Request{ID: "r1", Idempotent: c.idempotent})
				if a.Outcome != c.outcome || cell.forwarded["r1"] != c.calls {
					t.Fatalf("got %s %v after %d calls, want %s after %d", a.Outcome, a.Err, cell.forwarded["r1"], c.outcome, c.calls)
				}
				if (a.Body != nil) != (a.Outcome == structs.OutcomeAnswered) {
					t.Fatalf("outcome %s with body %q", a.Outcome, a.Body)
				}
			})
		})
	}
}

func TestForwardedRequestStaysHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newCell(0, 0)
		cell.peers = []Load{{Member: "e1", SameRegion: true, FreeSlots: 8, TotalSlots: 8}}
		d := cell.dispatcher(t, Options{})
		resp := d.ServeForwarded(t.Context(), &peerv1.DispatchRequest{Id: "r1", Class: "tickets", DeadlineMs: 300})
		code := structs.Code(resp.GetError().GetCode())
		if structs.Outcome(resp.GetOutcome()) != structs.OutcomeNotRun || code != structs.CodeNoCapacity || len(cell.forwarded) != 0 {
			t.Fatalf("got %v, forwarded %v", resp, cell.forwarded)
		}
	})
}

func TestForwardedRequestIsNotRepeatedHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newCell(2, 1)
		cell.send = func(int, structs.Request, time.Time) endpoint.Result { return endpointUnknown() }
		resp := cell.dispatcher(t, Options{}).ServeForwarded(t.Context(), &peerv1.DispatchRequest{
			Id: "r1", Class: "tickets", Idempotent: true, DeadlineMs: 300,
		})
		if structs.Outcome(resp.GetOutcome()) != structs.OutcomeUnknown || cell.sent["r1"] != 1 {
			t.Fatalf("got %v after %d attempts", resp, cell.sent["r1"])
		}
	})
}

// busyCell has one slot, and an endpoint that takes the given time.
func busyCell(service time.Duration) *cell {
	c := newCell(1, 1)
	answer := c.send
	c.send = func(n int, r structs.Request, deadline time.Time) endpoint.Result {
		time.Sleep(service)
		return answer(n, r, deadline)
	}
	return c
}

func TestRequestsThatWouldMissTheirTargetAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := busyCell(100 * time.Millisecond)
		d := cell.dispatcher(t, Options{})
		var wg sync.WaitGroup
		answers := make([]structs.Answer, 4)
		for i := range answers {
			wg.Go(func() { answers[i] = ask(t, d, structs.Request{ID: fmt.Sprintf("r%d", i)}) })
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		for _, a := range answers[:3] {
			wantOutcome(t, a, structs.OutcomeAnswered, "")
		}
		wantOutcome(t, answers[3], structs.OutcomeNotRun, structs.CodeOverload)
		if answers[3].Err.RetryAfterMs <= 0 || d.QueueLength() != 0 || cell.free["w0"] != 1 {
			t.Fatalf("%v, %d queued, %d slots free at the end", answers[3].Err, d.QueueLength(), cell.free["w0"])
		}
	})
}

func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := busyCell(100*time.Millisecond).dispatcher(t, Options{MaxQueue: 2})
		var wg sync.WaitGroup
		for i := range 3 {
			wg.Go(func() { ask(t, d, structs.Request{ID: fmt.Sprintf("r%d", i)}) })
		}
		synctest.Wait()
		a := ask(t, d, structs.Request{ID: "r3"})
		wantOutcome(t, a, structs.OutcomeNotRun, structs.CodeOverload)
		if a.Err.RetryAfterMs <= 0 {
			t.Fatal("no time to retry after")
		}
		wg.Wait()
	})
}

func TestNewSlotsServeWaitingRequestsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service, wait = 150 * time.Millisecond, 50 * time.Millisecond
		cell := busyCell(service)
		d := cell.dispatcher(t, Options{})
		var wg sync.WaitGroup
		start := time.Now()
		for i := range 2 {
			wg.Go(func() { ask(t, d, structs.Request{ID: fmt.Sprintf("r%d", i)}) })
		}
		time.Sleep(wait)
		cell.mu.Lock()
		cell.free["w9"] = 1
		cell.mu.Unlock()
		d.SetSlots(2)
		wg.Wait()
		if took := time.Since(start); took != wait+service {
			t.Fatalf("both answered after %v", took)
		}
	})
}

// TestSlotMissingAfterAll has fewer slots than the digest says: a request keeps
// its turn until one is free or its deadline passes.
func TestSlotMissingAfterAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newCell(1, 0)
		d := cell.dispatcher(t, Options{})
		wantOutcome(t, ask(t, d, structs.Request{ID: "r1"}), structs.OutcomeNotRun, structs.CodeDeadline)
		go func() {
			time.Sleep(testTimeout / 2)
			cell.mu.Lock()
			defer cell.mu.Unlock()
			cell.free["w0"] = 1
		}()
		wantOutcome(t, ask(t, d, structs.Request{ID: "r2"}), structs.OutcomeAnswered, "")
	})
}

func TestKeyedRequests(t *testing.T) {
	fails := func(code structs.Code) func(string, string) (Decision, error) {
		return func(string, string) (Decision, error) { return Decision{}, structs.NewError(code, "x") }
	}
	replay := func(string, string) (Decision, error) {
		return Decision{Answer: structs.Answer{RequestID: "r0", Outcome: structs.OutcomeAnswered, Body: []byte("first")}}, nil
	}
	grant := func(string, string) (Decision, error) { return Decision{Granted: true}, nil }
	for name, c := range map[string]struct {
		permit  func(string, string) (Decision, error)
		outcome structs.Outcome
		code    structs.Code
		sent    int
		settled structs.Outcome
	}{
		"granted":      {grant, structs.OutcomeAnswered, "", 1, structs.OutcomeAnswered},
		"ended before": {replay, structs.OutcomeAnswered, "", 0, ""},
		"in progress":  {fails(structs.CodeInProgress), structs.OutcomeUnknown, structs.CodeInProgress, 0, ""},
		"state lost":   {fails(structs.CodeUnknown), structs.OutcomeUnknown, structs.CodeUnknown, 0, ""},
		"reused":       {fails(structs.CodeKeyReused), structs.OutcomeNotRun, structs.CodeKeyReused, 0, ""},
		"home lost":    {fails(structs.CodeUnavailable), structs.OutcomeNotRun, structs.CodeUnavailable, 0, structs.OutcomeNotRun},
		"no authority": {fails(structs.CodeNoAuthority), structs.OutcomeNotRun, structs.CodeNoAuthority, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newCell(1, 1)
				cell.permit = c.permit
				d := cell.dispatcher(t, Options{})
				a := ask(t, d, structs.Request{ID: "r1", Key: "k1"})
				wantOutcome(t, a, c.outcome, c.code)
				if err := d.Drain(t.Context()); err != nil {
					t.Fatal(err)
				}
				if a.RequestID != "r1" || cell.sent["r1"] != c.sent || cell.settled["k1"].Outcome != c.settled {
					t.Fatalf("answer %+v, %d sent, settled %+v", a, cell.sent["r1"], cell.settled["k1"])
				}
			})
		})
	}
}

// TestRandomFaults runs requests against workers and peers that fail at random
// and checks what was promised against what may have run.
func TestRandomFaults(t *testing.T) {
	const seeds, requests = 50, 40
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			cell := newCell(2, 1)
			cell.peers = []Load{
				{Member: "e1", SameRegion: true, FreeSlots: 1, TotalSlots: 4},
				{Member: "e2", FreeSlots: 2, TotalSlots: 4},
			}
			runs := newRunLog(random)
			cell.send, cell.dispatch = runs.send, runs.dispatch
			d := cell.dispatcher(t, Options{})
			var wg sync.WaitGroup
			for i := range requests {
				r := structs.Request{ID: fmt.Sprintf("r%d", i), Idempotent: i%2 == 0}
				wg.Go(func() { runs.check(t, seed, r, ask(t, d, r)) })
				time.Sleep(runs.pause(20 * time.Millisecond))
			}
			wg.Wait()
			if err := d.Drain(t.Context()); err != nil {
				t.Error(err)
			}
			if cell.free["w0"] != 1 || cell.free["w1"] != 1 || d.QueueLength() != 0 {
				t.Errorf("seed %d: slots %v, %d queued at the end", seed, cell.free, d.QueueLength())
			}
		})
	}
}

// TestLateLeave has the home give leave after the class's target has passed.
func TestLateLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newCell(1, 1)
		cell.permit = func(string, string) (Decision, error) {
			time.Sleep(testTimeout / 2)
			return Decision{Granted: true}, nil
		}
		a := ask(t, cell.dispatcher(t, Options{}), structs.Request{ID: "r1", Key: "k1"})
		wantOutcome(t, a, structs.OutcomeAnswered, "")
	})
}

// runLog records what ran, as the workers would.
type runLog struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int
}

func newRunLog(random *rand.Rand) *runLog {
	return &runLog{random: random, runs: make(map[string]int)}
}

func (l *runLog) roll(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

func (l *runLog) pause(most time.Duration) time.Duration {
	return time.Duration(l.roll(int(most)))
}

func (l *runLog) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *runLog) send(_ int, r structs.Request, deadline time.Time) endpoint.Result {
	time.Sleep(min(l.pause(100*time.Millisecond), time.Until(deadline)))
	switch l.roll(5) {
	case 0:
		return endpointUnsent()
	case 1:
		return endpointRefused()
	case 2:
		l.run(r.ID)
		return endpointUnknown()
	case 3:
		return endpointUnknown()
	}
	l.run(r.ID)
	return endpoint.Result{Outcome: structs.OutcomeAnswered, Body: []byte("body of " + r.ID)}
}

func (l *runLog) dispatch(n int, _ string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
	lost := errors.New("lost")
	if l.roll(4) == 0 {
		return nil, &NotSentError{Cause: lost}
	}
	deadline := time.Now().Add(time.Duration(r.GetDeadlineMs()) * time.Millisecond)
	res := l.send(n, structs.Request{ID: r.GetId()}, deadline)
	if l.roll(4) == 0 {
		return nil, lost
	}
	return peerAnswer(r, res.Outcome, codeOf(res.Err)), nil
}

func (l *runLog) check(t *testing.T, seed uint64, r structs.Request, a structs.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.runs[r.ID]
	switch {
	case a.RequestID != r.ID:
		t.Errorf("seed %d: %s got the answer to %s", seed, r.ID, a.RequestID)
	case a.Outcome == structs.OutcomeNotRun && runs > 0:
		t.Errorf("seed %d: %s ran %d times and was called not run", seed, r.ID, runs)
	case !r.Idempotent && runs > 1:
		t.Errorf("seed %d: %s is not idempotent and ran %d times", seed, r.ID, runs)
	case a.Outcome == structs.OutcomeAnswered && (runs == 0 || string(a.Body) != "body of "+r.ID):
		t.Errorf("seed %d: %s ran %d times, answer %q", seed, r.ID, runs, a.Body)
	}
}

// TestLinkBudgetIsObeyed has a region without slots ask for more than the link's budget
// allows: what goes over the link is the budget, and the rest is not run.
func TestLinkBudgetIsObeyed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			budget  = 100 << 10
			answer  = 8 << 10
			seconds = 30
			every   = 10 * time.Millisecond
		)
		far := Load{Member: "far", TotalSlots: 8, FreeSlots: 8}
		c := newCell(0, 1)
		c.peers = []Load{far}
		var bytes, answered int
		c.dispatch = func(_ int, _ string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
			bytes += len(r.GetBody()) + answer + farOverhead
			resp := peerAnswer(r, structs.OutcomeAnswered, "")
			resp.Body = make([]byte, answer)
			return resp, nil
		}
		d := c.dispatcher(t, Options{CrossRegionBytesPerSecond: budget})
		start := time.Now()
		for i := 0; time.Since(start) < seconds*time.Second; i++ {
			if ask(t, d, structs.Request{ID: fmt.Sprint(i), Idempotent: true}).Outcome == structs.OutcomeAnswered {
				answered++
			}
			time.Sleep(every)
		}
		// An answer's length is known afterwards only, so that the last one may go over.
		allowed := int(budget * time.Since(start).Seconds())
		least, most := allowed*9/10, allowed+minFarBurst+answer
		if bytes < least || bytes > most {
			t.Errorf("%d bytes for %d answers, want %d to %d", bytes, answered, least, most)
		}
	})
}
