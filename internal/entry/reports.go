package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// Bounds of the calls between owners of workers and owners of jobs.
const (
	reportTimeout       = 3 * time.Second
	reportPeriod        = 50 * time.Millisecond
	inventoryTimeout    = 3 * time.Second
	inventoryRetryDelay = 300 * time.Millisecond
	stopTimeout         = 3 * time.Second
	stopRetryDelay      = 500 * time.Millisecond
	reportBatch         = 2000
)

// reportRuns tells the owners of jobs what became of the runs on owned workers.
func (c *core) reportRuns(now time.Time) {
	if !c.joined || now.Before(c.nextReport) {
		return
	}
	c.nextReport = now.Add(reportPeriod)
	byOwner := map[structs.Member][]*peerv1.TaskState{}
	for _, a := range c.fleet.ReportsDue(now) {
		job, _, err := a.Task.Split()
		if err != nil {
			continue
		}
		owner, ok := c.table.OwnerOfJob(job)
		if !ok || len(byOwner[owner]) >= reportBatch {
			continue
		}
		byOwner[owner] = append(byOwner[owner], taskStateMessage(a))
	}
	for owner, tasks := range byOwner {
		req := &peerv1.ReportRequest{Member: c.self(), Epoch: c.table.Epoch(), Tasks: tasks}
		c.e.spawn(func() { c.e.sendReport(owner, req) })
	}
}

func (e *Entry) sendReport(owner structs.Member, req *peerv1.ReportRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, reportTimeout)
	defer cancel()
	resp, err := e.peerClientFor(owner).Report(ctx, req)
	if err != nil || resp.Error != nil {
		return
	}
	e.postToControl(func() { e.core.handleReportResponse(req, resp) })
}

// handleReportResponse takes the answer to a report: settled runs may be forgotten, the
// others that run have been noted.
func (c *core) handleReportResponse(req *peerv1.ReportRequest, resp *peerv1.ReportResponse) {
	for _, t := range req.Tasks {
		state := structs.AllocState(t.State)
		if !state.Terminal() {
			c.fleet.ReportAcknowledged(fleet.RunKey{Task: structs.TaskID(t.Task), Attempt: int(t.Attempt)}, state)
		}
	}
	for _, t := range resp.Settled {
		c.forgetRun(fleet.RunKey{Task: structs.TaskID(t.Task), Attempt: int(t.Attempt)})
	}
}

func (c *core) forgetRun(k fleet.RunKey) {
	a := c.fleet.ForgetRun(k)
	if a == nil {
		return
	}
	if agent := c.agents[a.Worker]; agent != nil {
		agent.forget(k)
	}
}

// applyReport is the job owner's side of a report.
func (c *core) applyReport(r *peerv1.ReportRequest, resp *peerv1.ReportResponse) {
	if err := c.checkMember(r.Member, r.Epoch); err != nil {
		resp.Error = fromError(err)
		return
	}
	now := time.Now()
	for _, t := range r.Tasks {
		job, ref, err := refFromMessage(t)
		if err == nil && c.applyTaskReport(job, ref, structs.AllocState(t.State), now) {
			resp.Settled = append(resp.Settled, &peerv1.Task{Task: t.Task, Attempt: t.Attempt})
		}
	}
}

// applyTaskReport takes one reported run and reports whether it is needed no more.
func (c *core) applyTaskReport(job string, ref orchestrator.TaskRun, st structs.AllocState, now time.Time) (settled bool) {
	if !c.ownsJob(job) {
		return false
	}
	if !c.jobs.Owns(job) {
		return c.applyEndedJobReport(job, ref, st)
	}
	verdict, settle := c.jobs.RecordReport(job, ref, st, now)
	if settle {
		c.queueTaskEnd(job, ref, st)
	}
	if verdict == orchestrator.StopRun {
		c.requestStops(job, []orchestrator.TaskRun{ref})
	}
	if st.Terminal() {
		c.nextSchedule = time.Time{}
	}
	return verdict == orchestrator.ForgetRun
}

// applyEndedJobReport handles a run of a job that has ended: what still runs is stopped,
// what has ended is needed no more. A job that is not known at all is left alone
// until its stream was read.
func (c *core) applyEndedJobReport(job string, ref orchestrator.TaskRun, st structs.AllocState) bool {
	s, record := c.jobRecord(job)
	if s == nil || !s.caughtUp || (record != nil && !record.Ended()) {
		return false
	}
	if st.Terminal() {
		return true
	}
	c.requestStops(job, []orchestrator.TaskRun{ref})
	return false
}

// stopUnwantedRuns stops the runs of cancelled and parked jobs, and of gangs that start
// over.
func (c *core) stopUnwantedRuns(now time.Time) {
	requested := func(job string) bool { return now.Before(c.stopRetryAt[job]) }
	for job, refs := range c.jobs.RunsToStop(requested) {
		c.stopRetryAt[job] = now.Add(stopRetryDelay)
		c.requestStops(job, refs)
	}
}

// requestStops asks the owners of the runs' workers to stop them.
func (c *core) requestStops(job string, refs []orchestrator.TaskRun) {
	byOwner := map[structs.Member][]*peerv1.Task{}
	for _, r := range refs {
		owner, ok := c.table.OwnerOfWorker(c.instances.ownershipFields(r.Worker))
		if !ok {
			continue
		}
		byOwner[owner] = append(byOwner[owner], &peerv1.Task{
			Task:    string(structs.NewTaskID(job, r.Index)),
			Attempt: int64(r.Attempt),
		})
	}
	for owner, tasks := range byOwner {
		req := &peerv1.StopRequest{Member: c.self(), Epoch: c.table.Epoch(), Tasks: tasks}
		c.e.spawn(func() { c.e.sendStops(owner, job, req) })
	}
}

func (e *Entry) sendStops(owner structs.Member, job string, req *peerv1.StopRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, stopTimeout)
	defer cancel()
	resp, err := e.peerClientFor(owner).Stop(ctx, req)
	if err != nil || resp.Error != nil {
		return
	}
	e.postToControl(func() {
		for _, t := range resp.Stopped {
			_, index, err := structs.TaskID(t.Task).Split()
			if err == nil {
				e.core.jobs.RunStopped(job, orchestrator.TaskRun{Index: index, Attempt: int(t.Attempt)})
			}
		}
	})
}

// inventoryRound is a collection that is under way.
type inventoryRound struct {
	collection       *orchestrator.InventoryRound
	epoch            int64
	awaiting         map[string]bool
	found            []orchestrator.FoundRun
	incomplete       bool
	retryAt          time.Time
	incompleteReason string
}

// startInventoryRound asks every member what it runs of the jobs in doubt, one round at a
// time.
func (c *core) startInventoryRound(now time.Time) {
	if !c.joined || (c.inventoryRound != nil && (len(c.inventoryRound.awaiting) > 0 || now.Before(c.inventoryRound.retryAt))) {
		return
	}
	collection := c.jobs.StartInventory()
	if collection == nil {
		c.inventoryRound = nil
		return
	}
	r := &inventoryRound{collection: collection, epoch: c.table.Epoch(), awaiting: map[string]bool{}, retryAt: now.Add(inventoryRetryDelay)}
	c.inventoryRound = r
	req := &peerv1.InventoryRequest{Member: c.self(), Epoch: r.epoch, Jobs: collection.Jobs, Seq: c.nextCallSeq()}
	for _, m := range c.control.Members() {
		r.awaiting[m.ID] = true
		c.e.spawn(func() { c.e.requestInventory(m, r, req) })
	}
}

func (e *Entry) requestInventory(m structs.Member, r *inventoryRound, req *peerv1.InventoryRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, inventoryTimeout)
	defer cancel()
	resp, err := e.peerClientFor(m).Inventory(ctx, req)
	if err != nil {
		e.pool.Reset(m)
	}
	e.postToControl(func() { e.core.handleInventory(m, r, resp, err) })
}

// handleInventory takes one member's answer and closes the round with the last.
func (c *core) handleInventory(m structs.Member, r *inventoryRound, resp *peerv1.InventoryResponse, err error) {
	if c.inventoryRound != r || r.epoch != c.table.Epoch() {
		return
	}
	delete(r.awaiting, m.ID)
	switch {
	case err != nil:
		r.incomplete = true
		r.incompleteReason = "member " + m.ID + " does not answer"
	case resp.Error != nil:
		r.incomplete = true
		r.incompleteReason = "member " + m.ID + ": " + resp.Error.Message
	default:
		r.addInventory(m, resp)
	}
	if len(r.awaiting) == 0 {
		c.finishInventories(r)
	}
}

// logSource stands for the log among the members that a round waits for.
const logSource = "the log"

// finishInventories ends a round whose inventories are there. A run that none of them shows
// may have ended under the job's former owner, which had the end in the log before any
// worker forgot the run: so the log is read once more before a task of a job that was
// gained counts as free.
func (c *core) finishInventories(r *inventoryRound) {
	groups := map[string]bool{}
	for _, id := range r.collection.Jobs {
		if c.unreadEnds[id] {
			groups[structs.JobGroup(id)] = true
		}
	}
	if r.incomplete || len(groups) == 0 {
		c.concludeRound(r)
		return
	}
	r.awaiting[logSource] = true
	c.e.spawn(func() { c.e.readTaskEnds(r, groups) })
}

// readTaskEnds reads the ends of tasks that the log holds by now.
func (e *Entry) readTaskEnds(r *inventoryRound, groups map[string]bool) {
	var err error
	for group := range groups {
		if err == nil {
			err = e.readJobsToTail(e.ctx, group)
		}
	}
	e.postToControl(func() { e.core.handleTaskEndsRead(r, err) })
}

func (c *core) handleTaskEndsRead(r *inventoryRound, err error) {
	if c.inventoryRound != r || r.epoch != c.table.Epoch() {
		return
	}
	clear(r.awaiting)
	if err != nil {
		r.incomplete = true
		r.incompleteReason = "the ends of tasks are not read: " + err.Error()
	}
	for _, id := range r.collection.Jobs {
		if err == nil {
			delete(c.unreadEnds, id)
		}
	}
	c.concludeRound(r)
}

func (c *core) concludeRound(r *inventoryRound) {
	c.jobs.FinishInventory(r.collection, r.found, !r.incomplete)
	c.nextSchedule = time.Time{}
}

func (r *inventoryRound) addInventory(m structs.Member, resp *peerv1.InventoryResponse) {
	if len(resp.UnknownWorkers) > 0 {
		r.incomplete = true
		r.incompleteReason = "worker " + resp.UnknownWorkers[0] + " is not accounted for"
	}
	for _, t := range resp.Tasks {
		job, ref, err := refFromMessage(t)
		state := structs.AllocState(t.State)
		if err != nil || state == structs.AllocReserved {
			continue
		}
		r.found = append(r.found, orchestrator.FoundRun{Job: job, Run: ref, State: state, Member: m.ID})
	}
}
