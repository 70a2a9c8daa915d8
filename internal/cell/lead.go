package cell

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/jobstore"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// inboxSize is the number of events that may wait for the control goroutine.
const inboxSize = 4096

// lead is a term as controller. One goroutine, the control goroutine, owns ctl; others
// carry calls and hand it closures.
type lead struct {
	n     *Node
	epoch int64
	ctl   *controller.Controller
	store *jobstore.Store
	// flight holds what is being appended to the store.
	flight *pipeline
	inbox  chan func(now time.Time)

	ctx   context.Context
	abort context.CancelFunc
	group sync.WaitGroup
	once  sync.Once

	ready   atomic.Bool
	ended   atomic.Bool
	leaving atomic.Bool
	proven  atomic.Int64 // Unix nanoseconds
	kick    chan struct{}
	waiting atomic.Pointer[map[string]int32]

	// The control goroutine's own.
	accepts  map[string][]chan error // by job, callers that wait for its acceptance
	endWaits map[string][]chan error // by job, callers that wait for its stored end
	members  map[string]time.Time
	lanes    []string
	former   former
}

// former is the controller before this one, until its authority has certainly ended.
type former struct {
	node, boot string
	epoch      int64
}

// formerOf returns the controller that a claim tells of.
func formerOf(c election.Claim) former {
	if c.Resigned {
		return former{node: c.Node, boot: c.Boot, epoch: c.ResignedEpoch}
	}
	return former{node: c.Node, boot: c.Boot, epoch: c.Epoch}
}

// startLead begins a term.
func startLead(n *Node, claim election.Claim, v election.View, sent time.Time) {
	l := &lead{
		n:        n,
		epoch:    claim.Epoch,
		ctl:      controller.New(claim.Epoch, n.opts.Timing, n.recordDecision),
		store:    jobstore.New(n.log, claim.Epoch),
		flight:   newPipeline(),
		inbox:    make(chan func(time.Time), inboxSize),
		kick:     make(chan struct{}, 1),
		accepts:  map[string][]chan error{},
		endWaits: map[string][]chan error{},
		members:  map[string]time.Time{},
		former:   formerOf(v.Newest),
	}
	l.ctx, l.abort = context.WithCancel(n.ctx)
	l.proven.Store(sent.UnixNano())
	n.record(event.Event{Type: event.AuthorityGained, Member: n.self.Boot, Epoch: l.epoch, Detail: n.self.Node})
	n.lead.Store(l)
	n.spawn(func() { l.run(v, sent) })
	if n.isLeaving() {
		// The claim was on its way when the process was told to end.
		n.spawn(l.handOver)
	}
}

// stop ends the term.
func (l *lead) stop() {
	l.once.Do(func() {
		l.ended.Store(true)
		l.ready.Store(false)
		l.abort()
		l.n.lead.CompareAndSwap(l, nil)
		l.n.record(event.Event{Type: event.AuthorityLost, Member: l.n.self.Boot, Epoch: l.epoch, Detail: l.n.self.Node})
	})
}

// handOverWithin is how long a controller that leaves waits for another to claim the
// office.
const handOverWithin = 1500 * time.Millisecond

// handOver serves on until another member has claimed the office, which the answers to
// heartbeats ask for, and resigns if none does.
func (l *lead) handOver() {
	l.leaving.Store(true)
	select {
	case <-l.ctx.Done():
	case <-time.After(handOverWithin):
		l.resign()
	}
}

// resignWithin bounds the time for storing what is left before resigning.
const resignWithin = 700 * time.Millisecond

// resign ends the term in order: what has changed is stored, and the others are told
// that nothing is ordered any more.
func (l *lead) resign() {
	l.ready.Store(false)
	deadline := time.Now().Add(resignWithin)
	for time.Now().Before(deadline) && l.ctx.Err() == nil && l.unstored() {
		time.Sleep(commitGap)
	}
	if l.ended.Load() {
		return
	}
	l.stop()
	claim := election.Claim{Node: l.n.self.Node, Boot: l.n.self.Boot, Addr: l.n.self.Addr, Resigned: true, ResignedEpoch: l.epoch}
	record, err := claim.Record()
	if err != nil {
		l.n.record(event.Event{Type: event.Alarm, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(l.n.ctx, resignWithin)
	defer cancel()
	end := l.epoch
	if _, err := l.n.log.Append(ctx, stream.Append{Topic: election.Topic, Records: []stream.Record{record}, ExpectedEnd: &end}); err != nil {
		l.n.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Detail: "resigning: " + structs.AsError(err).Message})
	}
}

// unstored reports whether something waits to be stored.
func (l *lead) unstored() bool {
	ctx, cancel := context.WithTimeout(l.ctx, resignWithin)
	defer cancel()
	waits, err := callOn(ctx, l, func(time.Time) bool { return l.ctl.HasUnstoredChanges() || !l.flight.since().IsZero() })
	return err == nil && waits
}

// serving reports whether the term has read the store and may order.
func (l *lead) serving() bool {
	return l.ready.Load() && time.Since(time.Unix(0, l.proven.Load())) < l.n.opts.Timing.LeaderLease
}

// run takes over and serves until the term ends.
func (l *lead) run(v election.View, sent time.Time) {
	defer l.group.Wait()
	defer l.stop()
	// The list of workers is read while the jobs are; it waits in the inbox.
	l.group.Go(l.followWorkers)
	if !l.takeOver(v, sent) {
		return
	}
	l.group.Go(l.commit)
	l.control()
}

// takeOver fences the store and reads it.
func (l *lead) takeOver(v election.View, sent time.Time) bool {
	for !l.try(l.store.Fence) {
		if l.ctx.Err() != nil {
			return false
		}
	}
	fenced := time.Now()
	var records []controller.Record
	for !l.try(func(ctx context.Context) (err error) {
		records, err = l.store.Load(ctx)
		return err
	}) {
		if l.ctx.Err() != nil {
			return false
		}
	}
	now := time.Now()
	l.ctl.ConfirmEpoch(sent)
	if cfg := l.n.config.Load(); cfg != nil {
		l.ctl.SetConfig(cfg.Config, now)
	}
	if err := l.ctl.Load(records, now); err != nil {
		l.n.record(event.Event{Type: event.Alarm, Detail: err.Error()})
		return false
	}
	l.ctl.SetPredecessorsExpiry(fenced.Add(l.n.opts.Timing.LeaderLease))
	if v.Newest.Epoch == 0 || v.Newest.Resigned || v.LeaderProcessEnded || v.Newest.Node == l.n.self.Node {
		l.formerEnded(now)
	}
	l.setLanes(now)
	l.ready.Store(true)
	l.n.view.leaderHeard(l.epoch, true, nil, now)
	return true
}

// formerEnded notes that the process of the controller before has ended or stepped down.
func (l *lead) formerEnded(now time.Time) {
	if l.ctl.IsOnlyPossiblePredecessor(l.former.epoch) {
		l.ctl.SetPredecessorsExpiry(now)
	}
}

// Pause between tries of taking over.
const takeOverPause = 100 * time.Millisecond

// try makes one call of taking over and reports whether it was done. A newer epoch ends
// the term.
func (l *lead) try(call func(context.Context) error) bool {
	err := call(l.ctx)
	if err == nil {
		return true
	}
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		l.stop()
		return false
	}
	l.n.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Epoch: l.epoch, Detail: "taking over: " + structs.AsError(err).Message})
	l.n.sleep(takeOverPause)
	return false
}

// post hands a closure to the control goroutine.
func (l *lead) post(f func(now time.Time)) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// control is the control goroutine.
func (l *lead) control() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.inbox:
			f(time.Now())
			l.drain()
		case <-timer.C:
		}
		now := time.Now()
		l.step(now)
		timer.Reset(time.Until(l.ctl.NextWake(now)))
	}
}

// drain runs the closures that wait.
func (l *lead) drain() {
	for range inboxSize {
		select {
		case f := <-l.inbox:
			f(time.Now())
		default:
			return
		}
	}
}

// step carries out what the controller wants.
func (l *lead) step(now time.Time) {
	if l.ctl.Fenced() {
		l.stop()
		return
	}
	l.setLanes(now)
	l.refuseUnsent(now)
	orders := l.ctl.NextOrders(now)
	l.execute(&orders)
	if l.ctl.HasUnstoredChanges() {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
	l.publish()
}

// publish lets other goroutines read what callers ask of each queue.
func (l *lead) publish() {
	counts, changed := l.ctl.WaitingJobsByClass()
	if !changed {
		return
	}
	var shown map[string]int32
	if before := l.waiting.Load(); before != nil {
		shown = *before
	}
	out := make(map[string]int32, len(counts))
	for class, n := range counts {
		out[class] = int32(n)
		if _, known := shown[class]; !known {
			l.n.stats.gauge(`hitch_cell_jobs_waiting{class="`+class+`"}`, func() float64 { return l.n.waitingHere(class) })
		}
	}
	l.waiting.Store(&out)
}

// waitingHere is the number of jobs of a class of which nothing has started, zero at
// members that are not the controller.
func (n *Node) waitingHere(class string) float64 {
	l := n.lead.Load()
	if l == nil {
		return 0
	}
	counts := l.waiting.Load()
	if counts == nil {
		return 0
	}
	return float64((*counts)[class])
}

// authorityLeft is how long this member may still order without another proof, zero at
// members that are not the controller.
func (n *Node) authorityLeft() float64 {
	l := n.lead.Load()
	if l == nil {
		return 0
	}
	left := n.opts.Timing.LeaderLease - time.Since(time.Unix(0, l.proven.Load()))
	return max(left.Seconds(), 0)
}

// prove notes that a call begun at sent showed the term to be current.
func (l *lead) prove(sent time.Time) {
	if at := sent.UnixNano(); at > l.proven.Load() {
		l.proven.Store(at)
	}
	l.post(func(time.Time) { l.ctl.ConfirmEpoch(sent) })
}

func (l *lead) setConfig(cfg *workload.Config) {
	l.post(func(now time.Time) { l.ctl.SetConfig(cfg, now) })
}

// setLanes tells the controller which members may ask the advisor.
func (l *lead) setLanes(now time.Time) {
	if l.n.opts.Advisor == nil {
		return
	}
	lanes := []string{l.n.self.Node}
	for node, seen := range l.members {
		if now.Sub(seen) < membersFresh {
			lanes = append(lanes, node)
		}
	}
	slices.Sort(lanes)
	if !slices.Equal(lanes, l.lanes) {
		l.lanes = lanes
		l.ctl.SetAdvisorEntries(lanes)
	}
}

// answerHello fills the controller's part of a heartbeat's answer.
func (l *lead) answerHello(resp *cellv1.HelloResponse, from Member, epoch int64, now time.Time) {
	resp.Epoch = l.epoch
	resp.Leads = !l.ended.Load()
	resp.Ready = l.serving()
	resp.Leaving = l.leaving.Load()
	if counts := l.waiting.Load(); counts != nil {
		resp.Waiting = *counts
	}
	for _, m := range l.n.view.others(now.Add(-membersFresh)) {
		resp.Members = append(resp.Members, toMember(m))
	}
	resp.Members = append(resp.Members, toMember(l.n.present()))
	l.post(func(now time.Time) { l.memberSeen(from, epoch, now) })
}

// memberSeen takes a member's heartbeat. The controller before that follows this epoch,
// or whose machine runs another process, orders no more.
func (l *lead) memberSeen(from Member, epoch int64, now time.Time) {
	if epoch == l.epoch {
		l.members[from.Node] = now
	}
	if from.Node != l.former.node {
		return
	}
	if from.Boot != l.former.boot || epoch >= l.epoch {
		l.formerEnded(now)
	}
}

const (
	// workersWait is how long a read of the list of workers waits for a change,
	// workersGap the pause between reads: every worker writes its record anew with each
	// of its heartbeats.
	workersWait = 2 * time.Second
	workersGap  = 250 * time.Millisecond
)

// followWorkers keeps up with the platform's list of workers.
func (l *lead) followWorkers() {
	listed := map[string]bool{}
	f := stream.Follower{
		Reader:            l.n.log,
		Topic:             l.n.opts.Topics.WorkerTopic,
		PollWait:          workersWait,
		PauseAfterRecords: workersGap,
		OnError:           func(error) {},
		OnReload: func(records []stream.Record, _ time.Time) {
			gone := listed
			listed = map[string]bool{}
			l.takeWorkers(records, listed)
			for id := range gone {
				if !listed[id] {
					l.post(func(now time.Time) { l.ctl.UnlistWorker(id, now) })
				}
			}
		},
		OnRecords: func(records []stream.Record, _ time.Time) { l.takeWorkers(records, listed) },
	}
	f.Run(l.ctx)
}

// takeWorkers takes records of the list of workers.
func (l *lead) takeWorkers(records []stream.Record, listed map[string]bool) {
	for i := range records {
		id := records[i].Key
		if len(records[i].Value) == 0 {
			delete(listed, id)
			l.post(func(now time.Time) { l.ctl.UnlistWorker(id, now) })
			continue
		}
		w, err := l.n.opts.Topics.DecodeWorker(id, records[i].Value)
		if err != nil {
			l.n.stats.badRecords.Inc()
			continue
		}
		listed[id] = true
		l.post(func(now time.Time) { l.ctl.SetWorker(w, now) })
	}
}
