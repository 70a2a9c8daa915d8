package entry

import (
	"slices"
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// crossGroupPeers returns the members of other groups to which this member sends
// heartbeats: all of them in a small cell. In a larger cell they are one member of each
// group to which this member relays, and the owners of workers that this member has put
// on probation.
func (c *core) crossGroupPeers(now time.Time) []structs.Member {
	ownGroup, _ := c.table.GroupOfMember(c.self())
	if c.isFullMesh() {
		return outsideGroup(ownGroup, c.control.Members())
	}
	var due []structs.Member
	for _, g := range c.table.Groups() {
		if g.Name != ownGroup.Name && c.heartbeatRelayTo(ownGroup, g.Name, now).ID == c.self() {
			due = append(due, c.remoteHeartbeatRelay(g, ownGroup.Name, now))
		}
	}
	return append(due, outsideGroup(ownGroup, c.probationWorkerOwners())...)
}

// isFullMesh reports whether the cell is small enough for each member to exchange
// heartbeats with every other.
func (c *core) isFullMesh() bool { return len(c.control.Members()) <= c.maxFullMeshMembers }

func outsideGroup(g ownership.Group, members []structs.Member) []structs.Member {
	var out []structs.Member
	for _, m := range members {
		if !g.HasMember(m.ID) {
			out = append(out, m)
		}
	}
	return out
}

// heartbeatRelayTo returns the member of this entry's group that exchanges heartbeats
// with another group: the first relay in the table's order that is not silent.
func (c *core) heartbeatRelayTo(ownGroup ownership.Group, otherGroup string, now time.Time) structs.Member {
	for _, m := range c.table.HeartbeatRelays(ownGroup.Name, otherGroup) {
		if m.ID == c.self() {
			return m
		}
		p := c.peers[m.ID]
		if p != nil && !p.draining && now.Sub(p.lastHeardAt) < c.silenceTimeout(m) {
			return m
		}
	}
	return structs.Member{}
}

// remoteHeartbeatRelay returns the member of another group to which heartbeats are sent:
// the first in the table's order that is not draining and to which no heartbeat has
// failed recently, or the first of all if there is none.
func (c *core) remoteHeartbeatRelay(g ownership.Group, ownGroup string, now time.Time) structs.Member {
	ranked := c.table.HeartbeatRelays(g.Name, ownGroup)
	for _, m := range ranked {
		p := c.peers[m.ID]
		if p != nil && !p.draining && now.Sub(p.heartbeatFailedAt) >= c.silenceTimeout(m) {
			return m
		}
	}
	return ranked[0]
}

// probationWorkerOwners returns the owners of the workers that this member has put on
// probation, since the owners withhold new work from them.
func (c *core) probationWorkerOwners() []structs.Member {
	var owners []structs.Member
	seen := map[string]bool{}
	for _, id := range c.jobs.WorkersOnProbation() {
		owner, ok := c.table.OwnerOfWorker(c.instances.ownershipFields(id))
		if ok && !seen[owner.ID] {
			seen[owner.ID] = true
			owners = append(owners, owner)
		}
	}
	return owners
}

// groupEpoch returns the lowest epoch among the members of this entry's group, as far as
// they have stated it.
func (c *core) groupEpoch() int64 {
	lowest := c.table.Epoch()
	group, _ := c.table.GroupOfMember(c.self())
	for _, m := range group.Members {
		if m.ID == c.self() {
			continue
		}
		if p := c.peers[m.ID]; p != nil {
			lowest = min(lowest, p.epoch)
		}
	}
	return lowest
}

// recordGroupEpoch records a member's statement that all members of its group have
// applied groupEpoch. It is ignored unless the member is at the epoch of the present
// table, since the group may have had other members at another epoch.
func (c *core) recordGroupEpoch(member string, epoch, groupEpoch int64) {
	if epoch != c.table.Epoch() || groupEpoch == 0 {
		return
	}
	now := time.Now()
	group, _ := c.table.GroupOfMember(member)
	for _, m := range group.Members {
		c.membership.handover.RecordRelease(m.ID, groupEpoch, now)
	}
}

// nextRelayedLoad returns the load of one member of another group, for the other members
// of the own group. Successive calls cycle through the members that have sent their load
// to this entry directly. In a full mesh it returns nil.
func (c *core) nextRelayedLoad(now time.Time) []*peerv1.PeerLoad {
	if c.isFullMesh() {
		return nil
	}
	memberIDs := c.directlyHeardOutside(now)
	if len(memberIDs) == 0 {
		return nil
	}
	next := memberIDs[0]
	for _, id := range memberIDs {
		if id > c.lastRelayedMember {
			next = id
			break
		}
	}
	c.lastRelayedMember = next
	return []*peerv1.PeerLoad{c.peers[next].relayedLoad(next, now)}
}

// directlyHeardOutside returns the sorted IDs of the members of other groups that report
// their load to this entry directly.
func (c *core) directlyHeardOutside(now time.Time) []string {
	ownGroup, _ := c.table.GroupOfMember(c.self())
	var ids []string
	for _, m := range outsideGroup(ownGroup, c.control.Members()) {
		if c.reportsLoadDirectly(m, now) {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// reportsLoadDirectly reports whether a member has sent its load to this entry itself
// and is not silent.
func (c *core) reportsLoadDirectly(m structs.Member, now time.Time) bool {
	p := c.peers[m.ID]
	return p != nil && p.digest != nil && p.heardDirectly() && now.Sub(p.lastHeardAt) <= c.silenceTimeout(m)
}

func (p *peerState) relayedLoad(id string, now time.Time) *peerv1.PeerLoad {
	return &peerv1.PeerLoad{
		Member:     id,
		Epoch:      p.epoch,
		GroupEpoch: p.groupEpoch,
		Digest:     p.digest,
		Draining:   p.draining,
		AgeMs:      now.Sub(p.digestMadeAt).Milliseconds() + 1,
	}
}

// heardDirectly reports whether the member itself has sent a message, rather than only
// being described by other members.
func (p *peerState) heardDirectly() bool { return p.lastHeardAt.After(p.firstSeenAt) }

// applyRelayedLoads applies the loads and epochs that another member of the group
// relayed. They do not prove that the members that they describe are responsive.
func (c *core) applyRelayedLoads(loads []*peerv1.PeerLoad, now time.Time) {
	for _, l := range loads {
		p := c.peers[l.Member]
		if p == nil {
			continue
		}
		c.membership.handover.RecordRelease(l.Member, l.Epoch, now)
		c.recordGroupEpoch(l.Member, l.Epoch, l.GroupEpoch)
		madeAt := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
		if !madeAt.After(p.digestMadeAt) {
			continue
		}
		p.digestMadeAt = madeAt
		p.digest = l.Digest
		p.draining = l.Draining
		p.epoch = max(p.epoch, l.Epoch)
	}
}
