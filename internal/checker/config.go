package checker

import (
	"cmp"
	"fmt"
	"time"

	"dotterelhitch/internal/event"
)

// partID is one part of the configuration at one member.
type partID struct {
	member string
	what   string
}

// memberOf names the member that recorded an event.
func memberOf(e event.Event) string { return cmp.Or(e.Member, e.Proc) }

// configOrderRule finds members that went back to an older configuration.
type configOrderRule struct {
	report *Report
	latest map[partID]event.Event
}

func newConfigOrderRule(r *Report) *configOrderRule {
	return &configOrderRule{report: r, latest: map[partID]event.Event{}}
}

func (c *configOrderRule) observe(e event.Event) {
	id := partID{memberOf(e), e.Detail}
	switch e.Type {
	case event.ConfigInForce:
	case event.LeavingInForce:
		id.what = "leaving " + e.Worker
	default:
		return
	}
	c.report.Checked.ConfigsInForce++
	before, seen := c.latest[id]
	if seen && e.Version < before.Version {
		message := fmt.Sprintf("member %s went from version %d of %q to %d", id.member, before.Version, id.what, e.Version)
		c.report.add(ConfigReverted, message, before, e)
		return
	}
	c.latest[id] = e
}

func (c *configOrderRule) finish() {}

// configBoundRule finds members that did not have an accepted change in force
// within the bound. Versions are log offsets and members apply the log in order,
// so any later version in force shows that the change is.
type configBoundRule struct {
	report *Report
	bound  time.Duration
	// accepted holds the changes of which an operator was told.
	accepted []event.Event
	members  map[string]*memberConfig
}

// memberConfig is when a member was there and what it had in force.
type memberConfig struct {
	first  event.Event
	last   event.Event
	forced []event.Event
	// away holds freezes: a member that stands still can't be late.
	away []event.Event
	gone bool
}

func newConfigBoundRule(r *Report, bound time.Duration) *configBoundRule {
	return &configBoundRule{report: r, bound: bound, members: map[string]*memberConfig{}}
}

func (c *configBoundRule) observe(e event.Event) {
	switch e.Type {
	case event.ClassAccepted, event.LeavingAccepted:
		c.report.Checked.ConfigChanges++
		c.accepted = append(c.accepted, e)
	case event.ConfigInForce, event.LeavingInForce:
		c.inForce(e)
	case event.EntryDrain, event.EntryExit, event.MemberRemoved:
		c.leave(memberOf(e))
	case event.FaultInjected:
		c.fault(e)
	}
	if m := c.members[e.Proc]; m != nil && !m.gone {
		m.last = e
	}
}

func (c *configBoundRule) inForce(e event.Event) {
	m := c.members[memberOf(e)]
	if m == nil {
		m = &memberConfig{first: e, last: e}
		c.members[memberOf(e)] = m
	}
	m.forced = append(m.forced, e)
}

func (c *configBoundRule) leave(member string) {
	if m := c.members[member]; m != nil {
		m.gone = true
	}
}

func (c *configBoundRule) fault(e event.Event) {
	m := c.members[e.Member]
	if m == nil {
		return
	}
	switch e.State {
	case FaultKilled:
		m.gone = true
	case FaultFrozen:
		m.away = append(m.away, e)
	}
}

func (c *configBoundRule) finish() {
	if c.bound == 0 {
		return
	}
	for _, change := range c.accepted {
		for name, m := range c.members {
			c.checkMember(change, name, m)
		}
	}
}

// checkMember judges a member that was there from the change to its bound.
func (c *configBoundRule) checkMember(change event.Event, name string, m *memberConfig) {
	if !m.first.Time.Before(change.Time) || !after(m.last, change, c.bound) || m.awayAt(change, c.bound) {
		return
	}
	for _, e := range m.forced {
		if e.Version >= change.Version && !after(e, change, c.bound) {
			return
		}
	}
	message := fmt.Sprintf("member %s did not have version %d in force within %s", name, change.Version, c.bound)
	c.report.add(ConfigLate, message, change, m.forced[len(m.forced)-1])
}

// awayAt reports whether the member was frozen before the bound had passed.
func (m *memberConfig) awayAt(change event.Event, bound time.Duration) bool {
	for _, e := range m.away {
		if !after(e, change, bound) {
			return true
		}
	}
	return false
}
