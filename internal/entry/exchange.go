package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// farHeartbeats is the number of heartbeats within a group for each one outside.
const farHeartbeats = 4

// exchangeLoop sends the heartbeat to every other member.
func (e *Entry) exchangeLoop() {
	ticker := time.NewTicker(e.timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.do(func() {
				e.core.exchange(false)
				e.core.guardMembership(time.Now())
				e.core.transferKeys(time.Now())
			})
		case <-e.ctx.Done():
			return
		}
	}
}

// exchange begins a heartbeat to each member that is due one and has answered its
// last one; all asks for one to each member of the group.
func (c *core) exchange(all bool) {
	if !c.joined {
		return
	}
	now := time.Now()
	c.chooseAppenders(now)
	c.beat++
	c.handing = c.handOn(now)
	c.learnt = c.shareLearnt()
	c.exchangeNear(all, now)
	if c.beat%farHeartbeats == 0 {
		c.exchangeFar(now)
	}
}

// exchangeNear begins the heartbeats within the group, which attest.
func (c *core) exchangeNear(all bool, now time.Time) {
	group, _ := c.table.GroupOfMember(c.self())
	for _, m := range group.Members {
		if !all && !c.calls(group, m, now) {
			continue
		}
		req := c.heartbeatRequest()
		req.Loads = c.handing
		req.Learnt = c.learnt
		c.answerAsk(req, c.peers[m.ID])
		c.beginHeartbeat(m, req)
	}
}

func (c *core) exchangeFar(now time.Time) {
	req := c.heartbeatRequest()
	for _, m := range c.farPeers(now) {
		c.beginHeartbeat(m, req)
	}
}

func (c *core) beginHeartbeat(m structs.Member, req *peerv1.ExchangeRequest) {
	p := c.peers[m.ID]
	if p == nil || p.busy {
		return
	}
	p.busy = true
	c.e.spawn(func() { c.e.heartbeat(m, req) })
}

func (c *core) heartbeatRequest() *peerv1.ExchangeRequest {
	return &peerv1.ExchangeRequest{
		Member:      c.self(),
		Epoch:       c.table.Epoch(),
		GroupEpoch:  c.groupEpoch(),
		ControlNext: c.control.NextOffset(),
		Digest:      c.digest(),
		Draining:    c.draining,
		Attest:      true,
		Probation:   c.jobs.WorkersOnProbation(),
	}
}

// silentAfter is the time without a word after which a member is passed over.
func (c *core) silentAfter(m structs.Member) time.Duration {
	group, _ := c.table.GroupOfMember(c.self())
	if group.HasMember(m.ID) {
		return suspectHeartbeats * c.e.timing.Heartbeat
	}
	return suspectHeartbeats * farHeartbeats * c.e.timing.Heartbeat
}

func (e *Entry) heartbeat(m structs.Member, req *peerv1.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, 2*e.timing.Heartbeat)
	defer cancel()
	start := time.Now()
	resp, err := e.pool.Client(m).Exchange(ctx, req)
	if err != nil {
		e.pool.Reset(m)
	}
	e.post(func() { e.core.heartbeatDone(m, resp, err, start) })
}

func (c *core) heartbeatDone(m structs.Member, resp *peerv1.ExchangeResponse, err error, start time.Time) {
	p := c.peers[m.ID]
	if p == nil {
		return
	}
	p.busy = false
	if err != nil || resp.Member != m.ID {
		p.missed = time.Now()
		return
	}
	c.heardMember(m.ID, resp.Epoch, start)
	c.heardGroup(m.ID, resp.Epoch, resp.GroupEpoch)
	if resp.Attested {
		c.rights.authority.ObserveAttestation(m.ID, resp.Epoch, start)
	}
	if resp.ControlNext > c.control.NextOffset() && !c.readLately(time.Now()) {
		c.e.spawn(func() { c.e.fetchRecords(m) })
	}
	took := time.Since(start)
	p.take(resp.Digest, resp.Epoch, resp.Draining, start)
	p.groupEpoch = resp.GroupEpoch
	p.probation = resp.Probation
	c.applyProbation()
	p.roundTrip = smooth(p.roundTrip, took)
	c.takeLoads(resp.Loads, time.Now())
	c.takeLearnt(m.ID, resp.Learnt)
	p.toAnswer = ask{number: resp.Ask, epoch: resp.Epoch}
}

func (p *peerState) take(d *peerv1.Digest, epoch int64, draining bool, heard time.Time) {
	p.digest = d
	p.epoch = epoch
	p.draining = draining
	p.missed = time.Time{}
	if heard.After(p.heard) {
		p.heard = heard
		p.digestAt = heard
	}
}

// smoothWeight is the weight of the old value in a smoothed time.
const smoothWeight = 3

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return (smoothWeight*old + sample) / (smoothWeight + 1)
}

// digest is this entry's load as it is told to peers.
func (c *core) digest() *peerv1.Digest {
	d := c.fleet.Nodes().Digest()
	return &peerv1.Digest{
		Free:           fromResources(d.Free),
		Total:          fromResources(d.Total),
		Largest:        fromResources(d.Largest),
		FreeSlots:      uint32(d.FreeSlots),
		TotalSlots:     uint32(d.TotalSlots),
		QueuedRequests: uint32(c.e.traffic.queued()),
		QueuedTasks:    uint32(c.jobs.PendingTasks()),
		Workers:        uint32(d.Workers),
		UnknownWorkers: uint32(d.UnknownWorkers),
		ServiceMicros:  uint32(c.e.traffic.service().Microseconds()),
	}
}

// Exchange implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Exchange(_ context.Context, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	var resp *peerv1.ExchangeResponse
	if !s.e.do(func() { resp = s.e.core.takeExchange(r) }) {
		return nil, errEnding()
	}
	return resp, nil
}

func (c *core) takeExchange(r *peerv1.ExchangeRequest) *peerv1.ExchangeResponse {
	now := time.Now()
	resp := &peerv1.ExchangeResponse{}
	if p := c.peers[r.Member]; p != nil {
		c.takeAnswer(r, p)
		resp.Ask = p.newAsk(c.table.Epoch(), now)
		p.take(r.Digest, r.Epoch, r.Draining, now)
		p.groupEpoch = r.GroupEpoch
		p.probation = r.Probation
		c.applyProbation()
		c.takeLearnt(r.Member, r.Learnt)
		c.heardMember(r.Member, r.Epoch, now)
		c.heardGroup(r.Member, r.Epoch, r.GroupEpoch)
		c.takeLoads(r.Loads, now)
	}
	resp.Attested = r.Attest && c.attests(r.Epoch)
	resp.Member = c.self()
	resp.Epoch = c.table.Epoch()
	resp.GroupEpoch = c.groupEpoch()
	resp.ControlNext = c.control.NextOffset()
	resp.Digest = c.digest()
	resp.Draining = c.draining
	resp.Probation = c.jobs.WorkersOnProbation()
	if group, _ := c.table.GroupOfMember(c.self()); group.HasMember(r.Member) {
		resp.Loads = c.handing
		resp.Learnt = c.learnt
	}
	return resp
}

// applyProbation keeps new work from the owned workers that the results of some
// member's jobs speak against.
func (c *core) applyProbation() {
	blamed := map[string]bool{}
	for _, id := range c.jobs.WorkersOnProbation() {
		blamed[id] = true
	}
	for _, p := range c.peers {
		for _, id := range p.probation {
			blamed[id] = true
		}
	}
	for _, w := range c.fleet.Workers() {
		c.fleet.Nodes().SetFlag(w.Info.ID, scheduler.FlagProbation, blamed[w.Info.ID])
	}
}
