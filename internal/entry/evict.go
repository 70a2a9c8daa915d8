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

// evictTimeout is how long a placement call waits for evicted tasks to stop. A task
// whose stop was not confirmed by then keeps its resources.
const evictTimeout = 400 * time.Millisecond

// eviction is a set of stops in flight that free resources for a placement request.
type eviction struct {
	request fleet.TaskRequest
	stops   *pendingStops
}

// placeByEviction asks members one after the other to place an urgent request by
// stopping tasks with much more slack. It returns the tasks that still have no worker.
func (e *Entry) placeByEviction(request orchestrator.PlacementRequest, unplaced []orchestrator.TaskRun, total *placementResult) []orchestrator.TaskRun {
	askedMembers := map[string]bool{}
	for try := 0; try < maxMembersAsked && len(unplaced) > 0; try++ {
		var member structs.Member
		var ok bool
		if !e.runOnControl(func() { member, ok = e.core.chooseEvictingMember(request, askedMembers) }) || !ok {
			break
		}
		askedMembers[member.ID] = true
		result := e.requestPlacement(member, request, unplaced, placeMode{evict: true})
		total.add(result)
		unplaced = unplacedTasks(unplaced, result)
	}
	return unplaced
}

// chooseEvictingMember picks a member whose workers could hold a task of the request if
// they were empty.
func (c *core) chooseEvictingMember(request orchestrator.PlacementRequest, askedMembers map[string]bool) (structs.Member, bool) {
	size := c.estimatedGrant(request)
	return c.chooseMember(askedMembers, func(m structs.Member) bool {
		owner, ok := c.gangOwner(m, true)
		return ok && size.Fits(owner.Free)
	})
}

// evict stops running tasks to free resources for a request that was refused with cause.
// It returns nil if cause is not a lack of capacity or there is nothing to stop.
func (c *core) evict(r fleet.TaskRequest, cause error, now time.Time) *eviction {
	if structs.CodeOf(cause) != structs.CodeNoCapacity {
		return nil
	}
	evicted := c.fleet.Evict(r, c.control.Class, now)
	if len(evicted) == 0 {
		return nil
	}
	stops := &pendingStops{awaiting: len(evicted), outcomes: make(chan runOutcome, len(evicted))}
	for _, a := range evicted {
		c.recordEviction(a, r.Placement.Job)
		id := a.Worker
		c.stopRun(a.Key(), true, func(k fleet.RunKey, err error) {
			c.fleet.EvictDone(id, k, err)
			stops.outcomes <- runOutcome{key: k, err: err}
		})
	}
	return &eviction{request: r, stops: stops}
}

func (c *core) recordEviction(a *fleet.Alloc, job string) {
	c.e.events.Record(event.Event{
		Type:    event.TaskEvicted,
		Task:    a.Task,
		Attempt: a.Attempt,
		Worker:  a.Worker,
		Class:   a.Class,
		Job:     job,
	})
}

// placeAfterEviction places the tasks for which an eviction was made, after the stops
// were confirmed or evictTimeout has passed. It repeats the checks of the call, since
// the table and the authority may have changed meanwhile. Starts that the call has
// already made stay in the response even if this fails.
func (s *peerServer) placeAfterEviction(ctx context.Context, ev *eviction, r *peerv1.PlaceRequest, resp *peerv1.PlaceResponse) {
	ev.stops.await(ctx, evictTimeout)
	var starts *pendingStarts
	ok := s.e.runOnControl(func() {
		c := s.e.core
		if err := c.checkPlace(r); err != nil {
			resp.Error = fromError(err)
			return
		}
		allocs, err := c.fleet.Place(ev.request, time.Now())
		c.fleet.Nodes().CancelReservation(r.Job)
		resp.Error = fromError(err)
		starts = c.beginStarts(allocs)
	})
	if !ok {
		resp.Error = fromError(errShuttingDown())
	}
	starts.addOutcomes(ctx, resp)
}
