package controller

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestJobOfTwoStepsCompletes plays the whole way of a job: stored, started, ended,
// stored again, shown.
func TestJobOfTwoStepsCompletes(t *testing.T) {
	w := newSimulationWithController(t, 3, 4000)
	job := simpleJob("j1", "batch", 5, 1000, nil)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].DependsOn = []int{0}
	w.submit(job)
	w.advance(1500 * time.Millisecond)
	if got := w.state("j1"); got != workload.JobRunning {
		t.Fatalf("state %q, want running", got)
	}
	w.advance(2 * time.Second)
	if got := w.state("j1"); got != workload.JobCompleted {
		t.Fatalf("state %q, want completed", got)
	}
}

// TestDependentStepsSurviveControllerLoss kills the controller between the end of a step
// and its storing: what the former one had started of the next step is neither stopped
// nor started twice (trouble-1, seed 361955916996: TWICE).
func TestDependentStepsSurviveControllerLoss(t *testing.T) {
	w := newSimulationWithController(t, 3, 4000)
	job := simpleJob("j1", "batch", 3, 1000, nil)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].DependsOn = []int{0}
	w.submit(job)
	w.advance(500 * time.Millisecond)
	w.storeDown = true
	w.advance(900 * time.Millisecond)
	w.ctl = nil
	w.advance(300 * time.Millisecond)
	w.storeDown = false
	w.startController(true)
	w.advance(3 * time.Second)
	if got := w.state("j1"); got != workload.JobCompleted {
		t.Fatalf("state %q, want completed", got)
	}
	if w.startsSent != 0 {
		t.Errorf("%d starts by the second controller, want none", w.startsSent)
	}
}

// TestTasksOfALostWorkerRestartElsewhere takes a worker away for good: its runs count as
// lost once its lease has ended, and a gang of which members ran there starts anew
// (tairi-bale scale-1: LOST).
func TestTasksOfALostWorkerRestartElsewhere(t *testing.T) {
	w := newSimulation(t, 1)
	w.allowedShare = 1
	w.addWorkers(3, 4000)
	w.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 8 * time.Second, workload.EndDone
	}
	w.startController(true)
	w.advance(100 * time.Millisecond)
	w.submit(simpleJob("j1", "batch", 4, 1000, nil))
	w.submit(simpleJob("j2", "gang", 4, 1000, func(s *workload.Step) { s.Gang = true }))
	w.advance(2 * time.Second)
	gone := w.workers["i-aa"]
	if len(gone.runs) == 0 {
		t.Fatal("nothing runs on the worker that goes")
	}
	gone.crash()
	w.advance(time.Second)
	w.ctl.UnlistWorker(gone.id, w.now)
	w.advance(16 * time.Second)
	for _, id := range []string{"j1", "j2"} {
		if got := w.state(id); got != workload.JobCompleted {
			t.Errorf("job %s is %q, want completed", id, got)
		}
	}
}

// TestStalledRunsAreMoved has a worker on which nothing goes on: its tasks are started
// elsewhere, with copies where these are allowed, and it gets no more of them.
func TestStalledRunsAreMoved(t *testing.T) {
	for _, duplicates := range []bool{false, true} {
		w := newSimulationWithController(t, 3, 4000)
		w.submit(simpleJob("j1", "batch", 9, 1000, func(s *workload.Step) { s.AllowCopies = duplicates }))
		w.advance(300 * time.Millisecond)
		stuck := w.workers["i-aa"]
		if len(stuck.runs) == 0 {
			t.Fatal("nothing runs on the worker that is stuck")
		}
		stuck.stall(30 * time.Second)
		w.advance(5 * time.Second)
		if got := w.state("j1"); got != workload.JobCompleted {
			t.Errorf("copies %v: state %q after 5 s, want completed", duplicates, got)
		}
	}
}

// TestJobIsQueuedUntilAWorkerStartsIt sends starts to workers that do not answer: nothing
// has begun, so the job waits (fresh-9313: MIXED).
func TestJobIsQueuedUntilAWorkerStartsIt(t *testing.T) {
	w := newSimulationWithController(t, 1, 4000)
	w.workers["i-aa"].partitioned = true
	w.submit(simpleJob("j1", "batch", 1, 1000, nil))
	w.advance(300 * time.Millisecond)
	if w.startsSent != 1 {
		t.Fatalf("%d starts were sent, want 1", w.startsSent)
	}
	if got := w.ctl.WaitingJobs("batch"); got != 1 {
		t.Errorf("%d jobs wait, want 1", got)
	}
	if got := w.state("j1"); got != workload.JobQueued {
		t.Errorf("state %q, want queued", got)
	}
	w.workers["i-aa"].partitioned = false
	w.advance(3 * time.Second)
	if got := w.ctl.WaitingJobs("batch"); got != 0 {
		t.Errorf("%d jobs wait in the end, want 0", got)
	}
}

// TestRandomFaults plays seeded mixes of all faults that workers, store and controllers
// have, and checks every start. In the end all jobs must be complete.
func TestRandomFaults(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomFaults(t, seed) })
	}
}

// randomSeeds is the number of seeds that a test run plays.
var randomSeeds = flag.Uint64("seeds", 60, "number of random mixes that are played")

func playRandomFaults(t *testing.T, seed uint64) {
	w := newSimulation(t, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	w.addWorkers(8, 8000)
	w.lostAnswerShare = 0.03 * rng.Float64()
	w.delayedOrderShare = 0.03 * rng.Float64()
	w.drawResult = func(_ workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		how := workload.EndDone
		if rng.Float64() < 0.03 {
			how = workload.EndFailed
		}
		return time.Duration(300+rng.IntN(2000)) * time.Millisecond, how
	}
	w.startController(true)
	w.advance(200 * time.Millisecond)
	var ids []string
	for i := range 30 {
		w.advance(time.Duration(rng.IntN(700)) * time.Millisecond)
		w.injectFault(rng)
		if w.ctl == nil {
			continue
		}
		job := randomJob(fmt.Sprintf("j%d", i), rng)
		w.submit(job)
		ids = append(ids, job.ID)
		if rng.IntN(8) == 0 {
			w.after(time.Duration(rng.IntN(3000))*time.Millisecond, func() { w.cancel(job.ID) })
		}
	}
	w.endFaults()
	w.advance(90 * time.Second)
	for _, id := range ids {
		if w.accepted[id] && !w.state(id).Ended() && w.feasible(w.jobs[id]) {
			t.Errorf("job %s is %q in the end", id, w.state(id))
		}
	}
}

// feasible reports whether the workers that the advisor allows hold each step of a job
// when they are empty.
func (w *simulation) feasible(job *workload.Job) bool {
	for i := range job.Steps {
		step := &job.Steps[i]
		room := 0
		for _, id := range w.workerIDs() {
			advised := w.config.Classes[job.Class].Advisor != nil
			if !advised || w.advisorAllows(workload.StepID{Job: job.ID, Step: i}, id) {
				room += countFits(w.workers[id].capacity, step.ReservedSize())
			}
		}
		if room == 0 || step.Gang && room < step.Count {
			return false
		}
	}
	return true
}

func (w *simulation) cancel(id string) {
	if w.ctl != nil {
		w.ctl.Cancel(id, w.now)
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

// injectFault starts one fault, or none.
func (w *simulation) injectFault(rng *rand.Rand) {
	ids := w.workerIDs()
	f := w.workers[ids[rng.IntN(len(ids))]]
	long := time.Duration(500+rng.IntN(9000)) * time.Millisecond
	switch rng.IntN(9) {
	case 8:
		if !f.stalled {
			f.stall(long)
		}
	case 0:
		if f.up {
			f.crash()
			if rng.IntN(3) == 0 {
				// It comes back long after its lease has ended.
				long += 40 * time.Second
			}
			w.after(long, func() {
				f.start()
				w.listWorker(f)
			})
		}
	case 1:
		f.partitioned = true
		w.after(long, func() { f.partitioned = false })
	case 2:
		w.storeDown = true
		w.after(long, func() { w.storeDown = false })
	case 3:
		w.replaceController(rng, long)
	case 4:
		f.listed = false
		if w.ctl != nil {
			w.ctl.UnlistWorker(f.id, w.now)
		}
		w.after(long, func() { w.listWorker(f) })
	}
}

// listWorker shows a worker in the platform's list.
func (w *simulation) listWorker(f *fakeWorker) {
	f.listed = true
	if w.ctl != nil && f.up {
		w.ctl.SetWorker(f.info(), w.now)
	}
}

// replaceController kills the controller, or makes another member take over while it lives.
func (w *simulation) replaceController(rng *rand.Rand, long time.Duration) {
	dead := rng.IntN(2) == 0
	if dead {
		w.ctl = nil
	}
	w.after(long/4, func() { w.startSuccessor(dead) })
}

// startSuccessor starts the next controller once the store answers.
func (w *simulation) startSuccessor(dead bool) {
	if w.storeDown {
		w.after(100*time.Millisecond, func() { w.startSuccessor(dead) })
		return
	}
	w.startController(dead)
}

// endFaults ends all faults.
func (w *simulation) endFaults() {
	w.advance(15 * time.Second)
	w.lostAnswerShare = 0
	w.delayedOrderShare = 0
	w.storeDown = false
	for _, id := range w.workerIDs() {
		f := w.workers[id]
		f.partitioned = false
		if !f.up {
			f.start()
		}
		w.listWorker(f)
	}
	if w.ctl == nil {
		w.startController(false)
	}
}

// TestTakeoverCompletesAfterTwoControllerLosses loses two controllers within the time in which a worker
// that is gone leaves its runs in doubt. The second one's end is known, and the store
// knows that the first ended before it: only the longest lease has to pass
// (hunt-f677-35: LOST).
func TestTakeoverCompletesAfterTwoControllerLosses(t *testing.T) {
	w := newSimulationWithController(t, 3, 4000)
	w.submit(simpleJob("j1", "batch", 9, 1000, func(s *workload.Step) { s.LongRunning = true }))
	w.advance(time.Second)
	w.workers["i-aa"].crash()
	w.workers["i-aa"].listed = false
	for range 2 {
		w.ctl = nil
		w.advance(500 * time.Millisecond)
		w.startController(true)
		w.advance(time.Second)
	}
	w.advance(w.timing.longestLease())
	if !w.ctl.takeoverComplete {
		t.Error("not settled after the longest lease")
	}
}

// TestRecurringJobs plays timetables whose occurrences overlap: each starts at its time, with
// its advice at hand.
func TestRecurringJobs(t *testing.T) {
	w := newSimulation(t, 1)
	playRecurringJobs(w, func() {})
	if most := 20 * time.Millisecond; w.maxStartDelay > most {
		t.Errorf("an occurrence started %v after its time, want at most %v", w.maxStartDelay, most)
	}
}

// TestRecurringJobsSurviveControllerLoss loses the controller while a later occurrence is done
// and an earlier one goes on: every occurrence runs once.
func TestRecurringJobsSurviveControllerLoss(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(t, seed)
		playRecurringJobs(w, func() { w.replaceController(w.rng, time.Second) })
	}
}

func playRecurringJobs(w *simulation, injectFault func()) {
	w.t.Helper()
	w.allowedShare = 1
	w.addWorkers(4, 8000)
	w.drawResult = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		if id.Occurrence == 0 {
			return 4 * time.Second, workload.EndDone
		}
		return 300 * time.Millisecond, workload.EndDone
	}
	w.startController(true)
	w.advance(100 * time.Millisecond)
	for i, class := range []string{"batch", "gang"} {
		job := simpleJob(fmt.Sprintf("j%d", i), class, 2, 500, func(s *workload.Step) { s.Gang = class == "gang" })
		job.Recurrence = workload.Recurrence{Count: 6, StartMs: w.now.UnixMilli() + 800, IntervalMs: 500}
		w.submit(job)
	}
	w.advance(3 * time.Second)
	injectFault()
	w.advance(9 * time.Second)
	for _, id := range []string{"j0", "j1"} {
		if got := w.state(id); got != workload.JobCompleted {
			w.t.Errorf("job %s is %q, want completed", id, got)
		}
	}
}

// TestFutureOccurrencesUseFewWakeups has jobs that are due much later (a variation of
// raqm-hitch with timed jobs: memory over the limit).
func TestFutureOccurrencesUseFewWakeups(t *testing.T) {
	w := newSimulationWithController(t, 1, 8000)
	const jobs = 50
	for i := range jobs {
		job := simpleJob(fmt.Sprintf("j%d", i), "batch", 1, 500, nil)
		job.Recurrence = workload.Recurrence{Count: 3, StartMs: w.now.UnixMilli() + 60_000, IntervalMs: 1000}
		w.submit(job)
	}
	w.advance(10 * time.Second)
	if n := len(w.ctl.wakeups.times); n > 4*jobs {
		t.Errorf("%d wake-ups are kept for %d jobs", n, jobs)
	}
}

// TestManyOverdueOccurrences hands in a timetable that began long ago: only so many
// occurrences are open at a time, and all of them run.
func TestManyOverdueOccurrences(t *testing.T) {
	w := newSimulation(t, 1)
	w.addWorkers(4, 8000)
	w.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 20 * time.Millisecond, workload.EndDone
	}
	w.startController(true)
	w.advance(100 * time.Millisecond)
	job := simpleJob("j1", "batch", 1, 500, nil)
	job.Recurrence = workload.Recurrence{Count: 300, StartMs: 1, IntervalMs: 1}
	w.submit(job)
	if n := len(w.ctl.jobs["j1"].open); n > maxOpenOccurrences {
		t.Errorf("%d occurrences are open, want at most %d", n, maxOpenOccurrences)
	}
	w.advance(30 * time.Second)
	if got := w.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestFailingLongRunningTasksRestart has long-running tasks that fail again and again: each is
// away for little more than a second at a time.
func TestFailingLongRunningTasksRestart(t *testing.T) {
	w := newSimulation(t, 1)
	w.addWorkers(2, 4000)
	starts := 0
	w.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		starts++
		return 100 * time.Millisecond, workload.EndFailed
	}
	w.startController(true)
	w.advance(100 * time.Millisecond)
	w.submit(simpleJob("j1", "batch", 1, 1000, func(s *workload.Step) { s.LongRunning = true }))
	w.advance(20 * time.Second)
	before := starts
	w.advance(10 * time.Second)
	if got := starts - before; got < 8 {
		t.Errorf("%d starts in 10 s, want at least 8", got)
	}
	if got := w.state("j1"); got != workload.JobRunning {
		t.Errorf("state %q, want running", got)
	}
}

// TestMovedTaskReturnsToItsOnlyWorker moves a task off the only worker that there is: it
// starts there again.
func TestMovedTaskReturnsToItsOnlyWorker(t *testing.T) {
	w := newSimulationWithController(t, 1, 4000)
	w.submit(simpleJob("j1", "batch", 1, 1000, nil))
	w.advance(300 * time.Millisecond)
	w.workers["i-aa"].stall(4 * time.Second)
	w.advance(12 * time.Second)
	if got := w.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestFailedTaskTriesAnotherWorker has a worker on which everything fails: the few attempts
// of a task are not all made there (raqm-hitch trouble-3).
func TestFailedTaskTriesAnotherWorker(t *testing.T) {
	w := newSimulation(t, 1)
	w.addWorkers(3, 8000)
	w.config.Classes["batch"].MaxAttempts = 2
	bad := "i-aa"
	w.drawResult = func(_ workload.TaskID, f *fakeWorker) (time.Duration, workload.EndReason) {
		if f.id == bad {
			return 200 * time.Millisecond, workload.EndFailed
		}
		return 200 * time.Millisecond, workload.EndDone
	}
	w.startController(true)
	w.advance(100 * time.Millisecond)
	for i := range 6 {
		w.submit(simpleJob(fmt.Sprintf("j%d", i), "batch", 1, 1000, nil))
		w.advance(50 * time.Millisecond)
	}
	w.advance(5 * time.Second)
	for i := range 6 {
		if got := w.state(fmt.Sprintf("j%d", i)); got != workload.JobCompleted {
			t.Errorf("job %d is %q, want completed", i, got)
		}
	}
}

// TestGangAsksAboutMoreWorkersWhileFull fills the workers that a gang asks about first
// with work that lasts, while others come free: it asks about those too (the grown
// raqm-hitch trouble-1: LOST).
func TestGangAsksAboutMoreWorkersWhileFull(t *testing.T) {
	w := newSimulation(t, 1)
	w.allowedShare = 1
	w.addWorkers(80, 8000)
	w.drawResult = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		switch id.Job {
		case "long":
			return time.Hour, workload.EndDone
		case "short":
			return 4 * time.Second, workload.EndDone
		}
		return time.Second, workload.EndDone
	}
	w.startController(true)
	w.advance(100 * time.Millisecond)
	gang := func(s *workload.Step) { s.Gang = true }
	// The gang asks while nothing is free, about the first workers; the last ones come free.
	w.submit(simpleJob("long", "batch", 60, 7000, func(s *workload.Step) { s.LongRunning = true }))
	w.submit(simpleJob("short", "batch", 20, 7000, nil))
	w.advance(time.Second)
	w.submit(simpleJob("gang", "gang", 6, 7000, gang))
	w.advance(20 * time.Second)
	if got := w.state("gang"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestIdleControllerRarelyWakes counts the turns of a controller that has nothing to do.
func TestIdleControllerRarelyWakes(t *testing.T) {
	w := newSimulation(t, 1)
	w.addWorkers(1, 8000)
	w.startController(true)
	w.advance(2 * time.Second)
	turns := 0
	for end := w.now.Add(time.Second); w.now.Before(end); turns++ {
		w.ctl.NextOrders(w.now)
		w.now = w.ctl.NextWake(w.now)
	}
	if most := 40; turns > most {
		t.Errorf("%d turns in a second, want at most %d", turns, most)
	}
}
