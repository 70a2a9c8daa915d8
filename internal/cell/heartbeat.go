package cell

import (
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/structs"
)

const (
	// heartbeatPeriod is the period of a member's heartbeats to the controller in a cell of
	// up to heartbeatBaseMembers members. In a larger cell it grows by heartbeatPeriod for each
	// membersPerHeartbeatPeriod further members, up to maxHeartbeatPeriod.
	heartbeatPeriod           = 120 * time.Millisecond
	heartbeatBaseMembers      = 10
	membersPerHeartbeatPeriod = 5
	maxHeartbeatPeriod        = 1500 * time.Millisecond
	// heartbeatTimeout bounds one heartbeat. After heartbeatOverdue its connection may be dead.
	heartbeatTimeout      = 2500 * time.Millisecond
	heartbeatOverdue      = 400 * time.Millisecond
	maxHeartbeatsInFlight = 8
	// A member counts as running for minMemberFreshness or freshHeartbeats periods, whichever is
	// longer, after its last heartbeat.
	minMemberFreshness = 2 * time.Second
	freshHeartbeats    = 3
	// The controller counts as serving for minServingTimeout or servingHeartbeats periods,
	// whichever is longer, after its last answer.
	minServingTimeout = 1500 * time.Millisecond
	servingHeartbeats = 3
)

// sendHeartbeats sends heartbeats to the controller until the node stops. A heartbeat does not
// wait for the answer to the one before: while the controller's link is full its answers come
// late, but they come. After a refused connection the next heartbeat follows sooner.
func (n *Node) sendHeartbeats() {
	inFlight := make(chan struct{}, maxHeartbeatsInFlight)
	refused := make(chan struct{}, 1)
	for n.ctx.Err() == nil {
		claim, _, _ := n.view.latestClaim()
		if claim.Epoch != 0 && !claim.Resigned && n.term.Load() == nil && claim.Boot != n.self.Boot {
			n.startHeartbeat(claim, inFlight, refused)
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(n.heartbeatPeriod()):
		case <-refused:
			n.sleep(heartbeatPeriod / 2)
		case <-n.view.nextChange():
		}
	}
}

// startHeartbeat sends one heartbeat on its own goroutine unless too many are in flight.
func (n *Node) startHeartbeat(claim election.Claim, inFlight, refused chan struct{}) {
	select {
	case inFlight <- struct{}{}:
	default:
		return
	}
	n.spawn(func() {
		defer func() { <-inFlight }()
		if n.heartbeatLeader(claim) {
			return
		}
		select {
		case refused <- struct{}{}:
		default:
		}
	})
}

// heartbeatPeriod returns the period of heartbeats for the number of members known. It grows
// with that number to bound the rate of heartbeats at the controller.
func (n *Node) heartbeatPeriod() time.Duration {
	further := max(n.view.knownNodeCount()+1-heartbeatBaseMembers, 0)
	period := heartbeatPeriod + heartbeatPeriod*time.Duration(further)/membersPerHeartbeatPeriod
	return min(period, maxHeartbeatPeriod)
}

// memberFreshness is how recent a member's last heartbeat must be for the controller to count the
// member as running.
func (n *Node) memberFreshness() time.Duration {
	return max(minMemberFreshness, freshHeartbeats*n.heartbeatPeriod())
}

// leaderServing reports whether the controller serves as far as this member knows.
func (n *Node) leaderServing() bool {
	return n.view.leaderServing(clock.Now(), n.servingTimeout())
}

// servingTimeout is how long the controller's last answer counts.
func (n *Node) servingTimeout() time.Duration {
	return max(minServingTimeout, servingHeartbeats*n.heartbeatPeriod())
}

// heartbeatLeader sends one heartbeat to the controller of a claim and applies the response to
// the view. It returns false if the connection was refused.
func (n *Node) heartbeatLeader(claim election.Claim) bool {
	overdue := time.AfterFunc(heartbeatOverdue, func() { n.peers.resetIfSilent(claim.Addr, n.peers.client(claim.Addr)) })
	defer overdue.Stop()
	sent, clockSent := clock.Now(), n.clock.now()
	resp, err := n.callHello(claim.Addr, heartbeatTimeout)
	if err != nil {
		refused := structs.CodeOf(err) == structs.CodeUnavailable
		n.view.recordLeaderFailure(claim.Epoch, refused)
		return !refused
	}
	now, clockNow := clock.Now(), n.clock.now()
	if resp.From.GetNode() == claim.Node && resp.From.GetBoot() != claim.Boot {
		n.view.markLeaderEnded(claim.Epoch, now)
		return true
	}
	n.applyConfigOfMember(resp, sent)
	if !resp.Leads || resp.Epoch != claim.Epoch {
		return true
	}
	n.clock.recordLeaderClock(resp, clockSent, clockNow)
	n.applyMembers(resp)
	n.view.recordLeaderAnswer(claim.Epoch, resp.Ready, reportedCounts(resp), now)
	if resp.Leaving {
		n.view.markLeaderHandsOver(claim.Epoch, now)
	}
	return true
}

// reportedCounts returns the counts of waiting jobs in a controller's answer, nil if it has reported
// none. A controller of an earlier program does not report that no job waits.
func reportedCounts(resp *cellv1.HelloResponse) *cellv1.WaitingJobs {
	if resp.WaitingJobs == nil && len(resp.Waiting) > 0 {
		return &cellv1.WaitingJobs{ByClass: resp.Waiting}
	}
	return resp.WaitingJobs
}

// applyMembers replaces the known members by the controller's list if the response has one.
func (n *Node) applyMembers(resp *cellv1.HelloResponse) {
	if len(resp.Members) == 0 {
		return
	}
	members := make([]Member, 0, len(resp.Members))
	for _, m := range resp.Members {
		members = append(members, memberFromProto(m))
	}
	n.view.replaceMembers(members, resp.MembersVersion, n.self.Node)
}

func (n *Node) callHello(addr string, timeout time.Duration) (*cellv1.HelloResponse, error) {
	claim, _, _ := n.view.latestClaim()
	req := &cellv1.HelloRequest{
		From:           memberToProto(n.describeSelf()),
		Epoch:          claim.Epoch,
		Slow:           n.speed.isSlow(),
		MembersVersion: n.view.knownMembersVersion(),
		ConfigVersion:  n.config.number(),
		Clock:          n.clock.difference(claim.Boot),
	}
	return callPeer(n.ctx, n.peers, addr, timeout, (*peerClient).Hello, req)
}
