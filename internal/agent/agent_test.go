package agent

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/workload"
)

// recordingWorkers records the orders that reach workers and answers after a delay.
type recordingWorkers struct {
	mu     sync.Mutex
	orders []string
	tokens []int64
	// reachedAt are the times at which the orders arrived.
	reachedAt []time.Time
	delay     time.Duration
}

func (w *recordingWorkers) carryOut(ctx context.Context, token int64, order string) controller.OrderResult {
	w.mu.Lock()
	w.orders = append(w.orders, order)
	w.tokens = append(w.tokens, token)
	w.reachedAt = append(w.reachedAt, time.Now())
	w.mu.Unlock()
	select {
	case <-time.After(w.delay):
		return controller.CarriedOut
	case <-ctx.Done():
		return controller.NoResponse
	}
}

// takeTokens returns the tokens of the orders that have arrived since it was called last.
func (w *recordingWorkers) takeTokens() []int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.tokens
	w.tokens = nil
	return out
}

// startReachedAt returns when the start of a run arrived, and whether it did.
func (w *recordingWorkers) startReachedAt(run workload.Run) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.IndexFunc(w.orders, func(order string) bool { return strings.HasPrefix(order, "start "+run.String()) })
	if i < 0 {
		return time.Time{}, false
	}
	return w.reachedAt[i], true
}

func (w *recordingWorkers) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.orders)
}

func (w *recordingWorkers) Poll(ctx context.Context, token int64, p *controller.Poll) (*workload.PollResult, controller.OrderResult) {
	result := w.carryOut(ctx, token, "poll "+p.Worker)
	if result != controller.CarriedOut {
		return nil, result
	}
	return &workload.PollResult{
		BootMs: 3, ClockMs: 7,
		Running: []workload.RunningTask{{Run: testRun(1), Checkpoint: "c", Percent: 40, Usage: 9}},
		Ended:   []workload.EndedTask{{Seq: 5, Run: testRun(2), Reason: workload.EndFailed, Checkpoint: "d"}},
	}, result
}

func (w *recordingWorkers) Start(ctx context.Context, token int64, s *controller.Start) (controller.OrderResult, int64) {
	return w.carryOut(ctx, token, "start "+s.Run.String()+" "+s.Payload), 11
}

func (w *recordingWorkers) Stop(ctx context.Context, token int64, s *controller.Stop) (controller.OrderResult, int64) {
	return w.carryOut(ctx, token, "stop "+s.Run.String()), 12
}

func testRun(number int64) workload.Run {
	step := workload.StepID{Job: "00112233445566aa", Occurrence: 1, Step: 2}
	return workload.Run{Task: workload.TaskID{StepID: step, Index: 3}, Number: number}
}

// testLink is a link to an executor.
type testLink struct {
	*Link
	pipe    *pipe
	workers *recordingWorkers
	newest  atomic.Int64
	// suspended is the time for which the controller's machine was suspended, in nanoseconds.
	suspended atomic.Int64
	stale     atomic.Int64
	cancel    context.CancelFunc
	runDone   chan error
}

const testEpoch = 4

// newTestLink connects a link and an executor. It is called in a synctest bubble.
func newTestLink(t *testing.T) *testLink {
	return newTestLinkTo(t, func(e executorEnd) ExecutorStream { return e })
}

// newTestLinkTo is newTestLink with an executor that uses another end of the stream.
func newTestLinkTo(t *testing.T, endOf func(executorEnd) ExecutorStream) *testLink {
	ctx, cancel := context.WithCancel(context.Background())
	l := &testLink{
		pipe:    newPipe(ctx),
		workers: &recordingWorkers{delay: 20 * time.Millisecond},
		cancel:  cancel,
		runDone: make(chan error, 1),
	}
	now := func() time.Time { return time.Now().Add(time.Duration(l.suspended.Load())) }
	l.Link = NewLink(testEpoch, func() bool { return true }, now)
	l.newest.Store(testEpoch)
	executor := &Executor{
		Workers:     l.workers,
		Now:         time.Now,
		NewestEpoch: l.newest.Load,
		OnBatch:     func(int64, bool) {},
		OnStale:     func(n int, _ time.Duration) { l.stale.Add(int64(n)) },
	}
	executorDone := make(chan struct{})
	go func() {
		_ = executor.Serve(ctx, endOf(executorEnd{l.pipe}))
		close(executorDone)
	}()
	go func() { l.runDone <- l.Run(ctx, linkEnd{l.pipe}, cancel) }()
	t.Cleanup(func() {
		cancel()
		<-executorDone
	})
	synctest.Wait()
	return l
}

// start queues a start and returns the channel of its result.
func (l *testLink) start(number int64) chan Result {
	out := make(chan Result, 1)
	l.Start(&controller.Start{Worker: "i-1", Addr: "a:1", Run: testRun(number), Payload: "p", LeaseDeadlineMs: 9}, func(r Result) { out <- r })
	return out
}

// result returns the result that has arrived, and fails the test if there is none.
func result(t *testing.T, ch chan Result) Result {
	t.Helper()
	select {
	case r := <-ch:
		return r
	default:
		t.Fatal("no result")
		return Result{}
	}
}

// TestOrdersAndResults sends one order of each kind and compares what arrives.
func TestOrdersAndResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(t)
		polled := make(chan Result, 1)
		l.Poll(&controller.Poll{Worker: "i-1", Addr: "a:1", Wait: time.Second}, func(r Result) { polled <- r })
		started := l.start(8)
		time.Sleep(200 * time.Millisecond)
		poll := result(t, polled)
		want := workload.RunningTask{Run: testRun(1), Checkpoint: "c", Percent: 40, Usage: 9}
		if poll.Code != controller.CarriedOut || poll.Poll == nil || poll.Poll.BootMs != 3 || poll.Poll.ClockMs != 7 || poll.Poll.Running[0] != want {
			t.Errorf("poll: %+v", poll)
		}
		if end := poll.Poll.Ended[0]; end.Seq != 5 || end.Run != testRun(2) || end.Reason != workload.EndFailed {
			t.Errorf("end: %+v", end)
		}
		if r := result(t, started); r.Code != controller.CarriedOut || r.ClockMs != 11 {
			t.Errorf("start: %+v", r)
		}
		for _, token := range l.workers.tokens {
			if token != testEpoch {
				t.Errorf("an order was sent under token %d, want the controller's epoch", token)
			}
		}
	})
}

// orderAll queues a poll, a start and a stop under a fencing token and returns their results after some time.
func (l *testLink) orderAll(t *testing.T, token int64) (results []Result) {
	t.Helper()
	ch := make(chan Result, 3)
	done := func(r Result) { ch <- r }
	l.Poll(&controller.Poll{Worker: "i-1", FencingToken: token}, done)
	l.Start(&controller.Start{Worker: "i-1", FencingToken: token, Run: testRun(8)}, done)
	l.Stop(&controller.Stop{Worker: "i-1", FencingToken: token, Run: testRun(8)}, done)
	time.Sleep(200 * time.Millisecond)
	for range cap(ch) {
		results = append(results, result(t, ch))
	}
	return results
}

// TestOrdersUnderTheirOwnToken guards against an agent that sends an order under the epoch although the
// worker refuses all fencing tokens below the order's.
func TestOrdersUnderTheirOwnToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(t)
		for _, token := range []int64{testEpoch + 3, testEpoch, testEpoch + controller.FencingTokensPerEpoch - 1} {
			if !l.SendsUnder(token) {
				t.Errorf("the agent does not send under token %d", token)
			}
			for _, r := range l.orderAll(t, token) {
				if r.Code != controller.CarriedOut {
					t.Errorf("token %d: result %v", token, r.Code)
				}
			}
			if got, want := l.workers.takeTokens(), []int64{token, token, token}; !slices.Equal(got, want) {
				t.Errorf("orders were sent under %v, want %v", got, want)
			}
		}
	})
}

// TestEarlierAgentGetsNoOtherToken guards against an order that an agent of an earlier program sends under
// a lower fencing token than its own.
func TestEarlierAgentGetsNoOtherToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLinkTo(t, func(e executorEnd) ExecutorStream { return earlierExecutorEnd{e} })
		if l.SendsUnder(testEpoch+1) || !l.SendsUnder(testEpoch) {
			t.Error("the agent sends under the epoch and no other token")
		}
		for _, r := range l.orderAll(t, testEpoch+1) {
			if r.Code != controller.NotDelivered {
				t.Errorf("another token: result %v, want not delivered", r.Code)
			}
		}
		if n := l.workers.count(); n != 0 {
			t.Errorf("%d orders were sent", n)
		}
		for _, r := range l.orderAll(t, testEpoch) {
			if r.Code != controller.CarriedOut {
				t.Errorf("the epoch: result %v", r.Code)
			}
		}
		if got, want := l.workers.takeTokens(), []int64{testEpoch, testEpoch, testEpoch}; !slices.Equal(got, want) {
			t.Errorf("orders were sent under %v, want %v", got, want)
		}
	})
}

// TestPausedAgentSendsNoOldOrders pauses an agent while orders are on their way. When it wakes up,
// the controller may have given their tasks to other workers: the orders must not be sent, and
// their result must say so only if it is true.
func TestPausedAgentSendsNoOldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(t)
		l.pipe.requestsHeld.hold()
		started := l.start(8)
		time.Sleep(maxOrderAge + 100*time.Millisecond)
		l.pipe.requestsHeld.release()
		time.Sleep(50 * time.Millisecond)
		if n := l.workers.count(); n != 0 {
			t.Errorf("the agent sent %d orders after a pause", n)
		}
		if n := l.stale.Load(); n != 1 {
			t.Errorf("%d stale orders were reported, want 1", n)
		}
		if r := result(t, started); r.Code != controller.NotDelivered {
			t.Errorf("result %v, want that the order was not sent", r.Code)
		}
	})
}

// TestSuspendedControllerSendsNoOldOrders suspends the controller's machine while an order waits to be
// sent. It must not be sent afterwards: another controller may have taken over.
func TestSuspendedControllerSendsNoOldOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(t)
		l.start(7) // sent at once; the next one waits for sendInterval
		synctest.Wait()
		waiting := l.start(8)
		l.suspended.Store(int64(5 * time.Second))
		time.Sleep(100 * time.Millisecond)
		if r := result(t, waiting); r.Code != controller.NotDelivered {
			t.Errorf("result %v, want that the order was not sent", r.Code)
		}
		for _, order := range l.workers.orders {
			if strings.Contains(order, testRun(8).String()) {
				t.Error("an order from before the suspension was sent")
			}
		}
	})
}

// TestDelayedReportsDoNotMakeOrdersYounger delays what the agent says, so that the controller knows
// only an old reading of its clock. An order must count as older then, never as younger.
func TestDelayedReportsDoNotMakeOrdersYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(t)
		l.pipe.responsesHeld.hold()
		time.Sleep(900 * time.Millisecond)
		l.pipe.responsesHeld.release()
		l.pipe.requestsHeld.hold()
		l.start(8)
		time.Sleep(maxOrderAge + 50*time.Millisecond)
		l.pipe.requestsHeld.release()
		time.Sleep(50 * time.Millisecond)
		if n := l.workers.count(); n != 0 {
			t.Errorf("%d orders older than the limit were sent", n)
		}
	})
}

// TestOrdersReachWorkersWithinMaxDelay guards against an order that reaches a worker later than the
// controller reckons with, when it no longer counts on a lease from it. Orders wait in the link and on
// their way to the agent for all combinations of some times.
func TestOrdersReachWorkersWithinMaxDelay(t *testing.T) {
	const step = 50 * time.Millisecond
	var longest time.Duration
	for inLink := time.Duration(0); inLink <= maxQueueTime+2*step; inLink += step {
		for onWay := time.Duration(0); onWay <= maxOrderAge+2*step; onWay += step {
			synctest.Test(t, func(t *testing.T) {
				delay, sent := delayedStart(t, inLink, onWay)
				if bound := MaxDelay(minWorkers + 1); sent && delay > bound {
					t.Errorf("an order reached its worker after %v, which is more than %v", delay, bound)
				}
				longest = max(longest, delay)
			})
		}
	}
	if least := MaxDelay(minWorkers+1) - 3*step; longest < least {
		t.Errorf("no order was delayed by more than %v, want %v", longest, least)
	}
}

// delayedStart holds a start in the link and then on its way to the agent. It returns after which time it
// reached its worker, and whether it did.
func delayedStart(t *testing.T, inLink, onWay time.Duration) (time.Duration, bool) {
	l := newTestLink(t)
	l.workers.delay = 0
	l.pipe.sendsHeld.hold()
	l.start(7) // in the message whose sending is held
	time.Sleep(sendInterval * 2)
	queuedAt := time.Now()
	l.start(8)
	time.Sleep(inLink)
	l.pipe.requestsHeld.hold()
	l.pipe.sendsHeld.release()
	time.Sleep(onWay)
	l.pipe.requestsHeld.release()
	time.Sleep(time.Second)
	reachedAt, reached := l.workers.startReachedAt(testRun(8))
	if !reached {
		return 0, false
	}
	return reachedAt.Sub(queuedAt), true
}

// TestFormerControllerIsRefused sends an order of an epoch older than the newest that the agent
// knows.
func TestFormerControllerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(t)
		l.newest.Store(testEpoch + 1)
		started := l.start(8)
		time.Sleep(200 * time.Millisecond)
		if r := result(t, started); r.Code != controller.RefusedStaleToken {
			t.Errorf("result %v, want a refusal of the stale epoch", r.Code)
		}
		if n := l.workers.count(); n != 0 {
			t.Errorf("%d orders of a former controller were sent", n)
		}
	})
}

// TestLostAgentLeavesOrdersInDoubt ends the stream while orders are under way: those that were sent
// may have been carried out.
func TestLostAgentLeavesOrdersInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(t)
		l.workers.delay = 300 * time.Millisecond
		sent := l.start(8)
		time.Sleep(100 * time.Millisecond)
		if l.workers.count() != 1 {
			t.Fatal("the order did not reach the worker")
		}
		l.cancel()
		<-l.runDone
		if r := result(t, sent); r.Code != controller.NoResponse {
			t.Errorf("result %v of an order that was carried out, want no response", r.Code)
		}
		refused := l.start(9)
		synctest.Wait()
		if r := result(t, refused); r.Code != controller.NotDelivered {
			t.Errorf("result %v on a closed link, want not delivered", r.Code)
		}
		if l.Health(time.Now()) != Closed {
			t.Error("the link is still open")
		}
	})
}

// TestSilentAgent holds all that the agent says. Its orders time out, the link counts as silent and
// is then given up.
func TestSilentAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(t)
		l.pipe.responsesHeld.hold()
		defer l.pipe.responsesHeld.release()
		started := l.start(8)
		time.Sleep(linkSilence + 100*time.Millisecond)
		if l.Health(time.Now()) != Silent {
			t.Error("the link does not count as silent")
		}
		time.Sleep(orderTimeout - linkSilence)
		if l.Expire(time.Now()) {
			t.Error("the stream is given up too early")
		}
		if r := result(t, started); r.Code != controller.NoResponse {
			t.Errorf("result %v of an order without an answer, want no response", r.Code)
		}
		time.Sleep(linkTimeout)
		if !l.Expire(time.Now()) {
			t.Error("the stream of a silent agent is not given up")
		}
	})
}

// TestFullLinkKeepsOrdersUnsent blocks the way to the agent. Orders that time out before they were
// sent certainly had no effect, and are not sent later.
func TestFullLinkKeepsOrdersUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(t)
		l.pipe.requestsHeld.hold()
		for len(l.pipe.requests) < cap(l.pipe.requests) {
			l.pipe.requests <- &cellv1.ExecuteRequest{Epoch: testEpoch}
			synctest.Wait()
		}
		l.start(7) // in the message whose sending blocks
		time.Sleep(sendInterval * 2)
		unsent := l.start(8)
		time.Sleep(orderTimeout + 10*time.Millisecond)
		l.Expire(time.Now())
		if r := result(t, unsent); r.Code != controller.NotDelivered {
			t.Errorf("result %v of an order that was not sent, want not delivered", r.Code)
		}
		l.pipe.requestsHeld.release()
		time.Sleep(time.Second)
		if n := l.workers.count(); n != 0 {
			t.Errorf("%d expired orders were sent", n)
		}
	})
}

// TestMalformedOrders has the executor receive messages that no controller sends. Each order gets
// a result and the others are carried out.
func TestMalformedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &recordingWorkers{}
		executor := &Executor{Workers: workers, Now: time.Now, NewestEpoch: func() int64 { return 0 }, OnBatch: func(int64, bool) {}, OnStale: func(int, time.Duration) {}}
		q := newResultQueue()
		executor.execute(t.Context(), &cellv1.ExecuteRequest{
			Epoch:    testEpoch,
			ClockMs:  time.Now().UnixMilli(),
			Payloads: []string{"p"},
			Orders: []*cellv1.Order{
				nil,
				{Id: 1},
				{Id: 2, Start: &cellv1.StartOrder{Payload: 5}},
				{Id: 3, Start: &cellv1.StartOrder{Payload: -1}},
				{Id: 4, Stop: &cellv1.StopOrder{}},
				{Id: 5, Poll: &cellv1.PollOrder{}},
			},
		}, q)
		synctest.Wait()
		codes := map[uint64]controller.OrderResult{}
		for _, r := range q.take() {
			codes[r.GetId()] = controller.OrderResult(r.GetCode())
		}
		for id, want := range map[uint64]controller.OrderResult{
			0: controller.RefusedMalformed, 1: controller.RefusedMalformed, 2: controller.RefusedMalformed,
			3: controller.RefusedMalformed, 4: controller.CarriedOut, 5: controller.CarriedOut,
		} {
			if got, ok := codes[id]; !ok || got != want {
				t.Errorf("order %d: %v, want %v", id, got, want)
			}
		}
	})
}

// TestMalformedResults has the controller receive results that no agent sends.
func TestMalformedResults(t *testing.T) {
	l := NewLink(testEpoch, func() bool { return true }, time.Now)
	l.takeResults(&cellv1.ExecuteResponse{})
	got := make(chan Result, 1)
	l.Stop(&controller.Stop{Run: testRun(1)}, func(r Result) { got <- r })
	l.takeResults(&cellv1.ExecuteResponse{Results: []*cellv1.OrderResult{
		nil,
		{Id: 77},
		{Id: 1, Code: 200},
		{Id: 1, Poll: &cellv1.PollResult{Running: []*cellv1.RunningTask{nil}, Ended: []*cellv1.EndedTask{nil}}},
	}})
	if r := result(t, got); r.Code != controller.NoResponse {
		t.Errorf("an unknown result was taken as %v, want no response", r.Code)
	}
	if r := resultFromProto(&cellv1.OrderResult{Code: 256}); r.Code != controller.NoResponse {
		t.Errorf("an unknown result of more than one byte was taken as %v, want no response", r.Code)
	}
	if r := resultFromProto(&cellv1.OrderResult{Code: uint32(controller.ConnectionBroken)}); r.Code != controller.ConnectionBroken {
		t.Errorf("a broken connection was taken as %v", r.Code)
	}
	resultFromProto(&cellv1.OrderResult{Poll: &cellv1.PollResult{Running: []*cellv1.RunningTask{nil}, Ended: []*cellv1.EndedTask{nil}}})
}
