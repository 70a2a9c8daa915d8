// Package orchestrator is the decision part of a job's owner: which tasks wait,
// where the others are, what a lost answer leaves in doubt, and what the log has
// to be told. It is pure: the entry's control goroutine calls it, passes the time
// in and carries out what it returns.
package orchestrator

import (
	"time"

	"dotterelhitch/internal/structs"
)

// phase is where a task stands for its job's owner.
type phase uint8

const (
	// pending: runs nowhere, waits for a placement.
	pending phase = iota
	// placing: a placement call is on its way.
	placing
	// doubt: may run somewhere; an inventory has to tell.
	doubt
	// placed: on a worker, as far as the worker's owner has said.
	placed
	// ending: ended, the log has still to be told.
	ending
	// ended: the log has its end.
	ended
	phases
)

// task is one task of an owned job.
type task struct {
	phase   phase
	attempt int
	worker  string
	running bool
	// ran is true once the task has run at all.
	ran   bool
	end   structs.AllocState
	fails int
	// checkpoint is what the last run saved, empty if nothing.
	checkpoint string
	// evictions is how often runs were stopped to make room.
	evictions int
	// leastMemory is what the task has to be granted at least, in MiB.
	leastMemory int64
	// kills is how often runs were killed for memory.
	kills int
}

// job is one owned job.
type job struct {
	spec  structs.Job
	tasks []task
	count [phases]int
	// due is when the tasks have to have started to meet the class's target.
	due time.Time
	// target is that of the class when the job was gained.
	target structs.Target
	// floor is the attempt above which this owner places.
	floor int
	// retryAt is the earliest time of the next placement.
	retryAt time.Time
	backoff time.Duration
	// collect asks for an inventory before tasks in doubt are decided.
	collect bool
	// stopAll is set for a gang that has to start over: its tasks are stopped
	// before any is placed again.
	stopAll   bool
	cancelled bool
	parked    string
	// hopeless says why the job should be parked; empty while it should not.
	hopeless string
	// ran counts the tasks that have run at all; started is when the last of them
	// first ran.
	ran     int
	started time.Time
	reason  string

	// heldTasks is the number of tasks counted as held by the team.
	heldTasks int
	// attention is where changes of the job are marked; nil before it is held.
	attention *attention
	// dropped is set once the job is held no more.
	dropped bool
	// lane, queuedAt and seq say which entry of a heap stands for the job.
	lane     lane
	queuedAt time.Time
	seq      int
	// counted is the part of the job in the number of waiting tasks.
	counted int
}

func newJob(spec structs.Job, due time.Time) *job {
	j := &job{spec: spec, due: due, tasks: make([]task, spec.Count)}
	j.count[pending] = spec.Count
	return j
}

// move changes the phase of a task and keeps the counts.
func (j *job) move(index int, to phase) {
	t := &j.tasks[index]
	j.count[t.phase]--
	t.phase = to
	j.count[to]++
	j.mark()
	if to == pending || to == doubt {
		t.running = false
	}
}

// over reports whether nothing more is to be started.
func (j *job) over() bool { return j.cancelled || j.parked != "" }

// live is the number of tasks that may run somewhere.
func (j *job) live() int { return j.count[placing] + j.count[doubt] + j.count[placed] }

// waiting reports whether tasks may be placed now.
func (j *job) waiting() bool {
	if j.over() || j.count[pending] == 0 || j.stopAll {
		return false
	}
	if j.spec.Kind == structs.KindGang {
		return j.live() == 0
	}
	return true
}

// state returns the job's state for status calls.
func (j *job) state() structs.JobState {
	switch {
	case j.cancelled:
		return structs.JobCancelled
	case j.parked != "":
		return structs.JobFailed
	case j.count[ended]+j.count[ending] == len(j.tasks):
		return structs.JobComplete
	case j.count[placed]+j.count[ending]+j.count[ended] == len(j.tasks):
		return structs.JobRunning
	default:
		return structs.JobPending
	}
}

// waitingTasks is the number of tasks that are still to run.
func (j *job) waitingTasks() int {
	n := j.count[placing] + j.count[doubt]
	if !j.over() {
		n += j.count[pending]
	}
	return n
}

// noteRan counts the first run of a task.
func (j *job) noteRan(index int, now time.Time) {
	if j.tasks[index].ran {
		return
	}
	j.tasks[index].ran = true
	j.ran++
	if j.ran == len(j.tasks) {
		j.started = now
	}
}

// status renders the job; allocations are listed up to maxAllocsShown.
func (j *job) status(now time.Time) structs.JobStatus {
	s := structs.JobStatus{
		Job:          j.spec,
		State:        j.state(),
		Pending:      j.waitingTasks(),
		Running:      j.count[placed],
		MissesTarget: j.count[pending] > 0 && !j.over() && now.After(j.due),
	}
	for i := range j.tasks {
		j.addTask(&s, i)
	}
	if !j.started.IsZero() {
		s.StartedMs = j.started.UnixMilli()
	}
	if j.reason != "" && s.Pending > 0 {
		s.Reasons = append(s.Reasons, j.reason)
	}
	if j.parked != "" {
		s.Reasons = append(s.Reasons, j.parked)
	}
	if j.count[doubt] > 0 {
		s.Reasons = append(s.Reasons, "some tasks may run on workers that do not answer")
	}
	return s
}

// maxAllocsShown bounds the allocations in a status answer.
const maxAllocsShown = 200

func (j *job) addTask(s *structs.JobStatus, index int) {
	t := j.tasks[index]
	switch {
	case t.phase == ending || t.phase == ended:
		countEnd(s, t.end)
	case j.over() && t.phase == pending:
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
