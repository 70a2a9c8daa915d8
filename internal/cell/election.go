package cell

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
)

const (
	// claimReadWait is how long a read of the claims topic waits for a new claim.
	claimReadWait = 2 * time.Second
	// claimTimeout bounds the append of a claim. A slow store takes half a second for an
	// append.
	claimTimeout = time.Second
	// leaderProbeTimeout bounds the call that asks another member whether the controller
	// still answers it.
	leaderProbeTimeout = 250 * time.Millisecond
	// maxProbes is the maximum number of other members that are asked about the controller.
	maxProbes = 12
	// electionPeriod is the period at which a member decides whether to claim leadership.
	electionPeriod = 50 * time.Millisecond
)

// followClaims reads the claims topic until the node stops. Each read that returns no newer
// claim confirms that the newest known claim was current when the read was sent.
func (n *Node) followClaims() {
	f := stream.Follower{
		Reader:   n.log,
		Topic:    election.Topic,
		PollWait: claimReadWait,
		OnError:  func(error) {},
	}
	apply := func(records []stream.Record, sent time.Time) {
		n.applyClaims(records)
		n.view.setClaimsEnd(f.NextOffset)
		if l := n.term.Load(); l != nil {
			l.confirmEpoch(sent)
		}
	}
	f.OnReload = func(records []stream.Record, sent time.Time) {
		n.noteHiddenClaim(records, f.NextOffset)
		apply(records, sent)
	}
	f.OnRecords = apply
	f.Run(n.ctx)
}

// applyClaims adds claim records to the view and ends this member's term if one of them has a
// higher epoch.
func (n *Node) applyClaims(records []stream.Record) {
	for i := range records {
		if records[i].Key != election.Key {
			continue
		}
		c, err := election.ParseClaim(records[i])
		if err != nil {
			n.recordAlarm(err)
			continue
		}
		n.adoptClaim(c)
	}
}

// adoptClaim adds a claim to the view, and ends this member's term if the claim has a higher epoch.
func (n *Node) adoptClaim(c election.Claim) {
	if !n.view.applyClaim(c, clock.Now()) {
		return
	}
	n.record(event.Event{Type: event.LeaderFound, Member: c.Node, Epoch: c.Epoch, Detail: c.Boot})
	if l := n.term.Load(); l != nil && l.epoch < c.Epoch {
		l.stop()
	}
}

// runElection claims leadership when there is no controller or the controller is considered
// failed. Before it replaces a controller that has only stopped answering, it asks the other
// members whether the controller still answers them.
func (n *Node) runElection() {
	for n.sleep(electionPeriod) {
		_, _, claimsLoaded := n.view.latestClaim()
		if !claimsLoaded || n.term.Load() != nil || n.isSteppingDown() || n.config.version.Load() == nil {
			continue
		}
		v, end := n.view.electionView(n.self, clock.Now())
		timing := n.electionTiming()
		decision, at := election.Decide(v, timing)
		if decision == election.MakeClaim && v.OtherMembers > 0 && !v.LeadershipVacant() && v.Newest.Node != n.self.Node {
			var newerClaim bool
			v.ReachedMembers, v.OthersHearLeader, newerClaim = n.probeMembers(v.Newest)
			if newerClaim {
				n.refreshClaims()
				continue
			}
			v.Now = clock.Now()
			decision, at = election.Decide(v, timing)
			n.recordLeaderLost(v, decision)
		}
		if decision == election.MakeClaim {
			n.claimLeadership(v, end)
			continue
		}
		if wait := clock.Until(at); decision == election.Follow && wait > electionPeriod {
			n.sleep(min(wait, heartbeatPeriod))
		}
	}
}

const (
	// storeLatencyWeight is multiplied by the latency of a member's calls to the store to
	// give the delay of its claim.
	storeLatencyWeight = 10
	// noStorePathDelay delays the claim of a member that reaches the store only through other
	// members.
	noStorePathDelay = 500 * time.Millisecond
	// minMissedHeartbeats is the least number of heartbeat periods without an answer after
	// which the controller is considered failed.
	minMissedHeartbeats = 4
	// An agent considers the controller failed after minAgentLeaderTimeout and
	// agentTimeoutPerMember for each member without a message. A new controller is busy with the
	// state of the cell for a time that grows with the size of the cell.
	minAgentLeaderTimeout = time.Second
	agentTimeoutPerMember = 7 * time.Millisecond
	// slowMachineDelay delays the claim of a member whose machine currently runs slow.
	slowMachineDelay = 800 * time.Millisecond
	// weakMachineDelay delays the claim of a member with little processor time, in proportion
	// to its coresDeficit: the controller needs more processor time than the other members.
	weakMachineDelay = time.Second
)

// electionTiming returns the election's timing with this member's claim delay: a member that
// is less suited to be the controller claims later.
func (n *Node) electionTiming() election.Timing {
	t := n.opts.Election
	t.RefusedTimeout = t.LeaderTimeout / 3
	t.LeaderTimeout = n.leaderTimeout()
	latency, direct := n.log.storeLatency()
	t.ClaimDelay += storeLatencyWeight * latency
	if !direct {
		t.ClaimDelay += noStorePathDelay
	}
	if n.speed.isSlow() {
		t.ClaimDelay += slowMachineDelay
	}
	t.ClaimDelay += time.Duration(n.coresDeficit(time.Time{}) * float64(weakMachineDelay))
	return t
}

// leaderTimeout returns the time without an answer after which this member considers the controller
// failed.
func (n *Node) leaderTimeout() time.Duration {
	timeout := minMissedHeartbeats * n.heartbeatPeriod()
	if n.view.isAgent() {
		timeout = min(timeout, n.agentLeaderTimeout())
	}
	return max(timeout, n.opts.Election.LeaderTimeout)
}

// agentLeaderTimeout returns the time without a message from the controller after which an agent
// considers it failed.
func (n *Node) agentLeaderTimeout() time.Duration {
	return minAgentLeaderTimeout + agentTimeoutPerMember*time.Duration(n.view.knownNodeCount()+1)
}

// coresDeficit returns by how much this member's processor time falls short of that of the
// strongest member heard from since a time, as a fraction of the latter.
func (n *Node) coresDeficit(since time.Time) float64 {
	strongest := n.self.Cores
	for _, m := range n.view.otherMembers(since) {
		strongest = max(strongest, m.Cores)
	}
	if n.self.Cores <= 0 {
		return 0
	}
	return 1 - n.self.Cores/strongest
}

// recordLeaderLost records the facts on which this member decided whether to replace a
// controller that does not answer, and the decision.
func (n *Node) recordLeaderLost(v election.View, d election.Decision) {
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

func (n *Node) isSteppingDown() bool {
	select {
	case <-n.steppingDown:
		return true
	default:
		return false
	}
}

// claimRefreshTimeout bounds one read of the newest claim.
const claimRefreshTimeout = time.Second

// refreshClaims reads the newest claim without waiting for followClaims. It is called when a
// newer claim may exist that followClaims has not read: that read may be waiting for a
// response that was lost. It returns false if the read failed.
func (n *Node) refreshClaims() bool {
	ctx, cancel := context.WithTimeout(n.ctx, claimRefreshTimeout)
	defer cancel()
	records, end, err := stream.ReadNewest(ctx, n.log, election.Topic)
	if err != nil {
		n.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Detail: "reading the newest claim: " + structs.AsError(err).Message})
		return false
	}
	n.noteHiddenClaim(records, end)
	n.applyClaims(records)
	return true
}

// noteHiddenClaim handles a topic of claims, read up to its end, whose newest record by key is no
// claim. An unknown member may then be the controller of any epoch up to end, and use no fencing token
// above it: it has to be waited for as for a known one that does not answer.
func (n *Node) noteHiddenClaim(records []stream.Record, end int64) {
	readable := func(r stream.Record) bool {
		_, err := election.ParseClaim(r)
		return r.Key == election.Key && err == nil
	}
	if end > 0 && !slices.ContainsFunc(records, readable) {
		n.adoptClaim(election.Claim{Epoch: end})
	}
}

// probeMembers asks other members at once about the controller of a claim, maxProbes of them at
// random if there are more. It returns the number of members that answered, whether the
// controller answers one of them, and whether one of them knows a newer claim.
func (n *Node) probeMembers(claim election.Claim) (reached int, leaderHeard, newerClaim bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	// In a large cell a member may not have heard from a running controller for longer than
	// the shortest timeout.
	recent := max(n.opts.Election.LeaderTimeout, n.leaderTimeout()/2)
	others := slices.DeleteFunc(n.view.otherMembers(time.Time{}), func(m Member) bool { return m.Node == claim.Node })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, m := range others[:min(len(others), maxProbes)] {
		wg.Go(func() {
			resp, err := n.callHello(m.Addr, leaderProbeTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reached++
			fresh := resp.LeaderHeardMs >= 0 && resp.LeaderHeardMs < recent.Milliseconds()
			leaderHeard = leaderHeard || resp.Epoch == claim.Epoch && fresh
			newerClaim = newerClaim || resp.Epoch > claim.Epoch
		})
	}
	wg.Wait()
	return reached, leaderHeard, newerClaim
}

// newClaim returns a claim of this member.
func (n *Node) newClaim() election.Claim {
	return election.Claim{Node: n.self.Node, Boot: n.self.Boot, Addr: n.self.Addr, Witnessed: true}
}

// claimLeadership appends a claim and the reservation of its fencing tokens, on the condition that the
// claims topic still ends at end, where it ended when v was built. It starts a term if the append
// succeeds.
func (n *Node) claimLeadership(v election.View, end int64) {
	claim := n.newClaim()
	claim.ResignedEpoch = v.Newest.Epoch
	records, err := claim.RecordsWithTokens(controller.FencingTokensPerEpoch)
	if err != nil {
		n.record(event.Event{Type: event.Alarm, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, claimTimeout)
	defer cancel()
	sent := clock.Now()
	got, err := n.log.Append(ctx, stream.Append{Topic: election.Topic, Records: records, ExpectedEnd: &end})
	if err != nil {
		n.record(event.Event{Type: event.ClaimRefused, Code: structs.CodeOf(err), Detail: structs.AsError(err).Message})
		// Either another member claimed first, or the claim was appended and the response
		// was lost.
		n.refreshClaims()
		n.adoptUnansweredClaim(v, sent)
		return
	}
	claim.Epoch = got.Offset + 1
	n.view.applyClaim(claim, sent)
	n.view.setClaimsEnd(got.End)
	startTerm(n, claim, v, sent)
}

// adoptUnansweredClaim starts a term if this member's claim was appended although the response
// to the append was lost.
func (n *Node) adoptUnansweredClaim(v election.View, sent time.Time) {
	newest, _, _ := n.view.latestClaim()
	if newest.Boot == n.self.Boot && newest.Epoch > v.Newest.Epoch && !newest.Resigned && n.term.Load() == nil {
		startTerm(n, newest, v, sent)
	}
}
