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
	w := newLedWorld(t, 3, 4000)
	job := simpleJob("j1", "batch", 5, 1000, nil)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].DependsOn = []int{0}
	w.submit(job)
	w.play(1500 * time.Millisecond)
	if got := w.state("j1"); got != workload.JobRunning {
		t.Fatalf("state %q, want running", got)
	}
	w.play(2 * time.Second)
	if got := w.state("j1"); got != workload.JobCompleted {
		t.Fatalf("state %q, want completed", got)
	}
}

// TestDependentsRunOnOverALostController kills the controller between the end of a step
// and its storing: what the former one had started of the next step is neither stopped
// nor started twice (trouble-1, seed 361955916996: TWICE).
func TestDependentsRunOnOverALostController(t *testing.T) {
	w := newLedWorld(t, 3, 4000)
	job := simpleJob("j1", "batch", 3, 1000, nil)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].DependsOn = []int{0}
	w.submit(job)
	w.play(500 * time.Millisecond)
	w.down = true
	w.play(900 * time.Millisecond)
	w.ctl = nil
	w.play(300 * time.Millisecond)
	w.down = false
	w.lead(true)
	w.play(3 * time.Second)
	if got := w.state("j1"); got != workload.JobCompleted {
		t.Fatalf("state %q, want completed", got)
	}
	if w.placed != 0 {
		t.Errorf("%d starts by the second controller, want none", w.placed)
	}
}

// TestTasksOfAGoneWorkerStartElsewhere takes a worker away for good: its runs count as
// lost once its lease has ended, and a gang of which members ran there starts anew
// (tairi-bale scale-1: LOST).
func TestTasksOfAGoneWorkerStartElsewhere(t *testing.T) {
	w := newWorld(t, 1)
	w.goodShare = 1
	w.addWorkers(3, 4000)
	w.run = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 8 * time.Second, workload.EndDone
	}
	w.lead(true)
	w.play(100 * time.Millisecond)
	w.submit(simpleJob("j1", "batch", 4, 1000, nil))
	w.submit(simpleJob("j2", "gang", 4, 1000, func(s *workload.Step) { s.Gang = true }))
	w.play(2 * time.Second)
	gone := w.workers["i-aa"]
	if len(gone.runs) == 0 {
		t.Fatal("nothing runs on the worker that goes")
	}
	gone.crash()
	w.play(time.Second)
	w.ctl.UnlistWorker(gone.id, w.now)
	w.play(16 * time.Second)
	for _, id := range []string{"j1", "j2"} {
		if got := w.state(id); got != workload.JobCompleted {
			t.Errorf("job %s is %q, want completed", id, got)
		}
	}
}

// TestRunsThatStandStillMove has a worker on which nothing goes on: its tasks are started
// elsewhere, with copies where these are allowed, and it gets no more of them.
func TestRunsThatStandStillMove(t *testing.T) {
	for _, duplicates := range []bool{false, true} {
		w := newLedWorld(t, 3, 4000)
		w.submit(simpleJob("j1", "batch", 9, 1000, func(s *workload.Step) { s.AllowCopies = duplicates }))
		w.play(300 * time.Millisecond)
		stuck := w.workers["i-aa"]
		if len(stuck.runs) == 0 {
			t.Fatal("nothing runs on the worker that is stuck")
		}
		stuck.standStill(30 * time.Second)
		w.play(5 * time.Second)
		if got := w.state("j1"); got != workload.JobCompleted {
			t.Errorf("copies %v: state %q after 5 s, want completed", duplicates, got)
		}
	}
}

// TestJobWaitsUntilAWorkerHasBegunIt sends starts to workers that do not answer: nothing
// has begun, so the job waits (fresh-9313: MIXED).
func TestJobWaitsUntilAWorkerHasBegunIt(t *testing.T) {
	w := newLedWorld(t, 1, 4000)
	w.workers["i-aa"].cut = true
	w.submit(simpleJob("j1", "batch", 1, 1000, nil))
	w.play(300 * time.Millisecond)
	if w.placed != 1 {
		t.Fatalf("%d starts were sent, want 1", w.placed)
	}
	if got := w.ctl.WaitingJobs("batch"); got != 1 {
		t.Errorf("%d jobs wait, want 1", got)
	}
	if got := w.state("j1"); got != workload.JobQueued {
		t.Errorf("state %q, want queued", got)
	}
	w.workers["i-aa"].cut = false
	w.play(3 * time.Second)
	if got := w.ctl.WaitingJobs("batch"); got != 0 {
		t.Errorf("%d jobs wait in the end, want 0", got)
	}
}

// TestRandomTroubles plays seeded mixes of all faults that workers, store and controllers
// have, and checks every start. In the end all jobs must be complete.
func TestRandomTroubles(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playTroubles(t, seed) })
	}
}

// randomSeeds is the number of seeds that a test run plays.
var randomSeeds = flag.Uint64("seeds", 60, "number of random mixes that are played")

func playTroubles(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	w.addWorkers(8, 8000)
	w.lost = 0.03 * rng.Float64()
	w.late = 0.03 * rng.Float64()
	w.run = func(_ workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		how := workload.EndDone
		if rng.Float64() < 0.03 {
			how = workload.EndFailed
		}
		return time.Duration(300+rng.IntN(2000)) * time.Millisecond, how
	}
	w.lead(true)
	w.play(200 * time.Millisecond)
	var ids []string
	for i := range 30 {
		w.play(time.Duration(rng.IntN(700)) * time.Millisecond)
		w.trouble(rng)
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
	w.calm()
	w.play(90 * time.Second)
	for _, id := range ids {
		if w.accepted[id] && !w.state(id).Ended() && w.feasible(w.jobs[id]) {
			t.Errorf("job %s is %q in the end", id, w.state(id))
		}
	}
}

// feasible reports whether the workers that the advisor allows hold each step of a job
// when they are empty.
func (w *world) feasible(job *workload.Job) bool {
	for i := range job.Steps {
		step := &job.Steps[i]
		room := 0
		for _, id := range w.workerIDs() {
			advised := w.config.Classes[job.Class].Advisor != nil
			if !advised || w.allows(workload.StepID{Job: job.ID, Step: i}, id) {
				room += times(w.workers[id].capacity, step.ReservedSize())
			}
		}
		if room == 0 || step.Gang && room < step.Count {
			return false
		}
	}
	return true
}

func (w *world) cancel(id string) {
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

// trouble starts one fault, or none.
func (w *world) trouble(rng *rand.Rand) {
	ids := w.workerIDs()
	f := w.workers[ids[rng.IntN(len(ids))]]
	long := time.Duration(500+rng.IntN(9000)) * time.Millisecond
	switch rng.IntN(9) {
	case 8:
		if !f.stands {
			f.standStill(long)
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
				w.list(f)
			})
		}
	case 1:
		f.cut = true
		w.after(long, func() { f.cut = false })
	case 2:
		w.down = true
		w.after(long, func() { w.down = false })
	case 3:
		w.loseController(rng, long)
	case 4:
		f.listed = false
		if w.ctl != nil {
			w.ctl.UnlistWorker(f.id, w.now)
		}
		w.after(long, func() { w.list(f) })
	}
}

// list shows a worker in the platform's list.
func (w *world) list(f *fakeWorker) {
	f.listed = true
	if w.ctl != nil && f.up {
		w.ctl.SetWorker(f.info(), w.now)
	}
}

// loseController kills the controller, or makes another member take over while it lives.
func (w *world) loseController(rng *rand.Rand, long time.Duration) {
	dead := rng.IntN(2) == 0
	if dead {
		w.ctl = nil
	}
	w.after(long/4, func() { w.takeOver(dead) })
}

// takeOver starts the next controller once the store answers.
func (w *world) takeOver(dead bool) {
	if w.down {
		w.after(100*time.Millisecond, func() { w.takeOver(dead) })
		return
	}
	w.lead(dead)
}

// calm ends all faults.
func (w *world) calm() {
	w.play(15 * time.Second)
	w.lost = 0
	w.late = 0
	w.down = false
	for _, id := range w.workerIDs() {
		f := w.workers[id]
		f.cut = false
		if !f.up {
			f.start()
		}
		w.list(f)
	}
	if w.ctl == nil {
		w.lead(false)
	}
}

// TestChainOfControllersSettles loses two controllers within the time in which a worker
// that is gone leaves its runs in doubt. The second one's end is known, and the store
// knows that the first ended before it: only the longest lease has to pass
// (hunt-f677-35: LOST).
func TestChainOfControllersSettles(t *testing.T) {
	w := newLedWorld(t, 3, 4000)
	w.submit(simpleJob("j1", "batch", 9, 1000, func(s *workload.Step) { s.LongRunning = true }))
	w.play(time.Second)
	w.workers["i-aa"].crash()
	w.workers["i-aa"].listed = false
	for range 2 {
		w.ctl = nil
		w.play(500 * time.Millisecond)
		w.lead(true)
		w.play(time.Second)
	}
	w.play(w.timing.longestLease())
	if !w.ctl.settled {
		t.Error("not settled after the longest lease")
	}
}

// TestTimedJobs plays timetables whose occurrences overlap: each starts at its time, with
// its advice at hand.
func TestTimedJobs(t *testing.T) {
	w := newWorld(t, 1)
	playTimetables(w, func() {})
	if most := 20 * time.Millisecond; w.latestBegin > most {
		t.Errorf("an occurrence started %v after its time, want at most %v", w.latestBegin, most)
	}
}

// TestTimedJobsOverALostController loses the controller while a later occurrence is done
// and an earlier one goes on: every occurrence runs once.
func TestTimedJobsOverALostController(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(t, seed)
		playTimetables(w, func() { w.loseController(w.rng, time.Second) })
	}
}

func playTimetables(w *world, trouble func()) {
	w.t.Helper()
	w.goodShare = 1
	w.addWorkers(4, 8000)
	w.run = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		if id.Occurrence == 0 {
			return 4 * time.Second, workload.EndDone
		}
		return 300 * time.Millisecond, workload.EndDone
	}
	w.lead(true)
	w.play(100 * time.Millisecond)
	for i, class := range []string{"batch", "gang"} {
		job := simpleJob(fmt.Sprintf("j%d", i), class, 2, 500, func(s *workload.Step) { s.Gang = class == "gang" })
		job.Recurrence = workload.Recurrence{Count: 6, StartMs: w.now.UnixMilli() + 800, IntervalMs: 500}
		w.submit(job)
	}
	w.play(3 * time.Second)
	trouble()
	w.play(9 * time.Second)
	for _, id := range []string{"j0", "j1"} {
		if got := w.state(id); got != workload.JobCompleted {
			w.t.Errorf("job %s is %q, want completed", id, got)
		}
	}
}

// TestWaitingForATimeCostsNothing has jobs that are due much later (a variation of
// raqm-hitch with timed jobs: memory over the limit).
func TestWaitingForATimeCostsNothing(t *testing.T) {
	w := newLedWorld(t, 1, 8000)
	const jobs = 50
	for i := range jobs {
		job := simpleJob(fmt.Sprintf("j%d", i), "batch", 1, 500, nil)
		job.Recurrence = workload.Recurrence{Count: 3, StartMs: w.now.UnixMilli() + 60_000, IntervalMs: 1000}
		w.submit(job)
	}
	w.play(10 * time.Second)
	if n := len(w.ctl.wakes.times); n > 4*jobs {
		t.Errorf("%d wake-ups are kept for %d jobs", n, jobs)
	}
}

// TestManyOccurrencesDueAtOnce hands in a timetable that began long ago: only so many
// occurrences are open at a time, and all of them run.
func TestManyOccurrencesDueAtOnce(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorkers(4, 8000)
	w.run = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 20 * time.Millisecond, workload.EndDone
	}
	w.lead(true)
	w.play(100 * time.Millisecond)
	job := simpleJob("j1", "batch", 1, 500, nil)
	job.Recurrence = workload.Recurrence{Count: 300, StartMs: 1, IntervalMs: 1}
	w.submit(job)
	if n := len(w.ctl.jobs["j1"].open); n > maxOpenOccurrences {
		t.Errorf("%d occurrences are open, want at most %d", n, maxOpenOccurrences)
	}
	w.play(30 * time.Second)
	if got := w.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestLongRunningTasksComeBack has long-running tasks that fail again and again: each is
// away for little more than a second at a time.
func TestLongRunningTasksComeBack(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorkers(2, 4000)
	starts := 0
	w.run = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		starts++
		return 100 * time.Millisecond, workload.EndFailed
	}
	w.lead(true)
	w.play(100 * time.Millisecond)
	w.submit(simpleJob("j1", "batch", 1, 1000, func(s *workload.Step) { s.LongRunning = true }))
	w.play(20 * time.Second)
	before := starts
	w.play(10 * time.Second)
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
	w := newLedWorld(t, 1, 4000)
	w.submit(simpleJob("j1", "batch", 1, 1000, nil))
	w.play(300 * time.Millisecond)
	w.workers["i-aa"].standStill(4 * time.Second)
	w.play(12 * time.Second)
	if got := w.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestFailedTaskTriesAnotherWorker has a worker on which everything fails: the few attempts
// of a task are not all made there (raqm-hitch trouble-3).
func TestFailedTaskTriesAnotherWorker(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorkers(3, 8000)
	w.config.Classes["batch"].MaxAttempts = 2
	bad := "i-aa"
	w.run = func(_ workload.TaskID, f *fakeWorker) (time.Duration, workload.EndReason) {
		if f.id == bad {
			return 200 * time.Millisecond, workload.EndFailed
		}
		return 200 * time.Millisecond, workload.EndDone
	}
	w.lead(true)
	w.play(100 * time.Millisecond)
	for i := range 6 {
		w.submit(simpleJob(fmt.Sprintf("j%d", i), "batch", 1, 1000, nil))
		w.play(50 * time.Millisecond)
	}
	w.play(5 * time.Second)
	for i := range 6 {
		if got := w.state(fmt.Sprintf("j%d", i)); got != workload.JobCompleted {
			t.Errorf("job %d is %q, want completed", i, got)
		}
	}
}

// TestGangLooksFurtherWhileItsWorkersAreFull fills the workers that a gang asks about first
// with work that lasts, while others come free: it asks about those too (the grown
// raqm-hitch trouble-1: LOST).
func TestGangLooksFurtherWhileItsWorkersAreFull(t *testing.T) {
	w := newWorld(t, 1)
	w.goodShare = 1
	w.addWorkers(80, 8000)
	w.run = func(id workload.TaskID, _ *fakeWorker) (time.Duration, workload.EndReason) {
		switch id.Job {
		case "long":
			return time.Hour, workload.EndDone
		case "short":
			return 4 * time.Second, workload.EndDone
		}
		return time.Second, workload.EndDone
	}
	w.lead(true)
	w.play(100 * time.Millisecond)
	gang := func(s *workload.Step) { s.Gang = true }
	// The gang asks while nothing is free, about the first workers; the last ones come free.
	w.submit(simpleJob("long", "batch", 60, 7000, func(s *workload.Step) { s.LongRunning = true }))
	w.submit(simpleJob("short", "batch", 20, 7000, nil))
	w.play(time.Second)
	w.submit(simpleJob("gang", "gang", 6, 7000, gang))
	w.play(20 * time.Second)
	if got := w.state("gang"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestIdleControllerSleeps counts the turns of a controller that has nothing to do.
func TestIdleControllerSleeps(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorkers(1, 8000)
	w.lead(true)
	w.play(2 * time.Second)
	turns := 0
	for end := w.now.Add(time.Second); w.now.Before(end); turns++ {
		w.ctl.NextOrders(w.now)
		w.now = w.ctl.NextWake(w.now)
	}
	if most := 40; turns > most {
		t.Errorf("%d turns in a second, want at most %d", turns, most)
	}
}
