package cell

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/leaderlease"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// testCell is a cell whose nodes communicate over loopback and share an in-memory log.
type testCell struct {
	t       *testing.T
	log     *fakeLog
	workers *stubWorkers
	// orderTarget replaces workers if it is set.
	orderTarget Workers
	nodes       []*testNode
	// claimDelay delays the claims of the nodes that are added next.
	claimDelay time.Duration
	// cores is the processor time, in cores, of the nodes that are added next.
	cores float64
	// clockAhead is how far the clocks of the nodes that are added next are ahead of the true time.
	clockAhead time.Duration
	// leaderLease is that of the nodes that are added next.
	leaderLease leaderlease.Timing
}

type testNode struct {
	*Node
	cutFromLog atomic.Bool // its calls to the log get no answer
	readsHang  atomic.Bool // its waiting reads of the log get no answer
	refused    atomic.Bool // its calls to the log are refused
	poweredOff atomic.Bool // its connections with peers stay open without traffic
	slow       atomic.Bool // its machine runs at a tenth of its speed
	// logConnections are those to the log, listener has those from peers.
	logConnections logConnections
	listener       *powerCutListener
	// delayAnswers is how long what it sends to peers is delayed, in nanoseconds.
	delayAnswers atomic.Int64
	// events are the events that the node has recorded.
	events eventLog
	stop   context.CancelFunc
	done   chan struct{}
}

func newTestCell(t *testing.T, nodes int) *testCell {
	c := newEmptyTestCell(t)
	for i := range nodes {
		c.addNode(fmt.Sprintf("node-%d", i))
	}
	return c
}

// longLease is a leader lease that outlasts the outages in most tests without witnesses.
var longLease = leaderlease.Timing{Lease: 20 * time.Second, MaxLease: 20 * time.Second}

// newEmptyTestCell returns a cell with one worker and no nodes yet.
func newEmptyTestCell(t *testing.T) *testCell {
	c := &testCell{
		t: t, log: newFakeLog(), workers: newStubWorkers(), leaderLease: longLease,
	}
	c.writeConfig(1)
	c.addWorker("i-1")
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.kill()
		}
	})
	return c
}

func (c *testCell) writeConfig(version int64) {
	c.mustAppend("keyed.op", "config", testConfigRecord(version))
}

// testConfigRecord returns the record of a version of the configuration with the class "batch" and those
// of further names.
func testConfigRecord(version int64, further ...string) []byte {
	cfg := workload.Config{Version: version, Classes: map[string]*workload.Class{}}
	for _, name := range append(further, "batch") {
		cfg.Classes[name] = &workload.Class{Name: name, Service: "svc", Stretch: 2, Target: time.Second}
	}
	value, err := json.Marshal(&cfg)
	if err != nil {
		panic(err)
	}
	return value
}

func decodeTestConfig(value []byte) (*workload.Config, error) {
	return decodeJSON[workload.Config](value)
}

func (c *testCell) addWorker(id string) {
	value, err := json.Marshal(workload.Worker{
		ID: id, Service: "svc", Addr: id, BootMs: 1,
		Capacity: structs.Resources{CPUMilli: 4000, MemoryMiB: 4000},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mustAppend("keyed.servers", id, value)
}

func (c *testCell) mustAppend(topic, key string, value []byte) {
	_, err := c.log.append(stream.Append{Topic: topic, Records: []stream.Record{{Key: key, Value: value}}})
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *testCell) addNode(name string) *testNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	n := &testNode{done: make(chan struct{})}
	n.listener = &powerCutListener{Listener: listener, poweredOff: &n.poweredOff, delay: &n.delayAnswers}
	clock := &event.Clock{}
	var workers Workers = c.workers
	if c.orderTarget != nil {
		workers = c.orderTarget
	}
	n.Node = New(Options{
		Self:     Member{Node: name, Addr: listener.Addr().String(), Domain: "d", Cores: c.cores},
		Listener: n.listener,
		Log:      c.log.view(n.cutFromLog.Load, n.refused.Load, n.readsHang.Load, &n.logConnections),
		Workers:  workers,
		Topics: PlatformTopics{
			ConfigTopic:  "keyed.op",
			ConfigKey:    "config",
			DecodeConfig: decodeTestConfig,
			WorkerTopic:  "keyed.servers",
			DecodeWorker: decodeTestWorker,
		},
		Timing: controller.Timing{
			MaxLease: 6 * time.Second, RequestedLease: 5 * time.Second, LeaderLease: c.leaderLease,
			GangTimeout: 3 * time.Second, PollWait: time.Second, PollPause: 10 * time.Millisecond,
			StatusRetention: time.Minute,
		},
		Election: election.Timing{LeaderTimeout: time.Second, IsolatedTimeout: 4 * time.Second, ClaimDelay: c.claimDelay},
		Events:   event.NewRecorder(name, clock, nil),
		Clock:    clock,

		LearnRunTimes: true,
	})
	n.speed.sample = n.speedSample
	ahead := c.clockAhead
	n.Node.clock.read = func() time.Time { return time.Now().Add(ahead) }
	n.opts.Events.OnEvent(func(e event.Event) {
		n.events.add(e)
		if testing.Verbose() {
			b, _ := json.Marshal(e)
			fmt.Println(string(b))
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() {
		n.Run(ctx)
		close(n.done)
	}()
	c.nodes = append(c.nodes, n)
	return n
}

// decodeTestWorker decodes a record that addWorker has written.
func decodeTestWorker(id string, value []byte) (workload.Worker, error) {
	w, err := decodeJSON[workload.Worker](value)
	if err != nil {
		return workload.Worker{}, err
	}
	w.ID = id
	return *w, nil
}

func decodeJSON[T any](value []byte) (*T, error) {
	v := new(T)
	return v, json.Unmarshal(value, v)
}

// goSilent has all connections to the log and between nodes that are open now carry nothing more,
// without closing them. New ones work.
func (c *testCell) goSilent() {
	for _, n := range c.nodes {
		n.logConnections.goSilent()
		n.listener.goSilent()
	}
}

// speedSample returns a sample of the speed of the node's machine. However busy the test's machine is, it
// changes with slow alone.
func (n *testNode) speedSample() time.Duration {
	if n.slow.Load() {
		return 10 * time.Millisecond
	}
	return time.Millisecond
}

// awaitUsualSpeed waits until the node knows the usual speed of its machine.
func (n *testNode) awaitUsualSpeed() {
	for measured := false; !measured; time.Sleep(10 * time.Millisecond) {
		n.speed.mu.Lock()
		measured = n.speed.count > 0
		n.speed.mu.Unlock()
	}
}

// kill stops a node without a hand-over.
func (n *testNode) kill() {
	n.stop()
	<-n.done
}

// awaitLeader waits until a node is a serving controller.
func (c *testCell) awaitLeader(within time.Duration) *testNode {
	c.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range c.nodes {
			if l := n.term.Load(); l != nil && l.serving() && n.ctx.Err() == nil {
				return n
			}
		}
	}
	c.t.Fatal("no controller")
	return nil
}

// otherThan returns a running node other than n.
func (c *testCell) otherThan(n *testNode) *testNode {
	for _, o := range c.nodes {
		if o != n && o.ctx.Err() == nil {
			return o
		}
	}
	c.t.Fatal("no other node")
	return nil
}

func (c *testCell) submit(n *testNode, id string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		err = n.Submit(ctx, testJob(id))
		if structs.CodeOf(err) != structs.CodeUnavailable {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		c.t.Fatalf("submit %s: %v", id, err)
	}
}

func testJob(id string) *workload.Job {
	return &workload.Job{ID: id, Class: "batch", Steps: []workload.Step{{
		Count: 2, Size: structs.Resources{CPUMilli: 1000, MemoryMiB: 100}, EstimateMs: 100,
	}}}
}

// awaitCompleted waits until a node reports a job as completed.
func (c *testCell) awaitCompleted(n *testNode, id string) {
	c.t.Helper()
	var state workload.JobState
	var err error
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		state, err = n.JobState(ctx, id)
		cancel()
		if state == workload.JobCompleted {
			return
		}
	}
	c.t.Fatalf("job %s is %q (%v)", id, state, err)
}

// stubWorkers are workers on which every task succeeds after stubTaskTime.
type stubWorkers struct {
	mu      sync.Mutex
	workers map[string]*stubWorker
}

type stubWorker struct {
	lastToken int64
	seq       int64
	runs      map[workload.Run]time.Time
	ends      []workload.EndedTask
	bootedAt  time.Time
}

func newStubWorkers() *stubWorkers { return &stubWorkers{workers: map[string]*stubWorker{}} }

// stubTaskTime is the run time of a task.
const stubTaskTime = 150 * time.Millisecond

func (s *stubWorkers) worker(id string) *stubWorker {
	w := s.workers[id]
	if w == nil {
		w = &stubWorker{runs: map[workload.Run]time.Time{}, bootedAt: time.Now()}
		s.workers[id] = w
	}
	return w
}

// endDueRuns ends the runs that have run for stubTaskTime.
func (w *stubWorker) endDueRuns() {
	for run, at := range w.runs {
		if time.Since(at) > stubTaskTime {
			delete(w.runs, run)
			w.seq++
			w.ends = append(w.ends, workload.EndedTask{Seq: w.seq, Run: run, Reason: workload.EndDone})
		}
	}
}

func (w *stubWorker) clock() int64 { return time.Since(w.bootedAt).Milliseconds() + 1 }

func (s *stubWorkers) Poll(ctx context.Context, token int64, order *controller.Poll) (*workload.PollResult, controller.OrderResult) {
	end := time.Now().Add(order.Wait)
	for {
		s.mu.Lock()
		w := s.worker(order.Worker)
		if token < w.lastToken {
			s.mu.Unlock()
			return nil, controller.RefusedStaleToken
		}
		w.lastToken = token
		w.endDueRuns()
		for len(w.ends) > 0 && w.ends[0].Seq <= order.AckedSeq {
			w.ends = w.ends[1:]
		}
		if len(w.ends) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			result := &workload.PollResult{BootMs: 1, ClockMs: w.clock(), Ended: append([]workload.EndedTask(nil), w.ends...)}
			for run := range w.runs {
				result.Running = append(result.Running, workload.RunningTask{Run: run})
			}
			s.mu.Unlock()
			return result, controller.CarriedOut
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *stubWorkers) Start(_ context.Context, token int64, o *controller.Start) (controller.OrderResult, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(o.Worker)
	if token < w.lastToken {
		return controller.RefusedStaleToken, w.clock()
	}
	w.lastToken = token
	w.runs[o.Run] = time.Now()
	return controller.CarriedOut, w.clock()
}

func (s *stubWorkers) Stop(_ context.Context, token int64, o *controller.Stop) (controller.OrderResult, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(o.Worker)
	if token < w.lastToken {
		return controller.RefusedStaleToken, w.clock()
	}
	delete(w.runs, o.Run)
	return controller.CarriedOut, w.clock()
}

// TestJobThroughAnyMember submits through a member that is not the controller.
func TestJobThroughAnyMember(t *testing.T) {
	c := newTestCell(t, 3)
	l := c.awaitLeader(5 * time.Second)
	c.submit(c.otherThan(l), "j1")
	c.awaitCompleted(c.otherThan(l), "j1")
	c.awaitCompleted(l, "j1")
}

// TestControllerKilled kills the controller: another member takes over, and no accepted job is
// lost.
func TestControllerKilled(t *testing.T) {
	c := newTestCell(t, 3)
	l := c.awaitLeader(5 * time.Second)
	o := c.otherThan(l)
	c.submit(o, "j1")
	l.kill()
	began := time.Now()
	next := c.awaitLeader(5 * time.Second)
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("took over after %v", took)
	}
	c.submit(next, "j2")
	c.awaitCompleted(next, "j1")
	c.awaitCompleted(next, "j2")
}

// TestNoSubmissionIsRefusedDuringHandOver has the controller step down while the store is slow:
// the controller must serve until the next one has taken over. Submissions were once refused
// for two seconds in between.
func TestNoSubmissionIsRefusedDuringHandOver(t *testing.T) {
	c := newTestCell(t, 3)
	l := c.awaitLeader(5 * time.Second)
	o := c.otherThan(l)
	c.submit(o, "j0")
	c.log.latency.Store(int64(300 * time.Millisecond))
	var group sync.WaitGroup
	submit := func(i int) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if err := o.Submit(ctx, testJob(fmt.Sprintf("j%d", i))); err != nil {
			t.Errorf("job %d: %v", i, err)
		}
	}
	for i := range 30 {
		if i == 5 {
			go l.StepDown()
		}
		group.Go(func() { submit(i + 1) })
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	next := c.awaitLeader(time.Second)
	if next == l {
		t.Error("the member that stepped down is still the controller")
	}
	c.log.latency.Store(0)
	c.awaitCompleted(next, "j30")
}

// TestSubmissionsAreRefusedWhileTheStoreRefuses submits jobs while the store refuses appends:
// all are refused soon, also those in the batch whose append is in flight, and none of them
// exists once the store accepts appends again. Such submissions were once held for 3 s.
func TestSubmissionsAreRefusedWhileTheStoreRefuses(t *testing.T) {
	c := newTestCell(t, 2)
	l := c.awaitLeader(5 * time.Second)
	o := c.otherThan(l)
	c.submit(o, "j0")
	c.log.refuseAppends.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for i := range 5 {
		group.Go(func() {
			began := time.Now()
			err := o.Submit(ctx, testJob(fmt.Sprintf("held%d", i)))
			if code := structs.CodeOf(err); code != structs.CodeUnavailable {
				t.Errorf("job %d: %v, want it refused", i, err)
			}
			if took := time.Since(began); took > 1500*time.Millisecond {
				t.Errorf("job %d: refused after %v", i, took)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	c.log.refuseAppends.Store(false)
	c.submit(o, "j1")
	c.awaitCompleted(o, "j1")
	c.awaitCompleted(o, "j0")
	for i := range 5 {
		if _, err := o.JobState(context.Background(), fmt.Sprintf("held%d", i)); structs.CodeOf(err) != structs.CodeNotFound {
			t.Errorf("job %d: %v, want that it does not exist", i, err)
		}
	}
}

// TestNewControllerIsFoundWhileReadsHang changes the controller while one member's read of the
// claims gets no answer: that member learns of the next controller from the others. It once
// learned of it 1.4 s later than they did.
func TestNewControllerIsFoundWhileReadsHang(t *testing.T) {
	c := newTestCell(t, 2)
	l := c.awaitLeader(5 * time.Second)
	c.claimDelay = time.Second
	last := c.addNode("last")
	c.submit(last, "j1")
	c.awaitReachableCount(c.nodes[0], 2)
	c.awaitReachableCount(c.nodes[1], 2)
	last.readsHang.Store(true)
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	l.kill()
	next := c.awaitLeader(5 * time.Second)
	if next == last {
		t.Fatal("the member with a claim delay became the controller")
	}
	// The member asks the others after the leader timeout and its claim delay.
	bound := last.opts.Election.LeaderTimeout + c.claimDelay + 500*time.Millisecond
	for claim, _, _ := last.view.latestClaim(); claim.Boot != next.self.Boot; claim, _, _ = last.view.latestClaim() {
		if time.Since(began) > bound {
			t.Fatalf("the next controller is not known after %v", bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStrongMachineBecomesController adds a machine with far more processor time to a cell: the
// controller hands over to it, and it remains the controller. A large cell once had its
// controller on a machine with a fifth of a core.
func TestStrongMachineBecomesController(t *testing.T) {
	c := newTestCell(t, 0)
	c.cores = 0.2
	c.addNode("weak-0")
	c.addNode("weak-1")
	weak := c.awaitLeader(5 * time.Second)
	c.submit(weak, "j1")
	c.cores = 0.8
	strong := c.addNode("strong")
	for end := time.Now().Add(minHandOverInterval + 3*time.Second); c.awaitLeader(time.Second) != strong; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the strong machine has not become the controller")
		}
	}
	c.awaitCompleted(strong, "j1")
	time.Sleep(minHandOverInterval + time.Second)
	if c.awaitLeader(time.Second) != strong {
		t.Error("the strong machine is no longer the controller")
	}
}

// awaitReachableCount waits until a node knows exactly want other members that reach the store.
func (c *testCell) awaitReachableCount(n *testNode, want int) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		reachable := 0
		for _, m := range n.view.otherMembers(time.Time{}) {
			reachable += 1 - storeReachRank(m)
		}
		if reachable == want {
			return
		}
	}
	c.t.Fatalf("the node does not know which other members reach the store")
}

// TestControllerWithoutAPathToTheStore cuts all members but one, the controller among them, off
// from the store but not from each other: appends go through the member that still reaches the
// store.
func TestControllerWithoutAPathToTheStore(t *testing.T) {
	c := newTestCell(t, 5)
	l := c.awaitLeader(5 * time.Second)
	c.submit(l, "j1")
	time.Sleep(2 * heartbeatPeriod)
	l.cutFromLog.Store(true)
	for _, n := range c.nodes[:4] {
		n.cutFromLog.Store(true)
	}
	if l == c.nodes[4] {
		c.nodes[3].cutFromLog.Store(false)
	}
	c.awaitReachableCount(l, 1)
	for i := range 5 {
		began := time.Now()
		c.submit(l, fmt.Sprintf("k%d", i))
		if took := time.Since(began); took > cutPathTimeout/2 {
			t.Errorf("k%d was accepted after %v", i, took)
		}
	}
	c.awaitCompleted(l, "k4")
	if c.awaitLeader(time.Second) != l {
		t.Error("the controller was replaced")
	}
}
