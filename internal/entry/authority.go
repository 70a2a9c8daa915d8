package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// Time-outs of failure detection and membership changes.
const (
	// suspectAfterHeartbeats is the number of heartbeat intervals without a message
	// after which a member is suspected to have failed.
	suspectAfterHeartbeats = 5
	consentTimeout         = time.Second
	proposeTimeout         = 5 * time.Second
	// stuckConsentDelay is how long a member waits for a change that it consented to
	// before it proposes a change that only raises the epoch. Such a change ends the
	// consent.
	stuckConsentDelay = 3 * time.Second
)

// membershipState holds this entry's state of the rules of package authority. It belongs
// to the control goroutine.
type membershipState struct {
	authority         *authority.Authority
	attester          *authority.Attester
	handover          *authority.Handover
	failureDetector   *authority.FailureDetector
	terminatedMembers *authority.GoneTracker
	// consentedAt is when the attester last consented, zero if no consent is
	// outstanding.
	consentedAt      time.Time
	hadAuthority     bool
	lastIterationAt  time.Time
	proposalInFlight bool
}

func newMembershipState(e *Entry, now time.Time) *membershipState {
	cfg := e.authorityConfig()
	attester := authority.NewAttester(cfg, now)
	return &membershipState{
		attester:          attester,
		authority:         authority.New(cfg, e.member.ID, attester),
		handover:          authority.NewHandover(cfg, e.member.ID, authority.MembershipState{}, now),
		failureDetector:   authority.NewFailureDetector(e.member.ID, suspectAfterHeartbeats*e.timing.Heartbeat),
		terminatedMembers: &authority.GoneTracker{},
		lastIterationAt:   now,
	}
}

func (e *Entry) authorityConfig() authority.Config {
	return authority.Config{AuthorityValidity: e.timing.Authority, ClockMargin: e.timing.ClockMargin, MaxTaskLease: e.timing.Lease}
}

// beginIteration is called at the start of each iteration of the control goroutine. A
// long time since the last iteration means that the process was paused.
func (c *core) beginIteration(now time.Time) {
	m := c.membership
	if now.Sub(m.lastIterationAt) > c.e.timing.Authority {
		m.failureDetector.ResetAfterPause(now)
	}
	m.lastIterationAt = now
	m.attester.Tick(now)
}

// mayGrant reports whether this entry may renew leases and start work.
func (c *core) mayGrant(now time.Time) bool {
	return c.joined && c.membership.authority.Holds(now)
}

func (e *Entry) mayGrant() (ok bool) {
	e.runOnControl(func() { ok = e.core.mayGrant(time.Now()) })
	return ok
}

// recordAuthorityChange records an event when authority is gained or lost.
func (c *core) recordAuthorityChange(now time.Time) {
	hasAuthority := c.mayGrant(now)
	if hasAuthority == c.membership.hadAuthority {
		return
	}
	c.membership.hadAuthority = hasAuthority
	t := event.AuthorityLost
	if hasAuthority {
		t = event.AuthorityGained
		c.clearAlarm(structs.CodeNoAuthority)
	} else if c.joined {
		c.alarm(structs.CodeNoAuthority, "authority has expired: neither a read of the log's tail nor attestations of the group confirm that this member is in the membership table")
	}
	c.e.events.Record(event.Event{Type: t, Member: c.self(), Epoch: c.table.Epoch()})
}

// logAlarmAfter is the time since the last read of the log's tail after which an alarm
// is raised.
const logAlarmAfter = 10 * time.Second

// updateLogAlarm raises an alarm while the log cannot be read.
func (c *core) updateLogAlarm(now time.Time) {
	if c.joined && now.Sub(c.controlTailReadAt) > logAlarmAfter {
		c.alarm(structs.CodeUnavailable, "the log's tail was not read for more than "+logAlarmAfter.String())
		return
	}
	c.clearAlarm(structs.CodeUnavailable)
}

// observeTail reports a read of the control stream's tail to the attester and the
// authority.
func (c *core) observeTail(p journal.Page) {
	read := authority.TailRead{Start: p.AsOf, NextOffset: p.Next, AppliedOffset: c.control.NextOffset() - 1, Epoch: c.control.Epoch()}
	c.membership.attester.ObserveTail(read)
	c.membership.authority.ObserveTail(read)
}

// propagateTableChange reports a change from the table base to the present table to the
// rules of package authority and to the key store.
func (c *core) propagateTableChange(base *ownership.Map, now time.Time) {
	m := c.membership
	group, _ := c.table.GroupOfMember(c.self())
	ids := group.IDs()
	m.attester.SetTable(c.table.Epoch(), c.joined)
	m.authority.SetTable(c.table.Epoch(), ids)
	m.handover.ApplyTableChange(base, c.control.Membership(), now)
	c.keys.TableChanged(now, c.table, base.Epoch() == 0 && !c.logGapSeen)
	m.failureDetector.SetGroup(ids, now)
	if !m.attester.HasConsented() {
		m.consentedAt = time.Time{}
	}
}

// recordMemberEpoch records a message in which a member states the epoch that it has
// applied.
//
// Such a message also counts as the member's release of what it no longer owns at that
// epoch. Members make these messages on their control goroutine, which gives up
// ownership in the same iteration in which it applies an epoch. A command that was in
// flight then can't extend a lease beyond the limit set by the worker's uptime that the
// command carries.
//
// The release counts from now, because the member may have renewed leases until it made
// the message. For failure detection the message counts from sent, the earliest time at
// which it can have been made.
func (c *core) recordMemberEpoch(id string, epoch int64, sent time.Time) {
	c.membership.failureDetector.RecordMessage(id, sent)
	c.membership.handover.RecordRelease(id, epoch, time.Now())
}

// memberTerminated reports whether a member has certainly ended: the platform's list has
// shown it as gone for longer than the list's lag, or an operator declared it gone.
func (c *core) memberTerminated(id string, now time.Time) bool {
	declared, ok := c.control.Leaving(id)
	return c.membership.terminatedMembers.IsGone(id, now) || (ok && declared.ConfirmedStopped)
}

// logReadRecently reports whether the log's tail was read within half the authority
// bound. Without the log no change can be committed, so consenting to one would only
// cost authority.
func (c *core) logReadRecently(now time.Time) bool {
	return now.Sub(c.controlTailReadAt) < c.e.timing.Authority/2
}

// proposeNeededChange proposes a membership change that this member considers necessary:
// the removal of silent members of its group, the removal of groups of which all members
// have terminated, or a new epoch if a change that members consented to never came.
func (c *core) proposeNeededChange(now time.Time) {
	m := c.membership
	if !c.joined || c.draining || m.proposalInFlight || !c.logReadRecently(now) {
		return
	}
	var change authority.MembershipChange
	silent := m.failureDetector.SilentMembers(now)
	terminated := c.terminatedGroupMembers(now)
	stuck := !m.consentedAt.IsZero() && now.Sub(m.consentedAt) > stuckConsentDelay
	switch {
	case len(silent) > 0 && m.failureDetector.ShouldPropose(now):
		change.Remove = silent
	case len(terminated) > 0 && m.failureDetector.ShouldPropose(now):
		change.Remove = terminated
	case stuck && (m.failureDetector.ShouldPropose(now) || now.Sub(m.consentedAt) > 2*stuckConsentDelay):
	default:
		return
	}
	m.proposalInFlight = true
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(c.e.ctx, proposeTimeout)
		defer cancel()
		if err := c.e.propose(ctx, change); err != nil {
			c.e.logger.Info("membership change failed", "remove", change.Remove, "error", err.Error())
		}
		c.e.postToControl(func() { m.proposalInFlight = false })
	})
}

// terminatedGroupMembers returns the members of all groups that have terminated
// completely, since no member of such a group is left to propose their removal. It
// returns nil unless this member belongs to the first of the remaining groups.
func (c *core) terminatedGroupMembers(now time.Time) []string {
	var terminated []string
	firstRemaining := ""
	for _, g := range c.table.Groups() {
		ids := g.IDs()
		if !slices.ContainsFunc(ids, func(id string) bool { return !c.memberTerminated(id, now) }) {
			terminated = append(terminated, ids...)
			continue
		}
		if firstRemaining == "" {
			firstRemaining = g.Name
		}
	}
	if ownGroup, _ := c.table.GroupOfMember(c.self()); ownGroup.Name != firstRemaining {
		return nil
	}
	return terminated
}

// propose collects the consents for a membership change and appends the change to the
// log.
func (e *Entry) propose(ctx context.Context, change authority.MembershipChange) error {
	change.ID = uuid.NewString()
	var p *authority.Proposal
	var members map[string]structs.Member
	err := errShuttingDown()
	e.runOnControl(func() { p, members, err = e.core.newProposal(change) })
	if err != nil {
		return err
	}
	e.gatherConsents(ctx, p, members)
	record, ok := p.Ready()
	if !ok {
		return structs.NewError(structs.CodeNoAuthority, "change %s: too few consents: %v", change.ID, p.Change().Consents)
	}
	r, err := e.commitControl(ctx, state.Change{ID: change.ID, Type: state.Membership, Members: &record})
	if err != nil {
		return err
	}
	if !r.Accepted {
		return r.Err
	}
	return nil
}

// newProposal starts a membership change and marks the members that have certainly
// ended. It also returns all present members by ID.
func (c *core) newProposal(change authority.MembershipChange) (*authority.Proposal, map[string]structs.Member, error) {
	p, err := authority.NewProposal(c.control.Membership(), change)
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	members := map[string]structs.Member{}
	for _, m := range c.control.Members() {
		members[m.ID] = m
		if c.memberTerminated(m.ID, now) || c.replacedBySelf(m) {
			p.CountAsGone(m.ID)
		}
	}
	return p, members, nil
}

// replacedBySelf reports whether a member's process has certainly ended because this
// process listens on its address.
func (c *core) replacedBySelf(m structs.Member) bool {
	return m.ID != c.self() && m.PeerAddr == c.e.member.PeerAddr
}

func (e *Entry) gatherConsents(ctx context.Context, p *authority.Proposal, members map[string]structs.Member) {
	body, err := json.Marshal(p.Change())
	if err != nil {
		return
	}
	req := &peerv1.ConsentRequest{Member: e.member.ID, Epoch: p.Base(), ChangeId: p.ID(), Change: body}
	memberIDs := p.MembersToAsk()
	granted := make(chan string, len(memberIDs))
	for _, id := range memberIDs {
		go func() {
			if e.requestConsent(ctx, members[id], req) {
				granted <- id
				return
			}
			granted <- ""
		}()
	}
	for range memberIDs {
		if id := <-granted; id != "" {
			p.RecordConsent(id)
		}
	}
}

func (e *Entry) requestConsent(ctx context.Context, m structs.Member, req *peerv1.ConsentRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, consentTimeout)
	defer cancel()
	if m.ID == e.member.ID {
		resp, err := (&peerServer{e: e}).Consent(ctx, req)
		return err == nil && resp.Granted
	}
	resp, err := e.pool.Client(m).Consent(ctx, req)
	return err == nil && resp.Granted
}

// Consent implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Consent(_ context.Context, r *peerv1.ConsentRequest) (*peerv1.ConsentResponse, error) {
	var change authority.MembershipChange
	if err := json.Unmarshal(r.Change, &change); err != nil {
		return &peerv1.ConsentResponse{Error: fromError(structs.NewError(structs.CodeInvalid, "change: %v", err))}, nil
	}
	var err error
	if !s.e.runOnControl(func() { err = s.e.core.consent(change, r.Member) }) {
		return nil, errShuttingDown()
	}
	return &peerv1.ConsentResponse{Granted: err == nil, Error: fromError(err)}, nil
}

// consent agrees to a change, unless the log was not read recently or the change removes
// a member that was heard recently and has not terminated.
func (c *core) consent(change authority.MembershipChange, proposer string) error {
	now := time.Now()
	if !c.logReadRecently(now) {
		return structs.NewError(structs.CodeNoAuthority, "the log's tail was not read recently")
	}
	withoutTerminated := change
	withoutTerminated.Remove = slices.DeleteFunc(slices.Clone(change.Remove), func(id string) bool { return c.memberTerminated(id, now) })
	if err := c.membership.failureDetector.CheckRemovals(withoutTerminated, proposer, now); err != nil {
		return err
	}
	if err := c.membership.attester.Consent(change.Base); err != nil {
		return err
	}
	c.membership.consentedAt = now
	return nil
}

// join proposes to add this member, once it has read the control stream to its end,
// until the applied records show it in the table. The same change removes members that
// have certainly ended, so that a cell recovers after all of its members were replaced.
func (e *Entry) join() {
	for e.ctx.Err() == nil {
		var change authority.MembershipChange
		var ready, joined bool
		if !e.runOnControl(func() { change, ready, joined = e.core.joinChange() }) || joined {
			return
		}
		if ready {
			ctx, cancel := context.WithTimeout(e.ctx, proposeTimeout)
			if err := e.propose(ctx, change); err != nil {
				e.logger.Info("join failed", "error", err.Error())
			}
			cancel()
		}
		sleep(e.ctx, joinRetryDelay)
	}
}

func (c *core) joinChange() (change authority.MembershipChange, ready, joined bool) {
	now := time.Now()
	change.Join = []structs.Member{c.e.member}
	for _, m := range c.control.Members() {
		if c.memberTerminated(m.ID, now) || c.replacedBySelf(m) {
			change.Remove = append(change.Remove, m.ID)
		}
	}
	return change, c.caughtUp && c.logReadRecently(now), c.joined
}

// leaveTable proposes this member's removal until the table no longer contains it, hands
// its keys over, and then announces to the other members that it has released
// everything.
func (e *Entry) leaveTable(ctx context.Context) {
	for ctx.Err() == nil {
		var joined bool
		var members []structs.Member
		if !e.runOnControl(func() { joined, members = e.core.joined, e.core.control.Members() }) {
			return
		}
		if !joined {
			e.handOverKeys(ctx)
			e.broadcastRelease(ctx, members)
			return
		}
		_ = e.propose(ctx, authority.MembershipChange{Remove: []string{e.member.ID}})
		sleep(ctx, joinRetryDelay)
	}
}

// handOverKeys transfers this member's keys and returns once the other members have
// them, or when ctx ends.
func (e *Entry) handOverKeys(ctx context.Context) {
	for ctx.Err() == nil {
		drained := true
		e.runOnControl(func() {
			e.core.transferKeys(time.Now())
			drained = e.core.keys.Drained()
		})
		if drained {
			return
		}
		sleep(ctx, permitRetryDelay)
	}
}

// releaseTimeout limits the release call to one member.
const releaseTimeout = time.Second

func (e *Entry) broadcastRelease(ctx context.Context, members []structs.Member) {
	req := &peerv1.ReleaseRequest{Member: e.member.ID}
	e.runOnControl(func() { req.Epoch = e.core.table.Epoch() })
	done := make(chan struct{})
	for _, m := range members {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			_, _ = e.pool.Client(m).Release(ctx, req)
			done <- struct{}{}
		}()
	}
	for range members {
		<-done
	}
}

// Release implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Release(_ context.Context, r *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	s.e.runOnControl(func() { s.e.core.membership.handover.RecordRelease(r.Member, r.Epoch, time.Now()) })
	return &peerv1.ReleaseResponse{}, nil
}
