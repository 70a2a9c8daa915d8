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

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// Member is one process of the cell.
type Member struct {
	// Node is the name of the machine, Boot is new at every start of the process.
	Node string `json:"node"`
	Boot string `json:"boot"`
	// Addr is where peers reach the process.
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	// Cores is the processor time that the machine gives the process, in cores; zero if
	// it is not known.
	Cores float64 `json:"cores,omitempty"`
	// ReachesStore says that the member has a path of its own to the store.
	ReachesStore bool `json:"-"`
}

// Options is what a node is made of.
type Options struct {
	// Self is this member; its boot is set by New.
	Self Member
	// Listener takes the connections of peers.
	Listener net.Listener
	Log      Log
	Workers  Workers
	// Advisor is nil where there is none.
	Advisor  Advisor
	Topics   PlatformTopics
	Timing   controller.Timing
	Election election.Timing
	Events   *event.Recorder
	// Clock orders the events of all members; it travels on the calls between them.
	Clock   *event.Clock
	Metrics *metrics.Set
}

// Node is one member of a cell.
type Node struct {
	opts  Options
	self  Member
	log   *relayLog
	peers *peerPool
	stats *nodeStats

	config atomic.Pointer[configVersion]
	// lead is the controller while this member is it.
	lead atomic.Pointer[lead]

	view  view
	pace  pace
	group sync.WaitGroup
	ctx   context.Context
	stop  context.CancelFunc
	// leaving is closed once the node is to end gracefully.
	leaving   chan struct{}
	leaveOnce sync.Once
}

// configVersion is a version of the configuration with the record that it was read from.
type configVersion struct {
	*workload.Config
	raw []byte
}

// New returns a node that Run starts.
func New(opts Options) *Node {
	opts.Self.Boot = uuid.NewString()[:8]
	n := &Node{
		opts:    opts,
		self:    opts.Self,
		peers:   newPeerPool(opts.Clock),
		stats:   newNodeStats(opts.Metrics),
		leaving: make(chan struct{}),
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.stats.gauge("hitch_cell_authority_left_seconds", n.authorityLeft)
	n.view.init(time.Now())
	n.log = newRelayLog(opts.Log, n)
	return n
}

// Self returns this member.
func (n *Node) Self() Member { return n.self }

// StepDown hands over the office, if this member holds it. The node goes on carrying callers'
// calls until Run's context ends, but claims no more.
func (n *Node) StepDown() {
	n.leaveOnce.Do(func() {
		close(n.leaving)
		n.record(event.Event{Type: event.EntryDrain, Member: n.self.Boot, Detail: n.self.Node})
		if l := n.lead.Load(); l != nil {
			l.handOver()
		}
	})
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stopped := context.AfterFunc(ctx, n.stop)
	defer stopped()
	n.record(event.Event{Type: event.EntryStart, Member: n.self.Boot, Detail: n.self.Node})
	server := newPeerServer(n)
	n.spawn(func() { n.serve(server) })
	n.spawn(n.followConfig)
	n.spawn(n.followClaims)
	n.spawn(n.register)
	n.spawn(n.heartbeats)
	n.spawn(n.elect)
	n.spawn(n.keepPace)
	n.spawn(n.log.probe)
	<-n.ctx.Done()
	if l := n.lead.Load(); l != nil {
		l.stop()
	}
	_ = server.Close()
	n.group.Wait()
	n.record(event.Event{Type: event.EntryExit, Member: n.self.Boot, Detail: n.self.Node})
}

func (n *Node) serve(server *http.Server) {
	if err := server.Serve(n.opts.Listener); err != nil && n.ctx.Err() == nil {
		n.record(event.Event{Type: event.Alarm, Detail: "peer interface: " + err.Error()})
	}
}

func (n *Node) spawn(f func()) { n.group.Go(f) }

func (n *Node) record(e event.Event) { n.opts.Events.Record(e) }

// recordDecision records what the controller decided and counts it.
func (n *Node) recordDecision(e event.Event) {
	n.stats.decision(&e)
	n.record(e)
}

// sleep waits, and reports whether the node goes on.
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

// Ready reports whether the node can serve callers: it has a configuration and hears a
// controller that serves.
func (n *Node) Ready() bool {
	if n.config.Load() == nil {
		return false
	}
	if l := n.lead.Load(); l != nil {
		return l.serving()
	}
	return n.view.leaderServes(time.Now())
}
