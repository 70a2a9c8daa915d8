package entry

import (
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
)

// newRelayedCell starts a cell of three groups, one with three members and two with one.
// Between two groups only one relay member of each exchanges heartbeats.
func newRelayedCell(t *testing.T) *testCell {
	t.Helper()
	c := newTestCell(t, 0)
	log := "http://" + c.cell.Addr(standin.LogName)
	for _, region := range []string{"casa", "casa", "casa", "fes", "pwani"} {
		c.startInRegion(region, log, func(e *Entry) { e.core.maxFullMeshMembers = 0 })
	}
	c.awaitReady()
	for _, e := range c.entries {
		c.await("all members in the table", func() (whole bool) {
			e.runOnControl(func() { whole = len(e.core.control.Members()) == len(c.entries) })
			return whole
		})
	}
	return c
}

// hasLoadSince reports whether an entry has a load of a member that was made after the
// given time.
func hasLoadSince(e *Entry, member string, after time.Time) (ok bool) {
	e.runOnControl(func() {
		p := e.core.peers[member]
		ok = p != nil && p.digest != nil && p.digestMadeAt.After(after)
	})
	return ok
}

// heartbeatRelay returns the entry of casa that exchanges heartbeats with another group.
func (c *testCell) heartbeatRelay(group string) *Entry {
	var order []structs.Member
	c.entries[0].runOnControl(func() { order = c.entries[0].core.table.HeartbeatRelays("casa-0", group) })
	i := slices.IndexFunc(c.entries, func(e *Entry) bool { return e.member.ID == order[0].ID })
	return c.entries[i]
}

// freeze blocks an entry's control goroutine until the returned function is called.
func freeze(e *Entry) (thaw func()) {
	thawed := make(chan struct{})
	e.postToControl(func() { <-thawed })
	return func() { close(thawed) }
}

// awaitLoads waits until each of the given entries has a load of a member that was made
// after the call.
func (c *testCell) awaitLoads(entries []*Entry, member string) {
	c.t.Helper()
	now := time.Now()
	for _, e := range entries {
		c.await("load of "+member+" at "+e.member.ID, func() bool { return hasLoadSince(e, member, now) })
	}
}

func others(entries []*Entry, e *Entry) []*Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(other *Entry) bool { return other == e })
}

func TestLoadsReachGroupsThroughRelays(t *testing.T) {
	c := newRelayedCell(t)
	casa, fes := c.entries[:3], c.entries[3]
	c.awaitLoads(casa, fes.member.ID)
	relay := c.heartbeatRelay("fes-0")
	// While the members joined, another member may have been the relay and have heard
	// fes.
	for _, e := range casa {
		c.await("only the relay exchanges heartbeats with fes: "+e.member.ID, func() (settled bool) {
			e.runOnControl(func() {
				now := time.Now()
				relays := slices.Contains(e.core.crossGroupPeers(now), fes.member)
				reportsDirectly := e.core.reportsLoadDirectly(fes.member, now)
				settled = relays == (e == relay) && reportsDirectly == relays
			})
			return settled
		})
	}
}

func TestHeartbeatRelayKilled(t *testing.T) {
	c := newRelayedCell(t)
	casa, fes := c.entries[:3], c.entries[3]
	c.awaitLoads(casa, fes.member.ID)
	relay := c.heartbeatRelay("fes-0")
	relay.Kill()
	c.awaitLoads(others(casa, relay), fes.member.ID)
}

func TestHeartbeatRelayFrozen(t *testing.T) {
	c := newRelayedCell(t)
	casa, fes := c.entries[:3], c.entries[3]
	c.awaitLoads(casa, fes.member.ID)
	relay := c.heartbeatRelay("fes-0")
	thaw := freeze(relay)
	defer thaw()
	remaining := others(casa, relay)
	c.awaitLoads(remaining, fes.member.ID)
	c.await("fes hears another member of casa", func() (reportsDirectly bool) {
		fes.runOnControl(func() {
			for _, e := range remaining {
				reportsDirectly = reportsDirectly || fes.core.reportsLoadDirectly(e.member, time.Now())
			}
		})
		return reportsDirectly
	})
}

// TestGroupUnresponsive freezes the only member of a group. The other groups must go on
// exchanging loads with each other, and receive the group's load again afterwards.
func TestGroupUnresponsive(t *testing.T) {
	c := newRelayedCell(t)
	casa, fes, pwani := c.entries[:3], c.entries[3], c.entries[4]
	c.awaitLoads(casa, fes.member.ID)
	relay := c.heartbeatRelay("fes-0")
	thaw := freeze(fes)
	c.await("fes silent at its relay", func() (silent bool) {
		relay.runOnControl(func() { silent = !relay.core.reportsLoadDirectly(fes.member, time.Now()) })
		return silent
	})
	c.awaitLoads(casa, pwani.member.ID)
	thaw()
	c.awaitLoads(casa, fes.member.ID)
}

// TestGroupEpoch checks that a group's epoch is that of its member with the oldest
// epoch, and that the relay of a group reports to another group when all members of its
// own have applied the present epoch.
func TestGroupEpoch(t *testing.T) {
	c := newRelayedCell(t)
	casa, fes := c.entries[:3], c.entries[3]
	e := casa[0]
	for _, other := range casa[1:] {
		c.await("epoch of the group", func() (same bool) {
			e.runOnControl(func() { same = e.core.groupEpoch() == e.core.table.Epoch() })
			return same
		})
		e.runOnControl(func() {
			e.core.peers[other.member.ID].epoch = 1
			if got := e.core.groupEpoch(); got != 1 {
				t.Errorf("group epoch %d, want 1 with a member at epoch 1", got)
			}
		})
	}
	c.await("casa's epoch in fes", func() (same bool) {
		fes.runOnControl(func() {
			for _, m := range casa {
				same = same || fes.core.peers[m.member.ID].groupEpoch == fes.core.table.Epoch()
			}
		})
		return same
	})
}
