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

// Rules of retries.
const (
	backoffShortest    = 20 * time.Millisecond
	backoffLongest     = time.Second
	failBackoffLongest = 30 * time.Second
	// DefaultStartWithin stands in for a class that states no start target.
	DefaultStartWithin = time.Minute
)

// Orchestrator holds the jobs that this entry owns. It belongs to the control
// goroutine.
type Orchestrator struct {
	jobs map[string]*job
	// health tells workers that fail what succeeds elsewhere from jobs that fail
	// everywhere, by the results of the held jobs.
	health *health.Tracker
	// quota tells what a team may hold; nil for no quotas.
	quota QuotaLookup
	// short are the needs that quotas left unmet since Shortages was called.
	short map[QuotaKey]structs.Resources

	// starts is the rate of task starts.
	starts admission.Rate

	attention attention
}

// startsWindow is the time over which the rate of starts is taken.
const startsWindow = 30 * time.Second

// New returns an orchestrator that owns nothing.
func New() *Orchestrator {
	return &Orchestrator{
		jobs:      map[string]*job{},
		health:    health.NewTracker(),
		short:     map[QuotaKey]structs.Resources{},
		starts:    admission.NewRate(startsWindow),
		attention: newAttention(),
	}
}

// SetWorkerCount sets the number of usable workers of the cell.
func (o *Orchestrator) SetWorkerCount(n int) { o.health.SetUsableWorkers(n) }

// WorkersOnProbation returns the workers that fail what succeeds elsewhere.
func (o *Orchestrator) WorkersOnProbation() []string { return o.health.WorkersOnProbation() }

// TaskRun is one run of a task, with its worker where it is known.
type TaskRun struct {
	Index   int
	Attempt int
	Worker  string
	// Checkpoint is what the last run of the task saved, empty if nothing.
	Checkpoint string
	// Evictions is how often runs of the task were stopped to make room.
	Evictions int
	// MinMemoryMiB is what the task has to be granted next, since the run was
	// stopped or killed for memory; zero if it was not.
	MinMemoryMiB int64
}

// PlacementRequest is a placement to ask for.
type PlacementRequest struct {
	Job   structs.Job
	Tasks []TaskRun
	// MinMemoryMiB is the least memory that the tasks are to be granted.
	MinMemoryMiB int64
	// Slack is the time left to the class's target, negative if late.
	Slack time.Duration
	// RunningSlack is how far the target lets the tasks be put off while they run.
	RunningSlack time.Duration
	// LatestStart is when the tasks have to start to meet the target.
	LatestStart time.Time
	// AvoidWorkers are workers on which tasks of the job failed.
	AvoidWorkers []string
	// ProbeWorkers are workers on probation that may get one of the tasks.
	ProbeWorkers []string
}

// attemptBits is the number of bits of an attempt that count the runs placed by one
// owner; those above them are the epoch at which it gained the job.
const attemptBits = 20

// AddJob takes over a job at an epoch. fresh says that nobody can have placed a task of
// it before, so that no inventory is needed and attempts count from one. Otherwise
// they count from the epoch: what former owners have placed may be unknown for long,
// and no two runs of a task may have the same attempt.
func (o *Orchestrator) AddJob(sj *state.Job, class structs.Class, epoch int64, fresh bool) {
	if o.jobs[sj.Job.ID] != nil || sj.Ended() {
		return
	}
	j := newJob(sj.Job, dueTime(sj.Job, class))
	j.target = class.Target
	for index, end := range sj.Ends {
		j.tasks[index].end = end
		j.move(index, ended)
	}
	if !fresh {
		j.floor = int(epoch) << attemptBits
		j.collect = true
		for i := range j.tasks {
			if j.tasks[i].phase == pending {
				j.move(i, doubt)
			}
		}
	}
	o.jobs[sj.Job.ID] = j
	j.attention = &o.attention
	j.mark()
}

// dueTime is when the tasks of a job have to have started.
func dueTime(spec structs.Job, class structs.Class) time.Time {
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

// RemoveJob forgets a job that is another's or has ended.
func (o *Orchestrator) RemoveJob(id string) {
	if j := o.jobs[id]; j != nil {
		j.dropped = true
		j.mark()
	}
	delete(o.jobs, id)
	o.health.ForgetJob(id)
}

// Owns reports whether the job is held.
func (o *Orchestrator) Owns(id string) bool { return o.jobs[id] != nil }

// JobIDs returns the held jobs in order.
func (o *Orchestrator) JobIDs() []string { return slices.Sorted(maps.Keys(o.jobs)) }

// Len is the number of held jobs.
func (o *Orchestrator) Len() int { return len(o.jobs) }

// PendingTasks is the number of tasks that wait for a placement.
func (o *Orchestrator) PendingTasks() int {
	o.attention.settleChanges()
	return o.attention.waiting
}

// Status returns the state of a held job.
func (o *Orchestrator) Status(id string, now time.Time) (structs.JobStatus, bool) {
	j := o.jobs[id]
	if j == nil {
		return structs.JobStatus{}, false
	}
	return j.status(now), true
}

// LateWork returns the classes of which tasks wait past their target, or will by the rate
// at which tasks have started of late.
func (o *Orchestrator) LateWork(now time.Time) []scheduler.LateTasks {
	var waiting []scheduler.WaitingTasks
	for _, j := range o.jobs {
		if j.count[pending] > 0 && !j.over() {
			waiting = append(waiting, scheduler.WaitingTasks{Class: j.spec.Class, Count: j.count[pending], LatestStart: j.due})
		}
	}
	return scheduler.ForecastLateTasks(waiting, now, o.starts.PerSecond(now))
}

// NextPlacements returns placements to ask for now, the least slack first, at most limit
// tasks in all (a gang counts whole). Their tasks are taken as being placed until
// Placed is called.
func (o *Orchestrator) NextPlacements(now time.Time, limit int) []PlacementRequest {
	o.attention.settleChanges()
	probes := o.health.ProbesDue(now)
	var orders []PlacementRequest
	for limit > 0 {
		j := o.attention.next(now)
		if j == nil {
			break
		}
		tasks := o.allowed(j, limit)
		if tasks == 0 {
			j.awaitQuota(now)
			continue
		}
		order := j.order(now, tasks)
		o.attention.settleChanges()
		order.AvoidWorkers = o.health.WorkersToAvoid(j.spec.ID)
		if len(probes) > 0 && j.spec.Kind == structs.KindBatch {
			order.ProbeWorkers = probes[:1]
			probes = probes[1:]
			o.health.RecordProbeSent(order.ProbeWorkers[0])
		}
		limit -= len(order.Tasks)
		orders = append(orders, order)
	}
	return orders
}

func (j *job) order(now time.Time, limit int) PlacementRequest {
	order := PlacementRequest{Job: j.spec, Slack: j.due.Sub(now), LatestStart: j.due}
	order.RunningSlack = scheduler.RunningSlack(j.target, order.Slack)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != pending {
			continue
		}
		if len(order.Tasks) >= limit && j.spec.Kind != structs.KindGang {
			break
		}
		if !order.join(t) {
			continue
		}
		t.attempt = max(t.attempt, j.floor) + 1
		j.move(i, placing)
		order.Tasks = append(order.Tasks, TaskRun{Index: i, Attempt: t.attempt, Checkpoint: t.checkpoint, Evictions: t.evictions})
	}
	return order
}

// PlacementDone takes the answer to a placement: placed tasks are on their worker, those
// in doubt may be, the others certainly are not.
func (o *Orchestrator) PlacementDone(order PlacementRequest, done, inDoubt []TaskRun, reason error, now time.Time) {
	o.endProbes(order.ProbeWorkers, done)
	j := o.jobs[order.Job.ID]
	if j == nil {
		return
	}
	o.starts.Add(now, len(done))
	for _, r := range done {
		if j.settlePlacing(r, placed) {
			j.noteRan(r.Index, now)
		}
	}
	for _, r := range inDoubt {
		j.settlePlacing(r, doubt)
	}
	if j.count[doubt] > 0 {
		j.collect = true
		j.mark()
	}
	back := 0
	for _, r := range order.Tasks {
		if j.settlePlacing(r, pending) {
			back++
		}
	}
	j.noteBackoff(back, len(done), reason, now)
	if j.spec.Kind == structs.KindGang && back > 0 && j.live() > 0 {
		j.stopAll = true
		j.mark()
	}
}

// endProbes frees the probes that no task was placed on.
func (o *Orchestrator) endProbes(probes []string, done []TaskRun) {
	for _, worker := range probes {
		if !slices.ContainsFunc(done, func(r TaskRun) bool { return r.Worker == worker }) {
			o.health.RecordProbeLost(worker)
		}
	}
}

// settlePlacing moves a task out of placing if it still is the same run.
func (j *job) settlePlacing(r TaskRun, to phase) bool {
	t := &j.tasks[r.Index]
	if t.phase != placing || t.attempt != r.Attempt {
		return false
	}
	t.worker = r.Worker
	j.move(r.Index, to)
	return true
}

func (j *job) noteBackoff(back, done int, reason error, now time.Time) {
	if back == 0 {
		j.backoff = 0
		return
	}
	if reason != nil {
		j.reason = structs.AsError(reason).Error()
	}
	if done > 0 {
		j.backoff = 0
	}
	j.backoff = min(max(2*j.backoff, backoffShortest), backoffLongest)
	j.retryAt = now.Add(j.backoff)
	j.mark()
}

// ReportAction is what to do with a report.
type ReportAction uint8

// The verdicts on a report.
const (
	// ReportAgain: keep reporting, the end is not in the log yet.
	ReportAgain ReportAction = iota
	// ForgetRun: the worker may forget the run.
	ForgetRun
	// StopRun: the run should not exist; stop it.
	StopRun
	// Acknowledge: the run goes on.
	Acknowledge
)

// RecordReport takes what a worker's owner says of a run. An end to be written to the
// log is returned with settle set.
func (o *Orchestrator) RecordReport(id string, r TaskRun, st structs.AllocState, now time.Time) (v ReportAction, settle bool) {
	j := o.jobs[id]
	if j == nil || r.Index < 0 || r.Index >= len(j.tasks) {
		return ReportAgain, false
	}
	t := &j.tasks[r.Index]
	if !st.Terminal() {
		return j.reportRunning(r, now), false
	}
	if t.attempt != r.Attempt {
		return j.reportOther(r, st, now)
	}
	switch t.phase {
	case ended:
		return ForgetRun, false
	case ending:
		return ReportAgain, false
	case pending:
		return ForgetRun, false
	}
	o.judge(j, r, st, now)
	return j.reportEnd(r, st, now)
}

// judge counts the end of a run for or against its worker and its job.
func (o *Orchestrator) judge(j *job, r TaskRun, st structs.AllocState, now time.Time) {
	var changes []health.StatusChange
	switch st {
	case structs.AllocComplete:
		changes = o.health.RecordSuccess(now, j.spec.ID, r.Worker)
	case structs.AllocFailed:
		t := &j.tasks[r.Index]
		if t.noteKill(r, st); t.excused(r, st) {
			return
		}
		changes = o.health.RecordFailure(now, j.spec.ID, r.Worker)
	}
	for _, ch := range changes {
		if blamed := o.jobs[ch.Job]; blamed != nil {
			blamed.hopeless = "its tasks fail on every worker that was tried, last on " + r.Worker
			blamed.mark()
		}
	}
}

// reportOther takes the end of a run other than the latest known. While the task
// is in doubt, a later run than the known one may exist, so only a good end counts.
func (j *job) reportOther(r TaskRun, st structs.AllocState, now time.Time) (ReportAction, bool) {
	t := &j.tasks[r.Index]
	if t.phase != doubt || r.Attempt < t.attempt {
		return ForgetRun, false
	}
	if st == structs.AllocComplete && j.spec.Kind != structs.KindService {
		return j.reportEnd(r, st, now)
	}
	return ReportAgain, false
}

func (j *job) reportRunning(r TaskRun, now time.Time) ReportAction {
	t := &j.tasks[r.Index]
	switch {
	case j.over():
		return StopRun
	case t.phase == doubt && r.Attempt >= t.attempt:
		t.attempt = r.Attempt
		j.move(r.Index, placed)
	case t.phase == placing && r.Attempt == t.attempt:
		return Acknowledge
	case t.phase != placed || t.attempt != r.Attempt:
		return StopRun
	}
	t.worker = r.Worker
	t.running = true
	j.noteRan(r.Index, now)
	return Acknowledge
}

// reportEnd decides between an end for good and another run.
func (j *job) reportEnd(r TaskRun, st structs.AllocState, now time.Time) (ReportAction, bool) {
	t := &j.tasks[r.Index]
	t.attempt = max(t.attempt, r.Attempt)
	t.noteSaved(r, st)
	if j.over() {
		j.move(r.Index, pending)
		return ForgetRun, false
	}
	if st == structs.AllocComplete && j.spec.Kind != structs.KindService {
		t.end = st
		j.move(r.Index, ending)
		return ReportAgain, true
	}
	if st != structs.AllocStopped && !t.excused(r, st) {
		t.fails++
		j.delay(backoffAfter(t.fails), now)
	}
	j.move(r.Index, pending)
	if j.spec.Kind == structs.KindGang && j.live() > 0 {
		j.stopAll = true
		j.mark()
	}
	return ForgetRun, false
}

// backoffAfter is the pause after the nth failure of a task.
func backoffAfter(fails int) time.Duration {
	return min(backoffShortest<<min(fails, 10), failBackoffLongest)
}

// delay puts off the next placement of the job.
func (j *job) delay(d time.Duration, now time.Time) {
	if at := now.Add(d); at.After(j.retryAt) {
		j.retryAt = at
		j.mark()
	}
}

// StartedMs is when the last task of a job first ran, in Unix milliseconds; zero if
// some task has not run yet.
func (o *Orchestrator) StartedMs(id string) int64 {
	j := o.jobs[id]
	if j == nil || j.started.IsZero() {
		return 0
	}
	return j.started.UnixMilli()
}

// TaskEndsCommitted takes the ends that the log now holds.
func (o *Orchestrator) TaskEndsCommitted(id string, ends []state.TaskEnd) {
	j := o.jobs[id]
	if j == nil {
		return
	}
	for _, e := range ends {
		if e.Index < 0 || e.Index >= len(j.tasks) {
			continue
		}
		j.tasks[e.Index].end = e.State
		j.move(e.Index, ended)
	}
}

// RevertTaskEnds takes back ends that could not be handed to the log; the next reports
// bring them again.
func (o *Orchestrator) RevertTaskEnds(id string, ends []state.TaskEnd) {
	j := o.jobs[id]
	if j == nil {
		return
	}
	for _, e := range ends {
		if j.tasks[e.Index].phase == ending {
			j.move(e.Index, placed)
		}
	}
}

// EndJob marks a job as cancelled or parked: what still runs has to be stopped.
func (o *Orchestrator) EndJob(id string, cancelled bool, parked string) {
	j := o.jobs[id]
	if j == nil {
		return
	}
	j.cancelled = cancelled
	j.parked = parked
	j.mark()
}

// FailReason returns a job's reason to be given up, empty if there is none.
func (o *Orchestrator) FailReason(id string) string {
	j := o.jobs[id]
	if j == nil || j.over() {
		return ""
	}
	return j.hopeless
}

// JobsToFail returns the jobs that should be given up.
func (o *Orchestrator) JobsToFail() []string {
	o.attention.settleChanges()
	return sortedIDs(o.attention.hopeless, func(*job) bool { return true })
}

// sortedIDs returns the JobIDs of those of a set of jobs that are wanted.
func sortedIDs(set map[*job]struct{}, wanted func(*job) bool) []string {
	var out []string
	for j := range set {
		if wanted(j) {
			out = append(out, j.spec.ID)
		}
	}
	slices.Sort(out)
	return out
}

// FinishedJobs returns the jobs for which nothing is left to do.
func (o *Orchestrator) FinishedJobs() []string {
	o.attention.settleChanges()
	return sortedIDs(o.attention.ending, func(j *job) bool {
		gone := j.live() == 0 && j.count[ending] == 0
		return gone && (j.over() || j.count[ended] == len(j.tasks))
	})
}

// RunsToStop returns runs that have to be stopped, by job, but for the jobs whose stops
// are under way.
func (o *Orchestrator) RunsToStop(underway func(id string) bool) map[string][]TaskRun {
	o.attention.settleChanges()
	out := map[string][]TaskRun{}
	for j := range o.attention.ending {
		if !j.over() && !j.stopAll {
			continue
		}
		if j.stopAll && j.live() == 0 {
			j.stopAll = false
			j.mark()
			continue
		}
		id := j.spec.ID
		if j.count[placed] == 0 || underway(id) {
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

// RunStopped takes the word that a run certainly does not run any more.
func (o *Orchestrator) RunStopped(id string, r TaskRun) {
	j := o.jobs[id]
	if j == nil || r.Index < 0 || r.Index >= len(j.tasks) {
		return
	}
	t := &j.tasks[r.Index]
	if t.attempt == r.Attempt && (t.phase == placed || t.phase == doubt) {
		j.move(r.Index, pending)
	}
}
