package controller

import (
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// job is a job that the controller knows.
type job struct {
	spec  *workload.Job
	class *workload.Class
	// state is final or empty while the job goes on.
	state   workload.JobState
	endedAt time.Time
	// stored says that the job itself is in the store, shown that its final state is.
	stored bool
	shown  bool
	// base is the number above which runs are numbered: those of a job that was accepted
	// under an earlier epoch may be unknown.
	base int64
	// begun says that some task has been started, counted that the job is counted as
	// waiting.
	begun   bool
	counted bool

	open      []*occurrence
	next      int // the next occurrence to open
	doneBelow int
	closed    map[int]bool // occurrences from doneBelow on that are done
	opensAt   time.Time    // for which a call to open the next occurrence was asked
	runs      int          // runs that may be present somewhere

	acceptedAt time.Time
	due        time.Time // when the job has to be complete to be on time
	below      []time.Duration
	notes      []note // ends that are noted once the progress is stored
	// changes counts the changes of the job's progress, storedChanges those that the
	// store holds.
	changes, storedChanges int
}

// note is an end that the worker may forget once it is stored.
type note struct {
	w    *worker
	boot int64
	seq  int64
}

// occurrence is one run of a job's steps.
type occurrence struct {
	job   *job
	k     int
	dueAt time.Time
	steps []*step
	left  int // steps that are not done
}

// step is a step of an occurrence.
type step struct {
	occ   *occurrence
	index int
	def   *workload.Step
	size  structs.Resources
	tasks []*task
	done  int
	waits int // steps before that are not done
	// pending counts tasks that are to be started, copies those that are to be started
	// once more beside a slow run.
	pending int
	copies  int
	// perWorker counts the runs by worker, where the step has a limit.
	perWorker map[*worker]int
	gang      *gang
	advice    *advice
	// notBefore is when the step's occurrence is due.
	notBefore time.Time
	// latest and late are worked out by each pass of placement: when the step has to
	// start to be in time, and whether that has passed.
	latest time.Time
	late   bool
	// startAt is when a gang is expected to fit, zero if that is not known.
	startAt time.Time
	// waitsSince is when a gang that does not fit yet first found enough workers that
	// may hold it.
	waitsSince time.Time
	// knowsSince is when a gang first knew enough workers that may hold it when empty.
	knowsSince time.Time
	// waitTold is when a line last told why the step waits.
	waitTold time.Time
	// preempted is when runs were last stopped to make room for the step, searched when
	// runs to stop were last looked for.
	preempted time.Time
	searched  time.Time
}

// gang is the state of a step whose tasks run together.
type gang struct {
	number int64 // of the present attempt, zero if none
	since  time.Time
	// whole says that all members have been seen at work.
	whole bool
	// breaking says that the attempt is being stopped.
	breaking bool
	failed   []int64
	saved    string
	savedRun int64
}

// task is a task of a step.
type task struct {
	step     *step
	index    int
	done     bool
	runs     []*run
	last     int64 // the highest number of a run
	failed   []int64
	saved    string
	savedRun int64
	// uncertain tasks may run on a worker that is not accounted for.
	uncertain bool
	// aliens counts runs that are being stopped and not counted in runs.
	aliens int
	// moves is how often the task was moved off a worker. avoid is the worker that it
	// was moved off or failed on last, which it is kept off until avoidTo.
	moves   int
	avoid   *worker
	avoidTo time.Time
	// copyWanted says that another run is to be started beside the present one.
	copyWanted bool
	notBefore  time.Time
}

func (j *job) setClass(class *workload.Class) {
	j.class = class
	var extra time.Duration
	if class.Advisor != nil {
		extra = class.Advisor.CallTime(chainAdviceWorkers)
	}
	j.below = j.spec.CriticalPaths(extra)
	var longest time.Duration
	for _, d := range j.below {
		longest = max(longest, d)
	}
	j.due = j.acceptedAt.Add(time.Duration(class.Stretch*float64(longest)) + class.Target)
}

// chainAdviceWorkers is the number of workers for which targets count a call for
// advice.
const chainAdviceWorkers = 30

// over reports whether nothing more is to be started.
func (j *job) over() bool { return j.state != "" }

// newOccurrence opens occurrence k.
func (j *job) newOccurrence(k int, dueAt time.Time) *occurrence {
	occ := &occurrence{job: j, k: k, dueAt: dueAt, left: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		occ.steps = append(occ.steps, newStep(occ, i))
	}
	return occ
}

func newStep(occ *occurrence, index int) *step {
	def := &occ.job.spec.Steps[index]
	s := &step{
		occ:     occ,
		index:   index,
		def:     def,
		size:    def.ReservedSize(),
		tasks:   make([]*task, def.Count),
		waits:   len(def.DependsOn),
		pending: def.Count,
	}
	backing := make([]task, def.Count)
	for i := range backing {
		backing[i] = task{step: s, index: i, last: occ.job.base}
		s.tasks[i] = &backing[i]
	}
	if def.Gang {
		s.gang = &gang{}
	}
	if def.MaxPerWorker > 0 {
		s.perWorker = map[*worker]int{}
	}
	return s
}

// close counts an occurrence as done. Occurrences may overlap, and a later one may be
// done first.
func (j *job) close(k int) {
	if j.closed == nil {
		j.closed = map[int]bool{}
	}
	j.closed[k] = true
	for j.closed[j.doneBelow] {
		delete(j.closed, j.doneBelow)
		j.doneBelow++
	}
}

func (s *step) job() *job { return s.occ.job }

// id names the step.
func (s *step) id() workload.StepID {
	return workload.StepID{Job: s.job().spec.ID, Occurrence: s.occ.k, Step: s.index}
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{StepID: t.step.id(), Index: t.index}
}

// complete reports whether all tasks are done.
func (s *step) complete() bool { return s.done == len(s.tasks) }

// open reports whether tasks of the step may be started once the job is stored.
func (s *step) open() bool {
	return s.waits == 0 && !s.complete() && !s.job().over()
}

// dueAt is when the step's tasks have to be started at the latest to finish the
// occurrence on time.
func (s *step) latestStart() time.Time {
	j := s.job()
	due := j.due
	if j.spec.Recurring() {
		due = s.occ.dueAt.Add(j.due.Sub(j.acceptedAt))
	}
	return due.Add(-j.below[s.index])
}

// removeRun drops a run of the task from its list.
func (t *task) removeRun(r *run) {
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}
