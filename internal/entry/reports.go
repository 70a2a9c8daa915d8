package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// Time-outs and intervals of the calls between owners of workers and owners of jobs.
const (
	reportTimeout       = 3 * time.Second
	reportPeriod        = 50 * time.Millisecond
	inventoryTimeout    = 3 * time.Second
	inventoryRetryDelay = 300 * time.Millisecond
	stopTimeout         = 3 * time.Second
	stopRetryDelay      = 500 * time.Millisecond
	maxRunsPerReport    = 2000
)

// reportRuns reports the states of runs on owned workers to the owners of their jobs.
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
		if !ok || len(byOwner[owner]) >= maxRunsPerReport {
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

// handleReportResponse applies the response to a report. Settled runs are deleted, and
// for those that have not ended the owner has noted the state.
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

// applyReport applies a report that the owner of some workers sent to this owner of
// jobs.
func (c *core) applyReport(r *peerv1.ReportRequest, resp *peerv1.ReportResponse) {
	if err := c.checkMember(r.Member, r.Epoch); err != nil {
		resp.Error = fromError(err)
		return
	}
	now := time.Now()
	for _, t := range r.Tasks {
		job, run, err := taskRunFromMessage(t)
		if err == nil && c.applyTaskReport(job, run, structs.AllocState(t.State), now) {
			resp.Settled = append(resp.Settled, &peerv1.Task{Task: t.Task, Attempt: t.Attempt})
		}
	}
}

// applyTaskReport applies the report of one run. It returns whether the run is settled,
// so that its worker may delete it.
func (c *core) applyTaskReport(job string, run orchestrator.TaskRun, st structs.AllocState, now time.Time) (settled bool) {
	if !c.ownsJob(job) {
		return false
	}
	if !c.jobs.Owns(job) {
		return c.applyEndedJobReport(job, run, st)
	}
	verdict, settle := c.jobs.RecordReport(job, run, st, now)
	if settle {
		c.queueTaskEnd(job, run, st)
	}
	if verdict == orchestrator.StopRun {
		c.requestStops(job, []orchestrator.TaskRun{run})
	}
	if st.Terminal() {
		c.nextSchedule = time.Time{}
	}
	return verdict == orchestrator.ForgetRun
}

// applyEndedJobReport handles the report of a run whose job has ended: a run that has
// not ended is stopped, an ended one is settled. Nothing is done until this entry has
// read the group's jobs stream to its end, since the job may not be known yet.
func (c *core) applyEndedJobReport(job string, run orchestrator.TaskRun, st structs.AllocState) bool {
	s, record := c.jobRecord(job)
	if s == nil || !s.caughtUp || (record != nil && !record.Ended()) {
		return false
	}
	if st.Terminal() {
		return true
	}
	c.requestStops(job, []orchestrator.TaskRun{run})
	return false
}

// stopUnwantedRuns stops the runs of cancelled and failed jobs, and of gangs that are to
// start again.
func (c *core) stopUnwantedRuns(now time.Time) {
	recentlyRequested := func(job string) bool { return now.Before(c.stopRetryAt[job]) }
	for job, runs := range c.jobs.RunsToStop(recentlyRequested) {
		c.stopRetryAt[job] = now.Add(stopRetryDelay)
		c.requestStops(job, runs)
	}
}

// requestStops asks the owners of the workers to stop runs of a job.
func (c *core) requestStops(job string, runs []orchestrator.TaskRun) {
	byOwner := map[structs.Member][]*peerv1.Task{}
	for _, r := range runs {
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

// inventoryRound is a round of inventory calls to all members that is in progress.
type inventoryRound struct {
	inventory        *orchestrator.InventoryRound
	epoch            int64
	awaiting         map[string]bool
	found            []orchestrator.FoundRun
	incomplete       bool
	retryAt          time.Time
	incompleteReason string
}

// startInventoryRound asks every member which runs it has of the jobs whose runs are in
// doubt. Only one round is in progress at a time.
func (c *core) startInventoryRound(now time.Time) {
	if !c.joined || (c.inventoryRound != nil && (len(c.inventoryRound.awaiting) > 0 || now.Before(c.inventoryRound.retryAt))) {
		return
	}
	inventory := c.jobs.StartInventory()
	if inventory == nil {
		c.inventoryRound = nil
		return
	}
	r := &inventoryRound{inventory: inventory, epoch: c.table.Epoch(), awaiting: map[string]bool{}, retryAt: now.Add(inventoryRetryDelay)}
	c.inventoryRound = r
	req := &peerv1.InventoryRequest{Member: c.self(), Epoch: r.epoch, Jobs: inventory.Jobs, Seq: c.nextCallSeq()}
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

// handleInventory applies one member's response, and finishes the round with the last
// one.
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

// logPseudoMember represents the log among the members for which a round waits.
const logPseudoMember = "the log"

// finishInventories continues a round after all inventories have arrived. A run that
// none of them shows may have ended under the job's former owner, which committed the
// end to the log before any worker deleted the run. Therefore the log is read once more
// before a task of a gained job counts as not running.
func (c *core) finishInventories(r *inventoryRound) {
	groups := map[string]bool{}
	for _, id := range r.inventory.Jobs {
		if c.unreadEnds[id] {
			groups[structs.JobGroup(id)] = true
		}
	}
	if r.incomplete || len(groups) == 0 {
		c.concludeRound(r)
		return
	}
	r.awaiting[logPseudoMember] = true
	c.e.spawn(func() { c.e.readTaskEnds(r, groups) })
}

// readTaskEnds reads the task ends that the log has by now.
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
		r.incompleteReason = "the ends of tasks could not be read from the log: " + err.Error()
	}
	for _, id := range r.inventory.Jobs {
		if err == nil {
			delete(c.unreadEnds, id)
		}
	}
	c.concludeRound(r)
}

func (c *core) concludeRound(r *inventoryRound) {
	c.jobs.FinishInventory(r.inventory, r.found, !r.incomplete)
	c.nextSchedule = time.Time{}
}

func (r *inventoryRound) addInventory(m structs.Member, resp *peerv1.InventoryResponse) {
	if len(resp.UnknownWorkers) > 0 {
		r.incomplete = true
		r.incompleteReason = "worker " + resp.UnknownWorkers[0] + " may have runs that its owner does not know yet"
	}
	for _, t := range resp.Tasks {
		job, run, err := taskRunFromMessage(t)
		state := structs.AllocState(t.State)
		if err != nil || state == structs.AllocReserved {
			continue
		}
		r.found = append(r.found, orchestrator.FoundRun{Job: job, Run: run, State: state, Member: m.ID})
	}
}
