package entry

import (
	"context"
	"slices"
	"time"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// followControl reads the control stream.
func (e *Entry) followControl() {
	follower := journal.NewFollower(controlSource{e: e}, state.ControlStream, e.timing.Heartbeat, e.deliverControl, e.logger)
	follower.Run(e.ctx, 1)
}

// deliverControl folds a page of the control stream and returns the next offset.
func (e *Entry) deliverControl(p journal.Page) int64 {
	next := int64(1)
	e.do(func() { next = e.core.takeControl(p) })
	return next
}

func (c *core) takeControl(p journal.Page) int64 {
	if p.First > c.control.NextOffset() {
		c.startBridge(p.First)
	}
	if c.bridge != nil {
		return c.bridgeControl(p)
	}
	c.recent.keep(p.Records)
	for _, r := range p.Records {
		for _, result := range c.control.Apply(r.Offset, r.Data) {
			c.noteControl(result)
		}
	}
	if p.AtTail {
		c.controlRead = p.AsOf
		c.caughtUp = true
		c.observeTail(p)
		c.clearAlarm(structs.CodeBehind)
	}
	return c.control.NextOffset()
}

// startBridge begins the search for a snapshot, since records were removed before
// they were read.
func (c *core) startBridge(first int64) {
	if c.bridge == nil || c.bridge.FirstOffset < first {
		c.bridge = state.NewSnapshotRecovery(first)
		c.bridged = true
	}
}

func (c *core) bridgeControl(p journal.Page) int64 {
	for _, r := range p.Records {
		table := c.bridge.AddControlRecord(r.Data)
		if table == nil {
			continue
		}
		c.bridge = nil
		c.control = table
		c.keys.TablesSkipped()
		c.rights.handover = authority.NewHandover(c.e.authorityConfig(), c.self(), table.Membership(), time.Now())
		c.retable()
		return table.NextOffset()
	}
	if p.AtTail {
		c.alarm(structs.CodeBehind, "the log has removed control records that no snapshot covers")
	}
	return max(p.First, lastOffset(p)+1)
}

func lastOffset(p journal.Page) int64 {
	if len(p.Records) == 0 {
		return 0
	}
	return p.Records[len(p.Records)-1].Offset
}

// noteControl acts on one folded change.
func (c *core) noteControl(r state.Result) {
	defer c.resolve(r)
	if !r.Accepted {
		return
	}
	switch r.Change.Type {
	case state.ControlSnapshotPart:
		c.snapshotAt = time.Now()
	case state.Membership:
		c.noteMembers(r)
	case state.ClassSet, state.QuotaSet:
		c.noteConfig(r)
	case state.QuotaMove:
		c.nextSchedule = time.Time{}
	case state.LeavingAdd, state.LeavingRemove:
		c.noteConfig(r)
		c.noteLeaving(r)
	}
}

func (c *core) noteMembers(r state.Result) {
	change := r.Change.Members
	for _, m := range change.Join {
		c.e.events.Record(event.Event{Type: event.MemberJoined, Member: m.ID, Epoch: r.Offset})
	}
	for _, id := range change.Remove {
		e := event.Event{Type: event.MemberRemoved, Member: id, Epoch: r.Offset}
		switch {
		case slices.Contains(change.Consents, id):
			e.Type = event.MemberLeft
		case change.Forced:
			e.Detail = "forced"
		default:
			e.Detail = "by consent"
		}
		c.e.events.Record(e)
	}
	c.retable()
}

func (c *core) noteConfig(r state.Result) {
	c.e.events.Record(event.Event{
		Type:    event.ConfigInForce,
		Member:  c.self(),
		Version: r.Offset,
		Detail:  string(r.Change.Type),
	})
}

func (c *core) noteLeaving(r state.Result) {
	instance := r.Change.Leaving.Instance
	c.applyLeaving(instance)
	if r.Change.Type == state.LeavingAdd && r.Change.Leaving.ConfirmedStopped {
		c.rights.handover.ConfirmStopped(instance, time.Now())
	}
	if r.Change.Type == state.LeavingAdd {
		c.e.events.Record(event.Event{Type: event.LeavingInForce, Member: c.self(), Worker: instance, Version: r.Offset})
	}
}

// retable works out ownership anew after a change of the table.
func (c *core) retable() {
	now := time.Now()
	before := c.table
	c.table = ownership.NewMap(ownership.Table{Epoch: c.control.Epoch(), Members: c.control.Members()})
	c.tableSince = now
	wasIn := c.joined
	c.joined = c.control.HasMember(c.self())
	c.newTable(before, now)
	if wasIn && !c.joined {
		c.expelled()
		return
	}
	c.e.pool.RetainOnly(c.control.Members())
	c.forgetPeers()
	if !c.joined {
		return
	}
	c.shareLink()
	c.sortRegions()
	c.assignWorkers(now)
	c.assignStreams()
	c.chooseAppenders(now)
	c.assignJobs()
	c.fleet.ResetReports(now)
	if lost(before, c.table) {
		c.jobs.RequestInventories()
	}
	c.round = nil
	c.exchange(true)
	c.transferKeys(now)
	c.rereadList()
}

// lost reports whether a member of the table before is not in the one after.
func lost(before, after *ownership.Map) bool {
	for _, m := range before.Table().Members {
		if !after.Table().HasMember(m.ID) {
			return true
		}
	}
	return false
}

// expelled gives up everything and, unless the member left by itself, ends the
// process: a removed member is never taken back under its ID.
func (c *core) expelled() {
	c.dropAll()
	if c.draining {
		return
	}
	c.draining = true
	c.e.logger.Error("removed from the membership table", "epoch", c.control.Epoch())
	c.e.expelOnce.Do(func() { close(c.e.expelled) })
}

// dropAll gives up every worker and job after a leave or a removal.
func (c *core) dropAll() {
	for _, w := range c.fleet.Workers() {
		c.loseWorker(w.Info.ID)
	}
	for _, id := range c.jobs.JobIDs() {
		c.jobs.RemoveJob(id)
	}
}

func (c *core) forgetPeers() {
	for id := range c.peers {
		if !c.control.HasMember(id) {
			delete(c.peers, id)
			delete(c.barrier, id)
			c.fleet.Sizer().ForgetMember(id)
		}
	}
	now := time.Now()
	for _, m := range c.control.Members() {
		if m.ID != c.self() && c.peers[m.ID] == nil {
			c.peers[m.ID] = &peerState{first: now, heard: now}
		}
	}
}

// joinRetry is the pause between two tries to join or to leave.
const joinRetry = 100 * time.Millisecond

// submitter queues changes for a stream of the log.
type submitter interface {
	Submit(context.Context, state.Change) error
}

// commitControl appends a change to the control stream and waits for the fold's
// result. After an error of any type but CodeUnknown the change certainly has no
// effect.
func (e *Entry) commitControl(ctx context.Context, ch state.Change) (state.Result, error) {
	return e.commit(ctx, e.controlLog, ch)
}

func (e *Entry) commit(ctx context.Context, to submitter, ch state.Change) (state.Result, error) {
	var wait chan state.Result
	if !e.do(func() { wait = e.core.wait(ch.ID) }) {
		return state.Result{}, errEnding()
	}
	defer e.post(func() { e.core.unwait(ch.ID, wait) })
	if err := to.Submit(ctx, ch); err != nil {
		return state.Result{}, err
	}
	select {
	case r := <-wait:
		return r, nil
	case <-ctx.Done():
		return state.Result{}, structs.NewError(structs.CodeUnknown, "change %s: not read back in time; it may still take effect", ch.ID)
	case <-e.ctx.Done():
		return state.Result{}, structs.NewError(structs.CodeUnknown, "change %s: the entry is shutting down; it may still take effect", ch.ID)
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Ready tells whether the entry may serve callers.
func (e *Entry) Ready() error {
	var ok bool
	e.do(func() { ok = e.core.joined && e.core.caughtUp && !e.core.draining })
	if !ok {
		return structs.NewError(structs.CodeBehind, "the entry has not joined the membership table")
	}
	return nil
}
