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
	// consentLimit is how long a member waits for a change that it consented to
	// before it asks for a change that only raises the epoch.
	consentLimit = 3 * time.Second
)

// rights is this entry's part in the rules of package authority. It belongs to the
// control goroutine.
type rights struct {
	authority *authority.Authority
	attester  *authority.Attester
	handover  *authority.Handover
	watch     *authority.FailureDetector
	goneList  *authority.GoneTracker
	// consentedAt is when the attester last consented, zero for no consent open.
	consentedAt time.Time
	held        bool
	lastTurn    time.Time
	proposing   bool
}

func newRights(e *Entry, now time.Time) *rights {
	cfg := e.authorityConfig()
	attester := authority.NewAttester(cfg, now)
	return &rights{
		attester:  attester,
		authority: authority.New(cfg, e.member.ID, attester),
		handover:  authority.NewHandover(cfg, e.member.ID, authority.MembershipState{}, now),
		watch:     authority.NewFailureDetector(e.member.ID, suspectHeartbeats*e.timing.Heartbeat),
		goneList:  &authority.GoneTracker{},
		lastTurn:  now,
	}
}

func (e *Entry) authorityConfig() authority.Config {
	return authority.Config{AuthorityValidity: e.timing.Authority, ClockMargin: e.timing.ClockMargin, MaxTaskLease: e.timing.Lease}
}

// turn is called first in each turn of the control goroutine. A long gap means
// that the process was paused.
func (c *core) turn(now time.Time) {
	r := c.rights
	if now.Sub(r.lastTurn) > c.e.timing.Authority {
		r.watch.ResetAfterPause(now)
	}
	r.lastTurn = now
	r.attester.Tick(now)
}

// mayGrant reports whether this entry may renew leases and give out work.
func (c *core) mayGrant(now time.Time) bool {
	return c.joined && c.rights.authority.Holds(now)
}

func (e *Entry) mayGrant() (ok bool) {
	e.do(func() { ok = e.core.mayGrant(time.Now()) })
	return ok
}

// noteAuthority records when authority is gained and lost.
func (c *core) noteAuthority(now time.Time) {
	held := c.mayGrant(now)
	if held == c.rights.held {
		return
	}
	c.rights.held = held
	t := event.AuthorityLost
	if held {
		t = event.AuthorityGained
		c.clearAlarm(structs.CodeNoAuthority)
	} else if c.joined {
		c.alarm(structs.CodeNoAuthority, "neither the log nor the group proves that this member is in the table")
	}
	c.e.events.Record(event.Event{Type: t, Member: c.self(), Epoch: c.table.Epoch()})
}

// logAlarmAfter is the age of the last read of the log at which an alarm is raised.
const logAlarmAfter = 10 * time.Second

// noteLog raises an alarm while the log can't be read.
func (c *core) noteLog(now time.Time) {
	if c.joined && now.Sub(c.controlRead) > logAlarmAfter {
		c.alarm(structs.CodeUnavailable, "the log was not read for more than "+logAlarmAfter.String())
		return
	}
	c.clearAlarm(structs.CodeUnavailable)
}

// observeTail counts a read of the control stream's tail.
func (c *core) observeTail(p journal.Page) {
	read := authority.TailRead{Start: p.AsOf, NextOffset: p.Next, AppliedOffset: c.control.NextOffset() - 1, Epoch: c.control.Epoch()}
	c.rights.attester.ObserveTail(read)
	c.rights.authority.ObserveTail(read)
}

// newTable hands a change of the table to the rules.
func (c *core) newTable(base *ownership.Map, now time.Time) {
	r := c.rights
	group, _ := c.table.GroupOfMember(c.self())
	ids := group.IDs()
	r.attester.SetTable(c.table.Epoch(), c.joined)
	r.authority.SetTable(c.table.Epoch(), ids)
	r.handover.ApplyTableChange(base, c.control.Membership(), now)
	c.keys.TableChanged(now, c.table, base.Epoch() == 0 && !c.bridged)
	r.watch.SetGroup(ids, now)
	if !r.attester.HasConsented() {
		r.consentedAt = time.Time{}
	}
}

// heardMember counts a message by which a member shows its epoch. Messages are made
// by the control goroutine, which gives up what is not its own in the turn in which
// it applies an epoch; a command that is still under way then can't extend a lease
// past what its reading of the worker's uptime allows. So the message is a release,
// which counts from now: sent is when the message was made at the earliest, and the
// member may have renewed leases until it was made.
func (c *core) heardMember(id string, epoch int64, sent time.Time) {
	c.rights.watch.RecordMessage(id, sent)
	c.rights.handover.RecordRelease(id, epoch, time.Now())
}

// goneMember reports whether a member certainly runs no more: by the platform's
// list, beyond its lag, or by the operator's word.
func (c *core) goneMember(id string, now time.Time) bool {
	declared, ok := c.control.Leaving(id)
	return c.rights.goneList.IsGone(id, now) || (ok && declared.ConfirmedStopped)
}

// readLately reports whether the log itself answered within the bound: only then
// is a change worth the consent that it costs.
func (c *core) readLately(now time.Time) bool {
	return now.Sub(c.controlRead) < c.e.timing.Authority/2
}

// guardMembership proposes the changes that this member sees a need for: the
// removal of silent members of its group, that of a group which is gone altogether, or
// a new epoch for members whose consent led to none.
func (c *core) guardMembership(now time.Time) {
	r := c.rights
	if !c.joined || c.draining || r.proposing || !c.readLately(now) {
		return
	}
	var change authority.MembershipChange
	silent := r.watch.SilentMembers(now)
	gone := c.goneGroups(now)
	stuck := !r.consentedAt.IsZero() && now.Sub(r.consentedAt) > consentLimit
	switch {
	case len(silent) > 0 && r.watch.ShouldPropose(now):
		change.Remove = silent
	case len(gone) > 0 && r.watch.ShouldPropose(now):
		change.Remove = gone
	case stuck && (r.watch.ShouldPropose(now) || now.Sub(r.consentedAt) > 2*consentLimit):
	default:
		return
	}
	r.proposing = true
	c.e.spawn(func() {
		ctx, cancel := context.WithTimeout(c.e.ctx, proposeTimeout)
		defer cancel()
		if err := c.e.propose(ctx, change); err != nil {
			c.e.logger.Info("membership change failed", "remove", change.Remove, "error", err.Error())
		}
		c.e.post(func() { r.proposing = false })
	})
}

// goneGroups returns the members of the groups that are certainly gone altogether, if
// this member's group is the first that is not: none of theirs is left to propose their
// removal.
func (c *core) goneGroups(now time.Time) []string {
	var gone []string
	first := ""
	for _, g := range c.table.Groups() {
		ids := g.IDs()
		if !slices.ContainsFunc(ids, func(id string) bool { return !c.goneMember(id, now) }) {
			gone = append(gone, ids...)
			continue
		}
		if first == "" {
			first = g.Name
		}
	}
	if own, _ := c.table.GroupOfMember(c.self()); own.Name != first {
		return nil
	}
	return gone
}

// propose gathers the consents for a change of the table and appends it.
func (e *Entry) propose(ctx context.Context, change authority.MembershipChange) error {
	change.ID = uuid.NewString()
	var p *authority.Proposal
	var members map[string]structs.Member
	err := errEnding()
	e.do(func() { p, members, err = e.core.newProposal(change) })
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
		if c.goneMember(m.ID, now) || c.replaced(m) {
			p.CountAsGone(m.ID)
		}
	}
	return p, members, nil
}

// replaced reports whether a member's process has certainly ended because this one
// listens at its address.
func (c *core) replaced(m structs.Member) bool {
	return m.ID != c.self() && m.PeerAddr == c.e.member.PeerAddr
}

func (e *Entry) gatherConsents(ctx context.Context, p *authority.Proposal, members map[string]structs.Member) {
	body, err := json.Marshal(p.Change())
	if err != nil {
		return
	}
	req := &peerv1.ConsentRequest{Member: e.member.ID, Epoch: p.Base(), ChangeId: p.ID(), Change: body}
	ask := p.MembersToAsk()
	granted := make(chan string, len(ask))
	for _, id := range ask {
		go func() {
			if e.askConsent(ctx, members[id], req) {
				granted <- id
				return
			}
			granted <- ""
		}()
	}
	for range ask {
		if id := <-granted; id != "" {
			p.RecordConsent(id)
		}
	}
}

func (e *Entry) askConsent(ctx context.Context, m structs.Member, req *peerv1.ConsentRequest) bool {
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
	if !s.e.do(func() { err = s.e.core.consent(change, r.Member) }) {
		return nil, errEnding()
	}
	return &peerv1.ConsentResponse{Granted: err == nil, Error: fromError(err)}, nil
}

// consent agrees to a change unless a member that it removes was heard lately.
func (c *core) consent(change authority.MembershipChange, proposer string) error {
	now := time.Now()
	if !c.readLately(now) {
		return structs.NewError(structs.CodeNoAuthority, "the log was not read lately")
	}
	unexcused := change
	unexcused.Remove = slices.DeleteFunc(slices.Clone(change.Remove), func(id string) bool { return c.goneMember(id, now) })
	if err := c.rights.watch.CheckRemovals(unexcused, proposer, now); err != nil {
		return err
	}
	if err := c.rights.attester.Consent(change.Base); err != nil {
		return err
	}
	c.rights.consentedAt = now
	return nil
}

// join proposes this member, once the end of the control stream was seen, until
// the fold shows it in the table. Members that are certainly gone are removed by
// the same change, so that a cell whose members were all replaced comes back.
func (e *Entry) join() {
	for e.ctx.Err() == nil {
		var change authority.MembershipChange
		var ready, joined bool
		if !e.do(func() { change, ready, joined = e.core.joinChange() }) || joined {
			return
		}
		if ready {
			ctx, cancel := context.WithTimeout(e.ctx, proposeTimeout)
			if err := e.propose(ctx, change); err != nil {
				e.logger.Info("join failed", "error", err.Error())
			}
			cancel()
		}
		pause(e.ctx, joinRetry)
	}
}

func (c *core) joinChange() (change authority.MembershipChange, ready, joined bool) {
	now := time.Now()
	change.Join = []structs.Member{c.e.member}
	for _, m := range c.control.Members() {
		if c.goneMember(m.ID, now) || c.replaced(m) {
			change.Remove = append(change.Remove, m.ID)
		}
	}
	return change, c.caughtUp && c.readLately(now), c.joined
}

// leaveTable proposes this member's removal until the table shows it, and then
// tells the others that it holds nothing any more.
func (e *Entry) leaveTable(ctx context.Context) {
	for ctx.Err() == nil {
		var joined bool
		var members []structs.Member
		if !e.do(func() { joined, members = e.core.joined, e.core.control.Members() }) {
			return
		}
		if !joined {
			e.handKeysOver(ctx)
			e.sendRelease(ctx, members)
			return
		}
		_ = e.propose(ctx, authority.MembershipChange{Remove: []string{e.member.ID}})
		pause(ctx, joinRetry)
	}
}

// handKeysOver stays until the others know the keys that this member held.
func (e *Entry) handKeysOver(ctx context.Context) {
	for ctx.Err() == nil {
		drained := true
		e.do(func() {
			e.core.transferKeys(time.Now())
			drained = e.core.keys.Drained()
		})
		if drained {
			return
		}
		pause(ctx, permitRetry)
	}
}

// releaseTimeout bounds the word to one member that this one holds nothing more.
const releaseTimeout = time.Second

func (e *Entry) sendRelease(ctx context.Context, members []structs.Member) {
	req := &peerv1.ReleaseRequest{Member: e.member.ID}
	e.do(func() { req.Epoch = e.core.table.Epoch() })
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
	s.e.do(func() { s.e.core.rights.handover.RecordRelease(r.Member, r.Epoch, time.Now()) })
	return &peerv1.ReleaseResponse{}, nil
}
