package checker

import (
	"cmp"
	"fmt"
	"time"

	"dotterelhitch/internal/event"
)

// configPart is one part of the configuration at one member.
type configPart struct {
	member string
	part   string
}

// memberOf returns the member that recorded an event.
func memberOf(e event.Event) string { return cmp.Or(e.Member, e.Proc) }

// configOrderRule finds members that returned to an older configuration version.
type configOrderRule struct {
	report *Report
	latest map[configPart]event.Event
}

func newConfigOrderRule(r *Report) *configOrderRule {
	return &configOrderRule{report: r, latest: map[configPart]event.Event{}}
}

func (c *configOrderRule) observe(e event.Event) {
	id := configPart{memberOf(e), e.Detail}
	switch e.Type {
	case event.ConfigInForce:
	case event.LeavingInForce:
		id.part = "leaving " + e.Worker
	default:
		return
	}
	c.report.Checked.ConfigsInForce++
	previous, seen := c.latest[id]
	if seen && e.Version < previous.Version {
		message := fmt.Sprintf("member %s reverted from version %d of %q to version %d", id.member, previous.Version, id.part, e.Version)
		c.report.add(ConfigReverted, message, previous, e)
		return
	}
	c.latest[id] = e
}

func (c *configOrderRule) finish() {}

// configBoundRule finds members that did not have an accepted change in force
// within the bound. Versions are log offsets and members apply the log in order,
// so any later version in force implies that the change is in force.
type configBoundRule struct {
	report *Report
	bound  time.Duration
	// acceptedChanges holds the changes that were reported to an operator as accepted.
	acceptedChanges []event.Event
	members         map[string]*memberConfig
}

// memberConfig is the time span in which a member ran, and the versions that it had in force.
type memberConfig struct {
	firstSeen event.Event
	lastSeen  event.Event
	inForce   []event.Event
	// freezes holds the times at which the member was frozen. A frozen member can't violate the bound.
	freezes []event.Event
	stopped bool
}

func newConfigBoundRule(r *Report, bound time.Duration) *configBoundRule {
	return &configBoundRule{report: r, bound: bound, members: map[string]*memberConfig{}}
}

func (c *configBoundRule) observe(e event.Event) {
	switch e.Type {
	case event.ClassAccepted, event.LeavingAccepted:
		c.report.Checked.ConfigChanges++
		c.acceptedChanges = append(c.acceptedChanges, e)
	case event.ConfigInForce, event.LeavingInForce:
		c.recordInForce(e)
	case event.EntryDrain, event.EntryExit, event.MemberRemoved:
		c.recordStop(memberOf(e))
	case event.FaultInjected:
		c.recordFault(e)
	}
	if m := c.members[e.Proc]; m != nil && !m.stopped {
		m.lastSeen = e
	}
}

func (c *configBoundRule) recordInForce(e event.Event) {
	m := c.members[memberOf(e)]
	if m == nil {
		m = &memberConfig{firstSeen: e, lastSeen: e}
		c.members[memberOf(e)] = m
	}
	m.inForce = append(m.inForce, e)
}

func (c *configBoundRule) recordStop(member string) {
	if m := c.members[member]; m != nil {
		m.stopped = true
	}
}

func (c *configBoundRule) recordFault(e event.Event) {
	m := c.members[e.Member]
	if m == nil {
		return
	}
	switch e.State {
	case FaultKilled:
		m.stopped = true
	case FaultFrozen:
		m.freezes = append(m.freezes, e)
	}
}

func (c *configBoundRule) finish() {
	if c.bound == 0 {
		return
	}
	for _, change := range c.acceptedChanges {
		for name, m := range c.members {
			c.checkMember(change, name, m)
		}
	}
}

// checkMember checks a member that ran from before the change until after its bound.
func (c *configBoundRule) checkMember(change event.Event, name string, m *memberConfig) {
	if !m.firstSeen.Time.Before(change.Time) || !laterBy(m.lastSeen, change, c.bound) || m.frozenBefore(change, c.bound) {
		return
	}
	for _, e := range m.inForce {
		if e.Version >= change.Version && !laterBy(e, change, c.bound) {
			return
		}
	}
	message := fmt.Sprintf("member %s did not have version %d in force within %s", name, change.Version, c.bound)
	c.report.add(ConfigLate, message, change, m.inForce[len(m.inForce)-1])
}

// frozenBefore reports whether the member was frozen before the bound had passed.
func (m *memberConfig) frozenBefore(change event.Event, bound time.Duration) bool {
	for _, e := range m.freezes {
		if !laterBy(e, change, bound) {
			return true
		}
	}
	return false
}
