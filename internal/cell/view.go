package cell

import (
	"sync"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/election"
)

// cellView is what a member knows about the controller and the other members.
type cellView struct {
	mu          sync.Mutex
	newestClaim election.Claim
	// claimsEnd is the end offset of the claims topic as last read; claimsLoaded is true once
	// the topic has been read.
	claimsEnd    int64
	claimsLoaded bool
	// leaderLastHeard is when the controller of the newest claim last answered, and
	// leaderReady whether it said that it serves. watchedSince is when this member learned of
	// the newest claim, or that leadership is vacant.
	leaderLastHeard time.Time
	leaderReady     bool
	watchedSince    time.Time
	// leaderProcessEnded is true if the controller's machine runs another process.
	// leaderHandsOver is true if the controller asks the other members to claim leadership.
	leaderProcessEnded bool
	leaderHandsOver    bool
	refusedConnections int
	// leaderStream is true while the controller sends orders to this member as its agent.
	leaderStream bool
	// waitingJobs are the controller's counts of waiting jobs as of waitingAt, nil if it has reported
	// none.
	waitingJobs *cellv1.WaitingJobs
	waitingAt   time.Time
	members     map[string]Member // by Member.Node, without this member
	// knownNodes are the machines of all members that this member has learned of, whether they
	// run now or not.
	knownNodes map[string]struct{}
	// membersVersion is that of the controller's list from which members was last replaced.
	membersVersion uint64
	lastSeen       map[string]time.Time
	slowMembers    map[string]bool // members that report a slow machine
	changed        chan struct{}
}

func (v *cellView) init(now time.Time) {
	v.watchedSince = now
	v.members = map[string]Member{}
	v.knownNodes = map[string]struct{}{}
	v.lastSeen = map[string]time.Time{}
	v.slowMembers = map[string]bool{}
	v.changed = make(chan struct{})
}

// notify closes the channel that nextChange returned. The caller holds mu.
func (v *cellView) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change of the controller or of its
// readiness.
func (v *cellView) nextChange() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// applyClaim makes a claim the newest if its epoch is higher than that of the newest claim, and
// reports whether it is.
func (v *cellView) applyClaim(c election.Claim, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.claimsLoaded = true
	if c.Epoch <= v.newestClaim.Epoch {
		return false
	}
	v.newestClaim = c
	v.leaderLastHeard = time.Time{}
	v.leaderReady = false
	v.watchedSince = now
	v.leaderProcessEnded = false
	v.leaderHandsOver = false
	v.refusedConnections = 0
	v.leaderStream = false
	v.notify()
	return true
}

// setClaimsEnd records that the claims topic was read up to an end offset.
func (v *cellView) setClaimsEnd(end int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.claimsLoaded = true
	v.claimsEnd = max(v.claimsEnd, end)
}

// latestClaim returns the newest claim, the end offset of the claims topic, and whether that
// topic has been read.
func (v *cellView) latestClaim() (election.Claim, int64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newestClaim, v.claimsEnd, v.claimsLoaded
}

// recordLeaderAnswer records an answer of the controller of an epoch. waiting is nil if the answer has no
// counts of waiting jobs.
func (v *cellView) recordLeaderAnswer(epoch int64, ready bool, waiting *cellv1.WaitingJobs, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if epoch != v.newestClaim.Epoch {
		return
	}
	v.leaderLastHeard = now
	v.refusedConnections = 0
	if waiting != nil {
		v.waitingJobs = waiting
		v.waitingAt = now
	}
	if ready != v.leaderReady {
		v.leaderReady = ready
		v.notify()
	}
}

// recordLeaderMessage records a message of the controller of an epoch to this member as its agent.
func (v *cellView) recordLeaderMessage(epoch int64, ready bool, now time.Time) {
	v.recordLeaderAnswer(epoch, ready, nil, now)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaderStream = epoch == v.newestClaim.Epoch
}

// leaderStreamEnded records that the controller's stream to this member as its agent has ended.
func (v *cellView) leaderStreamEnded() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaderStream = false
	v.notify()
}

// recordLeaderFailure records a failed heartbeat to the controller of an epoch; refused is true
// if its machine refused the connection.
func (v *cellView) recordLeaderFailure(epoch int64, refused bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if epoch == v.newestClaim.Epoch && refused {
		v.refusedConnections++
	}
}

// markLeaderEnded records that the machine of an epoch's controller runs another process.
func (v *cellView) markLeaderEnded(epoch int64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.markVacant(&v.leaderProcessEnded, epoch, now)
}

// markLeaderHandsOver records that the controller of an epoch asks to be replaced.
func (v *cellView) markLeaderHandsOver(epoch int64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.markVacant(&v.leaderHandsOver, epoch, now)
}

// markVacant sets a reason why the controller of an epoch is to be replaced. The caller holds
// mu.
func (v *cellView) markVacant(reason *bool, epoch int64, now time.Time) {
	if epoch == v.newestClaim.Epoch && !*reason {
		*reason = true
		v.watchedSince = now
		v.notify()
	}
}

// leaderServing reports whether the controller has said, within a time before now, that it
// serves.
func (v *cellView) leaderServing(now time.Time, within time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaderReady && now.Sub(v.leaderLastHeard) < within
}

// isAgent reports whether the controller sends orders to this member as its agent.
func (v *cellView) isAgent() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaderStream
}

// sinceLeaderHeard returns the time since the controller's last answer, and whether it has
// answered at all.
func (v *cellView) sinceLeaderHeard(now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaderLastHeard.IsZero() {
		return 0, false
	}
	return now.Sub(v.leaderLastHeard), true
}

// recordMember records a member, whether its machine runs slow, and now as the time of its last
// heartbeat or probe. now is zero for a member that is known only from membersTopic.
func (v *cellView) recordMember(m Member, slow bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members[m.Node] = m
	v.knownNodes[m.Node] = struct{}{}
	v.lastSeen[m.Node] = now
	v.slowMembers[m.Node] = slow
}

// fastMemberCount returns the number of members heard from since a time whose machines do not
// run slow.
func (v *cellView) fastMemberCount(since time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for node := range v.members {
		if !v.lastSeen[node].Before(since) && !v.slowMembers[node] {
			n++
		}
	}
	return n
}

// knownMembersVersion returns the version of the controller's list from which the known members
// were last replaced, zero if they never were.
func (v *cellView) knownMembersVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.membersVersion
}

// replaceMembers replaces the known members by a version of the controller's list.
func (v *cellView) replaceMembers(list []Member, version uint64, self string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.membersVersion = version
	clear(v.members)
	for _, m := range list {
		if m.Node != self {
			v.members[m.Node] = m
			v.knownNodes[m.Node] = struct{}{}
		}
	}
}

// otherMembers returns the known members other than this one: those heard from since a time, or
// all if it is zero.
func (v *cellView) otherMembers(since time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Member, 0, len(v.members))
	for node, m := range v.members {
		if since.IsZero() || !v.lastSeen[node].Before(since) {
			out = append(out, m)
		}
	}
	return out
}

// knownNodeCount returns the number of machines of other members that this member has learned of.
// While the cell starts it is larger than the number of members that the controller lists.
func (v *cellView) knownNodeCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.knownNodes)
}

// electionView returns what this member knows as the input of an election, and the end offset of
// the claims topic to which that knowledge belongs.
func (v *cellView) electionView(self Member, now time.Time) (election.View, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return election.View{
		Now:                      now,
		Newest:                   v.newestClaim,
		Node:                     self.Node,
		Boot:                     self.Boot,
		LeaderLastHeard:          v.leaderLastHeard,
		WatchedSince:             v.watchedSince,
		LeaderProcessEnded:       v.leaderProcessEnded,
		LeaderHandsOver:          v.leaderHandsOver,
		LeaderRefusesConnections: v.refusedConnections >= refusalsToPresumeEnded,
		OtherMembers:             len(v.members),
		// The other members count as reached until runElection has probed them.
		ReachedMembers: len(v.members),
	}, v.claimsEnd
}

// refusalsToPresumeEnded is the number of refused connections after which the controller's
// process is presumed to have ended.
const refusalsToPresumeEnded = 2
