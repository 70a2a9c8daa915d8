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
	// placeBatch is the number of tasks that one round hands out.
	placeBatch   = 2048
	placeTimeout = 3 * time.Second
	// placePause is the least time between two rounds.
	placePause = 5 * time.Millisecond
	// maxTries is the number of members asked in turn for one placement.
	maxTries = 3
)

// schedule hands waiting tasks out to the owners of workers.
func (c *core) schedule(now time.Time) {
	if !c.joined || now.Before(c.nextSchedule) {
		return
	}
	c.nextSchedule = now.Add(placePause)
	c.jobs.SetWorkerCount(c.instances.len())
	if !c.mayGrant(now) {
		return
	}
	for _, order := range c.jobs.NextPlacements(now, placeBatch) {
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
	placed []orchestrator.TaskRun
	doubt  []orchestrator.TaskRun
	err    error
}

func (p *placement) add(o placement) {
	p.placed = append(p.placed, o.placed...)
	p.doubt = append(p.doubt, o.doubt...)
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
	for try := 0; try < maxTries && len(rest) > 0; try++ {
		var member structs.Member
		var ok bool
		if !e.do(func() { member, ok = e.core.choosePlace(order, asked) }) || !ok {
			break
		}
		asked[member.ID] = true
		got := e.askPlace(member, order, rest, placeMode{})
		total.add(got)
		rest = without(rest, got)
	}
	if len(rest) > 0 && order.MayEvict() {
		rest = e.placeByEviction(order, rest, &total)
	}
	if len(rest) > 0 && total.err == nil {
		total.err = structs.NewError(structs.CodeNoCapacity, "no member has room")
	}
	e.post(func() {
		e.core.jobs.PlacementDone(order, total.placed, total.doubt, total.err, time.Now())
		e.core.nextSchedule = time.Time{}
	})
}

// without returns the tasks that a placement did not take.
func without(tasks []orchestrator.TaskRun, p placement) []orchestrator.TaskRun {
	taken := map[int]bool{}
	for _, r := range p.placed {
		taken[r.Index] = true
	}
	for _, r := range p.doubt {
		taken[r.Index] = true
	}
	var rest []orchestrator.TaskRun
	for _, r := range tasks {
		if !taken[r.Index] {
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

// askPlace asks one member to start tasks, or to reserve room for them.
func (e *Entry) askPlace(m structs.Member, order orchestrator.PlacementRequest, tasks []orchestrator.TaskRun, mode placeMode) placement {
	req := &peerv1.PlaceRequest{
		Member:       e.member.ID,
		Job:          order.Job.ID,
		Class:        order.Job.Class,
		Team:         order.Job.Team,
		Kind:         string(order.Job.Kind),
		Size:         fromResources(order.Job.Size),
		RunMs:        order.Job.RunTime.AsDuration().Milliseconds(),
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
	e.do(func() {
		req.Epoch = e.core.table.Epoch()
		req.Seq = e.core.nextSeq()
	})
	ctx, cancel := context.WithTimeout(e.ctx, placeTimeout)
	defer cancel()
	resp, err := e.peerOf(m).Place(ctx, req)
	if err != nil {
		return e.placeFailed(m, tasks, err)
	}
	return placement{
		placed: refsOf(resp.Placed),
		doubt:  refsOf(resp.Doubt),
		err:    toError(resp.Error),
	}
}

// placeFailed types a failed call: without an answer every task is in doubt,
// unless the call certainly never went out.
func (e *Entry) placeFailed(m structs.Member, tasks []orchestrator.TaskRun, err error) placement {
	typed := callError(err)
	if structs.CodeOf(typed) != structs.CodeUnknown {
		return placement{err: typed}
	}
	e.pool.Reset(m)
	return placement{doubt: tasks, err: typed}
}

// refsOf turns placements of one job into references.
func refsOf(list []*peerv1.Placement) []orchestrator.TaskRun {
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

func (c *core) nextSeq() int64 {
	c.seq++
	return c.seq
}

// choosePlace picks the member to ask: of two random members of the region with
// room, the one with more free; members of other regions only if none here has
// room.
func (c *core) choosePlace(order orchestrator.PlacementRequest, asked map[string]bool) (structs.Member, bool) {
	size := c.grantOf(order)
	return c.chooseMember(asked, func(m structs.Member) bool { return c.hasRoom(m, size) })
}

// chooseMember picks one of the members that were not asked yet and are worth it.
func (c *core) chooseMember(asked map[string]bool, worth func(structs.Member) bool) (structs.Member, bool) {
	var near, far []structs.Member
	for _, m := range c.control.Members() {
		if asked[m.ID] || !worth(m) {
			continue
		}
		if m.Region == c.e.member.Region {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	if m, ok := c.twoChoices(near); ok {
		return m, true
	}
	return c.twoChoices(far)
}

// hasRoom reports whether some worker of a member may hold a task, by its last
// digest.
func (c *core) hasRoom(m structs.Member, size structs.Resources) bool {
	if m.ID == c.self() {
		return size.Fits(c.fleet.Nodes().Digest().Largest)
	}
	p := c.peers[m.ID]
	if p == nil || p.digest == nil || p.draining {
		return false
	}
	return size.Fits(toResources(p.digest.Largest))
}

func (c *core) twoChoices(members []structs.Member) (structs.Member, bool) {
	if len(members) == 0 {
		return structs.Member{}, false
	}
	a := members[rand.IntN(len(members))]
	b := members[rand.IntN(len(members))]
	if c.freeShare(b) > c.freeShare(a) {
		return b, true
	}
	return a, true
}

// freeShare is the part of a member's processors that is free, from 0 to 1.
func (c *core) freeShare(m structs.Member) float64 {
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

// askOf turns a placement call into a wish of the scheduler.
func askOf(r *peerv1.PlaceRequest) scheduler.PlacementRequest {
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
