// Package orchestrator makes the decisions of a job's owner: which tasks to place,
// where the others run, which tasks are in doubt after a lost answer, and which ends to
// write to the log. It does no I/O and reads no clock: the entry's control goroutine
// calls it with the current time and carries out the result.
package orchestrator

import (
	"time"

	"dotterelhitch/internal/structs"
)

// phase is the state of a task as known to the owner of its job.
type phase uint8

const (
	// pending: has no run and waits for a placement.
	pending phase = iota
	// placing: a placement call is in flight.
	placing
	// inDoubt: may have a run somewhere; an inventory of the workers decides.
	inDoubt
	// placed: on a worker, according to the worker's owner.
	placed
	// committing: has ended, but the end is not in the log yet.
	committing
	// ended: the end is in the log.
	ended
	phaseCount
)

// task is one task of an owned job.
type task struct {
	phase   phase
	attempt int
	worker  string
	running bool
	// everRan is true once some run of the task has started.
	everRan  bool
	endState structs.AllocState
	failures int
	// checkpoint is the checkpoint that the previous run saved, empty if there is none.
	checkpoint string
	// evictions is the number of runs of the task that were evicted.
	evictions int
	// minMemoryMiB is the least memory that the next run must be granted.
	minMemoryMiB int64
	// memoryKills is the number of runs that were killed for lack of memory.
	memoryKills int
}

// job is one owned job.
type job struct {
	spec  structs.Job
	tasks []task
	// tasksIn is the number of tasks in each phase.
	tasksIn [phaseCount]int
	// latestStart is the latest start time at which the tasks still meet the class's
	// target.
	latestStart time.Time
	// target is the class's target at the time when the job was added.
	target structs.Target
	// attemptFloor is the number above which this owner numbers its attempts.
	attemptFloor int
	// retryAt is the earliest time of the next placement. backoff is the last delay
	// after a placement that left tasks unplaced.
	retryAt time.Time
	backoff time.Duration
	// needsInventory is set while an inventory has to decide tasks in doubt.
	needsInventory bool
	// restartGang is set for a gang that has to restart: all its runs are stopped
	// before any task is placed again.
	restartGang bool
	cancelled   bool
	// failReason says why the job was failed; empty if it was not.
	failReason string
	// pendingFailReason says why the job should be failed; empty if it should not.
	pendingFailReason string
	// tasksRan is the number of tasks that have run at all. allStartedAt is when the
	// last of them first ran.
	tasksRan     int
	allStartedAt time.Time
	// pendingReason says why tasks were not placed.
	pendingReason string

	// quotaTasks is the number of tasks that count towards the team's quota usage.
	quotaTasks int
	// index records every change of the job; nil until the job is owned.
	index *jobIndex
	// removed is set once the job is no longer owned.
	removed bool
	// queue is the heap in which the job waits, queuedRetryAt the retryAt with which it
	// was pushed, and queueSeq the sequence number of its valid heap item.
	queue         queueKind
	queuedRetryAt time.Time
	queueSeq      int
	// countedPending is the number of tasks that this job contributes to
	// jobIndex.pendingTasks.
	countedPending int
}

func newJob(spec structs.Job, latestStart time.Time) *job {
	j := &job{spec: spec, latestStart: latestStart, tasks: make([]task, spec.Count)}
	j.tasksIn[pending] = spec.Count
	return j
}

// setPhase changes the phase of a task and updates the counts.
func (j *job) setPhase(index int, to phase) {
	t := &j.tasks[index]
	j.tasksIn[t.phase]--
	t.phase = to
	j.tasksIn[to]++
	j.markChanged()
	if to == pending || to == inDoubt {
		t.running = false
	}
}

// terminated reports whether the job was cancelled or failed, so that no task is placed
// any more.
func (j *job) terminated() bool { return j.cancelled || j.failReason != "" }

// liveTasks returns the number of tasks that may be running somewhere.
func (j *job) liveTasks() int { return j.tasksIn[placing] + j.tasksIn[inDoubt] + j.tasksIn[placed] }

// placeable reports whether the job has tasks to place, regardless of retryAt.
func (j *job) placeable() bool {
	if j.terminated() || j.tasksIn[pending] == 0 || j.restartGang {
		return false
	}
	if j.spec.Kind == structs.KindGang {
		return j.liveTasks() == 0
	}
	return true
}

// state returns the job's state for status calls.
func (j *job) state() structs.JobState {
	switch {
	case j.cancelled:
		return structs.JobCancelled
	case j.failReason != "":
		return structs.JobFailed
	case j.tasksIn[ended]+j.tasksIn[committing] == len(j.tasks):
		return structs.JobComplete
	case j.tasksIn[placed]+j.tasksIn[committing]+j.tasksIn[ended] == len(j.tasks):
		return structs.JobRunning
	default:
		return structs.JobPending
	}
}

// unplacedTasks returns the number of tasks that are not known to have been placed.
func (j *job) unplacedTasks() int {
	n := j.tasksIn[placing] + j.tasksIn[inDoubt]
	if !j.terminated() {
		n += j.tasksIn[pending]
	}
	return n
}

// recordFirstRun counts the task as run, the first time that it runs.
func (j *job) recordFirstRun(index int, now time.Time) {
	if j.tasks[index].everRan {
		return
	}
	j.tasks[index].everRan = true
	j.tasksRan++
	if j.tasksRan == len(j.tasks) {
		j.allStartedAt = now
	}
}

// status returns the job's status with at most maxAllocsShown allocations.
func (j *job) status(now time.Time) structs.JobStatus {
	s := structs.JobStatus{
		Job:          j.spec,
		State:        j.state(),
		Pending:      j.unplacedTasks(),
		Running:      j.tasksIn[placed],
		MissesTarget: j.tasksIn[pending] > 0 && !j.terminated() && now.After(j.latestStart),
	}
	for i := range j.tasks {
		j.addTask(&s, i)
	}
	if !j.allStartedAt.IsZero() {
		s.StartedMs = j.allStartedAt.UnixMilli()
	}
	if j.pendingReason != "" && s.Pending > 0 {
		s.Reasons = append(s.Reasons, j.pendingReason)
	}
	if j.failReason != "" {
		s.Reasons = append(s.Reasons, j.failReason)
	}
	if j.tasksIn[inDoubt] > 0 {
		s.Reasons = append(s.Reasons, "some tasks may run on workers that do not answer")
	}
	return s
}

// maxAllocsShown limits the allocations listed in a job status.
const maxAllocsShown = 200

// addTask adds one task to a status.
func (j *job) addTask(s *structs.JobStatus, index int) {
	t := j.tasks[index]
	switch {
	case t.phase == committing || t.phase == ended:
		countEnd(s, t.endState)
	case j.terminated() && t.phase == pending:
		s.Cancelled++
	case t.phase == placed && len(s.Allocs) < maxAllocsShown:
		state := structs.AllocStarting
		if t.running {
			state = structs.AllocRunning
		}
		s.Allocs = append(s.Allocs, structs.Alloc{
			Task:    structs.NewTaskID(j.spec.ID, index),
			Attempt: t.attempt,
			Worker:  t.worker,
			Class:   j.spec.Class,
			Team:    j.spec.Team,
			Size:    j.spec.Size,
			State:   state,
		})
	}
}

func countEnd(s *structs.JobStatus, end structs.AllocState) {
	switch end {
	case structs.AllocComplete:
		s.Complete++
	case structs.AllocFailed:
		s.Failed++
	default:
		s.Cancelled++
	}
}
