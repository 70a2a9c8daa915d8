package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// heartbeatsPerCrossGroup is the number of heartbeat rounds within a group for each
// round to other groups.
const heartbeatsPerCrossGroup = 4

// heartbeatLoop sends heartbeats at the configured interval, and checks after each round
// whether a membership change or a transfer of keys is due.
func (e *Entry) heartbeatLoop() {
	ticker := time.NewTicker(e.timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.runOnControl(func() {
				e.core.sendHeartbeats(false)
				e.core.proposeNeededChange(time.Now())
				e.core.transferKeys(time.Now())
			})
		case <-e.ctx.Done():
			return
		}
	}
}

// sendHeartbeats starts a round of heartbeats. A member whose last heartbeat call is
// still in flight is skipped. If all is set, every member of the own group gets one,
// otherwise those that this entry has to call.
func (c *core) sendHeartbeats(all bool) {
	if !c.joined {
		return
	}
	now := time.Now()
	c.chooseAppenders(now)
	c.heartbeatCount++
	c.relayedLoads = c.nextRelayedLoad(now)
	c.learntUses = c.nextLearntUses()
	c.sendGroupHeartbeats(all, now)
	if c.heartbeatCount%heartbeatsPerCrossGroup == 0 {
		c.sendCrossGroupHeartbeats(now)
	}
}

// sendGroupHeartbeats starts the heartbeats within the group, which also carry
// attestations.
func (c *core) sendGroupHeartbeats(all bool, now time.Time) {
	group, _ := c.table.GroupOfMember(c.self())
	for _, m := range group.Members {
		if !all && !c.initiatesHeartbeat(group, m, now) {
			continue
		}
		req := c.heartbeatRequest()
		req.Loads = c.relayedLoads
		req.Learnt = c.learntUses
		c.addAttestationAnswer(req, c.peers[m.ID])
		c.startHeartbeat(m, req)
	}
}

func (c *core) sendCrossGroupHeartbeats(now time.Time) {
	req := c.heartbeatRequest()
	for _, m := range c.crossGroupPeers(now) {
		c.startHeartbeat(m, req)
	}
}

func (c *core) startHeartbeat(m structs.Member, req *peerv1.ExchangeRequest) {
	p := c.peers[m.ID]
	if p == nil || p.heartbeatInFlight {
		return
	}
	p.heartbeatInFlight = true
	c.e.spawn(func() { c.e.sendHeartbeat(m, req) })
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

// silenceTimeout returns the time without a message after which a member is considered
// silent and is skipped.
func (c *core) silenceTimeout(m structs.Member) time.Duration {
	group, _ := c.table.GroupOfMember(c.self())
	if group.HasMember(m.ID) {
		return suspectAfterHeartbeats * c.e.timing.Heartbeat
	}
	return suspectAfterHeartbeats * heartbeatsPerCrossGroup * c.e.timing.Heartbeat
}

func (e *Entry) sendHeartbeat(m structs.Member, req *peerv1.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, 2*e.timing.Heartbeat)
	defer cancel()
	start := time.Now()
	resp, err := e.pool.Client(m).Exchange(ctx, req)
	if err != nil {
		e.pool.Reset(m)
	}
	e.postToControl(func() { e.core.handleHeartbeatResponse(m, resp, err, start) })
}

func (c *core) handleHeartbeatResponse(m structs.Member, resp *peerv1.ExchangeResponse, err error, start time.Time) {
	p := c.peers[m.ID]
	if p == nil {
		return
	}
	p.heartbeatInFlight = false
	if err != nil || resp.Member != m.ID {
		p.heartbeatFailedAt = time.Now()
		return
	}
	c.recordMemberEpoch(m.ID, resp.Epoch, start)
	c.recordGroupEpoch(m.ID, resp.Epoch, resp.GroupEpoch)
	if resp.Attested {
		c.membership.authority.ObserveAttestation(m.ID, resp.Epoch, start)
	}
	if resp.ControlNext > c.control.NextOffset() && !c.logReadRecently(time.Now()) {
		c.e.spawn(func() { c.e.fetchRecords(m) })
	}
	elapsed := time.Since(start)
	p.update(resp.Digest, resp.Epoch, resp.Draining, start)
	p.groupEpoch = resp.GroupEpoch
	p.probationWorkers = resp.Probation
	c.applyProbation()
	p.roundTrip = movingAverage(p.roundTrip, elapsed)
	c.applyRelayedLoads(resp.Loads, time.Now())
	c.mergeLearntUses(m.ID, resp.Learnt)
	p.receivedAttestationRequest = attestationRequest{number: resp.Ask, epoch: resp.Epoch}
}

func (p *peerState) update(d *peerv1.Digest, epoch int64, draining bool, heardAt time.Time) {
	p.digest = d
	p.epoch = epoch
	p.draining = draining
	p.heartbeatFailedAt = time.Time{}
	if heardAt.After(p.lastHeardAt) {
		p.lastHeardAt = heardAt
		p.digestMadeAt = heardAt
	}
}

// movingAverageOldWeight is the weight of the old average against one new sample.
const movingAverageOldWeight = 3

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return (movingAverageOldWeight*old + sample) / (movingAverageOldWeight + 1)
}

// digest returns the load of this entry that heartbeats send to peers.
func (c *core) digest() *peerv1.Digest {
	d := c.fleet.Nodes().Digest()
	return &peerv1.Digest{
		Free:           fromResources(d.Free),
		Total:          fromResources(d.Total),
		Largest:        fromResources(d.Largest),
		FreeSlots:      uint32(d.FreeSlots),
		TotalSlots:     uint32(d.TotalSlots),
		QueuedRequests: uint32(c.e.requests.queuedRequests()),
		QueuedTasks:    uint32(c.jobs.PendingTasks()),
		Workers:        uint32(d.Workers),
		UnknownWorkers: uint32(d.UnknownWorkers),
		ServiceMicros:  uint32(c.e.requests.meanServiceTime().Microseconds()),
	}
}

// Exchange implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Exchange(_ context.Context, r *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	var resp *peerv1.ExchangeResponse
	if !s.e.runOnControl(func() { resp = s.e.core.handleExchange(r) }) {
		return nil, errShuttingDown()
	}
	return resp, nil
}

func (c *core) handleExchange(r *peerv1.ExchangeRequest) *peerv1.ExchangeResponse {
	now := time.Now()
	resp := &peerv1.ExchangeResponse{}
	if p := c.peers[r.Member]; p != nil {
		c.applyAttestationAnswer(r, p)
		resp.Ask = p.newAttestationRequest(c.table.Epoch(), now)
		p.update(r.Digest, r.Epoch, r.Draining, now)
		p.groupEpoch = r.GroupEpoch
		p.probationWorkers = r.Probation
		c.applyProbation()
		c.mergeLearntUses(r.Member, r.Learnt)
		c.recordMemberEpoch(r.Member, r.Epoch, now)
		c.recordGroupEpoch(r.Member, r.Epoch, r.GroupEpoch)
		c.applyRelayedLoads(r.Loads, now)
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
		resp.Loads = c.relayedLoads
		resp.Learnt = c.learntUses
	}
	return resp
}

// applyProbation flags the owned workers that some member has put on probation, so that
// they get no new work.
func (c *core) applyProbation() {
	onProbation := map[string]bool{}
	for _, id := range c.jobs.WorkersOnProbation() {
		onProbation[id] = true
	}
	for _, p := range c.peers {
		for _, id := range p.probationWorkers {
			onProbation[id] = true
		}
	}
	for _, w := range c.fleet.Workers() {
		c.fleet.Nodes().SetFlag(w.Info.ID, scheduler.FlagProbation, onProbation[w.Info.ID])
	}
}
