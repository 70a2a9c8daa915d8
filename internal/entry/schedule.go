package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// Bounds of placing.
const (
	// maxPlaceBatch is the number of tasks that one round hands out.
	maxPlaceBatch = 2048
	placeTimeout  = 3 * time.Second
	// placeInterval is the least time between two rounds.
	placeInterval = 5 * time.Millisecond
	// maxMembersAsked is the number of members asked in turn for one placement.
	maxMembersAsked = 3
)

// schedule hands waiting tasks out to the owners of workers.
func (c *core) schedule(now time.Time) {
	if !c.joined || now.Before(c.nextSchedule) {
		return
	}
	c.nextSchedule = now.Add(placeInterval)
	c.jobs.SetWorkerCount(c.instances.len())
	if !c.mayGrant(now) {
		return
	}
	for _, order := range c.jobs.NextPlacements(now, maxPlaceBatch) {
		if order.Job.Kind == structs.KindGang {
			c.e.spawn(func() { c.e.placeGang(order) })
			continue
		}
		c.e.spawn(func() { c.e.placeOrder(order) })
	}
}

// scheduleSoon schedules at once if something has become placeable.
func (c *core) scheduleSoon(now time.Time) {
	if c.nextSchedule.IsZero() {
		c.schedule(now)
	}
}

// placement is what an order came to.
type placement struct {
	placed  []orchestrator.TaskRun
	inDoubt []orchestrator.TaskRun
	err     error
}

func (p *placement) add(o placement) {
	p.placed = append(p.placed, o.placed...)
	p.inDoubt = append(p.inDoubt, o.inDoubt...)
	if o.err != nil {
		p.err = o.err
	}
}

// placeOrder asks members in turn until every task has a worker or nobody else is
// worth asking.
func (e *Entry) placeOrder(order orchestrator.PlacementRequest) {
	rest := order.Tasks
	var total placement
	asked := map[string]bool{}
	for try := 0; try < maxMembersAsked && len(rest) > 0; try++ {
		var member structs.Member
		var ok bool
		if !e.runOnControl(func() { member, ok = e.core.choosePlacingMember(order, asked) }) || !ok {
			break
		}
		asked[member.ID] = true
		got := e.requestPlacement(member, order, rest, placeMode{})
		total.add(got)
		rest = unplacedTasks(rest, got)
	}
	if len(rest) > 0 && order.MayEvict() {
		rest = e.placeByEviction(order, rest, &total)
	}
	if len(rest) > 0 && total.err == nil {
		total.err = structs.NewError(structs.CodeNoCapacity, "no member has room")
	}
	e.postToControl(func() {
		e.core.jobs.PlacementDone(order, total.placed, total.inDoubt, total.err, time.Now())
		e.core.nextSchedule = time.Time{}
	})
}

// unplacedTasks returns the tasks that a placement did not take.
func unplacedTasks(tasks []orchestrator.TaskRun, p placement) []orchestrator.TaskRun {
	handled := map[int]bool{}
	for _, r := range p.placed {
		handled[r.Index] = true
	}
	for _, r := range p.inDoubt {
		handled[r.Index] = true
	}
	var rest []orchestrator.TaskRun
	for _, r := range tasks {
		if !handled[r.Index] {
			rest = append(rest, r)
		}
	}
	return rest
}

// placeMode says how a member is to find room.
type placeMode struct {
	// reserve holds room for that long instead of starting; zero starts.
	reserve time.Duration
	// evict lets the member stop less urgent tasks.
	evict bool
}

// requestPlacement asks one member to start tasks, or to reserve room for them.
func (e *Entry) requestPlacement(m structs.Member, order orchestrator.PlacementRequest, tasks []orchestrator.TaskRun, mode placeMode) placement {
	req := &peerv1.PlaceRequest{
		Member:       e.member.ID,
		Job:          order.Job.ID,
		Class:        order.Job.Class,
		Team:         order.Job.Team,
		Kind:         string(order.Job.Kind),
		Size:         fromResources(order.Job.Size),
		RunMs:        order.Job.RunTime.D().Milliseconds(),
		Payload:      order.Job.Payload,
		Reserve:      mode.reserve > 0,
		ReserveMs:    mode.reserve.Milliseconds(),
		Evict:        mode.evict,
		SlackMs:      order.Slack.Milliseconds(),
		AvoidWorkers: order.AvoidWorkers,
		Probes:       order.ProbeWorkers,

		LeastMemoryMib: order.MinMemoryMiB,
		LatestStartMs:  order.LatestStart.UnixMilli(),
		RunningSlackMs: order.RunningSlack.Milliseconds(),
	}
	for _, r := range tasks {
		req.Tasks = append(req.Tasks, &peerv1.Task{
			Task:    string(structs.NewTaskID(order.Job.ID, r.Index)),
			Attempt: int64(r.Attempt),

			Checkpoint: r.Checkpoint,
			Evictions:  int32(r.Evictions),
		})
	}
	e.runOnControl(func() {
		req.Epoch = e.core.table.Epoch()
		req.Seq = e.core.nextCallSeq()
	})
	ctx, cancel := context.WithTimeout(e.ctx, placeTimeout)
	defer cancel()
	resp, err := e.peerClientFor(m).Place(ctx, req)
	if err != nil {
		return e.failedPlacement(m, tasks, err)
	}
	return placement{
		placed:  refsFromPlacements(resp.Placed),
		inDoubt: refsFromPlacements(resp.Doubt),
		err:     toError(resp.Error),
	}
}

// failedPlacement types a failed call: without an answer every task is in doubt,
// unless the call certainly never went out.
func (e *Entry) failedPlacement(m structs.Member, tasks []orchestrator.TaskRun, err error) placement {
	typed := callError(err)
	if structs.CodeOf(typed) != structs.CodeUnknown {
		return placement{err: typed}
	}
	e.pool.Reset(m)
	return placement{inDoubt: tasks, err: typed}
}

// refsFromPlacements turns placements of one job into references.
func refsFromPlacements(list []*peerv1.Placement) []orchestrator.TaskRun {
	var out []orchestrator.TaskRun
	for _, p := range list {
		_, index, err := structs.TaskID(p.Task).Split()
		if err != nil {
			continue
		}
		out = append(out, orchestrator.TaskRun{Index: index, Attempt: int(p.Attempt), Worker: p.Worker})
	}
	return out
}

func (c *core) nextCallSeq() int64 {
	c.callSeq++
	return c.callSeq
}

// choosePlacingMember picks the member to ask: of two random members of the region with
// room, the one with more free; members of other regions only if none here has
// room.
func (c *core) choosePlacingMember(order orchestrator.PlacementRequest, asked map[string]bool) (structs.Member, bool) {
	size := c.estimatedGrant(order)
	return c.chooseMember(asked, func(m structs.Member) bool { return c.mayFit(m, size) })
}

// chooseMember picks one of the members that were not asked yet and are worth it.
func (c *core) chooseMember(asked map[string]bool, eligible func(structs.Member) bool) (structs.Member, bool) {
	var sameRegion, otherRegions []structs.Member
	for _, m := range c.control.Members() {
		if asked[m.ID] || !eligible(m) {
			continue
		}
		if m.Region == c.e.member.Region {
			sameRegion = append(sameRegion, m)
		} else {
			otherRegions = append(otherRegions, m)
		}
	}
	if m, ok := c.freerOfTwoRandom(sameRegion); ok {
		return m, true
	}
	return c.freerOfTwoRandom(otherRegions)
}

// mayFit reports whether some worker of a member may hold a task, by its last
// digest.
func (c *core) mayFit(m structs.Member, size structs.Resources) bool {
	if m.ID == c.self() {
		return size.Fits(c.fleet.Nodes().Digest().Largest)
	}
	p := c.peers[m.ID]
	if p == nil || p.digest == nil || p.draining {
		return false
	}
	return size.Fits(toResources(p.digest.Largest))
}

func (c *core) freerOfTwoRandom(members []structs.Member) (structs.Member, bool) {
	if len(members) == 0 {
		return structs.Member{}, false
	}
	a := members[rand.IntN(len(members))]
	b := members[rand.IntN(len(members))]
	if c.freeCPUFraction(b) > c.freeCPUFraction(a) {
		return b, true
	}
	return a, true
}

// freeCPUFraction is the part of a member's processors that is free, from 0 to 1.
func (c *core) freeCPUFraction(m structs.Member) float64 {
	var free, total structs.Resources
	if m.ID == c.self() {
		d := c.fleet.Nodes().Digest()
		free, total = d.Free, d.Total
	} else if p := c.peers[m.ID]; p != nil && p.digest != nil {
		free, total = toResources(p.digest.Free), toResources(p.digest.Total)
	}
	if total.CPUMilli == 0 {
		return 0
	}
	return float64(free.CPUMilli) / float64(total.CPUMilli)
}

// schedulerRequest turns a placement call into a wish of the scheduler.
func schedulerRequest(r *peerv1.PlaceRequest) scheduler.PlacementRequest {
	ask := scheduler.PlacementRequest{
		Job:          r.Job,
		Class:        r.Class,
		Team:         r.Team,
		Kind:         structs.Kind(r.Kind),
		Size:         toResources(r.Size),
		AvoidWorkers: r.AvoidWorkers,
		ProbeWorkers: r.Probes,
	}
	for _, t := range r.Tasks {
		ask.Tasks = append(ask.Tasks, scheduler.TaskRef{Task: structs.TaskID(t.Task), Attempt: int(t.Attempt)})
	}
	return ask
}
