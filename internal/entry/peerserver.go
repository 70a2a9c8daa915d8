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

// peerServer serves the calls of other entries. Its methods run on many goroutines and
// leave all decisions to the control goroutine.
type peerServer struct {
	e *Entry
}

// checkMember refuses the call of a member that is not in the present table, or whose
// epoch is newer than that of the present table.
func (c *core) checkMember(member string, epoch int64) error {
	if !c.joined {
		return structs.NewError(structs.CodeBehind, "this entry is not in the membership table")
	}
	if epoch > c.table.Epoch() {
		return structs.NewError(structs.CodeBehind, "this member is at epoch %d, the calling member at %d", c.table.Epoch(), epoch)
	}
	if !c.control.HasMember(member) {
		return structs.NewError(structs.CodeStaleEpoch, "member %s is not in the table of epoch %d", member, c.table.Epoch())
	}
	return nil
}

// checkJobOwner refuses a call about a job unless it comes from the job's owner.
func (c *core) checkJobOwner(member string, epoch int64, job string) error {
	if err := c.checkMember(member, epoch); err != nil {
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
	var starts *pendingStarts
	var pendingEviction *eviction
	ok := s.e.runOnControl(func() {
		if err := s.e.core.checkPlace(r); err != nil {
			resp.Error = fromError(err)
			return
		}
		starts, pendingEviction = s.e.core.place(r, resp)
	})
	if !ok {
		return nil, errShuttingDown()
	}
	starts.addOutcomes(ctx, resp)
	if pendingEviction != nil {
		s.placeAfterEviction(ctx, pendingEviction, r, resp)
	}
	return resp, nil
}

func (c *core) checkPlace(r *peerv1.PlaceRequest) error {
	if err := c.checkJobOwner(r.Member, r.Epoch, r.Job); err != nil {
		return err
	}
	if r.Seq < c.lastInventorySeq[r.Member] {
		return structs.NewError(structs.CodeStaleEpoch, "placement %d is older than inventory %d", r.Seq, c.lastInventorySeq[r.Member])
	}
	if c.draining {
		return structs.NewError(structs.CodeDraining, "the entry is draining and hands its workers over")
	}
	if !c.mayGrant(time.Now()) {
		return structs.NewError(structs.CodeNoAuthority, "the owner's authority has lapsed")
	}
	return nil
}

// place reserves or starts the tasks of a placement call. Reservations are added to the
// response at once. The returned starts and evictions are still in flight.
func (c *core) place(r *peerv1.PlaceRequest, resp *peerv1.PlaceResponse) (*pendingStarts, *eviction) {
	now := time.Now()
	request := fleetRequest(r)
	if r.Reserve {
		request.ReserveFor = time.Duration(r.ReserveMs) * time.Millisecond
		rank := gang.Rank{LatestStart: time.UnixMilli(r.LatestStartMs), Job: r.Job}
		reserved, err := c.fleet.Reserve(request, rank, now)
		resp.Placed = placementMessages(reserved)
		resp.Error = fromError(err)
		return nil, nil
	}
	allocs, err := c.fleet.Place(request, now)
	resp.Error = fromError(err)
	return c.beginStarts(allocs), c.evict(request, err, now)
}

// fleetRequest converts a placement call to a request to the fleet.
func fleetRequest(r *peerv1.PlaceRequest) fleet.TaskRequest {
	request := fleet.TaskRequest{
		Placement:    schedulerRequest(r),
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

func placementMessages(list []*fleet.Alloc) []*peerv1.Placement {
	var out []*peerv1.Placement
	for _, a := range list {
		out = append(out, placementMessage(a.Alloc))
	}
	return out
}

func placementMessage(a structs.Alloc) *peerv1.Placement {
	return &peerv1.Placement{Task: string(a.Task), Attempt: int64(a.Attempt), Worker: a.Worker}
}

// Commit implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Commit(ctx context.Context, r *peerv1.CommitRequest) (*peerv1.CommitResponse, error) {
	resp := &peerv1.CommitResponse{}
	var starts *pendingStarts
	ok := s.e.runOnControl(func() {
		if err := s.e.core.checkJobOwner(r.Member, r.Epoch, r.Job); err != nil {
			resp.Error = fromError(err)
			return
		}
		starts = s.e.core.commitReserved(r, resp)
	})
	if !ok {
		return nil, errShuttingDown()
	}
	if starts != nil {
		started, inDoubt, refusal := starts.await(ctx)
		resp.Started, resp.Doubt = started, inDoubt
		if refusal != nil && resp.Error == nil {
			resp.Error = fromError(refusal)
		}
	}
	return resp, nil
}

// commitReserved starts a gang's reserved tasks if all of their reservations still
// exist. Otherwise, or if r.Start is not set, it releases the reservations.
func (c *core) commitReserved(r *peerv1.CommitRequest, resp *peerv1.CommitResponse) *pendingStarts {
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
		resp.Error = fromError(structs.NewError(structs.CodeNoCapacity, "the reservation of job %s was released", r.Job))
		return nil
	}
	return c.beginStarts(c.fleet.Commit(keys, time.Now()))
}

// Stop implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Stop(ctx context.Context, r *peerv1.StopRequest) (*peerv1.StopResponse, error) {
	resp := &peerv1.StopResponse{}
	var stops *pendingStops
	ok := s.e.runOnControl(func() {
		if err := s.e.core.checkMember(r.Member, r.Epoch); err != nil {
			resp.Error = fromError(err)
			return
		}
		stops = s.e.core.beginStops(r)
	})
	if !ok {
		return nil, errShuttingDown()
	}
	if stops != nil {
		resp.Stopped = stops.await(ctx, workerOutcomeTimeout)
	}
	return resp, nil
}

// Inventory implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Inventory(_ context.Context, r *peerv1.InventoryRequest) (*peerv1.InventoryResponse, error) {
	resp := &peerv1.InventoryResponse{}
	ok := s.e.runOnControl(func() { s.e.core.inventory(r, resp) })
	if !ok {
		return nil, errShuttingDown()
	}
	return resp, nil
}

// inventory lists the runs of the given jobs. From then on this entry refuses earlier
// placement calls of the same member, so that a run that is not listed can't start
// afterwards.
func (c *core) inventory(r *peerv1.InventoryRequest, resp *peerv1.InventoryResponse) {
	if err := c.checkMember(r.Member, r.Epoch); err != nil {
		resp.Error = fromError(err)
		return
	}
	c.lastInventorySeq[r.Member] = max(c.lastInventorySeq[r.Member], r.Seq)
	wanted := make(map[string]bool, len(r.Jobs))
	for _, id := range r.Jobs {
		wanted[id] = true
	}
	for _, a := range c.fleet.RunsOfJobs(wanted) {
		resp.Tasks = append(resp.Tasks, taskStateMessage(a))
	}
	resp.UnknownWorkers = c.fleet.UnaccountedWorkers()
	if !c.listIsCurrent() {
		resp.Error = fromError(structs.NewError(structs.CodeBehind, "the list of instances has not been read since the membership table changed"))
	}
}

func taskStateMessage(a *fleet.Alloc) *peerv1.TaskState {
	t := &peerv1.TaskState{Task: string(a.Task), Attempt: int64(a.Attempt), Worker: a.Worker, State: string(a.State), Evicted: a.Evicting}
	if a.State == structs.AllocStopped {
		t.Checkpoint = a.Checkpoint
	}
	if a.State.Terminal() {
		t.LeastMemoryMib = a.MinMemoryMiB
	}
	return t
}

// Report implements peerv1connect.PeerServiceHandler. It answers once the log contains
// the reported task ends, or after settleTimeout. An end that the log contains need not
// be reported again.
func (s *peerServer) Report(ctx context.Context, r *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
	deadline := time.Now().Add(settleTimeout)
	for {
		resp := &peerv1.ReportResponse{}
		if !s.e.runOnControl(func() { s.e.core.applyReport(r, resp) }) {
			return nil, errShuttingDown()
		}
		if resp.Error != nil || len(resp.Settled) >= countEnded(r) || time.Now().After(deadline) || ctx.Err() != nil {
			return resp, nil
		}
		sleep(ctx, settlePollInterval)
	}
}

// Limits of the wait for the log while a report is answered.
const (
	settleTimeout      = 700 * time.Millisecond
	settlePollInterval = 25 * time.Millisecond
)

// countEnded returns the number of ended runs in a report.
func countEnded(r *peerv1.ReportRequest) int {
	n := 0
	for _, t := range r.Tasks {
		if structs.AllocState(t.State).Terminal() {
			n++
		}
	}
	return n
}

// JobStatus implements peerv1connect.PeerServiceHandler. If this entry does not know the
// job, it first reads the log to its end, because another member may have just accepted
// the job.
func (s *peerServer) JobStatus(ctx context.Context, r *peerv1.JobStatusRequest) (*peerv1.JobStatusResponse, error) {
	resp := &peerv1.JobStatusResponse{}
	status, err := s.e.jobStatus(r.Job)
	if structs.CodeOf(err) == structs.CodeNotFound && !r.Lagging {
		if err = s.e.readJobsToTail(ctx, structs.JobGroup(r.Job)); err == nil {
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
	if !s.e.runOnControl(func() { status = s.e.core.status(time.Now()) }) {
		return nil, errShuttingDown()
	}
	b, err := json.Marshal(status)
	return &peerv1.StatusResponse{Json: b}, err
}

// taskRunFromMessage returns the job and the run that a message describes.
func taskRunFromMessage(t *peerv1.TaskState) (job string, run orchestrator.TaskRun, err error) {
	job, index, err := structs.TaskID(t.Task).Split()
	run = orchestrator.TaskRun{Index: index, Attempt: int(t.Attempt), Worker: t.Worker, Checkpoint: t.Checkpoint, MinMemoryMiB: t.LeastMemoryMib}
	if t.Evicted {
		run.Evictions = 1
	}
	return job, run, err
}
