package orchestrator

import (
	"maps"
	"slices"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/scheduler/admission"
	"dotterelhitch/internal/scheduler/health"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// Retry delays.
const (
	// minBackoff and maxBackoff bound the delay after a placement that left tasks unplaced.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
	// maxFailureBackoff bounds the delay after a failed run, which doubles with each
	// failure.
	maxFailureBackoff = 30 * time.Second
	// DefaultStartWithin is the start target of a class that sets neither a start nor a
	// finish target.
	DefaultStartWithin = time.Minute
)

// Orchestrator holds the jobs owned by this entry. Only the control goroutine may use
// it.
type Orchestrator struct {
	jobs map[string]*job
	// health uses the results of the owned jobs' runs to distinguish a faulty worker,
	// on which tasks fail that succeed elsewhere, from a faulty job, whose tasks fail
	// on every worker.
	health *health.Tracker
	// quotaLookup returns the quota of a team; nil if there are no quotas.
	quotaLookup QuotaLookup
	// quotaShortages holds the resources that tasks could not get because of quotas
	// since the last call of QuotaShortages.
	quotaShortages map[QuotaKey]structs.Resources

	// startRate is the rate at which tasks are placed on workers.
	startRate admission.Rate

	index jobIndex
}

// startRateWindow is the window over which startRate is averaged.
const startRateWindow = 30 * time.Second

// New returns an orchestrator that owns no jobs.
func New() *Orchestrator {
	return &Orchestrator{
		jobs:           map[string]*job{},
		health:         health.NewTracker(),
		quotaShortages: map[QuotaKey]structs.Resources{},
		startRate:      admission.NewRate(startRateWindow),
		index:          newJobIndex(),
	}
}

// SetWorkerCount sets the number of usable workers of the cell.
func (o *Orchestrator) SetWorkerCount(n int) { o.health.SetUsableWorkers(n) }

// WorkersOnProbation returns the workers on which tasks fail that succeed elsewhere.
func (o *Orchestrator) WorkersOnProbation() []string { return o.health.WorkersOnProbation() }

// TaskRun is one run of a task. Worker is empty if it is not known.
type TaskRun struct {
	Index   int
	Attempt int
	Worker  string
	// Checkpoint is the checkpoint that the previous run of the task saved, empty if
	// there is none.
	Checkpoint string
	// Evictions is the number of runs of the task that were evicted.
	Evictions int
	// MinMemoryMiB is the least memory that the next run of the task needs because this
	// run was stopped or killed for lack of memory; zero otherwise.
	MinMemoryMiB int64
}

// PlacementRequest asks the owners of workers to place tasks of one job.
type PlacementRequest struct {
	Job   structs.Job
	Tasks []TaskRun
	// MinMemoryMiB is the least memory that each task must be granted.
	MinMemoryMiB int64
	// Slack is the time left until the class's target; negative if the target has
	// passed.
	Slack time.Duration
	// RunningSlack is the delay that the target tolerates once the tasks are running.
	RunningSlack time.Duration
	// LatestStart is the latest start time at which the tasks still meet the target.
	LatestStart time.Time
	// AvoidWorkers lists workers on which tasks of the job failed.
	AvoidWorkers []string
	// ProbeWorkers lists workers on probation that may receive one of the tasks.
	ProbeWorkers []string
}

// attemptBits is the number of low bits of an attempt number that count the runs placed
// by one owner. The higher bits are the epoch at which that owner took over the job.
const attemptBits = 20

// AddJob starts owning a job at the given epoch. fresh means that no member can have
// placed a task of the job before: no inventory is needed, and attempts count from 1.
// Otherwise attempts count from a number derived from the epoch, because runs placed by
// former owners may stay unknown for a long time and two runs of a task must never have
// the same attempt number.
func (o *Orchestrator) AddJob(sj *state.Job, class structs.Class, epoch int64, fresh bool) {
	if o.jobs[sj.Job.ID] != nil || sj.Ended() {
		return
	}
	j := newJob(sj.Job, latestStart(sj.Job, class))
	j.target = class.Target
	for index, end := range sj.Ends {
		j.tasks[index].endState = end
		j.setPhase(index, ended)
	}
	if !fresh {
		j.attemptFloor = int(epoch) << attemptBits
		j.needsInventory = true
		for i := range j.tasks {
			if j.tasks[i].phase == pending {
				j.setPhase(i, inDoubt)
			}
		}
	}
	o.jobs[sj.Job.ID] = j
	j.index = &o.index
	j.markChanged()
}

// latestStart returns the latest time at which the tasks of a job may start and still
// meet the class's target.
func latestStart(spec structs.Job, class structs.Class) time.Time {
	accepted := time.UnixMilli(spec.AcceptedMs)
	target := class.Target
	switch {
	case target.StartWithin > 0:
		return accepted.Add(target.StartWithin.AsDuration())
	case target.FinishWithin > 0:
		return accepted.Add(target.FinishWithin.AsDuration() - spec.RunTime.AsDuration())
	default:
		return accepted.Add(DefaultStartWithin)
	}
}

// RemoveJob stops owning a job that has another owner or has ended.
func (o *Orchestrator) RemoveJob(id string) {
	if j := o.jobs[id]; j != nil {
		j.removed = true
		j.markChanged()
	}
	delete(o.jobs, id)
	o.health.ForgetJob(id)
}

// Owns reports whether this entry owns the job.
func (o *Orchestrator) Owns(id string) bool { return o.jobs[id] != nil }

// JobIDs returns the IDs of the owned jobs in sorted order.
func (o *Orchestrator) JobIDs() []string { return slices.Sorted(maps.Keys(o.jobs)) }

// Len returns the number of owned jobs.
func (o *Orchestrator) Len() int { return len(o.jobs) }

// PendingTasks returns the number of tasks that wait for a placement.
func (o *Orchestrator) PendingTasks() int {
	o.index.applyChanges()
	return o.index.pendingTasks
}

// Status returns the status of an owned job, and false for any other.
func (o *Orchestrator) Status(id string, now time.Time) (structs.JobStatus, bool) {
	j := o.jobs[id]
	if j == nil {
		return structs.JobStatus{}, false
	}
	return j.status(now), true
}

// LateWork returns the classes that have tasks waiting past their target, or that will
// have some at the recent rate of task starts.
func (o *Orchestrator) LateWork(now time.Time) []scheduler.LateTasks {
	var waiting []scheduler.WaitingTasks
	for _, j := range o.jobs {
		if j.tasksIn[pending] > 0 && !j.terminated() {
			waiting = append(waiting, scheduler.WaitingTasks{Class: j.spec.Class, Count: j.tasksIn[pending], LatestStart: j.latestStart})
		}
	}
	return scheduler.ForecastLateTasks(waiting, now, o.startRate.PerSecond(now))
}

// NextPlacements returns the placements to request now, least slack first, with at most
// limit tasks in total; a gang is never split, even if it exceeds the limit. The tasks
// are in phase placing until PlacementDone is called.
func (o *Orchestrator) NextPlacements(now time.Time, limit int) []PlacementRequest {
	o.index.applyChanges()
	probes := o.health.ProbesDue(now)
	var requests []PlacementRequest
	for limit > 0 {
		j := o.index.popReady(now)
		if j == nil {
			break
		}
		tasks := o.tasksWithinQuota(j, limit)
		if tasks == 0 {
			j.delayForQuota(now)
			continue
		}
		req := j.placementRequest(now, tasks)
		o.index.applyChanges()
		req.AvoidWorkers = o.health.WorkersToAvoid(j.spec.ID)
		if len(probes) > 0 && j.spec.Kind == structs.KindBatch {
			req.ProbeWorkers = probes[:1]
			probes = probes[1:]
			o.health.RecordProbeSent(req.ProbeWorkers[0])
		}
		limit -= len(req.Tasks)
		requests = append(requests, req)
	}
	return requests
}

// placementRequest moves up to limit pending tasks of the job, or a whole gang, to phase
// placing and returns the request for them.
func (j *job) placementRequest(now time.Time, limit int) PlacementRequest {
	req := PlacementRequest{Job: j.spec, Slack: j.latestStart.Sub(now), LatestStart: j.latestStart}
	req.RunningSlack = scheduler.RunningSlack(j.target, req.Slack)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != pending {
			continue
		}
		if len(req.Tasks) >= limit && j.spec.Kind != structs.KindGang {
			break
		}
		if !req.tryInclude(t) {
			continue
		}
		t.attempt = max(t.attempt, j.attemptFloor) + 1
		j.setPhase(i, placing)
		req.Tasks = append(req.Tasks, TaskRun{Index: i, Attempt: t.attempt, Checkpoint: t.checkpoint, Evictions: t.evictions})
	}
	return req
}

// PlacementDone records the answer to a placement request. The started tasks are on
// their workers, the uncertain ones may be, and all others are certainly not; reason
// says why tasks were not placed.
func (o *Orchestrator) PlacementDone(req PlacementRequest, started, uncertain []TaskRun, reason error, now time.Time) {
	o.releaseProbes(req.ProbeWorkers, started)
	j := o.jobs[req.Job.ID]
	if j == nil {
		return
	}
	o.startRate.Add(now, len(started))
	for _, r := range started {
		if j.resolvePlacing(r, placed) {
			j.recordFirstRun(r.Index, now)
		}
	}
	for _, r := range uncertain {
		j.resolvePlacing(r, inDoubt)
	}
	if j.tasksIn[inDoubt] > 0 {
		j.needsInventory = true
		j.markChanged()
	}
	unplaced := 0
	for _, r := range req.Tasks {
		if j.resolvePlacing(r, pending) {
			unplaced++
		}
	}
	j.updateBackoff(unplaced, len(started), reason, now)
	if j.spec.Kind == structs.KindGang && unplaced > 0 && j.liveTasks() > 0 {
		j.restartGang = true
		j.markChanged()
	}
}

// releaseProbes returns the probes for which no task was placed.
func (o *Orchestrator) releaseProbes(probes []string, started []TaskRun) {
	for _, worker := range probes {
		if !slices.ContainsFunc(started, func(r TaskRun) bool { return r.Worker == worker }) {
			o.health.RecordProbeLost(worker)
		}
	}
}

// resolvePlacing moves a task from phase placing to another phase and reports whether
// the task was still placing this run.
func (j *job) resolvePlacing(r TaskRun, to phase) bool {
	t := &j.tasks[r.Index]
	if t.phase != placing || t.attempt != r.Attempt {
		return false
	}
	t.worker = r.Worker
	j.setPhase(r.Index, to)
	return true
}

// updateBackoff sets the time of the next placement after one that left tasks unplaced.
func (j *job) updateBackoff(unplaced, started int, reason error, now time.Time) {
	if unplaced == 0 {
		j.backoff = 0
		return
	}
	if reason != nil {
		j.pendingReason = structs.AsError(reason).Error()
	}
	if started > 0 {
		j.backoff = 0
	}
	j.backoff = min(max(2*j.backoff, minBackoff), maxBackoff)
	j.retryAt = now.Add(j.backoff)
	j.markChanged()
}

// ReportAction is what the worker's owner has to do after it reported a run.
type ReportAction uint8

// Actions after a report.
const (
	// ReportAgain: report again later; the end is not in the log yet.
	ReportAgain ReportAction = iota
	// ForgetRun: the worker may forget the run.
	ForgetRun
	// StopRun: stop the run; it should not exist.
	StopRun
	// Acknowledge: the report is recorded and the run continues.
	Acknowledge
)

// RecordReport records the state of a run as reported by the owner of its worker.
// settle is true if the end of the task now has to be written to the log.
func (o *Orchestrator) RecordReport(id string, r TaskRun, st structs.AllocState, now time.Time) (action ReportAction, settle bool) {
	j := o.jobs[id]
	if j == nil || r.Index < 0 || r.Index >= len(j.tasks) {
		return ReportAgain, false
	}
	t := &j.tasks[r.Index]
	if !st.Terminal() {
		return j.reportRunning(r, now), false
	}
	if t.attempt != r.Attempt {
		return j.reportOtherAttempt(r, st, now)
	}
	switch t.phase {
	case ended:
		return ForgetRun, false
	case committing:
		return ReportAgain, false
	case pending:
		return ForgetRun, false
	}
	o.recordRunHealth(j, r, st, now)
	return j.reportEnd(r, st, now)
}

// recordRunHealth adds the end of a run to the health records of its worker and its
// job.
func (o *Orchestrator) recordRunHealth(j *job, r TaskRun, st structs.AllocState, now time.Time) {
	var changes []health.StatusChange
	switch st {
	case structs.AllocComplete:
		changes = o.health.RecordSuccess(now, j.spec.ID, r.Worker)
	case structs.AllocFailed:
		t := &j.tasks[r.Index]
		if t.countMemoryKill(r, st); t.uncountedFailure(r, st) {
			return
		}
		changes = o.health.RecordFailure(now, j.spec.ID, r.Worker)
	}
	for _, ch := range changes {
		if failing := o.jobs[ch.Job]; failing != nil {
			failing.pendingFailReason = "its tasks fail on every worker that was tried, last on " + r.Worker
			failing.markChanged()
		}
	}
}

// reportOtherAttempt handles the end of a run other than the latest known one. While
// the task is in doubt, a run later than the latest known one may exist, so only a
// successful end counts.
func (j *job) reportOtherAttempt(r TaskRun, st structs.AllocState, now time.Time) (ReportAction, bool) {
	t := &j.tasks[r.Index]
	if t.phase != inDoubt || r.Attempt < t.attempt {
		return ForgetRun, false
	}
	if st == structs.AllocComplete && j.spec.Kind != structs.KindService {
		return j.reportEnd(r, st, now)
	}
	return ReportAgain, false
}

// reportRunning handles the report of a run that has not ended.
func (j *job) reportRunning(r TaskRun, now time.Time) ReportAction {
	t := &j.tasks[r.Index]
	switch {
	case j.terminated():
		return StopRun
	case t.phase == inDoubt && r.Attempt >= t.attempt:
		t.attempt = r.Attempt
		j.setPhase(r.Index, placed)
	case t.phase == placing && r.Attempt == t.attempt:
		return Acknowledge
	case t.phase != placed || t.attempt != r.Attempt:
		return StopRun
	}
	t.worker = r.Worker
	t.running = true
	j.recordFirstRun(r.Index, now)
	return Acknowledge
}

// reportEnd handles the end of the latest run: either the task has ended, or it becomes
// pending for another run.
func (j *job) reportEnd(r TaskRun, st structs.AllocState, now time.Time) (ReportAction, bool) {
	t := &j.tasks[r.Index]
	t.attempt = max(t.attempt, r.Attempt)
	t.carryOver(r, st)
	if j.terminated() {
		j.setPhase(r.Index, pending)
		return ForgetRun, false
	}
	if st == structs.AllocComplete && j.spec.Kind != structs.KindService {
		t.endState = st
		j.setPhase(r.Index, committing)
		return ReportAgain, true
	}
	if st != structs.AllocStopped && !t.uncountedFailure(r, st) {
		t.failures++
		j.delayPlacement(failureBackoff(t.failures), now)
	}
	j.setPhase(r.Index, pending)
	if j.spec.Kind == structs.KindGang && j.liveTasks() > 0 {
		j.restartGang = true
		j.markChanged()
	}
	return ForgetRun, false
}

// failureBackoff returns the delay after the given number of failures of a task.
func failureBackoff(failures int) time.Duration {
	return min(minBackoff<<min(failures, 10), maxFailureBackoff)
}

// delayPlacement delays the next placement of the job by at least d.
func (j *job) delayPlacement(d time.Duration, now time.Time) {
	if at := now.Add(d); at.After(j.retryAt) {
		j.retryAt = at
		j.markChanged()
	}
}

// StartedMs returns the time at which the last task of a job first ran, in Unix
// milliseconds; zero if some task has not run yet.
func (o *Orchestrator) StartedMs(id string) int64 {
	j := o.jobs[id]
	if j == nil || j.allStartedAt.IsZero() {
		return 0
	}
	return j.allStartedAt.UnixMilli()
}

// TaskEndsCommitted records task ends that were read from the log.
func (o *Orchestrator) TaskEndsCommitted(id string, ends []state.TaskEnd) {
	j := o.jobs[id]
	if j == nil {
		return
	}
	for _, e := range ends {
		if e.Index < 0 || e.Index >= len(j.tasks) {
			continue
		}
		j.tasks[e.Index].endState = e.State
		j.setPhase(e.Index, ended)
	}
}

// RevertTaskEnds undoes ends that could not be queued for the log. The next reports of
// the same runs return them again.
func (o *Orchestrator) RevertTaskEnds(id string, ends []state.TaskEnd) {
	j := o.jobs[id]
	if j == nil {
		return
	}
	for _, e := range ends {
		if j.tasks[e.Index].phase == committing {
			j.setPhase(e.Index, placed)
		}
	}
}

// EndJob marks a job as cancelled, or as failed with a reason. Its remaining runs are
// then returned by RunsToStop.
func (o *Orchestrator) EndJob(id string, cancelled bool, failReason string) {
	j := o.jobs[id]
	if j == nil {
		return
	}
	j.cancelled = cancelled
	j.failReason = failReason
	j.markChanged()
}

// FailReason returns the reason for which the job should be failed, empty if there is
// none or the job is already cancelled or failed.
func (o *Orchestrator) FailReason(id string) string {
	j := o.jobs[id]
	if j == nil || j.terminated() {
		return ""
	}
	return j.pendingFailReason
}

// JobsToFail returns the IDs of the jobs that should be failed because their tasks fail
// on every worker.
func (o *Orchestrator) JobsToFail() []string {
	o.index.applyChanges()
	return sortedIDs(o.index.toFail, func(*job) bool { return true })
}

// sortedIDs returns the IDs of the jobs of a set that match the filter, sorted.
func sortedIDs(set map[*job]struct{}, matches func(*job) bool) []string {
	var out []string
	for j := range set {
		if matches(j) {
			out = append(out, j.spec.ID)
		}
	}
	slices.Sort(out)
	return out
}

// FinishedJobs returns the IDs of the jobs that have ended and have no run and no
// uncommitted end left.
func (o *Orchestrator) FinishedJobs() []string {
	o.index.applyChanges()
	return sortedIDs(o.index.finishing, func(j *job) bool {
		noRuns := j.liveTasks() == 0 && j.tasksIn[committing] == 0
		return noRuns && (j.terminated() || j.tasksIn[ended] == len(j.tasks))
	})
}

// RunsToStop returns the runs that have to be stopped, by job ID. Jobs for which
// inProgress returns true are left out, because their stops are already in flight.
func (o *Orchestrator) RunsToStop(inProgress func(id string) bool) map[string][]TaskRun {
	o.index.applyChanges()
	out := map[string][]TaskRun{}
	for j := range o.index.finishing {
		if !j.terminated() && !j.restartGang {
			continue
		}
		if j.restartGang && j.liveTasks() == 0 {
			j.restartGang = false
			j.markChanged()
			continue
		}
		id := j.spec.ID
		if j.tasksIn[placed] == 0 || inProgress(id) {
			continue
		}
		for i, t := range j.tasks {
			if t.phase == placed {
				out[id] = append(out[id], TaskRun{Index: i, Attempt: t.attempt, Worker: t.worker})
			}
		}
	}
	return out
}

// RunStopped records that a run certainly does not run any more.
func (o *Orchestrator) RunStopped(id string, r TaskRun) {
	j := o.jobs[id]
	if j == nil || r.Index < 0 || r.Index >= len(j.tasks) {
		return
	}
	t := &j.tasks[r.Index]
	if t.attempt == r.Attempt && (t.phase == placed || t.phase == inDoubt) {
		j.setPhase(r.Index, pending)
	}
}
