package authority

import (
	"slices"

	"dotterelhitch/internal/ownership"
)

// Proposal gathers the consents for one change until it may be appended.
type Proposal struct {
	change MembershipChange
	groups []ownership.Group
}

// NewProposal begins a change of the state's table. It fails as Apply would for a
// change that makes no sense.
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

// Base returns the epoch that the change is based on. The proposal is void once
// the table has another epoch.
func (p *Proposal) Base() int64 { return p.change.Base }

// Change returns the change as it is to be sent with a request for consent.
func (p *Proposal) Change() MembershipChange { return p.change }

// MembersToAsk returns the members to ask: those of the affected groups that have
// not consented and are not counted as gone. The proposer asks its own attester
// in the same way.
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

// RecordConsent counts a member's consent to this change.
func (p *Proposal) RecordConsent(member string) {
	if !slices.Contains(p.MembersToAsk(), member) {
		return
	}
	p.change.Consents = append(p.change.Consents, member)
}

// CountAsGone counts a member that the platform's list has shown as gone beyond its
// lag. Only members that the change removes are counted.
func (p *Proposal) CountAsGone(member string) {
	if !slices.Contains(p.MembersToAsk(), member) || !slices.Contains(p.change.Remove, member) {
		return
	}
	p.change.ConfirmedGone = append(p.change.ConfirmedGone, member)
}

// Ready returns the record to append once the consents suffice. A record that
// counts gone members is forced; one that does not need them leaves them out.
func (p *Proposal) Ready() (MembershipChange, bool) {
	plain := p.change
	plain.ConfirmedGone = nil
	if p.carried(plain) {
		return plain, true
	}
	forced := p.change
	forced.Forced = true
	if len(forced.ConfirmedGone) > 0 && p.carried(forced) {
		return forced, true
	}
	return MembershipChange{}, false
}

func (p *Proposal) carried(c MembershipChange) bool {
	return !slices.ContainsFunc(p.groups, func(g ownership.Group) bool { return !c.carries(g.IDs()) })
}
