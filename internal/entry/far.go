package entry

import (
	"slices"
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// farPeers returns the members outside the group that get this member's heartbeat:
// all of a small cell; in a larger one those for which it is the carrier, and the
// owners of workers that its jobs' results speak against.
func (c *core) farPeers(now time.Time) []structs.Member {
	own, _ := c.table.GroupOfMember(c.self())
	if c.allExchange() {
		return outside(own, c.control.Members())
	}
	var due []structs.Member
	for _, g := range c.table.Groups() {
		if g.Name != own.Name && c.carrier(own, g.Name, now).ID == c.self() {
			due = append(due, c.partner(g, own.Name, now))
		}
	}
	return append(due, outside(own, c.blamedOwners())...)
}

// allExchange reports whether the cell is so small that each member exchanges
// heartbeats with every other.
func (c *core) allExchange() bool { return len(c.control.Members()) <= c.directMembers }

func outside(g ownership.Group, members []structs.Member) []structs.Member {
	var out []structs.Member
	for _, m := range members {
		if !g.HasMember(m.ID) {
			out = append(out, m)
		}
	}
	return out
}

// carrier returns the member of this entry's group that exchanges heartbeats with
// another group: the first in order that is not silent.
func (c *core) carrier(own ownership.Group, with string, now time.Time) structs.Member {
	for _, m := range c.table.HeartbeatRelays(own.Name, with) {
		if m.ID == c.self() {
			return m
		}
		p := c.peers[m.ID]
		if p != nil && !p.draining && now.Sub(p.heard) < c.silentAfter(m) {
			return m
		}
	}
	return structs.Member{}
}

// partner returns the member of another group that answers for it: the first in
// order whose last heartbeat did not fail lately, the first if all did.
func (c *core) partner(g ownership.Group, own string, now time.Time) structs.Member {
	ranked := c.table.HeartbeatRelays(g.Name, own)
	for _, m := range ranked {
		p := c.peers[m.ID]
		if p != nil && !p.draining && now.Sub(p.missed) >= c.silentAfter(m) {
			return m
		}
	}
	return ranked[0]
}

// blamedOwners returns the owners of the workers that the results of this member's
// jobs speak against: they keep new work from them.
func (c *core) blamedOwners() []structs.Member {
	var owners []structs.Member
	seen := map[string]bool{}
	for _, id := range c.jobs.WorkersOnProbation() {
		owner, ok := c.table.OwnerOfWorker(c.instances.place(id))
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

// heardGroup counts a member's word that all members of its group have shown an
// epoch. It counts only at the epoch of the present table: at another one the group
// may have other members.
func (c *core) heardGroup(member string, epoch, groupEpoch int64) {
	if epoch != c.table.Epoch() || groupEpoch == 0 {
		return
	}
	now := time.Now()
	group, _ := c.table.GroupOfMember(member)
	for _, m := range group.Members {
		c.rights.handover.RecordRelease(m.ID, groupEpoch, now)
	}
}

// handOn returns the load of the next member outside the group that this one has
// heard itself lately, for the others of the group. A small cell hands on nothing.
func (c *core) handOn(now time.Time) []*peerv1.PeerLoad {
	if c.allExchange() {
		return nil
	}
	heard := c.heardOutside(now)
	if len(heard) == 0 {
		return nil
	}
	next := heard[0]
	for _, id := range heard {
		if id > c.handedOn {
			next = id
			break
		}
	}
	c.handedOn = next
	return []*peerv1.PeerLoad{c.peers[next].load(next, now)}
}

// heardOutside returns the members outside the group that this one has heard itself
// lately, in order.
func (c *core) heardOutside(now time.Time) []string {
	own, _ := c.table.GroupOfMember(c.self())
	var ids []string
	for _, m := range outside(own, c.control.Members()) {
		if c.heardLately(m, now) {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// heardLately reports whether a member told its load itself and is not silent.
func (c *core) heardLately(m structs.Member, now time.Time) bool {
	p := c.peers[m.ID]
	return p != nil && p.digest != nil && p.direct() && now.Sub(p.heard) <= c.silentAfter(m)
}

func (p *peerState) load(id string, now time.Time) *peerv1.PeerLoad {
	return &peerv1.PeerLoad{
		Member:     id,
		Epoch:      p.epoch,
		GroupEpoch: p.groupEpoch,
		Digest:     p.digest,
		Draining:   p.draining,
		AgeMs:      now.Sub(p.digestAt).Milliseconds() + 1,
	}
}

// direct reports whether the member itself was heard, not only of.
func (p *peerState) direct() bool { return p.heard.After(p.first) }

// takeLoads takes what another member of the group has heard. It says nothing of
// whether those members still answer.
func (c *core) takeLoads(loads []*peerv1.PeerLoad, now time.Time) {
	for _, l := range loads {
		p := c.peers[l.Member]
		if p == nil {
			continue
		}
		c.rights.handover.RecordRelease(l.Member, l.Epoch, now)
		c.heardGroup(l.Member, l.Epoch, l.GroupEpoch)
		made := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
		if !made.After(p.digestAt) {
			continue
		}
		p.digestAt = made
		p.digest = l.Digest
		p.draining = l.Draining
		p.epoch = max(p.epoch, l.Epoch)
	}
}
