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

// Limits of placing tasks.
const (
	// maxPlaceBatch is the number of tasks placed in one scheduling round.
	maxPlaceBatch = 2048
	placeTimeout  = 3 * time.Second
	// placeInterval is the minimum time between two scheduling rounds.
	placeInterval = 5 * time.Millisecond
	// maxMembersAsked is the number of members asked one after the other for one
	// placement.
	maxMembersAsked = 3
)

// schedule starts the placement of waiting tasks with the owners of workers.
func (c *core) schedule(now time.Time) {
	if !c.joined || now.Before(c.nextSchedule) {
		return
	}
	c.nextSchedule = now.Add(placeInterval)
	c.jobs.SetWorkerCount(c.instances.len())
	if !c.mayGrant(now) {
		return
	}
	for _, request := range c.jobs.NextPlacements(now, maxPlaceBatch) {
		if request.Job.Kind == structs.KindGang {
			c.e.spawn(func() { c.e.placeGang(request) })
			continue
		}
		c.e.spawn(func() { c.e.placeTasks(request) })
	}
}

// scheduleSoon runs a scheduling round at once if one was requested by resetting
// nextSchedule.
func (c *core) scheduleSoon(now time.Time) {
	if c.nextSchedule.IsZero() {
		c.schedule(now)
	}
}

// placementResult is the result of a placement request.
type placementResult struct {
	placed  []orchestrator.TaskRun
	inDoubt []orchestrator.TaskRun
	err     error
}

func (p *placementResult) add(other placementResult) {
	p.placed = append(p.placed, other.placed...)
	p.inDoubt = append(p.inDoubt, other.inDoubt...)
	if other.err != nil {
		p.err = other.err
	}
}

// placeTasks asks members one after the other until every task has a worker or no
// eligible member is left. If the request allows it, the remaining tasks are placed by
// eviction.
func (e *Entry) placeTasks(request orchestrator.PlacementRequest) {
	unplaced := request.Tasks
	var total placementResult
	askedMembers := map[string]bool{}
	for try := 0; try < maxMembersAsked && len(unplaced) > 0; try++ {
		var member structs.Member
		var ok bool
		if !e.runOnControl(func() { member, ok = e.core.choosePlacingMember(request, askedMembers) }) || !ok {
			break
		}
		askedMembers[member.ID] = true
		result := e.requestPlacement(member, request, unplaced, placeMode{})
		total.add(result)
		unplaced = unplacedTasks(unplaced, result)
	}
	if len(unplaced) > 0 && request.MayEvict() {
		unplaced = e.placeByEviction(request, unplaced, &total)
	}
	if len(unplaced) > 0 && total.err == nil {
		total.err = structs.NewError(structs.CodeNoCapacity, "no member has enough free capacity")
	}
	e.postToControl(func() {
		e.core.jobs.PlacementDone(request, total.placed, total.inDoubt, total.err, time.Now())
		e.core.nextSchedule = time.Time{}
	})
}

// unplacedTasks returns the tasks that were neither placed nor are in doubt.
func unplacedTasks(tasks []orchestrator.TaskRun, p placementResult) []orchestrator.TaskRun {
	handled := map[int]bool{}
	for _, r := range p.placed {
		handled[r.Index] = true
	}
	for _, r := range p.inDoubt {
		handled[r.Index] = true
	}
	var unplaced []orchestrator.TaskRun
	for _, r := range tasks {
		if !handled[r.Index] {
			unplaced = append(unplaced, r)
		}
	}
	return unplaced
}

// placeMode selects how a member places tasks.
type placeMode struct {
	// reserve makes the member reserve resources for that long instead of starting the
	// tasks; zero starts them.
	reserve time.Duration
	// evict allows the member to stop less urgent tasks.
	evict bool
}

// requestPlacement asks one member to start tasks or to reserve resources for them.
func (e *Entry) requestPlacement(m structs.Member, request orchestrator.PlacementRequest, tasks []orchestrator.TaskRun, mode placeMode) placementResult {
	req := &peerv1.PlaceRequest{
		Member:       e.member.ID,
		Job:          request.Job.ID,
		Class:        request.Job.Class,
		Team:         request.Job.Team,
		Kind:         string(request.Job.Kind),
		Size:         fromResources(request.Job.Size),
		RunMs:        request.Job.RunTime.AsDuration().Milliseconds(),
		Payload:      request.Job.Payload,
		Reserve:      mode.reserve > 0,
		ReserveMs:    mode.reserve.Milliseconds(),
		Evict:        mode.evict,
		SlackMs:      request.Slack.Milliseconds(),
		AvoidWorkers: request.AvoidWorkers,
		Probes:       request.ProbeWorkers,

		LeastMemoryMib: request.MinMemoryMiB,
		LatestStartMs:  request.LatestStart.UnixMilli(),
		RunningSlackMs: request.RunningSlack.Milliseconds(),
	}
	for _, r := range tasks {
		req.Tasks = append(req.Tasks, &peerv1.Task{
			Task:    string(structs.NewTaskID(request.Job.ID, r.Index)),
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
	return placementResult{
		placed:  taskRunsFromPlacements(resp.Placed),
		inDoubt: taskRunsFromPlacements(resp.Doubt),
		err:     toError(resp.Error),
	}
}

// failedPlacement returns the result of a call that failed. Every task is in doubt,
// unless the call was certainly not sent.
func (e *Entry) failedPlacement(m structs.Member, tasks []orchestrator.TaskRun, err error) placementResult {
	typed := callError(err)
	if structs.CodeOf(typed) != structs.CodeUnknown {
		return placementResult{err: typed}
	}
	e.pool.Reset(m)
	return placementResult{inDoubt: tasks, err: typed}
}

// taskRunsFromPlacements converts the placements of one job to runs.
func taskRunsFromPlacements(list []*peerv1.Placement) []orchestrator.TaskRun {
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

// choosePlacingMember picks the member to ask: of two random members of this region with
// enough free resources, the one with the larger free share. Members of other regions
// are asked only if no member of this region has enough.
func (c *core) choosePlacingMember(request orchestrator.PlacementRequest, askedMembers map[string]bool) (structs.Member, bool) {
	size := c.estimatedGrant(request)
	return c.chooseMember(askedMembers, func(m structs.Member) bool { return c.mayFit(m, size) })
}

// chooseMember picks one of the eligible members that were not asked yet.
func (c *core) chooseMember(askedMembers map[string]bool, eligible func(structs.Member) bool) (structs.Member, bool) {
	var sameRegion, otherRegions []structs.Member
	for _, m := range c.control.Members() {
		if askedMembers[m.ID] || !eligible(m) {
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

// mayFit reports whether some worker of a member can hold a task, according to the
// member's last digest.
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

// freeCPUFraction returns the fraction of a member's processors that is free, from 0 to
// 1.
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

// schedulerRequest converts a placement call to a request to the scheduler.
func schedulerRequest(r *peerv1.PlaceRequest) scheduler.PlacementRequest {
	request := scheduler.PlacementRequest{
		Job:          r.Job,
		Class:        r.Class,
		Team:         r.Team,
		Kind:         structs.Kind(r.Kind),
		Size:         toResources(r.Size),
		AvoidWorkers: r.AvoidWorkers,
		ProbeWorkers: r.Probes,
	}
	for _, t := range r.Tasks {
		request.Tasks = append(request.Tasks, scheduler.TaskRef{Task: structs.TaskID(t.Task), Attempt: int(t.Attempt)})
	}
	return request
}
