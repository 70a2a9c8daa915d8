package entry

import (
	"context"
	"encoding/json"
	"time"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/scheduler/gang"
	"dotterelhitch/internal/structs"
)

// peerServer answers the other entries. Its methods run on many goroutines and
// hand all decisions to the control goroutine.
type peerServer struct {
	e *Entry
}

// checkCaller refuses a call of a member that the present table does not hold, and
// one that is ahead of it.
func (c *core) checkCaller(member string, epoch int64) error {
	if !c.joined {
		return structs.NewError(structs.CodeBehind, "not a member")
	}
	if epoch > c.table.Epoch() {
		return structs.NewError(structs.CodeBehind, "at epoch %d, the caller is at %d", c.table.Epoch(), epoch)
	}
	if !c.control.HasMember(member) {
		return structs.NewError(structs.CodeStaleEpoch, "member %s is not in the table of epoch %d", member, c.table.Epoch())
	}
	return nil
}

// checkJobOwner refuses a call about a job by anyone but its owner.
func (c *core) checkJobOwner(member string, epoch int64, job string) error {
	if err := c.checkCaller(member, epoch); err != nil {
		return err
	}
	owner, ok := c.table.OwnerOfJob(job)
	if !ok || owner.ID != member {
		return structs.NewError(structs.CodeNotOwner, "job %s: owner is %s at epoch %d", job, owner.ID, c.table.Epoch())
	}
	return nil
}

// Place implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Place(ctx context.Context, r *peerv1.PlaceRequest) (*peerv1.PlaceResponse, error) {
	resp := &peerv1.PlaceResponse{}
	var starting *startGroup
	var evicting *eviction
	ok := s.e.do(func() {
		if err := s.e.core.checkPlace(r); err != nil {
			resp.Error = fromError(err)
			return
		}
		starting, evicting = s.e.core.place(r, resp)
	})
	if !ok {
		return nil, errEnding()
	}
	starting.answer(ctx, resp)
	if evicting != nil {
		s.placeEvicted(ctx, evicting, r, resp)
	}
	return resp, nil
}

func (c *core) checkPlace(r *peerv1.PlaceRequest) error {
	if err := c.checkJobOwner(r.Member, r.Epoch, r.Job); err != nil {
		return err
	}
	if r.Seq < c.barrier[r.Member] {
		return structs.NewError(structs.CodeStaleEpoch, "placement %d is older than inventory %d", r.Seq, c.barrier[r.Member])
	}
	if c.draining {
		return structs.NewError(structs.CodeDraining, "the entry is handing its workers over")
	}
	if !c.mayGrant(time.Now()) {
		return structs.NewError(structs.CodeNoAuthority, "the owner's authority has lapsed")
	}
	return nil
}

// place chooses workers; a reservation is answered at once, starts are awaited.
func (c *core) place(r *peerv1.PlaceRequest, resp *peerv1.PlaceResponse) (*startGroup, *eviction) {
	now := time.Now()
	request := requestOf(r)
	if r.Reserve {
		request.ReserveFor = time.Duration(r.ReserveMs) * time.Millisecond
		rank := gang.Rank{LatestStart: time.UnixMilli(r.LatestStartMs), Job: r.Job}
		reserved, why := c.fleet.Reserve(request, rank, now)
		resp.Placed = placementsOf(reserved)
		resp.Error = fromError(why)
		return nil, nil
	}
	chosen, why := c.fleet.Place(request, now)
	resp.Error = fromError(why)
	return c.startGroup(chosen), c.evict(request, why, now)
}

// requestOf turns a placement call into a request of the fleet.
func requestOf(r *peerv1.PlaceRequest) fleet.TaskRequest {
	request := fleet.TaskRequest{
		Placement:    askOf(r),
		DeclaredSize: toResources(r.Size),
		RunMs:        r.RunMs,
		Payload:      r.Payload,
		Slack:        time.Duration(r.SlackMs) * time.Millisecond,
		RunningSlack: time.Duration(r.RunningSlackMs) * time.Millisecond,
		AllowEvict:   r.Evict,
		EarlierRuns:  map[structs.TaskID]fleet.EarlierRuns{},
	}
	request.MinMemoryMiB = r.LeastMemoryMib
	for _, t := range r.Tasks {
		if t.Checkpoint != "" || t.Evictions > 0 {
			request.EarlierRuns[structs.TaskID(t.Task)] = fleet.EarlierRuns{Checkpoint: t.Checkpoint, Evictions: int(t.Evictions)}
		}
	}
	return request
}

func placementsOf(list []*fleet.Alloc) []*peerv1.Placement {
	var out []*peerv1.Placement
	for _, a := range list {
		out = append(out, placementOf(a.Alloc))
	}
	return out
}

func placementOf(a structs.Alloc) *peerv1.Placement {
	return &peerv1.Placement{Task: string(a.Task), Attempt: int64(a.Attempt), Worker: a.Worker}
}

// Commit implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Commit(ctx context.Context, r *peerv1.CommitRequest) (*peerv1.CommitResponse, error) {
	resp := &peerv1.CommitResponse{}
	var starting *startGroup
	ok := s.e.do(func() {
		if err := s.e.core.checkJobOwner(r.Member, r.Epoch, r.Job); err != nil {
			resp.Error = fromError(err)
			return
		}
		starting = s.e.core.commitReserved(r, resp)
	})
	if !ok {
		return nil, errEnding()
	}
	if starting != nil {
		started, doubt, refused := starting.await(ctx)
		resp.Started, resp.Doubt = started, doubt
		if refused != nil && resp.Error == nil {
			resp.Error = fromError(refused)
		}
	}
	return resp, nil
}

// commitReserved starts a gang's reserved tasks only if all of them still have
// their room.
func (c *core) commitReserved(r *peerv1.CommitRequest, resp *peerv1.CommitResponse) *startGroup {
	keys := make([]fleet.RunKey, len(r.Tasks))
	for i, t := range r.Tasks {
		keys[i] = fleet.RunKey{Task: structs.TaskID(t.Task), Attempt: int(t.Attempt)}
	}
	c.fleet.EndClaim(r.Job, r.Start)
	if !r.Start {
		c.fleet.Release(keys)
		return nil
	}
	if !c.fleet.AllReserved(keys) {
		c.fleet.Release(keys)
		resp.Error = fromError(structs.NewError(structs.CodeNoCapacity, "the room of job %s was given up", r.Job))
		return nil
	}
	return c.startGroup(c.fleet.Commit(keys, time.Now()))
}

// Stop implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Stop(ctx context.Context, r *peerv1.StopRequest) (*peerv1.StopResponse, error) {
	resp := &peerv1.StopResponse{}
	var stopping *stopGroup
	ok := s.e.do(func() {
		if err := s.e.core.checkCaller(r.Member, r.Epoch); err != nil {
			resp.Error = fromError(err)
			return
		}
		stopping = s.e.core.stopRuns(r)
	})
	if !ok {
		return nil, errEnding()
	}
	if stopping != nil {
		resp.Stopped = stopping.await(ctx, startWait)
	}
	return resp, nil
}

// Inventory implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Inventory(_ context.Context, r *peerv1.InventoryRequest) (*peerv1.InventoryResponse, error) {
	resp := &peerv1.InventoryResponse{}
	ok := s.e.do(func() { s.e.core.inventory(r, resp) })
	if !ok {
		return nil, errEnding()
	}
	return resp, nil
}

// inventory lists the runs of the caller's jobs. From here on older placements of
// the caller are refused, so that what is not listed can't start any more.
func (c *core) inventory(r *peerv1.InventoryRequest, resp *peerv1.InventoryResponse) {
	if err := c.checkCaller(r.Member, r.Epoch); err != nil {
		resp.Error = fromError(err)
		return
	}
	c.barrier[r.Member] = max(c.barrier[r.Member], r.Seq)
	wanted := make(map[string]bool, len(r.Jobs))
	for _, id := range r.Jobs {
		wanted[id] = true
	}
	for _, a := range c.fleet.RunsOfJobs(wanted) {
		resp.Tasks = append(resp.Tasks, taskState(a))
	}
	resp.UnknownWorkers = c.fleet.UnaccountedWorkers()
	if !c.listCurrent() {
		resp.Error = fromError(structs.NewError(structs.CodeBehind, "the list of instances was not read since the table changed"))
	}
}

func taskState(a *fleet.Alloc) *peerv1.TaskState {
	t := &peerv1.TaskState{Task: string(a.Task), Attempt: int64(a.Attempt), Worker: a.Worker, State: string(a.State), Evicted: a.Evicting}
	if a.State == structs.AllocStopped {
		t.Checkpoint = a.Checkpoint
	}
	if a.State.Terminal() {
		t.LeastMemoryMib = a.MinMemoryMiB
	}
	return t
}

// Report implements peerv1connect.PeerServiceHandler. It answers once the log holds
// the reported ends, or after settleWait, so that they need not be reported again.
func (s *peerServer) Report(ctx context.Context, r *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
	until := time.Now().Add(settleWait)
	for {
		resp := &peerv1.ReportResponse{}
		if !s.e.do(func() { s.e.core.takeReport(r, resp) }) {
			return nil, errEnding()
		}
		if resp.Error != nil || len(resp.Settled) >= endedIn(r) || time.Now().After(until) || ctx.Err() != nil {
			return resp, nil
		}
		pause(ctx, settlePoll)
	}
}

// Bounds of the wait for the log in a report.
const (
	settleWait = 700 * time.Millisecond
	settlePoll = 25 * time.Millisecond
)

// endedIn counts the ended runs of a report.
func endedIn(r *peerv1.ReportRequest) int {
	n := 0
	for _, t := range r.Tasks {
		if structs.AllocState(t.State).Terminal() {
			n++
		}
	}
	return n
}

// JobStatus implements peerv1connect.PeerServiceHandler. A job that is not known here
// may have been accepted by another member just now, so the log is asked before it
// is called unknown.
func (s *peerServer) JobStatus(ctx context.Context, r *peerv1.JobStatusRequest) (*peerv1.JobStatusResponse, error) {
	resp := &peerv1.JobStatusResponse{}
	status, err := s.e.jobStatus(r.Job)
	if structs.CodeOf(err) == structs.CodeNotFound && !r.Lagging {
		if err = s.e.refreshJobs(ctx, structs.JobGroup(r.Job)); err == nil {
			status, err = s.e.jobStatus(r.Job)
		}
	}
	if err != nil {
		resp.Error = fromError(err)
		return resp, nil
	}
	resp.Json, err = json.Marshal(status)
	return resp, err
}

// Status implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Status(context.Context, *peerv1.StatusRequest) (*peerv1.StatusResponse, error) {
	var status structs.EntryStatus
	if !s.e.do(func() { status = s.e.core.status(time.Now()) }) {
		return nil, errEnding()
	}
	b, err := json.Marshal(status)
	return &peerv1.StatusResponse{Json: b}, err
}

// refOf splits a task's message for the orchestrator.
func refOf(t *peerv1.TaskState) (job string, ref orchestrator.TaskRun, err error) {
	job, index, err := structs.TaskID(t.Task).Split()
	ref = orchestrator.TaskRun{Index: index, Attempt: int(t.Attempt), Worker: t.Worker, Checkpoint: t.Checkpoint, MinMemoryMiB: t.LeastMemoryMib}
	if t.Evicted {
		ref.Evictions = 1
	}
	return job, ref, err
}
