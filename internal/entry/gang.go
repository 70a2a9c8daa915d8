package entry

import (
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/scheduler/gang"
	"dotterelhitch/internal/structs"
)

// reserveTTL is how long the tasks of a gang that have a worker stay reserved while the
// other tasks are being placed.
const reserveTTL = 2 * time.Second

// gangShare is the part of a gang's tasks that one member's workers run.
type gangShare struct {
	member structs.Member
	tasks  []orchestrator.TaskRun
}

// placeGang reserves resources for every task of a gang at several members. It then
// starts all of the tasks, or releases every reservation if some task could not be
// reserved.
func (e *Entry) placeGang(request orchestrator.PlacementRequest) {
	shares, total := e.reserveGang(request)
	unplaced := unplacedTasks(request.Tasks, total)
	var result placementResult
	if len(unplaced) > 0 || len(total.inDoubt) > 0 {
		e.commitGang(request, shares, false)
		result.inDoubt = total.inDoubt
		result.err = total.err
		if result.err == nil {
			result.err = structs.NewError(structs.CodeNoCapacity, "no capacity for all %d tasks at once", request.Job.Count)
		}
	} else {
		result = e.commitGang(request, shares, true)
	}
	e.postToControl(func() {
		e.core.jobs.PlacementDone(request, result.placed, result.inDoubt, result.err, time.Now())
		e.core.nextSchedule = time.Time{}
	})
}

// reserveGang asks all members of the plan at once to reserve their shares. It returns
// the reserved shares and the sum of all results.
func (e *Entry) reserveGang(req orchestrator.PlacementRequest) ([]gangShare, placementResult) {
	var plan []gangShare
	if !e.runOnControl(func() { plan = e.core.planGang(req) }) {
		return nil, placementResult{}
	}
	results := make([]placementResult, len(plan))
	var calls sync.WaitGroup
	for i, part := range plan {
		calls.Go(func() { results[i] = e.requestPlacement(part.member, req, part.tasks, placeMode{reserve: reserveTTL}) })
	}
	calls.Wait()
	var shares []gangShare
	var total placementResult
	for i, result := range results {
		total.add(result)
		if len(result.placed) > 0 {
			shares = append(shares, gangShare{member: plan[i].member, tasks: result.placed})
		}
	}
	return shares, total
}

// planGang splits a gang's tasks over members by their free resources. If no such split
// exists, it splits them by total resources, so that the members reserve workers until
// other work on them has ended. This second split is kept until the gang has started,
// since reserved resources are not reported as free. It is dropped if a member of the
// split has left.
func (c *core) planGang(request orchestrator.PlacementRequest) []gangShare {
	parts := c.splitGang(request, false)
	if parts != nil {
		delete(c.waitingGangSplits, request.Job.ID)
	} else {
		parts = c.waitingGangSplits[request.Job.ID]
	}
	if parts == nil {
		parts = c.splitGang(request, true)
		c.waitingGangSplits[request.Job.ID] = parts
	}
	var plan []gangShare
	unassigned := request.Tasks
	for _, part := range parts {
		m, ok := c.table.Table().Member(part.Owner)
		if !ok || part.Tasks > len(unassigned) {
			delete(c.waitingGangSplits, request.Job.ID)
			return nil
		}
		plan = append(plan, gangShare{member: m, tasks: unassigned[:part.Tasks]})
		unassigned = unassigned[part.Tasks:]
	}
	return plan
}

// splitGang splits the tasks over the members of this region or, if those have too few
// resources, over all members of the cell. byTotal counts all resources of a member,
// otherwise only free ones count.
func (c *core) splitGang(request orchestrator.PlacementRequest, byTotal bool) []gang.OwnerShare {
	size := c.estimatedGrant(request)
	var sameRegion, owners []gang.Owner
	for _, m := range c.control.Members() {
		o, ok := c.gangOwner(m, byTotal)
		if !ok {
			continue
		}
		owners = append(owners, o)
		if m.Region == c.e.member.Region {
			sameRegion = append(sameRegion, o)
		}
	}
	if parts := gang.Split(len(request.Tasks), size, sameRegion, nil); parts != nil {
		return parts
	}
	return gang.Split(len(request.Tasks), size, owners, nil)
}

// digestOf returns the last known load of a member, or nil if the load is unknown or the
// member is draining.
func (c *core) digestOf(m structs.Member) *peerv1.Digest {
	if m.ID == c.self() {
		return c.digest()
	}
	p := c.peers[m.ID]
	if p == nil || p.draining {
		return nil
	}
	return p.digest
}

func (c *core) gangOwner(m structs.Member, byTotal bool) (gang.Owner, bool) {
	digest := c.digestOf(m)
	if digest == nil {
		return gang.Owner{}, false
	}
	o := gang.Owner{ID: m.ID, Free: toResources(digest.Free), Largest: toResources(digest.Largest)}
	if byTotal {
		o.Free = toResources(digest.Total)
		o.Largest = o.Free
	}
	return o, true
}

// commitGang starts the reserved tasks at every member, or releases the reservations.
// Reserved tasks that did not start are missing from the result.
func (e *Entry) commitGang(request orchestrator.PlacementRequest, shares []gangShare, start bool) placementResult {
	results := make(chan placementResult, len(shares))
	for _, s := range shares {
		go func() { results <- e.commitShare(request, s, start) }()
	}
	var total placementResult
	for range shares {
		total.add(<-results)
	}
	return total
}

func (e *Entry) commitShare(request orchestrator.PlacementRequest, s gangShare, start bool) placementResult {
	req := &peerv1.CommitRequest{Member: e.member.ID, Job: request.Job.ID, Start: start}
	for _, r := range s.tasks {
		req.Tasks = append(req.Tasks, &peerv1.Placement{
			Task:    string(structs.NewTaskID(request.Job.ID, r.Index)),
			Attempt: int64(r.Attempt),
			Worker:  r.Worker,
		})
	}
	e.runOnControl(func() { req.Epoch = e.core.table.Epoch() })
	ctx, cancel := context.WithTimeout(e.ctx, placeTimeout)
	defer cancel()
	resp, err := e.peerClientFor(s.member).Commit(ctx, req)
	if err == nil {
		return placementResult{placed: taskRunsFromPlacements(resp.Started), inDoubt: taskRunsFromPlacements(resp.Doubt), err: toError(resp.Error)}
	}
	if !start {
		return placementResult{err: callError(err)}
	}
	return e.failedPlacement(s.member, s.tasks, err)
}
