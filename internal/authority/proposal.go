package authority

import (
	"slices"

	"dotterelhitch/internal/ownership"
)

// Proposal collects the consents to a change until its record may be appended.
type Proposal struct {
	change MembershipChange
	groups []ownership.Group
}

// NewProposal creates a proposal for a change of the state's table. It returns the same
// errors as ApplyChange for an inconsistent change.
func NewProposal(s MembershipState, c MembershipChange) (*Proposal, error) {
	c.Base = s.Table.Epoch
	table, err := nextTable(s.Table, s.Table.Epoch+1, c)
	if err != nil {
		return nil, err
	}
	groups := ownership.AffectedGroups(ownership.NewMap(s.Table), ownership.NewMap(table))
	return &Proposal{change: c, groups: groups}, nil
}

// ID returns the change's ID.
func (p *Proposal) ID() string { return p.change.ID }

// Base returns the epoch on which the change is based. The proposal is void once the
// table has another epoch.
func (p *Proposal) Base() int64 { return p.change.Base }

// Change returns the change as it is sent in requests for consent.
func (p *Proposal) Change() MembershipChange { return p.change }

// MembersToAsk returns the members of the affected groups that have neither consented
// nor been counted as gone. The proposer asks its own Attester in the same way.
func (p *Proposal) MembersToAsk() []string {
	var ask []string
	for _, g := range p.groups {
		for _, id := range g.IDs() {
			if !slices.Contains(p.change.Consents, id) && !slices.Contains(p.change.ConfirmedGone, id) {
				ask = append(ask, id)
			}
		}
	}
	return ask
}

// RecordConsent records a member's consent to the change.
func (p *Proposal) RecordConsent(member string) {
	if !slices.Contains(p.MembersToAsk(), member) {
		return
	}
	p.change.Consents = append(p.change.Consents, member)
}

// CountAsGone counts a member that the platform's list has shown as gone for longer
// than the list's lag. Only members that the change removes are counted.
func (p *Proposal) CountAsGone(member string) {
	if !slices.Contains(p.MembersToAsk(), member) || !slices.Contains(p.change.Remove, member) {
		return
	}
	p.change.ConfirmedGone = append(p.change.ConfirmedGone, member)
}

// Ready returns the record to append once the consents suffice. A record that relies on
// members counted as gone is forced; otherwise those members are omitted from it.
func (p *Proposal) Ready() (MembershipChange, bool) {
	unforced := p.change
	unforced.ConfirmedGone = nil
	if p.hasAllConsents(unforced) {
		return unforced, true
	}
	forced := p.change
	forced.Forced = true
	if len(forced.ConfirmedGone) > 0 && p.hasAllConsents(forced) {
		return forced, true
	}
	return MembershipChange{}, false
}

func (p *Proposal) hasAllConsents(c MembershipChange) bool {
	return !slices.ContainsFunc(p.groups, func(g ownership.Group) bool { return !c.hasConsentOf(g.IDs()) })
}
