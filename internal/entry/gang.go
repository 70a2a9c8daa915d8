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

// reserveFor is how long room is held for a gang whose other tasks still look for
// theirs.
const reserveFor = 2 * time.Second

// share is the part of a gang that one member holds.
type share struct {
	member structs.Member
	tasks  []orchestrator.TaskRun
}

// placeGang reserves room for every task of a gang, member by member, and then
// starts all of them, or gives all room up.
func (e *Entry) placeGang(order orchestrator.PlacementRequest) {
	shares, total := e.reserveGang(order)
	rest := without(order.Tasks, total)
	var result placement
	if len(rest) > 0 || len(total.doubt) > 0 {
		e.commitGang(order, shares, false)
		result.doubt = total.doubt
		result.err = total.err
		if result.err == nil {
			result.err = structs.NewError(structs.CodeNoCapacity, "no room for all %d tasks at once", order.Job.Count)
		}
	} else {
		result = e.commitGang(order, shares, true)
	}
	e.post(func() {
		e.core.jobs.PlacementDone(order, result.placed, result.doubt, result.err, time.Now())
		e.core.nextSchedule = time.Time{}
	})
}

// reserveGang asks every member that the plan names for its part, all at once.
func (e *Entry) reserveGang(order orchestrator.PlacementRequest) ([]share, placement) {
	var plan []share
	if !e.do(func() { plan = e.core.planGang(order) }) {
		return nil, placement{}
	}
	answers := make([]placement, len(plan))
	var asking sync.WaitGroup
	for i, part := range plan {
		asking.Go(func() { answers[i] = e.askPlace(part.member, order, part.tasks, placeMode{reserve: reserveFor}) })
	}
	asking.Wait()
	var shares []share
	var total placement
	for i, got := range answers {
		total.add(got)
		if len(got.placed) > 0 {
			shares = append(shares, share{member: plan[i].member, tasks: got.placed})
		}
	}
	return shares, total
}

// planGang splits the tasks over members: over those with free room or, where the
// cell is too full, over those that hold them once other work has ended, so that
// workers are held there. The latter split stays until the gang has started, since
// held room is not told as free.
func (c *core) planGang(order orchestrator.PlacementRequest) []share {
	parts := c.splitGang(order, false)
	if parts != nil {
		delete(c.waitingGangs, order.Job.ID)
	} else {
		parts = c.waitingGangs[order.Job.ID]
	}
	if parts == nil {
		parts = c.splitGang(order, true)
		c.waitingGangs[order.Job.ID] = parts
	}
	var plan []share
	rest := order.Tasks
	for _, part := range parts {
		m, ok := c.table.Table().Member(part.Owner)
		if !ok || part.Tasks > len(rest) {
			delete(c.waitingGangs, order.Job.ID)
			return nil
		}
		plan = append(plan, share{member: m, tasks: rest[:part.Tasks]})
		rest = rest[part.Tasks:]
	}
	return plan
}

// splitGang splits the tasks over the members of this region or, if they do not hold
// them, of the cell: by their free room, or by all of their room.
func (c *core) splitGang(order orchestrator.PlacementRequest, all bool) []gang.OwnerShare {
	size := c.grantOf(order)
	var near, owners []gang.Owner
	for _, m := range c.control.Members() {
		o, ok := c.gangOwner(m, all)
		if !ok {
			continue
		}
		owners = append(owners, o)
		if m.Region == c.e.member.Region {
			near = append(near, o)
		}
	}
	if parts := gang.Split(len(order.Tasks), size, near, nil); parts != nil {
		return parts
	}
	return gang.Split(len(order.Tasks), size, owners, nil)
}

// digestOf is the load of a member as far as it is known; nil for one that is not
// heard or takes no more work.
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

func (c *core) gangOwner(m structs.Member, all bool) (gang.Owner, bool) {
	digest := c.digestOf(m)
	if digest == nil {
		return gang.Owner{}, false
	}
	o := gang.Owner{ID: m.ID, Free: toResources(digest.Free), Largest: toResources(digest.Largest)}
	if all {
		o.Free = toResources(digest.Total)
		o.Largest = o.Free
	}
	return o, true
}

// commitGang starts the reserved tasks at every member, or gives the room up.
// What did not start although it was reserved is left out of the result.
func (e *Entry) commitGang(order orchestrator.PlacementRequest, shares []share, start bool) placement {
	results := make(chan placement, len(shares))
	for _, s := range shares {
		go func() { results <- e.commitShare(order, s, start) }()
	}
	var total placement
	for range shares {
		total.add(<-results)
	}
	return total
}

func (e *Entry) commitShare(order orchestrator.PlacementRequest, s share, start bool) placement {
	req := &peerv1.CommitRequest{Member: e.member.ID, Job: order.Job.ID, Start: start}
	for _, r := range s.tasks {
		req.Tasks = append(req.Tasks, &peerv1.Placement{
			Task:    string(structs.NewTaskID(order.Job.ID, r.Index)),
			Attempt: int64(r.Attempt),
			Worker:  r.Worker,
		})
	}
	e.do(func() { req.Epoch = e.core.table.Epoch() })
	ctx, cancel := context.WithTimeout(e.ctx, placeTimeout)
	defer cancel()
	resp, err := e.peerOf(s.member).Commit(ctx, req)
	if err == nil {
		return placement{placed: refsOf(resp.Started), doubt: refsOf(resp.Doubt), err: toError(resp.Error)}
	}
	if !start {
		return placement{err: callError(err)}
	}
	return e.placeFailed(s.member, s.tasks, err)
}
