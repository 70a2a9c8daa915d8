package cell

import (
	"sync"
	"time"

	"dotterelhitch/internal/election"
)

// view is what a member believes of the cell.
type view struct {
	mu     sync.Mutex
	newest election.Claim
	// end is the end of the topic of claims as last read; loaded says that it was.
	end    int64
	loaded bool
	// heard is when the newest claim's controller last answered, ready whether it
	// said that it serves, watched since when it has been listened for, or the office
	// has been vacant.
	heard   time.Time
	ready   bool
	watched time.Time
	// gone says that the controller's machine runs another process, leaving that the
	// controller waits for another member to claim the office.
	gone    bool
	leaving bool
	refused int
	waiting map[string]int32
	members map[string]Member // by node, without this one
	seen    map[string]time.Time
	slow    map[string]bool // members that say that their machine runs slow
	changed chan struct{}
}

func (v *view) init(now time.Time) {
	v.watched = now
	v.waiting = map[string]int32{}
	v.members = map[string]Member{}
	v.seen = map[string]time.Time{}
	v.slow = map[string]bool{}
	v.changed = make(chan struct{})
}

// notify wakes those who wait for a change.
func (v *view) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// wait returns a channel that is closed with the next change.
func (v *view) wait() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// claim takes the newest claim and reports whether it is new.
func (v *view) claim(c election.Claim, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loaded = true
	if c.Epoch <= v.newest.Epoch {
		return false
	}
	v.newest = c
	v.heard = time.Time{}
	v.ready = false
	v.watched = now
	v.gone = false
	v.leaving = false
	v.refused = 0
	v.notify()
	return true
}

// claimsRead notes that the topic of claims was read up to an end.
func (v *view) claimsRead(end int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loaded = true
	v.end = max(v.end, end)
}

// leader returns the newest claim, and whether claims were read at all.
func (v *view) leader() (election.Claim, int64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest, v.end, v.loaded
}

// leaderHeard takes an answer of the controller of an epoch.
func (v *view) leaderHeard(epoch int64, ready bool, waiting map[string]int32, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if epoch != v.newest.Epoch {
		return
	}
	v.heard = now
	v.refused = 0
	if waiting != nil {
		v.waiting = waiting
	}
	if ready != v.ready {
		v.ready = ready
		v.notify()
	}
}

// leaderMissed takes a call of the controller that failed.
func (v *view) leaderMissed(epoch int64, refused bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if epoch == v.newest.Epoch && refused {
		v.refused++
	}
}

// leaderGone notes that the machine of an epoch's controller runs another process.
func (v *view) leaderGone(epoch int64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vacate(&v.gone, epoch, now)
}

// leaderLeaves notes that the controller of an epoch wants to be replaced.
func (v *view) leaderLeaves(epoch int64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vacate(&v.leaving, epoch, now)
}

// vacate sets a reason for which the office of an epoch is to be taken.
func (v *view) vacate(reason *bool, epoch int64, now time.Time) {
	if epoch == v.newest.Epoch && !*reason {
		*reason = true
		v.watched = now
		v.notify()
	}
}

// servesWithin is how long ago a controller must have answered to count as serving.
const servesWithin = 1500 * time.Millisecond

func (v *view) leaderServes(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ready && now.Sub(v.heard) < servesWithin
}

// sinceHeard returns how long ago the controller answered, and whether it ever did.
func (v *view) sinceHeard(now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.heard.IsZero() {
		return 0, false
	}
	return now.Sub(v.heard), true
}

// met notes a member and whether its machine runs slow.
func (v *view) met(m Member, slow bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members[m.Node] = m
	v.seen[m.Node] = now
	v.slow[m.Node] = slow
}

// fastOthers returns the number of members met since a time that do not run slow.
func (v *view) fastOthers(since time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for node := range v.members {
		if !v.seen[node].Before(since) && !v.slow[node] {
			n++
		}
	}
	return n
}

// replaceMembers takes the controller's list of members.
func (v *view) replaceMembers(list []Member, self string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.members)
	for _, m := range list {
		if m.Node != self {
			v.members[m.Node] = m
		}
	}
}

// others returns the known members, those met since a time only.
func (v *view) others(since time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]Member, 0, len(v.members))
	for node, m := range v.members {
		if since.IsZero() || !v.seen[node].Before(since) {
			out = append(out, m)
		}
	}
	return out
}

// election fills what the view knows into an election's view, and returns the end of the
// topic of claims that it goes with.
func (v *view) election(self Member, now time.Time) (election.View, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return election.View{
		Now:                      now,
		Newest:                   v.newest,
		Node:                     self.Node,
		Boot:                     self.Boot,
		LeaderLastHeard:          v.heard,
		WatchedSince:             v.watched,
		LeaderProcessEnded:       v.gone,
		LeaderHandsOver:          v.leaving,
		LeaderRefusesConnections: v.refused >= refusalsToSuspect,
		OtherMembers:             len(v.members),
		// Until they are asked, the others count as reached.
		ReachedMembers: len(v.members),
	}, v.end
}

// refusalsToSuspect is the number of refused connections after which the controller's
// process counts as ended.
const refusalsToSuspect = 2
