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

// followControl reads and applies the control stream until the entry ends.
func (e *Entry) followControl() {
	follower := journal.NewFollower(controlSource{e: e}, state.ControlStream, e.timing.Heartbeat, e.deliverControlPage, e.logger)
	follower.Run(e.ctx, 1)
}

// deliverControlPage applies a page of the control stream on the control goroutine and
// returns the next offset to read.
func (e *Entry) deliverControlPage(p journal.Page) int64 {
	next := int64(1)
	e.runOnControl(func() { next = e.core.applyControlPage(p) })
	return next
}

func (c *core) applyControlPage(p journal.Page) int64 {
	if p.First > c.control.NextOffset() {
		c.startSnapshotSearch(p.First)
	}
	if c.snapshotSearch != nil {
		return c.restoreControl(p)
	}
	c.recentControl.add(p.Records)
	for _, r := range p.Records {
		for _, result := range c.control.Apply(r.Offset, r.Data) {
			c.applyControlResult(result)
		}
	}
	if p.AtTail {
		c.controlTailReadAt = p.AsOf
		c.caughtUp = true
		c.observeTail(p)
		c.clearAlarm(structs.CodeBehind)
	}
	return c.control.NextOffset()
}

// startSnapshotSearch starts looking for a snapshot in the stream, because the log has
// removed records before firstOffset that this process had not read.
func (c *core) startSnapshotSearch(firstOffset int64) {
	if c.snapshotSearch == nil || c.snapshotSearch.FirstOffset < firstOffset {
		c.snapshotSearch = state.NewSnapshotRecovery(firstOffset)
		c.logGapSeen = true
	}
}

func (c *core) restoreControl(p journal.Page) int64 {
	for _, r := range p.Records {
		table := c.snapshotSearch.AddControlRecord(r.Data)
		if table == nil {
			continue
		}
		c.snapshotSearch = nil
		c.control = table
		c.keys.TablesSkipped()
		c.membership.handover = authority.NewHandover(c.e.authorityConfig(), c.self(), table.Membership(), time.Now())
		c.applyTable()
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

// applyControlResult acts on one change of the control stream that has been applied to
// the control table.
func (c *core) applyControlResult(r state.Result) {
	defer c.notifyWaiters(r)
	if !r.Accepted {
		return
	}
	switch r.Change.Type {
	case state.ControlSnapshotPart:
		c.lastSnapshotAt = time.Now()
	case state.Membership:
		c.applyMembershipChange(r)
	case state.ClassSet, state.QuotaSet:
		c.recordConfigChange(r)
	case state.QuotaMove:
		c.nextSchedule = time.Time{}
	case state.LeavingAdd, state.LeavingRemove:
		c.recordConfigChange(r)
		c.applyLeavingChange(r)
	}
}

func (c *core) applyMembershipChange(r state.Result) {
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
	c.applyTable()
}

func (c *core) recordConfigChange(r state.Result) {
	c.e.events.Record(event.Event{
		Type:    event.ConfigInForce,
		Member:  c.self(),
		Version: r.Offset,
		Detail:  string(r.Change.Type),
	})
}

func (c *core) applyLeavingChange(r state.Result) {
	instance := r.Change.Leaving.Instance
	c.applyLeaving(instance)
	if r.Change.Type == state.LeavingAdd && r.Change.Leaving.ConfirmedStopped {
		c.membership.handover.ConfirmStopped(instance, time.Now())
	}
	if r.Change.Type == state.LeavingAdd {
		c.e.events.Record(event.Event{Type: event.LeavingInForce, Member: c.self(), Worker: instance, Version: r.Offset})
	}
}

// applyTable recomputes all ownership after a change of the membership table.
func (c *core) applyTable() {
	now := time.Now()
	before := c.table
	c.table = ownership.NewMap(ownership.Table{Epoch: c.control.Epoch(), Members: c.control.Members()})
	c.tableAppliedAt = now
	wasJoined := c.joined
	c.joined = c.control.HasMember(c.self())
	c.propagateTableChange(before, now)
	if wasJoined && !c.joined {
		c.handleRemoval()
		return
	}
	c.e.pool.RetainOnly(c.control.Members())
	c.syncPeers()
	if !c.joined {
		return
	}
	c.updateLinkShare()
	c.updateOwnableRegions()
	c.assignWorkers(now)
	c.assignStreams()
	c.chooseAppenders(now)
	c.assignJobs()
	c.fleet.ResetReports(now)
	if memberRemoved(before, c.table) {
		c.jobs.RequestInventories()
	}
	c.inventoryRound = nil
	c.sendHeartbeats(true)
	c.transferKeys(now)
	c.interruptListRead()
}

// memberRemoved reports whether some member of the table before is missing from the
// table after.
func memberRemoved(before, after *ownership.Map) bool {
	for _, m := range before.Table().Members {
		if !after.Table().HasMember(m.ID) {
			return true
		}
	}
	return false
}

// handleRemoval drops all ownership after this member was removed from the table. Unless
// the member is leaving by itself, it also ends the process, since a removed member
// can't join again under its ID.
func (c *core) handleRemoval() {
	c.dropWorkersAndJobs()
	if c.draining {
		return
	}
	c.draining = true
	c.e.logger.Error("removed from the membership table", "epoch", c.control.Epoch())
	c.e.removedOnce.Do(func() { close(c.e.removed) })
}

// dropWorkersAndJobs drops the ownership of every worker and job.
func (c *core) dropWorkersAndJobs() {
	for _, w := range c.fleet.Workers() {
		c.loseWorker(w.Info.ID)
	}
	for _, id := range c.jobs.JobIDs() {
		c.jobs.RemoveJob(id)
	}
}

func (c *core) syncPeers() {
	for id := range c.peers {
		if !c.control.HasMember(id) {
			delete(c.peers, id)
			delete(c.lastInventorySeq, id)
			c.fleet.Sizer().ForgetMember(id)
		}
	}
	now := time.Now()
	for _, m := range c.control.Members() {
		if m.ID != c.self() && c.peers[m.ID] == nil {
			c.peers[m.ID] = &peerState{firstSeenAt: now, lastHeardAt: now}
		}
	}
}

// joinRetryDelay is the delay between two attempts to join or to leave.
const joinRetryDelay = 100 * time.Millisecond

// submitter queues changes to be appended to a stream of the log.
type submitter interface {
	Submit(context.Context, state.Change) error
}

// commitControl appends a change to the control stream, waits until it was read back and
// applied, and returns the result. After an error with any code but CodeUnknown, the
// change certainly has no effect.
func (e *Entry) commitControl(ctx context.Context, ch state.Change) (state.Result, error) {
	return e.commit(ctx, e.controlLog, ch)
}

func (e *Entry) commit(ctx context.Context, stream submitter, ch state.Change) (state.Result, error) {
	var resultCh chan state.Result
	if !e.runOnControl(func() { resultCh = e.core.addWaiter(ch.ID) }) {
		return state.Result{}, errShuttingDown()
	}
	defer e.postToControl(func() { e.core.removeWaiter(ch.ID, resultCh) })
	if err := stream.Submit(ctx, ch); err != nil {
		return state.Result{}, err
	}
	select {
	case r := <-resultCh:
		return r, nil
	case <-ctx.Done():
		return state.Result{}, structs.NewError(structs.CodeUnknown, "change %s: not read back in time; it may still take effect", ch.ID)
	case <-e.ctx.Done():
		return state.Result{}, structs.NewError(structs.CodeUnknown, "change %s: the entry is shutting down; it may still take effect", ch.ID)
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Ready returns nil if the entry may serve callers, and otherwise an error with
// CodeBehind: it has not joined the table, has not read the control stream to its end,
// or is draining.
func (e *Entry) Ready() error {
	var ok bool
	e.runOnControl(func() { ok = e.core.joined && e.core.caughtUp && !e.core.draining })
	if !ok {
		return structs.NewError(structs.CodeBehind, "the entry has not joined the membership table, has not read the log to its end, or is draining")
	}
	return nil
}
