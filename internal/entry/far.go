package entry

import (
	"slices"
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// crossGroupPeers returns the members outside the group that get this member's heartbeat:
// all of a small cell; in a larger one those for which it is the carrier, and the
// owners of workers that its jobs' results speak against.
func (c *core) crossGroupPeers(now time.Time) []structs.Member {
	own, _ := c.table.GroupOfMember(c.self())
	if c.isFullMesh() {
		return outsideGroup(own, c.control.Members())
	}
	var due []structs.Member
	for _, g := range c.table.Groups() {
		if g.Name != own.Name && c.heartbeatRelayTo(own, g.Name, now).ID == c.self() {
			due = append(due, c.remoteHeartbeatRelay(g, own.Name, now))
		}
	}
	return append(due, outsideGroup(own, c.probationWorkerOwners())...)
}

// isFullMesh reports whether the cell is so small that each member exchanges
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

// heartbeatRelayTo returns the member of this entry's group that exchanges heartbeats with
// another group: the first in order that is not silent.
func (c *core) heartbeatRelayTo(own ownership.Group, with string, now time.Time) structs.Member {
	for _, m := range c.table.HeartbeatRelays(own.Name, with) {
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

// remoteHeartbeatRelay returns the member of another group that answers for it: the first in
// order whose last heartbeat did not fail lately, the first if all did.
func (c *core) remoteHeartbeatRelay(g ownership.Group, own string, now time.Time) structs.Member {
	ranked := c.table.HeartbeatRelays(g.Name, own)
	for _, m := range ranked {
		p := c.peers[m.ID]
		if p != nil && !p.draining && now.Sub(p.heartbeatFailedAt) >= c.silenceTimeout(m) {
			return m
		}
	}
	return ranked[0]
}

// probationWorkerOwners returns the owners of the workers that the results of this member's
// jobs speak against: they keep new work from them.
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

// groupEpoch returns the lowest epoch that a member of this entry's group has shown.
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

// recordGroupEpoch counts a member's word that all members of its group have shown an
// epoch. It counts only at the epoch of the present table: at another one the group
// may have other members.
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

// nextRelayedLoad returns the load of the next member outside the group that this one has
// heard itself lately, for the others of the group. A small cell hands on nothing.
func (c *core) nextRelayedLoad(now time.Time) []*peerv1.PeerLoad {
	if c.isFullMesh() {
		return nil
	}
	heard := c.directlyHeardOutside(now)
	if len(heard) == 0 {
		return nil
	}
	next := heard[0]
	for _, id := range heard {
		if id > c.lastRelayedMember {
			next = id
			break
		}
	}
	c.lastRelayedMember = next
	return []*peerv1.PeerLoad{c.peers[next].relayedLoad(next, now)}
}

// directlyHeardOutside returns the members outside the group that this one has heard itself
// lately, in order.
func (c *core) directlyHeardOutside(now time.Time) []string {
	own, _ := c.table.GroupOfMember(c.self())
	var ids []string
	for _, m := range outsideGroup(own, c.control.Members()) {
		if c.reportsLoadDirectly(m, now) {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// reportsLoadDirectly reports whether a member told its load itself and is not silent.
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

// heardDirectly reports whether the member itself was heard, not only of.
func (p *peerState) heardDirectly() bool { return p.lastHeardAt.After(p.firstSeenAt) }

// applyRelayedLoads takes what another member of the group has heard. It says nothing of
// whether those members still answer.
func (c *core) applyRelayedLoads(loads []*peerv1.PeerLoad, now time.Time) {
	for _, l := range loads {
		p := c.peers[l.Member]
		if p == nil {
			continue
		}
		c.membership.handover.RecordRelease(l.Member, l.Epoch, now)
		c.recordGroupEpoch(l.Member, l.Epoch, l.GroupEpoch)
		made := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
		if !made.After(p.digestMadeAt) {
			continue
		}
		p.digestMadeAt = made
		p.digest = l.Digest
		p.draining = l.Draining
		p.epoch = max(p.epoch, l.Epoch)
	}
}
