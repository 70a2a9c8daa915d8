package cell

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
)

// membersTopic holds a record for each machine, so that a process that starts finds the
// others.
const membersTopic = "keyed.members"

const (
	// claimsWait is how long a read of the claims waits for a new one.
	claimsWait = 2 * time.Second
	// heartbeatPeriod is that of calls to the controller in a cell of up to smallCell
	// members; in a larger one it grows with their number. heartbeatTimeout is how long
	// one may take.
	heartbeatPeriod  = 120 * time.Millisecond
	heartbeatTimeout = 400 * time.Millisecond
	smallCell        = 10
	// claimTimeout bounds the append of a claim: a slow store takes half a second.
	claimTimeout = time.Second
	// probeTimeout bounds the question whether another member hears the controller.
	probeTimeout = 250 * time.Millisecond
	// electPeriod is how often a member considers a claim.
	electPeriod = 50 * time.Millisecond
	// membersFresh is how long ago the controller must have met a member to list it.
	membersFresh = 2 * time.Second
)

// followClaims keeps up with the claims. Each read proves the newest one to be current.
func (n *Node) followClaims() {
	f := stream.Follower{
		Reader:   n.log,
		Topic:    election.Topic,
		PollWait: claimsWait,
		OnError:  func(error) {},
	}
	take := func(records []stream.Record, sent time.Time) {
		n.takeClaims(records)
		n.view.claimsRead(f.NextOffset)
		if l := n.lead.Load(); l != nil {
			l.prove(sent)
		}
	}
	f.OnReload = take
	f.OnRecords = take
	f.Run(n.ctx)
}

// takeClaims takes records of claims; a controller that sees a newer one steps down.
func (n *Node) takeClaims(records []stream.Record) {
	for i := range records {
		if records[i].Key != election.Key {
			continue
		}
		c, err := election.ParseClaim(records[i])
		if err != nil {
			n.record(event.Event{Type: event.Alarm, Detail: err.Error()})
			continue
		}
		if !n.view.claim(c, time.Now()) {
			continue
		}
		n.record(event.Event{Type: event.LeaderFound, Member: c.Node, Epoch: c.Epoch, Detail: c.Boot})
		if l := n.lead.Load(); l != nil && l.epoch < c.Epoch {
			l.stop()
		}
	}
}

// register lists this member and reads the others.
func (n *Node) register() {
	value, err := json.Marshal(n.self)
	if err != nil {
		n.record(event.Event{Type: event.Alarm, Detail: err.Error()})
		return
	}
	for n.ctx.Err() == nil {
		_, err = n.log.Append(n.ctx, stream.Append{
			Topic:   membersTopic,
			Records: []stream.Record{{Key: n.self.Node, Value: value}},
		})
		if err == nil {
			break
		}
		n.sleep(heartbeatPeriod)
	}
	for n.ctx.Err() == nil {
		records, _, err := stream.ReadNewest(n.ctx, n.log, membersTopic)
		if err == nil {
			n.takeMembers(records)
			return
		}
		n.sleep(heartbeatPeriod)
	}
}

func (n *Node) takeMembers(records []stream.Record) {
	for i := range records {
		var m Member
		if err := json.Unmarshal(records[i].Value, &m); err != nil {
			n.record(event.Event{Type: event.Alarm, Detail: "member record: " + err.Error()})
			continue
		}
		if m.Node != n.self.Node {
			n.view.met(m, false, time.Time{})
		}
	}
}

// heartbeats keeps in touch with the controller.
func (n *Node) heartbeats() {
	for n.ctx.Err() == nil {
		claim, _, _ := n.view.leader()
		period := n.heartbeatPeriod()
		if claim.Epoch != 0 && !claim.Resigned && n.lead.Load() == nil && claim.Boot != n.self.Boot {
			if !n.helloLeader(claim) {
				period /= 2
			}
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(period):
		case <-n.view.wait():
		}
	}
}

// heartbeatPeriod keeps the calls that the controller gets a second in bounds.
func (n *Node) heartbeatPeriod() time.Duration {
	members := len(n.view.others(time.Time{})) + 1
	return heartbeatPeriod * time.Duration(max(members, smallCell)) / smallCell
}

// helloLeader calls the controller of a claim once.
func (n *Node) helloLeader(claim election.Claim) bool {
	resp, err := n.hello(claim.Addr, heartbeatTimeout)
	if err != nil {
		n.view.leaderMissed(claim.Epoch, structs.CodeOf(err) == structs.CodeUnavailable)
		return false
	}
	now := time.Now()
	if resp.From.GetNode() == claim.Node && resp.From.GetBoot() != claim.Boot {
		n.view.leaderGone(claim.Epoch, now)
		return false
	}
	n.takeConfig(resp.Config)
	if !resp.Leads || resp.Epoch != claim.Epoch {
		return false
	}
	members := make([]Member, 0, len(resp.Members))
	for _, m := range resp.Members {
		members = append(members, fromMember(m))
	}
	n.view.replaceMembers(members, n.self.Node)
	n.view.leaderHeard(claim.Epoch, resp.Ready, resp.Waiting, now)
	if resp.Leaving {
		n.view.leaderLeaves(claim.Epoch, now)
	}
	return true
}

func (n *Node) hello(addr string, timeout time.Duration) (*cellv1.HelloResponse, error) {
	claim, _, _ := n.view.leader()
	req := &cellv1.HelloRequest{From: toMember(n.present()), Epoch: claim.Epoch, Slow: n.pace.slow()}
	if cfg := n.config.Load(); cfg != nil {
		req.ConfigVersion = cfg.Version
	}
	return callPeer(n.ctx, n.peers, addr, timeout, (*peerClient).Hello, req)
}

// elect claims the office when nobody holds it.
func (n *Node) elect() {
	for n.sleep(electPeriod) {
		_, _, loaded := n.view.leader()
		if !loaded || n.lead.Load() != nil || n.isLeaving() || n.config.Load() == nil {
			continue
		}
		v, end := n.view.election(n.self, time.Now())
		timing := n.electionTiming()
		decision, at := election.Decide(v, timing)
		if decision == election.MakeClaim && v.OtherMembers > 0 && !v.LeadershipVacant() && v.Newest.Node != n.self.Node {
			var newer bool
			v.ReachedMembers, v.OthersHearLeader, newer = n.askOthers(v.Newest)
			if newer {
				n.refreshClaims()
				continue
			}
			v.Now = time.Now()
			decision, at = election.Decide(v, timing)
			n.recordSuspicion(v, decision)
		}
		if decision == election.MakeClaim {
			n.claim(v, end)
			continue
		}
		if wait := time.Until(at); decision == election.Follow && wait > electPeriod {
			n.sleep(min(wait, heartbeatPeriod))
		}
	}
}

const (
	// distanceWeight is how much later a member claims for each unit of time that its
	// calls of the store take.
	distanceWeight = 10
	// noPathHandicap puts off the claim of a member that reaches the store only through
	// others.
	noPathHandicap = 500 * time.Millisecond
	// silentBeats is the number of heartbeats that must fail at least before the
	// controller counts as silent.
	silentBeats = 4
	// slowHandicap puts off the claim of a machine that runs slow.
	slowHandicap = 800 * time.Millisecond
	// weakHandicap puts off the claim of a machine with little processor time, by the
	// share that it lacks of what the strongest one has: the controller needs most.
	weakHandicap = time.Second
)

// electionTiming is the election's timing with this member's handicap.
func (n *Node) electionTiming() election.Timing {
	t := n.opts.Election
	t.LeaderTimeout = max(t.LeaderTimeout, silentBeats*n.heartbeatPeriod())
	distance, direct := n.log.distance()
	t.ClaimDelay += distanceWeight * distance
	if !direct {
		t.ClaimDelay += noPathHandicap
	}
	if n.pace.slow() {
		t.ClaimDelay += slowHandicap
	}
	t.ClaimDelay += time.Duration(n.lacks(time.Time{}) * float64(weakHandicap))
	return t
}

// lacks returns the share of the strongest member's processor time that this member lacks,
// among those met since a time.
func (n *Node) lacks(since time.Time) float64 {
	strongest := n.self.Cores
	for _, m := range n.view.others(since) {
		strongest = max(strongest, m.Cores)
	}
	if n.self.Cores <= 0 {
		return 0
	}
	return 1 - n.self.Cores/strongest
}

// recordSuspicion tells what speaks for and against replacing a silent controller.
func (n *Node) recordSuspicion(v election.View, d election.Decision) {
	since := v.LeaderLastHeard
	if since.IsZero() {
		since = v.WatchedSince
	}
	n.record(event.Event{
		Type:       event.LeaderLost,
		Member:     v.Newest.Node,
		Epoch:      v.Newest.Epoch,
		AgeMs:      v.Now.Sub(since).Milliseconds(),
		Candidates: v.OtherMembers,
		Count:      v.ReachedMembers,
		State:      d.String(),
	})
}

func (n *Node) isLeaving() bool {
	select {
	case <-n.leaving:
		return true
	default:
		return false
	}
}

// refreshTimeout bounds one reading of the newest claim.
const refreshTimeout = time.Second

// refreshClaims reads the newest claim at once: others know of one that the follower of the
// claims has not seen. Its read may wait for an answer that was lost.
func (n *Node) refreshClaims() {
	ctx, cancel := context.WithTimeout(n.ctx, refreshTimeout)
	defer cancel()
	records, _, err := stream.ReadNewest(ctx, n.log, election.Topic)
	if err != nil {
		n.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Detail: "reading the newest claim: " + structs.AsError(err).Message})
		return
	}
	n.takeClaims(records)
}

// askOthers asks the other members whether they hear the controller, and whether one of
// them knows of a newer claim.
func (n *Node) askOthers(claim election.Claim) (reached int, hear, newer bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range n.view.others(time.Time{}) {
		if m.Node == claim.Node {
			continue
		}
		wg.Go(func() {
			resp, err := n.hello(m.Addr, probeTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reached++
			fresh := resp.LeaderHeardMs >= 0 && resp.LeaderHeardMs < n.opts.Election.LeaderTimeout.Milliseconds()
			hear = hear || resp.Epoch == claim.Epoch && fresh
			newer = newer || resp.Epoch > claim.Epoch
		})
	}
	wg.Wait()
	return reached, hear, newer
}

// claim appends a claim, on the condition that the claims end where v was taken, and takes
// the office.
func (n *Node) claim(v election.View, end int64) {
	claim := election.Claim{Node: n.self.Node, Boot: n.self.Boot, Addr: n.self.Addr, ResignedEpoch: v.Newest.Epoch}
	record, err := claim.Record()
	if err != nil {
		n.record(event.Event{Type: event.Alarm, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, claimTimeout)
	defer cancel()
	sent := time.Now()
	got, err := n.log.Append(ctx, stream.Append{Topic: election.Topic, Records: []stream.Record{record}, ExpectedEnd: &end})
	if err != nil {
		n.record(event.Event{Type: event.ClaimRefused, Code: structs.CodeOf(err), Detail: structs.AsError(err).Message})
		// Another member claimed before, or the answer was lost and it was done.
		n.refreshClaims()
		n.adoptLostClaim(v, sent)
		return
	}
	claim.Epoch = got.Offset + 1
	n.view.claim(claim, sent)
	n.view.claimsRead(got.End)
	startLead(n, claim, v, sent)
}

// adoptLostClaim takes the office if a claim without an answer was done all the same.
func (n *Node) adoptLostClaim(v election.View, sent time.Time) {
	newest, _, _ := n.view.leader()
	if newest.Boot == n.self.Boot && newest.Epoch > v.Newest.Epoch && !newest.Resigned && n.lead.Load() == nil {
		startLead(n, newest, v, sent)
	}
}
