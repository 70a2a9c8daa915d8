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

// Periods of reading the instance list.
const (
	listWait  = 5 * time.Second
	listRetry = 500 * time.Millisecond
)

// followList reads the platform's list of instances.
func (e *Entry) followList() {
	var after int64
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(e.ctx)
		wait := listWait
		e.do(func() {
			e.core.rereadList = cancel
			if e.core.listWhole {
				e.core.listWhole = false
				after = 0
			}
			if !e.core.listCurrent() {
				wait = 0
			}
		})
		start := time.Now()
		list, err := e.list.Read(ctx, after, wait)
		cut := ctx.Err() != nil
		cancel()
		if cut {
			continue
		}
		if err != nil {
			pause(e.ctx, listRetry)
			continue
		}
		changed := list.Version != after
		after = list.Version
		e.do(func() {
			e.core.listRead = start
			if changed {
				e.core.takeList(list)
			}
		})
	}
}

// knowsInstance reports whether an instance is a member or in the platform's list. It
// is true as long as the list was not read.
func (c *core) knowsInstance(id string) bool {
	if _, ok := c.table.Table().Member(id); ok || c.listRead.IsZero() {
		return true
	}
	_, entry := c.entryStates[id]
	return entry || c.instances.has(id)
}

// listCurrent reports whether the list was read since the table changed: only then are
// all workers known that the table gives to this entry.
func (c *core) listCurrent() bool { return c.listRead.After(c.tableSince) }

// takeList takes a newer version of the platform's list.
func (c *core) takeList(list instancelist.List) {
	now := time.Now()
	for _, w := range list.Instances {
		c.instances.put(w, c.keepsRegion(w.Region))
		c.fleet.UpdateWorker(w)
		c.applyLeaving(w.ID)
	}
	for _, entry := range list.Entries {
		c.entryStates[entry.ID] = entry.State
	}
	var gone []string
	for id, state := range c.entryStates {
		if state == structs.WorkerRemoved {
			gone = append(gone, id)
		}
	}
	c.rights.goneList.Observe(gone, time.Duration(list.LagMs)*time.Millisecond, now)
	c.assignWorkers(now)
}

// keepsRegion reports whether this entry may own workers of a region: its own, and
// one without members.
func (c *core) keepsRegion(region string) bool {
	return region == c.e.member.Region || (c.joined && !c.table.HasRegion(region))
}

// sortRegions drops what is known of the workers of regions that have members again,
// and asks for the whole list if the workers of another region are to be kept.
func (c *core) sortRegions() {
	c.instances.drop(func(region string) bool { return !c.keepsRegion(region) })
	if c.instances.lacks(c.keepsRegion) {
		c.listWhole = true
	}
}

// gone reports whether an instance certainly runs nothing any more: by the
// platform's list, or by the operator's word.
func (c *core) gone(w structs.Worker) bool {
	declared, ok := c.control.Leaving(w.ID)
	return w.State == structs.WorkerRemoved || (ok && declared.ConfirmedStopped)
}

// applyLeaving brings an instance's declarations into the placement view.
func (c *core) applyLeaving(id string) {
	w := c.fleet.Worker(id)
	if w == nil {
		return
	}
	_, declared := c.control.Leaving(id)
	c.fleet.Nodes().SetFlag(id, scheduler.FlagLeaving, declared || w.Info.State != structs.WorkerLive)
	if c.gone(w.Info) {
		c.fleet.WorkerTerminated(id, time.Now())
	}
}

// assignWorkers gains and gives up workers as the table and the list say.
func (c *core) assignWorkers(now time.Time) {
	if !c.joined {
		return
	}
	for _, w := range c.fleet.Workers() {
		if !c.ownsWorker(w.Info) {
			c.loseWorker(w.Info.ID)
		}
	}
	for id, w := range c.instances.kept {
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
	if c.gone(w) {
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
	c.e.traffic.slots.picker.Remove(id)
	c.syncEndpoints()
	c.e.events.Record(event.Event{Type: event.WorkerLost, Member: c.self(), Worker: id})
}

func (c *core) stopAgent(id string) {
	if a := c.agents[id]; a != nil {
		a.cancel()
		delete(c.agents, id)
	}
}

// lapse ends what time has ended.
func (c *core) lapse(now time.Time) {
	for _, id := range c.fleet.Tick(now, c.rights.authority.ConfirmedAt(now), c.formerLapsed) {
		c.e.logger.Warn("worker silent past its leases", "worker", id)
		c.fleet.RenewOwnership(id, c.table.Epoch())
		if a := c.agents[id]; a != nil {
			a.regain(c.table.Epoch())
		}
	}
}

// awaitFormer lets work go to gained workers once their former owners can give them none
// and an inventory has shown what those gave. Workers that refuse a former owner
// themselves need no wait.
func (c *core) awaitFormer(now time.Time) {
	if c.e.settings.WorkerFencing {
		return
	}
	changed := false
	for _, w := range c.fleet.Workers() {
		id := w.Info.ID
		if !c.fleet.Nodes().Node(id).HasFlags(scheduler.FlagFormerOwner) {
			continue
		}
		lapse := c.rights.handover.PlacementRightExpiry(ownerOf(w.Info))
		if lapse.Expired(now) && w.LastInventory.After(lapse.At) {
			c.fleet.Nodes().SetFlag(id, scheduler.FlagFormerOwner, false)
			changed = true
		}
	}
	if changed {
		c.syncEndpoints()
	}
}

// ownerOf returns the function that names a worker's owner under a table.
func ownerOf(w structs.Worker) func(*ownership.Map) string {
	return func(m *ownership.Map) string {
		owner, _ := m.OwnerOfWorker(w)
		return owner.ID
	}
}

// formerLapsed reports whether the leases that former owners of a worker may have
// renewed had certainly ended at the given time.
func (c *core) formerLapsed(w structs.Worker, proven time.Time) bool {
	return c.rights.handover.TaskLeasesExpiry(ownerOf(w)).Expired(proven)
}

// holds reports whether a worker is still owned under the epoch that an agent
// works with, so that late news of an agent is dropped.
func (c *core) holds(id string, epoch int64) bool {
	w := c.fleet.Worker(id)
	return w != nil && w.Epoch == epoch
}

// staleFence is called when a worker's fence is not that of the epoch at which this
// entry gained it. If the worker is still owned by the present table it is gained anew
// under that epoch. A newer fence than the present table's is of an owner that this
// entry has not read of yet.
func (c *core) staleFence(id string, epoch int64, newer bool) (next int64, ok bool) {
	if !c.holds(id, epoch) {
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

// startTasks hands runs to the agents of their workers. done is called on the
// control goroutine for each run, with CodeUnknown if the worker gave no answer.
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
			c.startDone(a.Key(), structs.NewError(structs.CodeUnavailable, "worker %s is gone", a.Worker), done)
			continue
		}
		agent.start(a, func(k fleet.RunKey, err error) { c.startDone(k, err, done) })
	}
}

// startDone takes the outcome of a start. A start without an answer stays counted;
// the agent goes on asking.
func (c *core) startDone(k fleet.RunKey, err error, done func(fleet.RunKey, error)) {
	if structs.CodeOf(err) != structs.CodeUnknown {
		c.fleet.StartDone(k, err, time.Now())
	}
	if done != nil {
		done(k, err)
	}
}
