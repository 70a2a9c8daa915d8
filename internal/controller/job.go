package controller

import (
	"time"

	"dotterelhitch/internal/runtimes"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/usage"
	"dotterelhitch/internal/workload"
)

// job is a job known to the controller.
type job struct {
	spec  *workload.Job
	class *workload.Class
	// team is the team on whose behalf the job was submitted, as configured, nil if there is none.
	team *workload.Team
	// state is the final state, empty until the job ends.
	state   workload.JobState
	endedAt time.Time
	// stored says that the job itself is in the store, endStored that its final state is.
	stored    bool
	endStored bool
	// retired says that the deletion of the job's record is under way or done. Another job may have the ID then.
	retired bool
	// endedEarlier says that the job ended under an earlier epoch, so that its tasks are not known.
	endedEarlier bool
	// runNumberBase is the number above which runs are numbered. For a job accepted under an
	// earlier epoch, the runs of that epoch may not be known.
	runNumberBase int64
	// started says that some task has started, countedWaiting that waitCounts includes the
	// job.
	started        bool
	countedWaiting bool

	open            []*occurrence
	nextOccurrence  int // the next occurrence to open
	doneBelow       int
	doneOccurrences map[int]bool // those from doneBelow on
	nextOpenAt      time.Time    // time of the wake-up that opens the next occurrence
	runCount        int          // runs that may be present on workers

	acceptedAt    time.Time
	deadline      time.Time // end time by which the job is on time
	criticalPaths []time.Duration
	pendingAcks   []endAck // ends to acknowledge once the progress is stored
	// progressVersion is the number of changes to the job's progress, storedProgressVersion
	// the number of those that are stored.
	progressVersion, storedProgressVersion int
}

// endAck identifies an end in a worker's list, which the worker may drop once the end is
// stored and no late start of heldFor can follow it.
type endAck struct {
	worker  *worker
	boot    int64
	seq     int64
	heldFor *task // nil if the end waits for no late start
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	job         *job
	number      int
	scheduledAt time.Time
	steps       []*step
	stepsLeft   int // steps that are not complete
}

// step is a step of one occurrence.
type step struct {
	occ              *occurrence
	index            int
	def              *workload.Step
	size             structs.Resources
	tasks            []*task
	doneTasks        int
	openDependencies int // entries of DependsOn whose step is not complete
	// pending counts the tasks to start. copiesWanted counts the tasks of which a speculative
	// copy is to be started.
	pending      int
	copiesWanted int
	// perWorker counts the runs on each worker if the step has a limit per worker.
	perWorker map[*worker]int
	gang      *gang
	advice    *stepAdvice
	// notBefore is the start time of the step's occurrence.
	notBefore time.Time
	// latestStartAt and late are set by each placement pass: the latest start with which the
	// job is on time, and whether that time has passed.
	latestStartAt time.Time
	late          bool
	// shareUtilization is the part of its share that the team used at the beginning of the last round of a pass.
	shareUtilization float64
	// startAt is when a gang is expected to have enough capacity, zero if that is not known.
	startAt time.Time
	// waitingSince is when a gang without enough free capacity first found enough workers to
	// reserve.
	waitingSince time.Time
	// quotaWaitSince is when a gang began to wait for the quota of its team.
	quotaWaitSince time.Time
	// enoughAllowedSince is when the advisor had first allowed enough workers to run the gang
	// if they were empty.
	enoughAllowedSince time.Time
	// lastWaitEvent is when an event last reported why the step waits.
	lastWaitEvent time.Time
	// lastPreemption is when runs were last stopped to free capacity for the step,
	// lastVictimSearch when such runs were last searched for.
	lastPreemption   time.Time
	lastVictimSearch time.Time
	// runTimes predicts the run times of the tasks, nil if the stated ones are used. expected is its latest prediction,
	// which is due again at expectedDue; expectedVersion counts the predictions.
	runTimes        *runtimes.Step
	expected        runtimes.Expectation
	expectedDue     time.Time
	expectedVersion int
}

// gang is the state of a step whose tasks must all run at the same time.
type gang struct {
	attempt   int64 // run number of the current attempt, zero if there is none
	startedAt time.Time
	// attemptCheckpoint is the checkpoint that all members of the current attempt are started from.
	attemptCheckpoint string
	// allRunning says that all members were seen running: one of them reported progress, which
	// members make only while all of them run.
	allRunning bool
	// aborting says that the current attempt is being stopped.
	aborting      bool
	failedRuns    []int64
	checkpoint    string
	checkpointRun int64
}

// task is a task of one occurrence of a step.
type task struct {
	step          *step
	index         int
	done          bool
	runs          []*run
	highestRun    int64 // highest run number used
	failedRuns    []int64
	checkpoint    string
	checkpointRun int64
	// mayBeRunning says that the task may have a run on a worker that is not accounted for.
	mayBeRunning bool
	// orphanRuns counts the task's orphan runs, which are being stopped and are not in runs.
	orphanRuns int
	// unansweredStarts are the start orders without an answer that may still give the task a run.
	unansweredStarts []*unansweredStart
	// moves is how often the task was moved off a worker. avoidedWorker is the worker that it
	// was last moved off or failed on, and is not used again before avoidUntil.
	moves         int
	avoidedWorker *worker
	avoidUntil    time.Time
	// crashes are the crashes of workers that count for the task.
	crashes []workload.TaskCrash
	// outlivedRun is the highest number of a run whose start a worker has outlived.
	outlivedRun int64
	// test is the run under which a worker may crash, nil if there is none. It is stored, so that the
	// next controller knows of a crash that this one does not see.
	test *workload.SuspectTest
	// suspicionVersion is the progress version of the job with the latest suspicion. Until it is
	// stored, the task is not started.
	suspicionVersion int
	// copyWanted says that a speculative copy is to be started beside the current run.
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

// setTeam sets the job's team to that of the configuration, or as it was when the job was accepted.
func (j *job) setTeam(teams *workload.Teams) {
	if j.spec.Team == "" {
		return
	}
	j.team = teams.ByName(j.spec.Team)
	if j.team == nil {
		j.team = &j.spec.AcceptedTeam
	}
}

// owner returns the owner of the job's runs in the usage account.
func (j *job) owner() usage.Owner { return usage.Owner{Team: j.spec.Team, Class: j.spec.Class} }

// assumedWorkersPerCall is the number of workers per advisor call that deadlines allow for.
const assumedWorkersPerCall = 30

// ended reports whether the job has its final state, so that no more tasks are started.
func (j *job) ended() bool { return j.state != "" }

// newOccurrence returns the state of a new occurrence.
func (j *job) newOccurrence(number int, scheduledAt time.Time) *occurrence {
	occ := &occurrence{job: j, number: number, scheduledAt: scheduledAt, stepsLeft: len(j.spec.Steps)}
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

// markOccurrenceDone marks an occurrence as done. Occurrences may overlap, and may be done in
// any order.
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

// id returns the ID of the step.
func (s *step) id() workload.StepID {
	return workload.StepID{Job: s.job().spec.ID, Occurrence: s.occ.number, Step: s.index}
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{StepID: t.step.id(), Index: t.index}
}

// complete reports whether all tasks are done.
func (s *step) complete() bool { return s.doneTasks == len(s.tasks) }

// unblocked reports whether tasks of the step may be started as soon as the job is stored.
func (s *step) unblocked() bool {
	return s.openDependencies == 0 && !s.complete() && !s.job().ended()
}

// latestStart returns the latest time for starting the step's tasks with which the occurrence
// is on time.
func (s *step) latestStart() time.Time {
	j := s.job()
	deadline := j.deadline
	if j.spec.Recurring() {
		deadline = s.occ.scheduledAt.Add(j.deadline.Sub(j.acceptedAt))
	}
	return deadline.Add(-j.criticalPaths[s.index])
}

// removeRun removes a run from the task's runs.
func (t *task) removeRun(r *run) {
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}
