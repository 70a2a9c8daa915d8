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

// Bounds of membership changes.
const (
	suspectHeartbeats = 5
	consentTimeout    = time.Second
	proposeTimeout    = 5 * time.Second
	// stuckConsentDelay is how long a member waits for a change that it consented to
	// before it asks for a change that only raises the epoch.
	stuckConsentDelay = 3 * time.Second
)

// membershipState is this entry's part in the rules of package authority. It belongs to the
// control goroutine.
type membershipState struct {
	authority       *authority.Authority
	attester        *authority.Attester
	handover        *authority.Handover
	failureDetector *authority.FailureDetector
	terminated      *authority.GoneTracker
	// consentedAt is when the attester last consented, zero for no consent open.
	consentedAt      time.Time
	hadAuthority     bool
	lastIterationAt  time.Time
	proposalInFlight bool
}

func newMembershipState(e *Entry, now time.Time) *membershipState {
	cfg := e.authorityConfig()
	attester := authority.NewAttester(cfg, now)
	return &membershipState{
		attester:        attester,
		authority:       authority.New(cfg, e.member.ID, attester),
		handover:        authority.NewHandover(cfg, e.member.ID, authority.MembershipState{}, now),
		failureDetector: authority.NewFailureDetector(e.member.ID, suspectHeartbeats*e.timing.Heartbeat),
		terminated:      &authority.GoneTracker{},
		lastIterationAt: now,
	}
}

func (e *Entry) authorityConfig() authority.Config {
	return authority.Config{AuthorityValidity: e.timing.Authority, ClockMargin: e.timing.ClockMargin, MaxTaskLease: e.timing.Lease}
}

// beginIteration is called first in each turn of the control goroutine. A long gap means
// that the process was paused.
func (c *core) beginIteration(now time.Time) {
	r := c.membership
	if now.Sub(r.lastIterationAt) > c.e.timing.Authority {
		r.failureDetector.ResetAfterPause(now)
	}
	r.lastIterationAt = now
	r.attester.Tick(now)
}

// mayGrant reports whether this entry may renew leases and give out work.
func (c *core) mayGrant(now time.Time) bool {
	return c.joined && c.membership.authority.Holds(now)
}

func (e *Entry) mayGrant() (ok bool) {
	e.runOnControl(func() { ok = e.core.mayGrant(time.Now()) })
	return ok
}

// recordAuthorityChange records when authority is gained and lost.
func (c *core) recordAuthorityChange(now time.Time) {
	held := c.mayGrant(now)
	if held == c.membership.hadAuthority {
		return
	}
	c.membership.hadAuthority = held
	t := event.AuthorityOff
	if held {
		t = event.AuthorityOn
		c.clearAlarm(structs.CodeNoAuthority)
	} else if c.joined {
		c.alarm(structs.CodeNoAuthority, "neither the log nor the group proves that this member is in the table")
	}
	c.e.events.Record(event.Event{Type: t, Member: c.self(), Epoch: c.table.Epoch()})
}

// logAlarmAfter is the age of the last read of the log at which an alarm is raised.
const logAlarmAfter = 10 * time.Second

// updateLogAlarm raises an alarm while the log can't be read.
func (c *core) updateLogAlarm(now time.Time) {
	if c.joined && now.Sub(c.controlTailReadAt) > logAlarmAfter {
		c.alarm(structs.CodeUnavailable, "the log was not read for more than "+logAlarmAfter.String())
		return
	}
	c.clearAlarm(structs.CodeUnavailable)
}

// observeTail counts a read of the control stream's tail.
func (c *core) observeTail(p journal.Page) {
	read := authority.TailRead{Start: p.AsOf, NextOffset: p.Next, AppliedOffset: c.control.NextOffset() - 1, Epoch: c.control.Epoch()}
	c.membership.attester.ObserveTail(read)
	c.membership.authority.ObserveTail(read)
}

// propagateTableChange hands a change of the table to the rules.
func (c *core) propagateTableChange(base *ownership.Map, now time.Time) {
	r := c.membership
	group, _ := c.table.GroupOfMember(c.self())
	ids := group.IDs()
	r.attester.SetTable(c.table.Epoch(), c.joined)
	r.authority.SetTable(c.table.Epoch(), ids)
	r.handover.ApplyTableChange(base, c.control.Membership(), now)
	c.keys.TableChanged(now, c.table, base.Epoch() == 0 && !c.logGapSeen)
	r.failureDetector.SetGroup(ids, now)
	if !r.attester.HasConsented() {
		r.consentedAt = time.Time{}
	}
}

// recordMemberEpoch counts a message by which a member shows its epoch. Messages are made
// by the control goroutine, which gives up what is not its own in the turn in which
// it applies an epoch; a command that is still under way then can't extend a lease
// past what its reading of the worker's uptime allows. So the message is a release,
// which counts from now: sent is when the message was made at the earliest, and the
// member may have renewed leases until it was made.
func (c *core) recordMemberEpoch(id string, epoch int64, sent time.Time) {
	c.membership.failureDetector.RecordMessage(id, sent)
	c.membership.handover.RecordRelease(id, epoch, time.Now())
}

// memberTerminated reports whether a member certainly runs no more: by the platform's
// list, beyond its lag, or by the operator's word.
func (c *core) memberTerminated(id string, now time.Time) bool {
	declared, ok := c.control.Leaving(id)
	return c.membership.terminated.IsGone(id, now) || (ok && declared.Gone)
}

// logReadRecently reports whether the log itself answered within the bound: only then
// is a change worth the consent that it costs.
func (c *core) logReadRecently(now time.Time) bool {
	return now.Sub(c.controlTailReadAt) < c.e.timing.Authority/2
}

// proposeNeededChange proposes the changes that this member sees a need for: the
// removal of silent members of its group, that of a group which is gone altogether, or
// a new epoch for members whose consent led to none.
func (c *core) proposeNeededChange(now time.Time) {
	r := c.membership
	if !c.joined || c.draining || r.proposalInFlight || !c.logReadRecently(now) {
		return
	}
	var change authority.MembershipChange
	silent := r.failureDetector.SilentMembers(now)
	terminated := c.terminatedGroupMembers(now)
	stuck := !r.consentedAt.IsZero() && now.Sub(r.consentedAt) > stuckConsentDelay
	switch {
	case len(silent) > 0 && r.failureDetector.ShouldPropose(now):
		change.Remove = silent
	case len(terminated) > 0 && r.failureDetector.ShouldPropose(now):
		change.Remove = terminated
	case stuck && (r.failureDetector.ShouldPropose(now) || now.Sub(r.consentedAt) > 2*stuckConsentDelay):
	default:
		return
	}
	r.proposalInFlight = true
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(c.e.ctx, proposeTimeout)
		defer cancel()
		if err := c.e.propose(ctx, change); err != nil {
			c.e.logger.Info("membership change failed", "remove", change.Remove, "error", err.Error())
		}
		c.e.postToControl(func() { r.proposalInFlight = false })
	})
}

// terminatedGroupMembers returns the members of the groups that are certainly gone altogether, if
// this member's group is the first that is not: none of theirs is left to propose their
// removal.
func (c *core) terminatedGroupMembers(now time.Time) []string {
	var terminated []string
	first := ""
	for _, g := range c.table.Groups() {
		ids := g.IDs()
		if !slices.ContainsFunc(ids, func(id string) bool { return !c.memberTerminated(id, now) }) {
			terminated = append(terminated, ids...)
			continue
		}
		if first == "" {
			first = g.Name
		}
	}
	if own, _ := c.table.GroupOfMember(c.self()); own.Name != first {
		return nil
	}
	return terminated
}

// propose gathers the consents for a change of the table and appends it.
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

// newProposal begins a change and counts the members that are certainly gone.
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

// replacedBySelf reports whether a member's process has certainly ended because this one
// listens at its address.
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

// consent agrees to a change unless a member that it removes was heard lately.
func (c *core) consent(change authority.MembershipChange, proposer string) error {
	now := time.Now()
	if !c.logReadRecently(now) {
		return structs.NewError(structs.CodeNoAuthority, "the log was not read lately")
	}
	unexcused := change
	unexcused.Remove = slices.DeleteFunc(slices.Clone(change.Remove), func(id string) bool { return c.memberTerminated(id, now) })
	if err := c.membership.failureDetector.CheckRemovals(unexcused, proposer, now); err != nil {
		return err
	}
	if err := c.membership.attester.Consent(change.Base); err != nil {
		return err
	}
	c.membership.consentedAt = now
	return nil
}

// join proposes this member, once the end of the control stream was seen, until
// the fold shows it in the table. Members that are certainly gone are removed by
// the same change, so that a cell whose members were all replaced comes back.
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
		sleep(e.ctx, joinRetry)
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

// leaveTable proposes this member's removal until the table shows it, and then
// tells the others that it holds nothing any more.
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
		sleep(ctx, joinRetry)
	}
}

// handOverKeys stays until the others know the keys that this member held.
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
		sleep(ctx, permitRetry)
	}
}

// releaseTimeout bounds the word to one member that this one holds nothing more.
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
