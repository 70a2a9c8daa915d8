package cell

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"dotterelhitch/internal/agent"
	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
)

const (
	// agentCheckPeriod is the period at which overdue orders and silent agents are looked for.
	agentCheckPeriod = 100 * time.Millisecond
	// agentSelectPeriod is the period at which the agents are selected again.
	agentSelectPeriod = 500 * time.Millisecond
	// agentRetryDelay is how long a member is not selected after its stream has failed.
	agentRetryDelay = 2 * time.Second
	// agentStartWait is how long a new controller waits for its first agents before it calls
	// workers.
	agentStartWait = 400 * time.Millisecond
)

// agentPool holds the controller's links to the agents and finds the link for each order.
type agentPool struct {
	term *leaderTerm

	mu      sync.Mutex
	links   map[string]*agentLink // by node
	retryAt map[string]time.Time  // by node, after a failure
	workers int
	// usable are the nodes whose links take orders, byWorker the usable nodes in the order of
	// preference for each worker. byWorker is filled as needed.
	usable   []string
	byWorker map[string][]string
}

// agentLink is the link to one agent and the means to end it.
type agentLink struct {
	*agent.Link
	cancel context.CancelFunc
	// deselected says that the link was ended because its node is not to be an agent any more.
	deselected bool
}

func newAgentPool(l *leaderTerm) *agentPool {
	return &agentPool{
		term:     l,
		links:    map[string]*agentLink{},
		retryAt:  map[string]time.Time{},
		byWorker: map[string][]string{},
	}
}

// run keeps up the links until the term ends.
func (p *agentPool) run() {
	var lastSelect time.Time
	for p.term.ctx.Err() == nil {
		now := clock.Now()
		if now.Sub(lastSelect) >= agentSelectPeriod {
			lastSelect = now
			p.selectAgents(now)
		}
		p.check(now)
		select {
		case <-p.term.ctx.Done():
		case <-time.After(agentCheckPeriod):
		}
	}
}

// setWorkers sets the number of workers that the controller calls.
func (p *agentPool) setWorkers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = n
}

// selectAgents opens links to the members that are to be agents and closes the others.
func (p *agentPool) selectAgents(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addrs := map[string]string{}
	var candidates []agent.Candidate
	for _, m := range p.term.node.view.otherMembers(time.Time{}) {
		if now.Before(p.retryAt[m.Node]) {
			continue
		}
		addrs[m.Node] = m.Addr
		candidates = append(candidates, agent.Candidate{Node: m.Node, Cores: m.Cores})
	}
	selected := agent.Select(candidates, p.workers)
	for node, link := range p.links {
		if !slices.Contains(selected, node) {
			link.deselected = true
			link.cancel()
		}
	}
	for _, node := range selected {
		if p.links[node] == nil {
			p.open(node, addrs[node])
		}
	}
}

// open opens a link in the background. The caller holds mu.
func (p *agentPool) open(node, addr string) {
	l := p.term
	ctx, cancel := context.WithCancel(l.ctx)
	link := &agentLink{Link: agent.NewLink(l.epoch, l.serving, clock.Now), cancel: cancel}
	p.links[node] = link
	client := l.node.peers.client(addr)
	l.wg.Go(func() {
		err := link.runStream(ctx, client)
		l.node.peers.resetIfSilent(addr, client)
		p.remove(node, link, err)
	})
}

// runStream opens a stream to an agent and uses it until it ends.
func (link *agentLink) runStream(ctx context.Context, client *peerClient) error {
	defer link.cancel()
	stream, err := client.Execute(ctx)
	if err != nil {
		return err
	}
	return link.Run(ctx, stream, link.cancel)
}

// remove forgets a link that has ended.
func (p *agentPool) remove(node string, link *agentLink, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[node] == link {
		delete(p.links, node)
	}
	now := clock.Now()
	p.updateUsable(now)
	if link.deselected || p.term.ctx.Err() != nil {
		return
	}
	p.retryAt[node] = now.Add(agentRetryDelay)
	detail := node
	if err != nil {
		detail += ": " + err.Error()
	}
	p.term.node.record(event.Event{Type: event.AgentLost, Epoch: p.term.epoch, Detail: detail})
}

// check ends the links to silent agents and updates the set of usable links.
func (p *agentPool) check(now time.Time) {
	p.mu.Lock()
	links := make([]*agentLink, 0, len(p.links))
	for _, link := range p.links {
		links = append(links, link)
	}
	p.mu.Unlock()
	for _, link := range links {
		if link.Expire(now) {
			link.cancel()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateUsable(now)
}

// updateUsable finds the links that take orders. Links to silent agents are used only if most
// agents are silent: then the cause is on this side, and more calls from here would make it
// worse. The caller holds mu.
func (p *agentPool) updateUsable(now time.Time) {
	var responsive, open []string
	for node, link := range p.links {
		switch link.Health(now) {
		case agent.Responsive:
			responsive = append(responsive, node)
			open = append(open, node)
		case agent.Silent:
			open = append(open, node)
		}
	}
	usable := responsive
	if 2*len(responsive) < len(open) {
		usable = open
	}
	slices.Sort(usable)
	if slices.Equal(usable, p.usable) {
		return
	}
	p.usable = usable
	clear(p.byWorker)
}

// linkFor returns the link for an order to a worker, nil if the controller has to send the order
// itself. A failed poll is followed by one through another agent: a worker that does not answer one
// agent may answer another. An agent of an earlier program sends all orders under the epoch, so that it
// gets none with another fencing token.
func (p *agentPool) linkFor(worker string, route controller.Route, token int64) *agentLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.usable) == 0 {
		return nil
	}
	ranked := p.byWorker[worker]
	if ranked == nil {
		ranked = agent.Rank(worker, p.usable)
		p.byWorker[worker] = ranked
	}
	link := p.links[ranked[int(route)%len(ranked)]]
	if link == nil || !link.SendsUnder(token) {
		return nil
	}
	return link
}

// awaitFirst waits until most of the selected agents can be used, or for agentStartWait.
func (p *agentPool) awaitFirst() {
	p.selectAgents(clock.Now())
	for end := clock.Now().Add(agentStartWait); clock.Now().Before(end); p.term.node.sleep(agentCheckPeriod / 5) {
		now := clock.Now()
		p.check(now)
		p.mu.Lock()
		enough := 2*len(p.usable) > len(p.links)
		none := len(p.links) == 0
		p.mu.Unlock()
		if enough || none || p.term.ctx.Err() != nil {
			return
		}
	}
}

// pendingOrders returns the number of orders at the agents that have no result.
func (p *agentPool) pendingOrders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, link := range p.links {
		n += link.Pending()
	}
	return n
}

// agentCount returns the number of agents in use.
func (p *agentPool) agentCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.usable)
}

// agentMetric returns a gauge of the agent pool, zero on members that are not the controller.
func (n *Node) agentMetric(read func(*agentPool) int) func() float64 {
	return func() float64 {
		l := n.term.Load()
		if l == nil {
			return 0
		}
		return float64(read(l.agents))
	}
}

// Execute serves the orders of the controller as its agent.
func (s *peerServer) Execute(ctx context.Context, stream *connect.BidiStream[cellv1.ExecuteRequest, cellv1.ExecuteResponse]) error {
	n := s.node
	executor := &agent.Executor{
		Workers: n.workers,
		Now:     clock.Now,
		NewestEpoch: func() int64 {
			claim, _, _ := n.view.latestClaim()
			return claim.Epoch
		},
		OnBatch: func(epoch int64, ready bool) { n.view.recordLeaderMessage(epoch, ready, clock.Now()) },
		OnStale: func(orders int, age time.Duration) {
			n.record(event.Event{Type: event.OrdersStale, Count: orders, AgeMs: age.Milliseconds()})
		},
	}
	defer n.view.leaderStreamEnded()
	return executor.Serve(ctx, stream)
}
