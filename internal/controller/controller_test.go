package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestJobOfTwoStepsCompletes follows a job from its submission until its final state is
// stored.
func TestJobOfTwoStepsCompletes(t *testing.T) {
	sim := newSimulationWithController(t, 3, 4000)
	job := simpleJob("j1", "batch", 5, 1000, nil)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].DependsOn = []int{0}
	sim.submit(job)
	sim.advance(1500 * time.Millisecond)
	if got := sim.state("j1"); got != workload.JobRunning {
		t.Fatalf("state %q, want running", got)
	}
	sim.advance(2 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Fatalf("state %q, want completed", got)
	}
}

// TestDependentStepsSurviveControllerLoss stops the controller between the end of a step and
// the storing of that end. The runs of the next step that it had started must be neither
// stopped nor started again. Tasks used to run twice in this case.
func TestDependentStepsSurviveControllerLoss(t *testing.T) {
	sim := newSimulationWithController(t, 3, 4000)
	// Starts without a ticket are recorded first, so the next step would not begin while the store is down.
	sim.allowedShare = 1
	job := simpleJob("j1", "gang", 3, 1000, nil)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].DependsOn = []int{0}
	sim.submit(job)
	sim.advance(500 * time.Millisecond)
	sim.storeDown = true
	sim.advance(1400 * time.Millisecond)
	sim.ctl = nil
	sim.advance(300 * time.Millisecond)
	sim.storeDown = false
	sim.startController(true)
	sim.advance(3 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Fatalf("state %q, want completed", got)
	}
	if sim.startsSent != 0 {
		t.Errorf("%d starts by the second controller, want none", sim.startsSent)
	}
}

// TestTasksOfALostWorkerRestartElsewhere removes a worker for good. Its runs must count as
// lost once its lease has expired, and a gang with members there must start a new attempt.
// Jobs used to be lost in this case.
func TestTasksOfALostWorkerRestartElsewhere(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(3, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 8 * time.Second, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j1", "batch", 4, 1000, nil))
	sim.submit(simpleJob("j2", "gang", 4, 1000, func(s *workload.Step) { s.Gang = true }))
	sim.advance(2 * time.Second)
	lost := sim.workers["i-aa"]
	if len(lost.runs) == 0 {
		t.Fatal("no run on the worker that is to be lost")
	}
	lost.crash()
	sim.advance(time.Second)
	sim.ctl.UnlistWorker(lost.id, sim.nowOf(sim.ctl))
	sim.advance(16 * time.Second)
	for _, id := range []string{"j1", "j2"} {
		if got := sim.state(id); got != workload.JobCompleted {
			t.Errorf("job %s is %q, want completed", id, got)
		}
	}
}

// TestStalledRunsAreMoved stalls a worker. Its tasks must be started elsewhere, as
// speculative copies if these are allowed, and no more tasks be started on it.
func TestStalledRunsAreMoved(t *testing.T) {
	for _, allowCopies := range []bool{false, true} {
		sim := newSimulationWithController(t, 3, 4000)
		sim.submit(simpleJob("j1", "batch", 9, 1000, func(s *workload.Step) { s.AllowCopies = allowCopies }))
		sim.advance(300 * time.Millisecond)
		stalled := sim.workers["i-aa"]
		if len(stalled.runs) == 0 {
			t.Fatal("no run on the worker that is to stall")
		}
		stalled.stall(30 * time.Second)
		sim.advance(5 * time.Second)
		if got := sim.state("j1"); got != workload.JobCompleted {
			t.Errorf("copies allowed %v: state %q after 5 s, want completed", allowCopies, got)
		}
	}
}

// TestJobIsQueuedUntilAWorkerStartsIt sends starts to a worker that does not respond. The job
// must count as waiting, since a start that was only sent does not start the job.
func TestJobIsQueuedUntilAWorkerStartsIt(t *testing.T) {
	sim := newSimulationWithController(t, 1, 4000)
	sim.workers["i-aa"].partitioned = true
	sim.submit(simpleJob("j1", "batch", 1, 1000, nil))
	sim.advance(300 * time.Millisecond)
	if sim.startsSent != 1 {
		t.Fatalf("%d starts were sent, want 1", sim.startsSent)
	}
	if got := sim.ctl.WaitingJobs("batch"); got != 1 {
		t.Errorf("%d waiting jobs, want 1", got)
	}
	if got := sim.state("j1"); got != workload.JobQueued {
		t.Errorf("state %q, want queued", got)
	}
	sim.workers["i-aa"].partitioned = false
	sim.advance(3 * time.Second)
	if got := sim.ctl.WaitingJobs("batch"); got != 0 {
		t.Errorf("%d waiting jobs in the end, want 0", got)
	}
}

// TestRandomFaults runs seeded mixes of all faults of workers, store and controllers, and
// checks every start. At the end all jobs must have ended.
func TestRandomFaults(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomFaults(t, seed) })
	}
}

// randomSeeds is the number of seeds that TestRandomFaults runs.
var randomSeeds = flag.Uint64("seeds", 60, "number of random seeds to run")

func playRandomFaults(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	sim.addWorkers(8, 8000)
	sim.lostAnswerShare = 0.03 * rng.Float64()
	sim.delayedOrderShare = 0.03 * rng.Float64()
	sim.drawResult = func(_ workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		reason := workload.EndDone
		if rng.Float64() < 0.03 {
			reason = workload.EndFailed
		}
		return time.Duration(300+rng.IntN(2000)) * time.Millisecond, reason
	}
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	for i := range 30 {
		sim.advance(time.Duration(rng.IntN(700)) * time.Millisecond)
		sim.injectFault(rng)
		if sim.ctl == nil {
			continue
		}
		job := randomJob(fmt.Sprintf("j%d", i), rng)
		sim.submit(job)
		if rng.IntN(8) == 0 {
			sim.after(time.Duration(rng.IntN(3000))*time.Millisecond, func() { sim.cancel(job.ID) })
		}
	}
	sim.endFaults()
	sim.advance(90 * time.Second)
	sim.checkAllJobsEnded()
}

// checkAllJobsEnded checks that all accepted jobs that fit the workers have a final state.
func (sim *simulation) checkAllJobsEnded() {
	sim.t.Helper()
	for id, job := range sim.jobs {
		if sim.accepted[id] && !sim.state(id).Ended() && sim.feasible(job) {
			sim.t.Errorf("job %s is %q in the end", id, sim.state(id))
		}
	}
}

// feasible reports whether the workers that the advisor allows, when empty, have capacity for
// each step of a job.
func (sim *simulation) feasible(job *workload.Job) bool {
	for i := range job.Steps {
		step := &job.Steps[i]
		capacity := 0
		for _, id := range sim.workerIDs() {
			needsAdvisor := sim.config.Classes[job.Class].Advisor != nil
			if !needsAdvisor || sim.advisorAllows(workload.StepID{Job: job.ID, Step: i}, id) {
				capacity += countFits(sim.workers[id].capacity, step.ReservedSize())
			}
		}
		if capacity == 0 || step.Gang && capacity < step.Count {
			return false
		}
	}
	return true
}

func (sim *simulation) cancel(id string) {
	if sim.ctl != nil {
		sim.ctl.Cancel(id, sim.nowOf(sim.ctl))
	}
}

func randomJob(id string, rng *rand.Rand) *workload.Job {
	class := "batch"
	if rng.IntN(3) == 0 {
		class = "gang"
	}
	job := &workload.Job{ID: id, Class: class, Payload: "payload of " + id}
	for i := range 1 + rng.IntN(3) {
		step := simpleJob(id, class, 1+rng.IntN(6), int64(500+rng.IntN(2500)), nil).Steps[0]
		step.Gang = class == "gang"
		if i > 0 {
			step.DependsOn = []int{rng.IntN(i)}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// injectFault starts one fault or none.
func (sim *simulation) injectFault(rng *rand.Rand) {
	ids := sim.workerIDs()
	f := sim.workers[ids[rng.IntN(len(ids))]]
	duration := time.Duration(500+rng.IntN(9000)) * time.Millisecond
	switch rng.IntN(9) {
	case 8:
		if !f.stalled {
			f.stall(duration)
		}
	case 0:
		if f.up {
			f.crash()
			if rng.IntN(3) == 0 {
				// The worker restarts long after its lease has expired.
				duration += 40 * time.Second
			}
			sim.after(duration, func() {
				if f.up || f.replaced {
					return
				}
				f.start()
				sim.listWorker(f)
			})
		}
	case 1:
		f.partitioned = true
		sim.after(duration, f.reconnect)
	case 2:
		sim.storeDown = true
		sim.after(duration, func() { sim.storeDown = false })
	case 3:
		sim.replaceController(rng, duration)
	case 4:
		f.listed = false
		if sim.ctl != nil {
			sim.ctl.UnlistWorker(f.id, sim.nowOf(sim.ctl))
		}
		sim.after(duration, func() { sim.listWorker(f) })
	}
}

// listWorker adds a worker to the platform's list.
func (sim *simulation) listWorker(f *fakeWorker) {
	f.listed = true
	if sim.ctl != nil && f.up {
		sim.ctl.SetWorker(f.info(), sim.nowOf(sim.ctl))
	}
}

// replaceController stops the controller, or starts a successor while it still runs.
func (sim *simulation) replaceController(rng *rand.Rand, duration time.Duration) {
	killed := rng.IntN(2) == 0
	if killed {
		sim.ctl = nil
	}
	sim.after(duration/4, func() { sim.startSuccessor(killed) })
}

// startSuccessor starts the next controller as soon as the store responds.
func (sim *simulation) startSuccessor(killed bool) {
	if sim.storeDown {
		sim.after(100*time.Millisecond, func() { sim.startSuccessor(killed) })
		return
	}
	sim.startController(killed)
}

// endFaults ends all faults.
func (sim *simulation) endFaults() {
	sim.advance(15 * time.Second)
	sim.lostAnswerShare = 0
	sim.delayedOrderShare = 0
	sim.storeDown = false
	for _, id := range sim.workerIDs() {
		f := sim.workers[id]
		f.reconnect()
		f.mute = false
		if f.replaced {
			continue
		}
		if !f.up {
			f.start()
		}
		sim.listWorker(f)
	}
	if sim.ctl == nil {
		sim.startController(false)
	}
}

// TestTakeoverCompletesAfterTwoControllerLosses loses two controllers while the runs on a
// lost worker may still exist. The end of the second controller is known, and the store
// records that the first ended before it, so only the longest lease has to pass. Jobs used to
// be lost in this case.
func TestTakeoverCompletesAfterTwoControllerLosses(t *testing.T) {
	sim := newSimulationWithController(t, 3, 4000)
	sim.submit(simpleJob("j1", "batch", 9, 1000, func(s *workload.Step) { s.LongRunning = true }))
	sim.advance(time.Second)
	sim.workers["i-aa"].crash()
	sim.workers["i-aa"].listed = false
	for range 2 {
		sim.ctl = nil
		sim.advance(500 * time.Millisecond)
		sim.startController(true)
		sim.advance(time.Second)
	}
	sim.advance(sim.timing.longestLease())
	if !sim.ctl.takeoverComplete {
		t.Error("the takeover is not complete after the longest lease")
	}
}

// TestRecurringJobs runs recurring jobs with overlapping occurrences. Each occurrence must
// start on time, with its tickets fetched in advance.
func TestRecurringJobs(t *testing.T) {
	sim := newSimulation(t, 1)
	playRecurringJobs(sim, func() {})
	const most = 20 * time.Millisecond
	// A start without a ticket is recorded in the store first.
	longestAppend := 3 * (sim.meanLatency * 3 / 2)
	for class, most := range map[string]time.Duration{"gang": most, "batch": most + longestAppend} {
		if got := sim.maxStartDelay[class]; got > most {
			t.Errorf("%s: an occurrence started %v after its scheduled time, want at most %v", class, got, most)
		}
	}
}

// TestRecurringJobsSurviveControllerLoss loses the controller when a later occurrence is done
// and an earlier one still runs. Every occurrence must run once.
func TestRecurringJobsSurviveControllerLoss(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(t, seed)
		playRecurringJobs(sim, func() { sim.replaceController(sim.rng, time.Second) })
	}
}

func playRecurringJobs(sim *simulation, injectFault func()) {
	sim.t.Helper()
	sim.allowedShare = 1
	sim.addWorkers(4, 8000)
	sim.drawResult = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		if id.Occurrence == 0 {
			return 4 * time.Second, workload.EndDone
		}
		return 300 * time.Millisecond, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	for i, class := range []string{"batch", "gang"} {
		job := simpleJob(fmt.Sprintf("j%d", i), class, 2, 500, func(s *workload.Step) { s.Gang = class == "gang" })
		job.Recurrence = workload.Recurrence{Count: 6, StartMs: sim.now.UnixMilli() + 800, IntervalMs: 500}
		sim.submit(job)
	}
	sim.advance(3 * time.Second)
	injectFault()
	sim.advance(9 * time.Second)
	for _, id := range []string{"j0", "j1"} {
		if got := sim.state(id); got != workload.JobCompleted {
			sim.t.Errorf("job %s is %q, want completed", id, got)
		}
	}
}

// TestFutureOccurrencesUseFewWakeups submits jobs with start times far in the future. Their
// wake-ups used to accumulate until memory was over its limit.
func TestFutureOccurrencesUseFewWakeups(t *testing.T) {
	sim := newSimulationWithController(t, 1, 8000)
	const jobs = 50
	for i := range jobs {
		job := simpleJob(fmt.Sprintf("j%d", i), "batch", 1, 500, nil)
		job.Recurrence = workload.Recurrence{Count: 3, StartMs: sim.now.UnixMilli() + 60_000, IntervalMs: 1000}
		sim.submit(job)
	}
	sim.advance(10 * time.Second)
	if n := len(sim.ctl.wakeups.times); n > 4*jobs {
		t.Errorf("%d wake-ups are scheduled for %d jobs", n, jobs)
	}
}

// TestManyOverdueOccurrences submits a recurring job with a start long ago. The number of
// open occurrences must stay bounded, and all of them must run.
func TestManyOverdueOccurrences(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(4, 8000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 20 * time.Millisecond, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	job := simpleJob("j1", "batch", 1, 500, nil)
	job.Recurrence = workload.Recurrence{Count: 300, StartMs: 1, IntervalMs: 1}
	sim.submit(job)
	if n := len(sim.ctl.jobs["j1"].open); n > maxOpenOccurrences {
		t.Errorf("%d occurrences are open, want at most %d", n, maxOpenOccurrences)
	}
	sim.advance(30 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestFailingLongRunningTasksRestart runs a long-running task that fails again and again. It
// must restart within little more than a second each time.
func TestFailingLongRunningTasksRestart(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(2, 4000)
	starts := 0
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		starts++
		return 100 * time.Millisecond, workload.EndFailed
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j1", "batch", 1, 1000, func(s *workload.Step) { s.LongRunning = true }))
	sim.advance(20 * time.Second)
	before := starts
	sim.advance(10 * time.Second)
	if got := starts - before; got < 8 {
		t.Errorf("%d starts in 10 s, want at least 8", got)
	}
	if got := sim.state("j1"); got != workload.JobRunning {
		t.Errorf("state %q, want running", got)
	}
}

// TestMovedTaskReturnsToItsOnlyWorker moves a task off the only worker. The task must start
// there again.
func TestMovedTaskReturnsToItsOnlyWorker(t *testing.T) {
	sim := newSimulationWithController(t, 1, 4000)
	sim.submit(simpleJob("j1", "batch", 1, 1000, nil))
	sim.advance(300 * time.Millisecond)
	sim.workers["i-aa"].stall(4 * time.Second)
	sim.advance(12 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestFailedTaskTriesAnotherWorker has a worker on which every run fails. A task must not use
// up its few attempts there.
func TestFailedTaskTriesAnotherWorker(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(3, 8000)
	sim.config.Classes["batch"].MaxAttempts = 2
	bad := "i-aa"
	sim.drawResult = func(_ workload.TaskID, f *fakeWorker) (time.Duration, workload.EndReason) {
		if f.id == bad {
			return 200 * time.Millisecond, workload.EndFailed
		}
		return 200 * time.Millisecond, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	for i := range 6 {
		sim.submit(simpleJob(fmt.Sprintf("j%d", i), "batch", 1, 1000, nil))
		sim.advance(50 * time.Millisecond)
	}
	sim.advance(5 * time.Second)
	for i := range 6 {
		if got := sim.state(fmt.Sprintf("j%d", i)); got != workload.JobCompleted {
			t.Errorf("job %d is %q, want completed", i, got)
		}
	}
}

// TestGangAsksAboutMoreWorkersWhileFull fills the workers that a gang asks about first with
// long-running tasks, while other workers become free. The gang must ask about those too.
// Gangs used to be lost in this case.
func TestGangAsksAboutMoreWorkersWhileFull(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(80, 8000)
	sim.drawResult = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		switch id.Job {
		case "long":
			return time.Hour, workload.EndDone
		case "short":
			return 4 * time.Second, workload.EndDone
		}
		return time.Second, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	gang := func(s *workload.Step) { s.Gang = true }
	// The gang asks about the first workers while none is free. The last workers become free
	// later.
	sim.submit(simpleJob("long", "batch", 60, 7000, func(s *workload.Step) { s.LongRunning = true }))
	sim.submit(simpleJob("short", "batch", 20, 7000, nil))
	sim.advance(time.Second)
	sim.submit(simpleJob("gang", "gang", 6, 7000, gang))
	sim.advance(20 * time.Second)
	if got := sim.state("gang"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestIdleControllerRarelyWakes counts the calls to a controller without work.
func TestIdleControllerRarelyWakes(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(1, 8000)
	sim.startController(true)
	sim.advance(2 * time.Second)
	calls := 0
	for end := sim.now.Add(time.Second); sim.now.Before(end); calls++ {
		sim.ctl.NextOrders(sim.now)
		sim.now = sim.ctl.NextWake(sim.now)
	}
	if most := 40; calls > most {
		t.Errorf("%d calls in a second, want at most %d", calls, most)
	}
}
