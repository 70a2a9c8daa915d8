package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// evictWait is how long a placement call waits for tasks to be stopped. What has
// not been confirmed by then keeps its room.
const evictWait = 400 * time.Millisecond

// eviction awaits the stops that make room for a placement call.
type eviction struct {
	request fleet.TaskRequest
	stops   *stopGroup
}

// placeByEviction asks members in turn to make room for an urgent order by stopping
// tasks with much more slack. It returns the tasks that still have no worker.
func (e *Entry) placeByEviction(order orchestrator.PlacementRequest, rest []orchestrator.TaskRun, total *placement) []orchestrator.TaskRun {
	asked := map[string]bool{}
	for try := 0; try < maxTries && len(rest) > 0; try++ {
		var member structs.Member
		var ok bool
		if !e.do(func() { member, ok = e.core.chooseEvict(order, asked) }) || !ok {
			break
		}
		asked[member.ID] = true
		got := e.askPlace(member, order, rest, placeMode{evict: true})
		total.add(got)
		rest = without(rest, got)
	}
	return rest
}

// chooseEvict picks a member whose workers could hold a task of the order.
func (c *core) chooseEvict(order orchestrator.PlacementRequest, asked map[string]bool) (structs.Member, bool) {
	size := c.grantOf(order)
	return c.chooseMember(asked, func(m structs.Member) bool {
		o, ok := c.gangOwner(m, true)
		return ok && size.Fits(o.Free)
	})
}

// evict has running tasks stopped for a request that found no room. It returns nil
// if there is nothing to wait for.
func (c *core) evict(r fleet.TaskRequest, why error, now time.Time) *eviction {
	if structs.CodeOf(why) != structs.CodeNoCapacity {
		return nil
	}
	chosen := c.fleet.Evict(r, c.control.Class, now)
	if len(chosen) == 0 {
		return nil
	}
	stops := &stopGroup{open: len(chosen), outcomes: make(chan startOutcome, len(chosen))}
	for _, a := range chosen {
		c.noteEvicted(a, r.Placement.Job)
		id := a.Worker
		c.stopRun(a.Key(), true, func(k fleet.RunKey, err error) {
			c.fleet.EvictDone(id, k, err)
			stops.outcomes <- startOutcome{key: k, err: err}
		})
	}
	return &eviction{request: r, stops: stops}
}

func (c *core) noteEvicted(a *fleet.Alloc, job string) {
	c.e.events.Record(event.Event{
		Type:    event.TaskEvicted,
		Task:    a.Task,
		Attempt: a.Attempt,
		Worker:  a.Worker,
		Class:   a.Class,
		Job:     job,
	})
}

// placeEvicted places what an eviction was for, once its stops were confirmed or
// the wait for them is over. Everything that the call was checked for is checked
// again, since time has passed. What the call has started before stays in the answer
// whatever becomes of the rest.
func (s *peerServer) placeEvicted(ctx context.Context, ev *eviction, r *peerv1.PlaceRequest, resp *peerv1.PlaceResponse) {
	ev.stops.await(ctx, evictWait)
	var starting *startGroup
	ok := s.e.do(func() {
		c := s.e.core
		if err := c.checkPlace(r); err != nil {
			resp.Error = fromError(err)
			return
		}
		chosen, why := c.fleet.Place(ev.request, time.Now())
		c.fleet.Nodes().CancelReservation(r.Job)
		resp.Error = fromError(why)
		starting = c.startGroup(chosen)
	})
	if !ok {
		resp.Error = fromError(errEnding())
	}
	starting.answer(ctx, resp)
}
