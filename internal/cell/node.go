package cell

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
)

// Member is one process of the cell.
type Member struct {
	// Node is the name of the machine. Boot is a random ID of the process, new at each start.
	Node string `json:"node"`
	Boot string `json:"boot"`
	// Addr is the host:port at which other members reach the process, Domain its failure
	// domain.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	// Cores is the processor time available to the process, in cores; zero if unknown.
	Cores float64 `json:"cores,omitempty"`
	// ReachesStore is true if the member's direct calls to the store succeed.
	ReachesStore bool `json:"-"`
}

// Options configures a node.
type Options struct {
	// Self describes this member; New sets its Boot.
	Self Member
	// Listener accepts the connections of other members.
	Listener net.Listener
	// ProtectServer, if not nil, sets up the limits of the server of the interface between members.
	ProtectServer func(*http.Server)
	Log           Log
	Workers       Workers
	// Advisor is nil if the platform has no placement advisor.
	Advisor  Advisor
	Topics   PlatformTopics
	Timing   controller.Timing
	Election election.Timing
	// LearnRunTimes has the controller learn run times from finished runs instead of using the stated ones alone.
	LearnRunTimes bool
	Events        *event.Recorder
	// Clock timestamps the events so that those of all members can be ordered. Calls between
	// members synchronize it.
	Clock   *event.Clock
	Metrics *metrics.Set
}

// Node runs one member of a cell.
type Node struct {
	opts  Options
	self  Member
	log   *relayLog
	peers *peerPool
	stats *nodeStats
	// workers is opts.Workers with counters.
	workers Workers

	config configState
	// fetchingConfig is true while fetchConfig makes a call.
	fetchingConfig atomic.Bool
	// term is this member's term as the controller, nil while it is not the controller.
	term atomic.Pointer[leaderTerm]

	// refreshingCounts is true while WaitingJobs sends a heartbeat.
	refreshingCounts atomic.Bool

	view  cellView
	clock memberClock
	speed speedMonitor
	wg    sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc
	// steppingDown is closed by StepDown.
	steppingDown chan struct{}
	stepDownOnce sync.Once
}

// New returns a node; Run starts it.
func New(opts Options) *Node {
	opts.Self.Boot = uuid.NewString()[:8]
	n := &Node{
		opts:         opts,
		self:         opts.Self,
		peers:        newPeerPool(opts.Clock),
		stats:        newNodeStats(opts.Metrics),
		steppingDown: make(chan struct{}),
	}
	n.workers = countingWorkers{opts.Workers, n.stats}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.stats.registerGauge("hitch_cell_authority_left_seconds", n.leaderLeaseLeft)
	n.stats.registerGauge("hitch_cell_agents", n.agentMetric((*agentPool).agentCount))
	n.stats.registerGauge("hitch_cell_agent_orders_pending", n.agentMetric((*agentPool).pendingOrders))
	n.stats.registerGauge("hitch_cell_advice_in_flight", n.termMetric(func(l *leaderTerm) int64 { return l.advisorCalls.Load() }))
	n.stats.registerGauge("hitch_cell_advice_limit", n.termMetric(func(l *leaderTerm) int64 { return l.advisorLimit.Load() }))
	n.stats.registerGauge("hitch_cell_config_version", func() float64 { return float64(n.config.number()) })
	n.stats.registerGauge("hitch_cell_config_age_seconds", n.configAgeSeconds)
	n.stats.registerGauge("hitch_cell_clock_offset_seconds", n.clock.offsetSeconds)
	n.view.init(clock.Now())
	n.log = newRelayLog(opts.Log, n)
	return n
}

// Self returns the description of this member.
func (n *Node) Self() Member { return n.self }

// StepDown hands over leadership if this member is the controller, and keeps it from claiming
// leadership again. The node forwards callers' requests to the controller until the context of
// Run ends.
func (n *Node) StepDown() {
	n.stepDownOnce.Do(func() {
		close(n.steppingDown)
		n.record(event.Event{Type: event.EntryDrain, Member: n.self.Boot, Detail: n.self.Node})
		if l := n.term.Load(); l != nil {
			l.handOver()
		}
	})
}

// Run runs the node until ctx ends.
func (n *Node) Run(ctx context.Context) {
	unregister := context.AfterFunc(ctx, n.stop)
	defer unregister()
	n.record(event.Event{Type: event.EntryStart, Member: n.self.Boot, Detail: n.self.Node})
	server := newPeerServer(n)
	n.spawn(func() { n.serve(server) })
	n.spawn(n.followConfig)
	n.spawn(n.monitorConfigAge)
	n.spawn(n.followClaims)
	n.spawn(n.register)
	n.spawn(n.sendHeartbeats)
	n.spawn(n.runElection)
	n.spawn(n.monitorSpeed)
	n.spawn(n.log.probeDirect)
	<-n.ctx.Done()
	if l := n.term.Load(); l != nil {
		l.stop()
	}
	_ = server.Close()
	n.wg.Wait()
	n.record(event.Event{Type: event.EntryExit, Member: n.self.Boot, Detail: n.self.Node})
}

func (n *Node) serve(server *http.Server) {
	if err := server.Serve(n.opts.Listener); err != nil && n.ctx.Err() == nil {
		n.record(event.Event{Type: event.Alarm, Detail: "peer interface: " + err.Error()})
	}
}

func (n *Node) spawn(f func()) { n.wg.Go(f) }

func (n *Node) record(e event.Event) { n.opts.Events.Record(e) }

// recordDecision records and counts a decision of the controller.
func (n *Node) recordDecision(e event.Event) {
	n.stats.countDecision(&e)
	n.record(e)
}

// sleep waits for d. It returns false at once if the node stops.
func (n *Node) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Ready reports whether the node can serve callers: it has a configuration, and it is a serving
// controller or has had a recent answer from one.
func (n *Node) Ready() bool {
	if n.config.version.Load() == nil {
		return false
	}
	if l := n.term.Load(); l != nil {
		return l.serving()
	}
	return n.leaderServing()
}
