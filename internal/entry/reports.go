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
	reportTimeout  = 3 * time.Second
	reportPeriod   = 50 * time.Millisecond
	collectTimeout = 3 * time.Second
	collectRetry   = 300 * time.Millisecond
	stopTimeout    = 3 * time.Second
	stopRetry      = 500 * time.Millisecond
	reportBatch    = 2000
)

// report tells the owners of jobs what became of the runs on owned workers.
func (c *core) report(now time.Time) {
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
		byOwner[owner] = append(byOwner[owner], taskState(a))
	}
	for owner, tasks := range byOwner {
		req := &peerv1.ReportRequest{Member: c.self(), Epoch: c.table.Epoch(), Tasks: tasks}
		c.e.spawn(func() { c.e.sendReport(owner, req) })
	}
}

func (e *Entry) sendReport(owner structs.Member, req *peerv1.ReportRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, reportTimeout)
	defer cancel()
	resp, err := e.peerOf(owner).Report(ctx, req)
	if err != nil || resp.Error != nil {
		return
	}
	e.post(func() { e.core.reportDone(req, resp) })
}

// reportDone takes the answer to a report: settled runs may be forgotten, the
// others that run have been noted.
func (c *core) reportDone(req *peerv1.ReportRequest, resp *peerv1.ReportResponse) {
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

// takeReport is the job owner's side of a report.
func (c *core) takeReport(r *peerv1.ReportRequest, resp *peerv1.ReportResponse) {
	if err := c.checkCaller(r.Member, r.Epoch); err != nil {
		resp.Error = fromError(err)
		return
	}
	now := time.Now()
	for _, t := range r.Tasks {
		job, ref, err := refOf(t)
		if err == nil && c.takeTask(job, ref, structs.AllocState(t.State), now) {
			resp.Settled = append(resp.Settled, &peerv1.Task{Task: t.Task, Attempt: t.Attempt})
		}
	}
}

// takeTask takes one reported run and reports whether it is needed no more.
func (c *core) takeTask(job string, ref orchestrator.TaskRun, st structs.AllocState, now time.Time) (settled bool) {
	if !c.ownsJob(job) {
		return false
	}
	if !c.jobs.Owns(job) {
		return c.takeUnowned(job, ref, st)
	}
	verdict, settle := c.jobs.RecordReport(job, ref, st, now)
	if settle {
		c.settle(job, ref, st)
	}
	if verdict == orchestrator.StopRun {
		c.sendStop(job, []orchestrator.TaskRun{ref})
	}
	if st.Terminal() {
		c.nextSchedule = time.Time{}
	}
	return verdict == orchestrator.ForgetRun
}

// takeUnowned handles a run of a job that has ended: what still runs is stopped,
// what has ended is needed no more. A job that is not known at all is left alone
// until its stream was read.
func (c *core) takeUnowned(job string, ref orchestrator.TaskRun, st structs.AllocState) bool {
	s, record := c.jobRecord(job)
	if s == nil || !s.caughtUp || (record != nil && !record.Ended()) {
		return false
	}
	if st.Terminal() {
		return true
	}
	c.sendStop(job, []orchestrator.TaskRun{ref})
	return false
}

// stopTasks stops the runs of cancelled and parked jobs, and of gangs that start
// over.
func (c *core) stopTasks(now time.Time) {
	underway := func(job string) bool { return now.Before(c.stopped[job]) }
	for job, refs := range c.jobs.RunsToStop(underway) {
		c.stopped[job] = now.Add(stopRetry)
		c.sendStop(job, refs)
	}
}

// sendStop asks the owners of the runs' workers to stop them.
func (c *core) sendStop(job string, refs []orchestrator.TaskRun) {
	byOwner := map[structs.Member][]*peerv1.Task{}
	for _, r := range refs {
		owner, ok := c.table.OwnerOfWorker(c.instances.place(r.Worker))
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
		c.e.spawn(func() { c.e.stopAt(owner, job, req) })
	}
}

func (e *Entry) stopAt(owner structs.Member, job string, req *peerv1.StopRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, stopTimeout)
	defer cancel()
	resp, err := e.peerOf(owner).Stop(ctx, req)
	if err != nil || resp.Error != nil {
		return
	}
	e.post(func() {
		for _, t := range resp.Stopped {
			_, index, err := structs.TaskID(t.Task).Split()
			if err == nil {
				e.core.jobs.RunStopped(job, orchestrator.TaskRun{Index: index, Attempt: int(t.Attempt)})
			}
		}
	})
}

// round is a collection that is under way.
type round struct {
	collection *orchestrator.InventoryRound
	epoch      int64
	open       map[string]bool
	found      []orchestrator.FoundRun
	incomplete bool
	retryAt    time.Time
	reason     string
}

// collect asks every member what it runs of the jobs in doubt, one round at a
// time.
func (c *core) collect(now time.Time) {
	if !c.joined || (c.round != nil && (len(c.round.open) > 0 || now.Before(c.round.retryAt))) {
		return
	}
	collection := c.jobs.StartInventory()
	if collection == nil {
		c.round = nil
		return
	}
	r := &round{collection: collection, epoch: c.table.Epoch(), open: map[string]bool{}, retryAt: now.Add(collectRetry)}
	c.round = r
	req := &peerv1.InventoryRequest{Member: c.self(), Epoch: r.epoch, Jobs: collection.Jobs, Seq: c.nextSeq()}
	for _, m := range c.control.Members() {
		r.open[m.ID] = true
		c.e.spawn(func() { c.e.askInventory(m, r, req) })
	}
}

func (e *Entry) askInventory(m structs.Member, r *round, req *peerv1.InventoryRequest) {
	ctx, cancel := context.WithTimeout(e.ctx, collectTimeout)
	defer cancel()
	resp, err := e.peerOf(m).Inventory(ctx, req)
	if err != nil {
		e.pool.Reset(m)
	}
	e.post(func() { e.core.takeInventory(m, r, resp, err) })
}

// takeInventory takes one member's answer and closes the round with the last.
func (c *core) takeInventory(m structs.Member, r *round, resp *peerv1.InventoryResponse, err error) {
	if c.round != r || r.epoch != c.table.Epoch() {
		return
	}
	delete(r.open, m.ID)
	switch {
	case err != nil:
		r.incomplete = true
		r.reason = "member " + m.ID + " does not answer"
	case resp.Error != nil:
		r.incomplete = true
		r.reason = "member " + m.ID + ": " + resp.Error.Message
	default:
		r.addAnswer(m, resp)
	}
	if len(r.open) == 0 {
		c.closeRound(r)
	}
}

// endsOfTasks stands for the log among the members that a round waits for.
const endsOfTasks = "the log"

// closeRound ends a round whose inventories are there. A run that none of them shows
// may have ended under the job's former owner, which had the end in the log before any
// worker forgot the run: so the log is read once more before a task of a job that was
// gained counts as free.
func (c *core) closeRound(r *round) {
	groups := map[string]bool{}
	for _, id := range r.collection.Jobs {
		if c.unread[id] {
			groups[structs.JobGroup(id)] = true
		}
	}
	if r.incomplete || len(groups) == 0 {
		c.decideRound(r)
		return
	}
	r.open[endsOfTasks] = true
	c.e.spawn(func() { c.e.readEnds(r, groups) })
}

// readEnds reads the ends of tasks that the log holds by now.
func (e *Entry) readEnds(r *round, groups map[string]bool) {
	var err error
	for group := range groups {
		if err == nil {
			err = e.refreshJobs(e.ctx, group)
		}
	}
	e.post(func() { e.core.endsRead(r, err) })
}

func (c *core) endsRead(r *round, err error) {
	if c.round != r || r.epoch != c.table.Epoch() {
		return
	}
	clear(r.open)
	if err != nil {
		r.incomplete = true
		r.reason = "the ends of tasks are not read: " + err.Error()
	}
	for _, id := range r.collection.Jobs {
		if err == nil {
			delete(c.unread, id)
		}
	}
	c.decideRound(r)
}

func (c *core) decideRound(r *round) {
	c.jobs.FinishInventory(r.collection, r.found, !r.incomplete)
	c.nextSchedule = time.Time{}
}

func (r *round) addAnswer(m structs.Member, resp *peerv1.InventoryResponse) {
	if len(resp.UnknownWorkers) > 0 {
		r.incomplete = true
		r.reason = "worker " + resp.UnknownWorkers[0] + " is not accounted for"
	}
	for _, t := range resp.Tasks {
		job, ref, err := refOf(t)
		state := structs.AllocState(t.State)
		if err != nil || state == structs.AllocReserved {
			continue
		}
		r.found = append(r.found, orchestrator.FoundRun{Job: job, Run: ref, State: state, Member: m.ID})
	}
}
