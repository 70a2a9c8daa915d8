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
	stored    bool
	endStored bool
	// runNumberBase is the number above which runs are numbered: those of a job that was accepted
	// under an earlier epoch may be unknown.
	runNumberBase int64
	// started says that some task has been started, counted that the job is counted as
	// waiting.
	started        bool
	countedWaiting bool

	open            []*occurrence
	nextOccurrence  int // the next occurrence to open
	doneBelow       int
	doneOccurrences map[int]bool // occurrences from doneBelow on that are done
	nextOpenAt      time.Time    // for which a call to open the next occurrence was asked
	runCount        int          // runs that may be present somewhere

	acceptedAt    time.Time
	deadline      time.Time // when the job has to be complete to be on time
	criticalPaths []time.Duration
	pendingAcks   []endAck // ends that are noted once the progress is stored
	// progressVersion counts the changes of the job's progress, storedProgressVersion those that the
	// store holds.
	progressVersion, storedProgressVersion int
}

// endAck is an end that the worker may forget once it is stored.
type endAck struct {
	worker *worker
	boot   int64
	seq    int64
}

// occurrence is one run of a job's steps.
type occurrence struct {
	job       *job
	number    int
	dueAt     time.Time
	steps     []*step
	stepsLeft int // steps that are not done
}

// step is a step of an occurrence.
type step struct {
	occ              *occurrence
	index            int
	def              *workload.Step
	size             structs.Resources
	tasks            []*task
	doneTasks        int
	openDependencies int // steps before that are not done
	// pending counts tasks that are to be started, copies those that are to be started
	// once more beside a slow run.
	pending      int
	copiesWanted int
	// perWorker counts the runs by worker, where the step has a limit.
	perWorker map[*worker]int
	gang      *gang
	advice    *stepAdvice
	// notBefore is when the step's occurrence is due.
	notBefore time.Time
	// latestStartAt and late are worked out by each pass of placement: when the step has to
	// start to be in time, and whether that has passed.
	latestStartAt time.Time
	late          bool
	// startAt is when a gang is expected to fit, zero if that is not known.
	startAt time.Time
	// waitingSince is when a gang that does not fit yet first found enough workers that
	// may hold it.
	waitingSince time.Time
	// enoughAllowedSince is when a gang first knew enough workers that may hold it when empty.
	enoughAllowedSince time.Time
	// lastWaitEvent is when a line last told why the step waits.
	lastWaitEvent time.Time
	// lastPreemption is when runs were last stopped to make room for the step, searched when
	// runs to stop were last looked for.
	lastPreemption   time.Time
	lastVictimSearch time.Time
}

// gang is the state of a step whose tasks run together.
type gang struct {
	attempt   int64 // of the present attempt, zero if none
	startedAt time.Time
	// allAtWork says that all members have been seen at work.
	allAtWork bool
	// aborting says that the attempt is being stopped.
	aborting      bool
	failedRuns    []int64
	checkpoint    string
	checkpointRun int64
}

// task is a task of a step.
type task struct {
	step          *step
	index         int
	done          bool
	runs          []*run
	highestRun    int64 // the highest number of a run
	failedRuns    []int64
	checkpoint    string
	checkpointRun int64
	// mayBeRunning tasks may run on a worker that is not accounted for.
	mayBeRunning bool
	// orphanRuns counts runs that are being stopped and not counted in runs.
	orphanRuns int
	// moves is how often the task was moved off a worker. avoid is the worker that it
	// was moved off or failed on last, which it is kept off until avoidUntil.
	moves         int
	avoidedWorker *worker
	avoidUntil    time.Time
	// copyWanted says that another run is to be started beside the present one.
	copyWanted bool
	notBefore  time.Time
}

func (j *job) setClass(class *workload.Class) {
	j.class = class
	var extra time.Duration
	if class.Advisor != nil {
		extra = class.Advisor.CallTime(assumedWorkersPerCall)
	}
	j.criticalPaths = j.spec.CriticalPaths(extra)
	var longest time.Duration
	for _, d := range j.criticalPaths {
		longest = max(longest, d)
	}
	j.deadline = j.acceptedAt.Add(time.Duration(class.Stretch*float64(longest)) + class.Target)
}

// assumedWorkersPerCall is the number of workers for which targets count a call for
// advice.
const assumedWorkersPerCall = 30

// ended reports whether nothing more is to be started.
func (j *job) ended() bool { return j.state != "" }

// newOccurrence opens occurrence k.
func (j *job) newOccurrence(number int, dueAt time.Time) *occurrence {
	occ := &occurrence{job: j, number: number, dueAt: dueAt, stepsLeft: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		occ.steps = append(occ.steps, newStep(occ, i))
	}
	return occ
}

func newStep(occ *occurrence, index int) *step {
	def := &occ.job.spec.Steps[index]
	s := &step{
		occ:              occ,
		index:            index,
		def:              def,
		size:             def.ReservedSize(),
		tasks:            make([]*task, def.Count),
		openDependencies: len(def.DependsOn),
		pending:          def.Count,
	}
	backing := make([]task, def.Count)
	for i := range backing {
		backing[i] = task{step: s, index: i, highestRun: occ.job.runNumberBase}
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

// markOccurrenceDone counts an occurrence as done. Occurrences may overlap, and a later one may be
// done first.
func (j *job) markOccurrenceDone(number int) {
	if j.doneOccurrences == nil {
		j.doneOccurrences = map[int]bool{}
	}
	j.doneOccurrences[number] = true
	for j.doneOccurrences[j.doneBelow] {
		delete(j.doneOccurrences, j.doneBelow)
		j.doneBelow++
	}
}

func (s *step) job() *job { return s.occ.job }

// id names the step.
func (s *step) id() workload.StepID {
	return workload.StepID{Job: s.job().spec.ID, Occurrence: s.occ.number, Step: s.index}
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{StepID: t.step.id(), Index: t.index}
}

// complete reports whether all tasks are done.
func (s *step) complete() bool { return s.doneTasks == len(s.tasks) }

// unblocked reports whether tasks of the step may be started once the job is stored.
func (s *step) unblocked() bool {
	return s.openDependencies == 0 && !s.complete() && !s.job().ended()
}

// dueAt is when the step's tasks have to be started at the latest to finish the
// occurrence on time.
func (s *step) latestStart() time.Time {
	j := s.job()
	due := j.deadline
	if j.spec.Recurring() {
		due = s.occ.dueAt.Add(j.deadline.Sub(j.acceptedAt))
	}
	return due.Add(-j.criticalPaths[s.index])
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
