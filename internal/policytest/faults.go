package policytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/scheduler/health"
	"dotterelhitch/internal/structs"
)

// FaultSetup is an experiment with some workers that fail every task at once and some
// jobs that fail everywhere.
type FaultSetup struct {
	Seed uint64
	// TrackHealth puts failing workers on probation and parks failing jobs; the
	// baseline tries a failed task again anywhere and gives its job up after
	// some attempts.
	TrackHealth bool
}

// FaultResult is what came of the jobs.
type FaultResult struct {
	// FailuresPerSuccess is the number of failed runs for each task that ended well.
	FailuresPerSuccess float64
	// FinishP50 and Finish99 are percentiles of the seconds from the acceptance of
	// a sound job to its end.
	FinishP50, FinishP99 float64
	// ParkedBrokenShare is the share of broken jobs that were parked, Wronged the number of
	// sound jobs that were.
	ParkedBrokenShare, ParkedSoundJobs float64
	// DetectionSeconds is the seconds from the fault until all bad workers were on
	// probation, the whole time of the fault if they never were. Back is those
	// from their repair until all were in use again.
	DetectionSeconds, RecoverySeconds float64
}

const (
	faultWorkers = 50
	faultBad     = 4
	faultTasks   = 20
	faultEvery   = 2 * time.Second
	faultBroken  = 15 // one job in so many fails everywhere
	faultRun     = 25 * time.Second
	failAfter    = 100 * time.Millisecond
	plainTries   = 5
	faultFrom    = time.Minute
	faultUntil   = 5 * time.Minute
	faultTime    = 20 * time.Minute
	roundPeriod  = 50 * time.Millisecond
)

// faultJob is a job of the model.
type faultJob struct {
	scheduler.QueuedJob
	broken  bool
	parked  bool
	ended   int
	waiting []scheduler.TaskRef
}

// faults is the model.
type faults struct {
	FaultSetup
	*clock
	rng     *rand.Rand
	set     *scheduler.NodeSet
	queue   *scheduler.Queue
	tracker *health.Tracker
	jobs    map[string]*faultJob
	count   int

	failures, successes, broken int
	parked, wronged             int
	finish                      []float64
	detected, back              time.Duration
}

// RunFaults runs the experiment.
func RunFaults(setup FaultSetup) FaultResult {
	m := &faults{
		FaultSetup: setup,
		clock:      newClock(),
		rng:        newRand(setup.Seed),
		set:        newCell(faultWorkers, 0, 0),
		queue:      scheduler.NewQueue(),
		tracker:    health.NewTracker(),
		jobs:       make(map[string]*faultJob),
	}
	m.tracker.SetUsableWorkers(faultWorkers)
	m.arrive()
	m.every(roundPeriod, m.round)
	m.run(faultTime)
	if m.detected == 0 {
		m.detected = faultUntil
	}
	return FaultResult{
		FailuresPerSuccess: float64(m.failures) / float64(m.successes),
		FinishP50:          quantile(m.finish, 0.5),
		FinishP99:          quantile(m.finish, 0.99),
		ParkedBrokenShare:  float64(m.parked) / float64(max(m.broken, 1)),
		ParkedSoundJobs:    float64(m.wronged),
		DetectionSeconds:   max(m.detected-faultFrom, 0).Seconds(),
		RecoverySeconds:    max(m.back-faultUntil, 0).Seconds(),
	}
}

// bad reports whether a worker fails everything now.
func (m *faults) bad(worker string) bool {
	at := m.elapsed()
	return worker < fmt.Sprintf("w%05d", faultBad) && at >= faultFrom && at < faultUntil
}

// arrive queues a job and plans the next.
func (m *faults) arrive() {
	m.after(exponential(m.rng, faultEvery), m.arrive)
	if m.elapsed() > faultTime-faultUntil {
		return
	}
	m.count++
	j := &faultJob{broken: m.count%faultBroken == 0}
	j.QueuedJob = scheduler.QueuedJob{
		Job: fmt.Sprintf("j%d", m.count), Class: "batch", Kind: structs.KindBatch, PendingTasks: faultTasks,
		Size:       structs.Resources{CPUMilli: 2000, MemoryMiB: 4 * gib},
		AcceptedAt: m.now, LatestStart: m.now.Add(time.Minute),
	}
	if j.broken {
		m.broken++
	}
	for i := range faultTasks {
		j.waiting = append(j.waiting, scheduler.TaskRef{Task: structs.NewTaskID(j.Job, i)})
	}
	m.jobs[j.Job] = j
	m.queue.Push(j.QueuedJob)
}

// round walks over the queue once.
func (m *faults) round() {
	r := m.queue.BeginRound(m.now)
	for item, ok := r.Next(); ok; item, ok = r.Next() {
		j := m.jobs[item.Job]
		ask := scheduler.PlacementRequest{Job: j.Job, Class: j.Class, Kind: j.Kind, Size: j.Size, Tasks: j.waiting}
		if m.TrackHealth {
			ask.AvoidWorkers = m.tracker.WorkersToAvoid(j.Job)
			ask.ProbeWorkers = m.tracker.ProbesDue(m.now)
		}
		plan := scheduler.Place(m.set, ask)
		if len(plan.Placed) == 0 {
			r.MarkBlocked(plan.BlockReason())
			continue
		}
		assign(m.set, plan, ask)
		j.waiting = plan.Unplaced
		r.MarkStarted(len(plan.Placed))
		for _, p := range plan.Placed {
			m.start(j, p)
		}
	}
	r.End()
}

// start plans the end of a task.
func (m *faults) start(j *faultJob, p scheduler.Placement) {
	m.tracker.RecordProbeSent(p.Worker)
	fails := j.broken || m.bad(p.Worker)
	run := exponential(m.rng, faultRun)
	if fails {
		run = failAfter
	}
	m.after(run, func() {
		m.set.Release(p.Task, p.Attempt)
		if fails {
			m.failed(j, p)
		} else {
			m.succeeded(j, p)
		}
	})
}

// failed tries a task again unless its job is parked.
func (m *faults) failed(j *faultJob, p scheduler.Placement) {
	m.failures++
	if m.TrackHealth {
		m.apply(m.tracker.RecordFailure(m.now, j.Job, p.Worker))
	} else if p.Attempt+1 >= plainTries && !j.parked {
		m.park(j.Job)
	}
	if j.parked {
		m.queue.Remove(j.Job)
		j.waiting = nil
		return
	}
	j.waiting = append(j.waiting, scheduler.TaskRef{Task: p.Task, Attempt: p.Attempt + 1})
	j.PendingTasks = len(j.waiting)
	m.queue.Push(j.QueuedJob)
}

// succeeded counts a task that ended well.
func (m *faults) succeeded(j *faultJob, p scheduler.Placement) {
	m.successes++
	if m.TrackHealth {
		m.apply(m.tracker.RecordSuccess(m.now, j.Job, p.Worker))
	}
	j.ended++
	if j.ended == faultTasks {
		m.finish = append(m.finish, m.now.Sub(j.AcceptedAt).Seconds())
		m.tracker.ForgetJob(j.Job)
	}
}

// apply carries out the tracker's verdicts.
func (m *faults) apply(changes []health.StatusChange) {
	for _, c := range changes {
		if c.Job != "" {
			m.park(c.Job)
			continue
		}
		m.set.SetFlag(c.Worker, scheduler.FlagProbation, c.Probation)
		m.note()
	}
}

// park counts a parked job.
func (m *faults) park(job string) {
	m.jobs[job].parked = true
	if m.jobs[job].broken {
		m.parked++
	} else {
		m.wronged++
	}
}

// note keeps the times at which all bad workers were on probation and off it again.
func (m *faults) note() {
	on := 0
	for i := range faultBad {
		if m.tracker.OnProbation(fmt.Sprintf("w%05d", i)) {
			on++
		}
	}
	if on == faultBad && m.detected == 0 {
		m.detected = m.elapsed()
	}
	if on == 0 && m.elapsed() > faultUntil && m.back == 0 {
		m.back = m.elapsed()
	}
}
