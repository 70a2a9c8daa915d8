package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/instancelist"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// Intervals of reading the instance list.
const (
	listReadWait   = 5 * time.Second
	listRetryDelay = 500 * time.Millisecond
)

// followList reads the platform's list of instances until the entry ends.
func (e *Entry) followList() {
	var afterVersion int64
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(e.ctx)
		wait := listReadWait
		e.runOnControl(func() {
			e.core.interruptListRead = cancel
			if e.core.fullListNeeded {
				e.core.fullListNeeded = false
				afterVersion = 0
			}
			if !e.core.listIsCurrent() {
				wait = 0
			}
		})
		start := time.Now()
		list, err := e.list.Read(ctx, afterVersion, wait)
		interrupted := ctx.Err() != nil
		cancel()
		if interrupted {
			continue
		}
		if err != nil {
			sleep(e.ctx, listRetryDelay)
			continue
		}
		changed := list.Version != afterVersion
		afterVersion = list.Version
		e.runOnControl(func() {
			e.core.listReadAt = start
			if changed {
				e.core.applyList(list)
			}
		})
	}
}

// knowsInstance reports whether an instance is a member or in the platform's list. It
// returns true while the list has not been read.
func (c *core) knowsInstance(id string) bool {
	if _, ok := c.table.Table().Member(id); ok || c.listReadAt.IsZero() {
		return true
	}
	_, entry := c.entryStates[id]
	return entry || c.instances.has(id)
}

// listIsCurrent reports whether the list was read since the table changed. Only then
// does this entry know all workers that the table assigns to it.
func (c *core) listIsCurrent() bool { return c.listReadAt.After(c.tableAppliedAt) }

// applyList applies a newer version of the platform's list.
func (c *core) applyList(list instancelist.List) {
	now := time.Now()
	for _, w := range list.Instances {
		c.instances.put(w, c.mayOwnRegion(w.Region))
		c.fleet.UpdateWorker(w)
		c.applyLeaving(w.ID)
	}
	for _, entry := range list.Entries {
		c.entryStates[entry.ID] = entry.State
	}
	var terminated []string
	for id, state := range c.entryStates {
		if state == structs.WorkerRemoved {
			terminated = append(terminated, id)
		}
	}
	c.membership.terminatedMembers.Observe(terminated, time.Duration(list.LagMs)*time.Millisecond, now)
	c.assignWorkers(now)
}

// mayOwnRegion reports whether this entry may own workers of a region: its own region,
// or a region without members.
func (c *core) mayOwnRegion(region string) bool {
	return region == c.e.member.Region || (c.joined && !c.table.HasRegion(region))
}

// updateOwnableRegions drops the full records of workers in regions that have members
// again, and requests the full list if records of a region that this entry may own now
// are missing.
func (c *core) updateOwnableRegions() {
	c.instances.dropDetails(func(region string) bool { return !c.mayOwnRegion(region) })
	if c.instances.lacksDetails(c.mayOwnRegion) {
		c.fullListNeeded = true
	}
}

// isTerminated reports whether an instance has certainly ended, according to the
// platform's list or an operator's declaration.
func (c *core) isTerminated(w structs.Worker) bool {
	declared, ok := c.control.Leaving(w.ID)
	return w.State == structs.WorkerRemoved || (ok && declared.ConfirmedStopped)
}

// applyLeaving updates a worker's placement flags and state from the list and the
// operators' declarations.
func (c *core) applyLeaving(id string) {
	w := c.fleet.Worker(id)
	if w == nil {
		return
	}
	_, declared := c.control.Leaving(id)
	c.fleet.Nodes().SetFlag(id, scheduler.FlagLeaving, declared || w.Info.State != structs.WorkerLive)
	if c.isTerminated(w.Info) {
		c.fleet.WorkerTerminated(id, time.Now())
	}
}

// assignWorkers gains and drops workers according to the table and the list.
func (c *core) assignWorkers(now time.Time) {
	if !c.joined {
		return
	}
	for _, w := range c.fleet.Workers() {
		if !c.ownsWorker(w.Info) {
			c.loseWorker(w.Info.ID)
		}
	}
	for id, w := range c.instances.ownable {
		if c.fleet.Worker(id) == nil && c.ownsWorker(w) {
			c.gainWorker(w, now)
		}
	}
}

func (c *core) ownsWorker(w structs.Worker) bool {
	owner, ok := c.table.OwnerOfWorker(w)
	return ok && owner.ID == c.self()
}

func (c *core) gainWorker(w structs.Worker, now time.Time) {
	c.fleet.AddWorker(w, c.table.Epoch(), now)
	c.fleet.Nodes().SetFlag(w.ID, scheduler.FlagFormerOwner, !c.e.settings.WorkerFencing)
	c.applyLeaving(w.ID)
	if c.isTerminated(w) {
		return
	}
	c.startAgent(w)
}

func (c *core) startAgent(w structs.Worker) {
	ctx, cancel := context.WithCancel(c.e.ctx)
	a := newAgent(c.e, w, c.fleet.Worker(w.ID).Epoch, cancel)
	c.agents[w.ID] = a
	c.e.spawn(func() { a.run(ctx) })
}

func (c *core) loseWorker(id string) {
	c.stopAgent(id)
	c.fleet.RemoveWorker(id)
	c.e.requests.slots.picker.Remove(id)
	c.syncEndpoints()
	c.e.events.Record(event.Event{Type: event.WorkerLost, Member: c.self(), Worker: id})
}

func (c *core) stopAgent(id string) {
	if a := c.agents[id]; a != nil {
		a.cancel()
		delete(c.agents, id)
	}
}

// expireLeases ends reservations and leases that have expired. The workers that were
// silent until all their leases had expired are gained again under the present epoch.
func (c *core) expireLeases(now time.Time) {
	for _, id := range c.fleet.Tick(now, c.membership.authority.ConfirmedAt(now), c.formerLeasesExpired) {
		c.e.logger.Warn("worker was silent until all its leases had expired", "worker", id)
		c.fleet.RenewOwnership(id, c.table.Epoch())
		if a := c.agents[id]; a != nil {
			a.refence(c.table.Epoch())
		}
	}
}

// clearFormerOwnerFlags allows new work on a gained worker once its former owners can no
// longer start work on it and an inventory read after that has shown what they had
// started. This is not needed where workers themselves refuse a former owner.
func (c *core) clearFormerOwnerFlags(now time.Time) {
	if c.e.settings.WorkerFencing {
		return
	}
	changed := false
	for _, w := range c.fleet.Workers() {
		id := w.Info.ID
		if !c.fleet.Nodes().Node(id).HasFlags(scheduler.FlagFormerOwner) {
			continue
		}
		expiry := c.membership.handover.PlacementRightExpiry(ownerOf(w.Info))
		if expiry.Expired(now) && w.LastInventory.After(expiry.At) {
			c.fleet.Nodes().SetFlag(id, scheduler.FlagFormerOwner, false)
			changed = true
		}
	}
	if changed {
		c.syncEndpoints()
	}
}

// ownerOf returns a function that returns the ID of a worker's owner under a table.
func ownerOf(w structs.Worker) func(*ownership.Map) string {
	return func(m *ownership.Map) string {
		owner, _ := m.OwnerOfWorker(w)
		return owner.ID
	}
}

// formerLeasesExpired reports whether the leases that former owners of a worker may have
// renewed had certainly expired at the given time.
func (c *core) formerLeasesExpired(w structs.Worker, at time.Time) bool {
	return c.membership.handover.TaskLeasesExpiry(ownerOf(w)).Expired(at)
}

// ownsWorkerAt reports whether a worker is still owned under the epoch that its agent
// uses, so that late results of an outdated agent can be ignored.
func (c *core) ownsWorkerAt(id string, epoch int64) bool {
	w := c.fleet.Worker(id)
	return w != nil && w.Epoch == epoch
}

// handleFenceMismatch is called when a worker's fence differs from the epoch under which
// this entry gained the worker. If the worker is still owned, it is gained again, under
// the present epoch if that is newer. newer is set if the fence is higher than the
// agent's epoch: then it belongs to an owner whose table this entry may not have read
// yet. The returned epoch is the one to which the fence is to be raised; ok is false if
// the worker is no longer owned under epoch.
func (c *core) handleFenceMismatch(id string, epoch int64, newer bool) (newEpoch int64, ok bool) {
	if !c.ownsWorkerAt(id, epoch) {
		return 0, false
	}
	if c.table.Epoch() > epoch {
		c.fleet.RenewOwnership(id, c.table.Epoch())
		return c.table.Epoch(), true
	}
	c.fleet.RenewOwnership(id, epoch)
	if newer {
		c.fleet.EpochRefused(id)
	}
	return epoch, true
}

// startTasks passes runs to the agents of their workers. done is called on the control
// goroutine for each run, with CodeUnknown if the worker did not answer.
func (c *core) startTasks(list []*fleet.Alloc, done func(fleet.RunKey, error)) {
	for _, a := range list {
		c.e.events.Record(event.Event{
			Type:    event.TaskPlaced,
			Task:    a.Task,
			Attempt: a.Attempt,
			Worker:  a.Worker,
			Class:   a.Class,
		})
		agent := c.agents[a.Worker]
		if agent == nil {
			c.startDone(a.Key(), structs.NewError(structs.CodeUnavailable, "worker %s has terminated or is no longer owned by this entry", a.Worker), done)
			continue
		}
		agent.start(a, func(k fleet.RunKey, err error) { c.startDone(k, err, done) })
	}
}

// startDone applies the outcome of a start. A start that the worker did not answer still
// occupies its resources, and the agent repeats it.
func (c *core) startDone(k fleet.RunKey, err error, done func(fleet.RunKey, error)) {
	if structs.CodeOf(err) != structs.CodeUnknown {
		c.fleet.StartDone(k, err, time.Now())
	}
	if done != nil {
		done(k, err)
	}
}
