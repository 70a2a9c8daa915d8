package cell

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/agent"
	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/jobstore"
	"dotterelhitch/internal/runtimes"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// inboxSize is the capacity of the control goroutine's queue, in closures.
const inboxSize = 4096

// leaderTerm is one term of this member as the controller. Only one goroutine, the control
// goroutine, uses ctl; the other goroutines make the network calls and post closures to the
// control goroutine.
type leaderTerm struct {
	node  *Node
	epoch int64
	ctl   *controller.Controller
	store *jobstore.Store
	// appends are the batches whose appends to the store are in flight.
	appends *appendPipeline
	agents  *agentPool
	inbox   chan func(now time.Time)

	ctx       context.Context
	cancelCtx context.CancelFunc
	wg        sync.WaitGroup
	stopOnce  sync.Once

	// ready is true once the stored jobs are loaded, until the term ends or the controller
	// resigns.
	ready atomic.Bool
	ended atomic.Bool
	// handingOver is true once the other members are asked to claim leadership.
	handingOver atomic.Bool
	// needsNewEpoch is true once ctl needs a new epoch.
	needsNewEpoch atomic.Bool
	// confirmedAt is when the last call of the store was sent that showed the epoch to be current,
	// renewedAt when the last call was sent that renewed the leader lease.
	confirmedAt, renewedAt atomic.Int64 // Unix nanoseconds
	// confirming is true while confirmOnRequest reads the newest claim.
	confirming atomic.Bool
	// commitSignal wakes commitLoop.
	commitSignal chan struct{}
	// waitingJobs counts the jobs of which no task has started, nil until they are counted.
	waitingJobs atomic.Pointer[cellv1.WaitingJobs]
	// advisorCalls is the number of calls to the advisor in flight, advisorLimit the largest number that may be.
	advisorCalls, advisorLimit atomic.Int64
	// runTimes is what was learned of run times, by class; nil until it is published.
	runTimes atomic.Pointer[map[string]runtimes.Summary]

	// The fields below are used by the control goroutine only.
	acceptWaiters  map[string][]chan error // by job ID: calls that wait until its acceptance is stored
	endWaiters     map[string][]chan error // by job ID: calls that wait until its end is stored
	lastHeartbeats map[string]time.Time    // by Member.Node, of members that follow this epoch
	advisorEntries []string
	predecessor    predecessor
	leaseLapsed    bool      // as recorded last
	witnesses      []string  // by Member.Node, in order
	startedAt      time.Time // when the control goroutine began
	witnessesDueAt time.Time // when witnesses is checked next
	// clocks are the other members' clocks, wrongClocks those that differ from the time of day, by Member.Node.
	clocks      map[string]reportedClock
	wrongClocks map[string]bool
	// timeOfDayAhead is how far the time of day is ahead of this member's clock. awaitsTimeOfDay says that
	// recurring jobs wait for it.
	timeOfDayAhead  time.Duration
	awaitsTimeOfDay bool
	timeOfDayDueAt  time.Time // when the clocks are compared next
	passes          int       // the placement passes that ctl has made
	runTimesDueAt   time.Time // when runTimes is published next
}

// predecessor is the previous controller, whose leader lease may not have expired yet.
type predecessor struct {
	node, boot string
	epoch      int64
}

// predecessorOf returns the controller that a claim or a resignation names.
func predecessorOf(c election.Claim) predecessor {
	if c.Resigned {
		return predecessor{node: c.Node, boot: c.Boot, epoch: c.ResignedEpoch}
	}
	return predecessor{node: c.Node, boot: c.Boot, epoch: c.Epoch}
}

// startTerm starts this member's term as the controller. The claim was sent at sent, on the
// basis of v.
func startTerm(n *Node, claim election.Claim, v election.View, sent time.Time) {
	l := &leaderTerm{
		node:           n,
		epoch:          claim.Epoch,
		ctl:            controller.New(claim.Epoch, n.opts.Timing, n.recordDecision),
		store:          jobstore.New(n.log, claim.Epoch),
		appends:        newAppendPipeline(),
		inbox:          make(chan func(time.Time), inboxSize),
		commitSignal:   make(chan struct{}, 1),
		acceptWaiters:  map[string][]chan error{},
		endWaiters:     map[string][]chan error{},
		lastHeartbeats: map[string]time.Time{},
		clocks:         map[string]reportedClock{},
		wrongClocks:    map[string]bool{},
		predecessor:    predecessorOf(v.Newest),
	}
	if n.opts.LearnRunTimes {
		l.ctl.LearnRunTimes()
	}
	l.agents = newAgentPool(l)
	l.ctx, l.cancelCtx = context.WithCancel(n.ctx)
	l.confirmedAt.Store(sent.UnixNano())
	l.renewedAt.Store(sent.UnixNano())
	n.record(event.Event{Type: event.AuthorityGained, Member: n.self.Boot, Epoch: l.epoch, Detail: n.self.Node})
	n.term.Store(l)
	n.spawn(func() { l.run(v, sent) })
	if n.isSteppingDown() {
		// StepDown was called while the claim was in flight.
		n.spawn(l.handOver)
	}
}

// stop ends the term at once. Only the first call has an effect.
func (l *leaderTerm) stop() {
	l.stopOnce.Do(func() {
		l.ended.Store(true)
		l.ready.Store(false)
		l.cancelCtx()
		l.node.term.CompareAndSwap(l, nil)
		l.node.record(event.Event{Type: event.AuthorityLost, Member: l.node.self.Boot, Epoch: l.epoch, Detail: l.node.self.Node})
	})
}

// handOverTimeout is how long a controller that hands over waits for another member to claim
// leadership.
const handOverTimeout = 1500 * time.Millisecond

// handOver asks the other members, through the responses to their heartbeats, to claim
// leadership. This member goes on serving until one of them has, and resigns if none does
// within handOverTimeout.
func (l *leaderTerm) handOver() {
	l.handingOver.Store(true)
	select {
	case <-l.ctx.Done():
	case <-time.After(handOverTimeout):
		l.resign()
	}
}

// resignTimeout bounds the time in which a controller that resigns stores its remaining
// changes, and the append of the resignation.
const resignTimeout = 700 * time.Millisecond

// resign ends the term gracefully: it stores the remaining changes, stops the term and then
// appends a resignation, which tells the other members that this controller issues no more
// orders.
func (l *leaderTerm) resign() {
	l.ready.Store(false)
	deadline := clock.Now().Add(resignTimeout)
	for clock.Now().Before(deadline) && l.ctx.Err() == nil && l.hasUnstored() {
		time.Sleep(commitInterval)
	}
	if l.ended.Load() {
		return
	}
	l.stop()
	claim := l.node.newClaim()
	claim.Resigned = true
	claim.ResignedEpoch = l.epoch
	record, err := claim.Record()
	if err != nil {
		l.node.record(event.Event{Type: event.Alarm, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(l.node.ctx, resignTimeout)
	defer cancel()
	end := election.EndOffset(l.epoch, controller.FencingTokensPerEpoch)
	if _, err := l.node.log.Append(ctx, stream.Append{Topic: election.Topic, Records: []stream.Record{record}, ExpectedEnd: &end}); err != nil {
		l.node.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Detail: "resigning: " + structs.AsError(err).Message})
	}
}

// hasUnstored reports whether some changes are not stored yet.
func (l *leaderTerm) hasUnstored() bool {
	ctx, cancel := context.WithTimeout(l.ctx, resignTimeout)
	defer cancel()
	unstored, err := callControl(ctx, l, func(time.Time) bool { return l.ctl.HasUnstoredChanges() || !l.appends.oldestSince().IsZero() })
	return err == nil && unstored
}

// run takes over from the predecessor and serves until the term ends.
func (l *leaderTerm) run(v election.View, sent time.Time) {
	defer l.wg.Wait()
	defer l.stop()
	// The list of workers is read at the same time as the jobs; its records wait in the
	// inbox until the control goroutine starts.
	l.wg.Go(l.followWorkers)
	if !l.takeOver(v, sent) {
		return
	}
	l.wg.Go(l.commitLoop)
	l.wg.Go(l.renewByWitnesses)
	l.agents.setWorkers(l.ctl.WorkerCount())
	l.wg.Go(l.agents.run)
	l.agents.awaitFirst()
	l.controlLoop()
}

// post queues a closure for the control goroutine, or drops it if the term has ended.
func (l *leaderTerm) post(f func(now time.Time)) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// controlLoop is the body of the control goroutine. It runs posted closures and calls tick
// after them and whenever ctl asks to be woken.
func (l *leaderTerm) controlLoop() {
	l.startedAt = clock.Now()
	l.witnessesDueAt = l.startedAt.Add(witnessCheckPeriod)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.inbox:
			f(clock.Now())
			l.runQueued()
		case <-timer.C:
		}
		now := clock.Now()
		l.tick(now)
		timer.Reset(clock.Until(l.ctl.NextWake(now)))
	}
}

// runQueued runs the closures that are in the inbox, at most inboxSize of them.
func (l *leaderTerm) runQueued() {
	for range inboxSize {
		select {
		case f := <-l.inbox:
			f(clock.Now())
		default:
			return
		}
	}
}

// tick issues the orders that are due and wakes commitLoop if there are changes to store.
func (l *leaderTerm) tick(now time.Time) {
	if l.ctl.Fenced() {
		l.stop()
		return
	}
	if l.ctl.NeedsNewEpoch() {
		l.needsNewEpoch.Store(true)
	}
	// The inbox may be long.
	l.ctl.ConfirmEpoch(loadTime(&l.confirmedAt))
	l.recordLeaseChange(now)
	l.updateAdvisorEntries(now)
	l.updateWitnesses(now)
	l.updateTimeOfDay(now)
	l.confirmOnRequest()
	l.agents.setWorkers(l.ctl.WorkerCount())
	l.refuseUnbatched(now)
	orders := l.ctl.NextOrders(now)
	l.observePass(clock.Since(now))
	l.executeOrders(&orders, l.decidedAt(now))
	if l.ctl.HasUnstoredChanges() {
		select {
		case l.commitSignal <- struct{}{}:
		default:
		}
	}
	l.publishWaitingJobs()
	inFlight, limit := l.ctl.AdvisorCalls()
	l.advisorCalls.Store(int64(inFlight))
	l.advisorLimit.Store(int64(limit))
	l.publishRunTimes(now)
}

// observePass records the cost of a call of NextOrders that took some time, if it made a placement pass.
func (l *leaderTerm) observePass(took time.Duration) {
	passes, steps := l.ctl.PassCount()
	if passes != l.passes {
		l.passes = passes
		l.node.stats.observePass(took, steps)
	}
}

// maxPassTime is the longest time for which a pass of the controller may take before its orders count as decided at
// its begin. The process may have been paused.
const maxPassTime = time.Second

// decidedAt returns when the orders of a pass that began at a time count as decided. The controller reckons leases from
// the begin of the pass, so it is told by how much later its orders may reach workers.
func (l *leaderTerm) decidedAt(began time.Time) time.Time {
	took := clock.Since(began)
	if took > maxPassTime {
		return began
	}
	l.ctl.AllowForDelay(took + agent.MaxDelay(l.ctl.WorkerCount()))
	return began.Add(took)
}

// publishWaitingJobs publishes the number of waiting jobs of each class to the other
// goroutines, and adds a metric for each new class.
func (l *leaderTerm) publishWaitingJobs() {
	counts, changed := l.ctl.WaitingJobsByClass()
	if !changed {
		return
	}
	published := l.waitingJobs.Load().GetByClass()
	out := &cellv1.WaitingJobs{ByClass: make(map[string]int32, len(counts))}
	for class, n := range counts {
		out.ByClass[class] = int32(n)
		if _, known := published[class]; !known {
			l.node.stats.registerClassGauge("hitch_cell_jobs_waiting", class, func() float64 { return l.node.localWaitingJobs(class) })
		}
	}
	l.waitingJobs.Store(out)
}

// termMetric returns a metric that only the controller has. It is zero on other members.
func (n *Node) termMetric(read func(*leaderTerm) int64) func() float64 {
	return func() float64 {
		l := n.term.Load()
		if l == nil {
			return 0
		}
		return float64(read(l))
	}
}

// localWaitingJobs returns the number of jobs of a class of which no task has started, zero on
// members that are not the controller.
func (n *Node) localWaitingJobs(class string) float64 {
	l := n.term.Load()
	if l == nil {
		return 0
	}
	return float64(l.waitingJobs.Load().GetByClass()[class])
}

func (l *leaderTerm) setConfig(cfg *workload.Config) {
	l.post(func(now time.Time) { l.ctl.SetConfig(cfg, now) })
}

// freshMembers returns the names of the members with a recent heartbeat of this epoch, in order.
func (l *leaderTerm) freshMembers(now time.Time) []string {
	fresh := make([]string, 0, len(l.lastHeartbeats)+1)
	for node, seen := range l.lastHeartbeats {
		if now.Sub(seen) < l.node.memberFreshness() {
			fresh = append(fresh, node)
		}
	}
	slices.Sort(fresh)
	return fresh
}

// updateAdvisorEntries tells ctl through which members it may call the advisor: this one, and
// those with a recent heartbeat.
func (l *leaderTerm) updateAdvisorEntries(now time.Time) {
	if l.node.opts.Advisor == nil {
		return
	}
	entries := append(l.freshMembers(now), l.node.self.Node)
	slices.Sort(entries)
	if !slices.Equal(entries, l.advisorEntries) {
		l.advisorEntries = entries
		l.ctl.SetAdvisorEntries(entries)
	}
}

// fillHelloResponse adds the controller's fields to the response to a heartbeat, and records
// the heartbeat.
func (l *leaderTerm) fillHelloResponse(resp *cellv1.HelloResponse, req *cellv1.HelloRequest, from Member, now time.Time) {
	resp.Epoch = l.epoch
	resp.Leads = !l.ended.Load()
	resp.Ready = l.serving()
	resp.Leaving = l.handingOver.Load()
	resp.WaitingJobs = l.waitingJobs.Load()
	resp.Waiting = resp.WaitingJobs.GetByClass()
	members := append(l.node.view.otherMembers(now.Add(-l.node.memberFreshness())), l.node.describeSelf())
	resp.MembersVersion = membersVersion(members)
	if resp.MembersVersion != req.MembersVersion {
		for _, m := range members {
			resp.Members = append(resp.Members, memberToProto(m))
		}
	}
	l.node.fillTimeOfDay(resp)
	l.post(func(now time.Time) {
		l.recordHeartbeat(from, req.Epoch, now)
		l.recordClock(from, req.Epoch, req.Clock)
	})
}

// recordHeartbeat records a member's heartbeat. If it comes from the predecessor's machine and
// shows that the predecessor follows this epoch or that a later process runs there, the
// predecessor issues no more orders. An earlier process there, whose heartbeat may arrive late, does not
// know the epoch of the predecessor.
func (l *leaderTerm) recordHeartbeat(from Member, epoch int64, now time.Time) {
	if epoch == l.epoch {
		l.lastHeartbeats[from.Node] = now
		l.ctl.FollowedBy(from.Node, now)
	}
	if from.Node != l.predecessor.node {
		return
	}
	if epoch >= l.epoch || from.Boot != l.predecessor.boot && epoch >= l.predecessor.epoch {
		l.ctl.PredecessorEnded(l.predecessor.epoch, now)
	}
}
