package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// reserveFor is how long room is held for a gang whose other tasks still look for
// theirs.
const reserveFor = 2 * time.Second

// share is the part of a gang that one member holds.
type share struct {
	member structs.Member
	tasks  []orchestrator.Ref
}

// placeGang reserves room for every task of a gang, member by member, and then
// starts all of them, or gives all room up.
func (e *Entry) placeGang(order orchestrator.Order) {
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
		e.core.jobs.Placed(order.Job.ID, order.Tasks, result.placed, result.doubt, result.err, time.Now())
		e.core.nextSchedule = time.Time{}
	})
}

// reserveGang asks members in the order of their free room.
func (e *Entry) reserveGang(order orchestrator.Order) ([]share, placement) {
	var members []structs.Member
	if !e.do(func() { members = e.core.gangMembers(order) }) {
		return nil, placement{}
	}
	var shares []share
	var total placement
	rest := order.Tasks
	for _, m := range members {
		if len(rest) == 0 {
			break
		}
		got := e.askPlace(m, order, rest, reserveFor)
		total.add(got)
		if len(got.placed) > 0 {
			shares = append(shares, share{member: m, tasks: got.placed})
		}
		if len(got.doubt) > 0 {
			break
		}
		rest = without(rest, got)
	}
	return shares, total
}

// gangMembers orders the members of this region by free room, most first, then
// those of other regions.
func (c *core) gangMembers(order orchestrator.Order) []structs.Member {
	var members []structs.Member
	for _, m := range c.control.Members() {
		if c.hasRoom(m, order.Job.Size) {
			members = append(members, m)
		}
	}
	region := c.e.member.Region
	slices.SortFunc(members, func(a, b structs.Member) int {
		if (a.Region == region) != (b.Region == region) {
			if a.Region == region {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(c.freeShare(b), c.freeShare(a)), cmp.Compare(a.ID, b.ID))
	})
	return members
}

// commitGang starts the reserved tasks at every member, or gives the room up.
// What did not start although it was reserved is left out of the result.
func (e *Entry) commitGang(order orchestrator.Order, shares []share, start bool) placement {
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

func (e *Entry) commitShare(order orchestrator.Order, s share, start bool) placement {
	req := &peerv1.CommitRequest{Member: e.member.ID, Job: order.Job.ID, Start: start}
	for _, r := range s.tasks {
		req.Tasks = append(req.Tasks, &peerv1.Placement{
			Task:    string(structs.NewTaskID(order.Job.ID, r.Index)),
			Attempt: int32(r.Attempt),
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
