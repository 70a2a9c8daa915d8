package entry

import (
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
)

// newCarriedCell is a cell of three groups, with two in the first, in which one
// member of a group carries the heartbeats to another.
func newCarriedCell(t *testing.T) *testCell {
	t.Helper()
	c := newTestCell(t, 0)
	log := "http://" + c.cell.Addr(standin.LogName)
	for _, region := range []string{"casa", "casa", "casa", "fes", "pwani"} {
		c.startIn(region, log, func(e *Entry) { e.core.directMembers = 0 })
	}
	c.awaitReady()
	for _, e := range c.entries {
		c.await("the whole table", func() (whole bool) {
			e.do(func() { whole = len(e.core.control.Members()) == len(c.entries) })
			return whole
		})
	}
	return c
}

// knows reports whether an entry has a load of a member that was made after a time.
func knows(e *Entry, member string, after time.Time) (ok bool) {
	e.do(func() {
		p := e.core.peers[member]
		ok = p != nil && p.digest != nil && p.digestAt.After(after)
	})
	return ok
}

// carrierOf returns the entry of casa that carries heartbeats to a group.
func (c *testCell) carrierOf(group string) *Entry {
	var order []structs.Member
	c.entries[0].do(func() { order = c.entries[0].core.table.HeartbeatRelays("casa-0", group) })
	i := slices.IndexFunc(c.entries, func(e *Entry) bool { return e.member.ID == order[0].ID })
	return c.entries[i]
}

// freeze stops an entry's control goroutine until the returned function is called.
func freeze(e *Entry) (thaw func()) {
	thawed := make(chan struct{})
	e.post(func() { <-thawed })
	return func() { close(thawed) }
}

// awaitLoads waits until each of the given entries has a load of a member that was
// made from now on.
func (c *testCell) awaitLoads(entries []*Entry, member string) {
	c.t.Helper()
	now := time.Now()
	for _, e := range entries {
		c.await("load of "+member+" at "+e.member.ID, func() bool { return knows(e, member, now) })
	}
}

func others(entries []*Entry, e *Entry) []*Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(other *Entry) bool { return other == e })
}

func TestLoadsReachGroupsThroughCarriers(t *testing.T) {
	c := newCarriedCell(t)
	casa, fes := c.entries[:3], c.entries[3]
	c.awaitLoads(casa, fes.member.ID)
	carrier := c.carrierOf("fes-0")
	// While the members joined another one may have carried, and have heard fes.
	for _, e := range casa {
		c.await("only the carrier exchanges heartbeats with fes: "+e.member.ID, func() (settled bool) {
			e.do(func() {
				now := time.Now()
				carries := slices.Contains(e.core.farPeers(now), fes.member)
				heard := e.core.heardLately(fes.member, now)
				settled = carries == (e == carrier) && heard == carries
			})
			return settled
		})
	}
}

func TestCarrierDies(t *testing.T) {
	c := newCarriedCell(t)
	casa, fes := c.entries[:3], c.entries[3]
	c.awaitLoads(casa, fes.member.ID)
	carrier := c.carrierOf("fes-0")
	carrier.Kill()
	c.awaitLoads(others(casa, carrier), fes.member.ID)
}

func TestCarrierFreezes(t *testing.T) {
	c := newCarriedCell(t)
	casa, fes := c.entries[:3], c.entries[3]
	c.awaitLoads(casa, fes.member.ID)
	carrier := c.carrierOf("fes-0")
	thaw := freeze(carrier)
	defer thaw()
	rest := others(casa, carrier)
	c.awaitLoads(rest, fes.member.ID)
	c.await("another casa member heard in fes", func() (heard bool) {
		fes.do(func() {
			for _, e := range rest {
				heard = heard || fes.core.heardLately(e.member, time.Now())
			}
		})
		return heard
	})
}

// TestGroupCutOff freezes all of a group: the others pass its load on no more, hear
// each other meanwhile, and hear it again afterwards.
func TestGroupCutOff(t *testing.T) {
	c := newCarriedCell(t)
	casa, fes, pwani := c.entries[:3], c.entries[3], c.entries[4]
	c.awaitLoads(casa, fes.member.ID)
	carrier := c.carrierOf("fes-0")
	thaw := freeze(fes)
	c.await("fes silent at its carrier", func() (silent bool) {
		carrier.do(func() { silent = !carrier.core.heardLately(fes.member, time.Now()) })
		return silent
	})
	c.awaitLoads(casa, pwani.member.ID)
	thaw()
	c.awaitLoads(casa, fes.member.ID)
}

// TestGroupEpoch has a member of the group at an old epoch, and awaits the word of a
// carrier at another group that all of its own group have applied the present one.
func TestGroupEpoch(t *testing.T) {
	c := newCarriedCell(t)
	casa, fes := c.entries[:3], c.entries[3]
	e := casa[0]
	for _, other := range casa[1:] {
		c.await("epoch of the group", func() (same bool) {
			e.do(func() { same = e.core.groupEpoch() == e.core.table.Epoch() })
			return same
		})
		e.do(func() {
			e.core.peers[other.member.ID].epoch = 1
			if got := e.core.groupEpoch(); got != 1 {
				t.Errorf("group epoch %d with a member at 1", got)
			}
		})
	}
	c.await("casa's epoch in fes", func() (same bool) {
		fes.do(func() {
			for _, m := range casa {
				same = same || fes.core.peers[m.member.ID].groupEpoch == fes.core.table.Epoch()
			}
		})
		return same
	})
}
