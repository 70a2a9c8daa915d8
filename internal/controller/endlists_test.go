package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// newCellWithManyEnds returns a simulation that has lost its controller while the tasks of job j1 run on some workers. They end
// together, a moment later, so that no controller has taken note of an end.
func newCellWithManyEnds(t testing.TB, class string, workers, tasksPerWorker int) *simulation {
	const cpu = 10
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(workers, int64(tasksPerWorker*cpu))
	endAt := simulationStart.Add(30 * time.Second)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return endAt.Sub(sim.now), workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j1", class, workers*tasksPerWorker, cpu, smallMemory))
	sim.advance(29 * time.Second)
	if n := sim.runCount(); n != workers*tasksPerWorker {
		t.Fatalf("%d runs, want %d", n, workers*tasksPerWorker)
	}
	sim.ctl = nil
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 100 * time.Millisecond, workload.EndDone
	}
	return sim
}

// smallMemory has thousands of a step's tasks fit a worker.
func smallMemory(s *workload.Step) { s.Size.MemoryMiB = 1 }

// listedEnds returns the number of ends that no controller has taken note of.
func (sim *simulation) listedEnds() int {
	n := 0
	for _, f := range sim.workers {
		n += len(f.ends)
	}
	return n
}

// awaitTakeover runs the simulation until the takeover is complete, at most for a time, and returns how long that took.
func (sim *simulation) awaitTakeover(most time.Duration) time.Duration {
	sim.t.Helper()
	begun := sim.now
	for !sim.ctl.takeoverComplete {
		if sim.now.Sub(begun) > most {
			sim.t.Fatalf("the takeover is not complete after %v; %d ends are listed", most, sim.listedEnds())
		}
		sim.advance(time.Millisecond)
	}
	return sim.now.Sub(begun)
}

// refuseLosses checks that no run is taken for lost from now on.
func (sim *simulation) refuseLosses() {
	sim.observe = func(e event.Event) {
		if e.Type == event.TaskLost {
			sim.violation("run %d of %s is taken for lost: %s", e.Attempt, e.Task, e.Detail)
		}
	}
}

// TestEndsBeyondTheFirstListRunOnce guards against tasks that run again after they have ended as done: a worker lists 500 of
// its ends in its first answer to the next controller, which took the others for lost (issue 60).
func TestEndsBeyondTheFirstListRunOnce(t *testing.T) {
	for _, class := range []string{"batch", "gang"} {
		for _, perWorker := range []int{endsPerAnswer - 1, endsPerAnswer, endsPerAnswer + 1, 1500} {
			sim := newCellWithManyEnds(t, class, 4, perWorker)
			sim.advance(2 * time.Second)
			sim.startController(true)
			sim.advance(10 * time.Second)
			if got := sim.state("j1"); got != workload.JobCompleted {
				t.Errorf("class %s, %d ends a worker: state %q, want completed", class, perWorker, got)
			}
			if sim.startsSent != 0 {
				t.Errorf("class %s, %d ends a worker: %d starts by the second controller, want none", class, perWorker, sim.startsSent)
			}
		}
	}
}

// TestTakeoverOfThousandsOfEnds guards against tasks that wait for long after a change of the controller since the ends on a
// worker are read 500 at a time: 12,000 are read within a second, also on queues without advice.
func TestTakeoverOfThousandsOfEnds(t *testing.T) {
	for _, class := range []string{"batch", "gang"} {
		sim := newCellWithManyEnds(t, class, 4, 3000)
		sim.advance(2 * time.Second)
		sim.startController(true)
		took := sim.awaitTakeover(time.Second)
		t.Logf("class %s: the takeover took %v", class, took)
	}
}

// TestTakeoverOfThousandsOfEndsRightAfterStarts guards against a takeover that lasts for as long as a start may be late: the
// store names starts without a ticket of which the successor sees nothing before it has read all ends.
func TestTakeoverOfThousandsOfEndsRightAfterStarts(t *testing.T) {
	const tasks = 2000
	sim := newSimulation(t, 1)
	sim.addWorkers(1, tasks*10)
	endAt := simulationStart.Add(time.Second)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return max(endAt.Sub(sim.now), 100*time.Millisecond), workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j1", "batch", tasks, 10, smallMemory))
	for range 1000 {
		if sim.runCount() < tasks {
			sim.advance(time.Millisecond)
		}
	}
	sim.ctl = nil
	sim.advance(endAt.Sub(sim.now) + time.Second)
	if n := sim.listedEnds(); n != tasks {
		t.Fatalf("%d ends are listed, want %d", n, tasks)
	}
	sim.startController(true)
	if len(sim.ctl.inheritedStarts) == 0 {
		t.Fatal("the store names no start")
	}
	took := sim.awaitTakeover(time.Second)
	t.Logf("the takeover took %v with %d starts in the store", took, len(sim.ctl.inheritedStarts))
	sim.advance(5 * time.Second)
	if sim.startsSent != 0 || sim.state("j1") != workload.JobCompleted {
		t.Errorf("%d starts, state %q, want none and completed", sim.startsSent, sim.state("j1"))
	}
}

// TestTakeoverWhileEndsKeepComing guards against a takeover that never ends: on a worker that lists 500 ends in each answer,
// since tasks go on ending as fast as their ends are taken note of, those from before the first answer are read in time.
func TestTakeoverWhileEndsKeepComing(t *testing.T) {
	const earlier, tasks = 1300, 6000
	sim := newCellWithManyEnds(t, "gang", 1, tasks)
	f := sim.workers["i-aa"]
	endSome := func(listed int) {
		for _, id := range f.taskIDs() {
			if len(f.ends) >= listed {
				return
			}
			f.endRun(id, workload.EndDone)
		}
	}
	endSome(earlier)
	sim.startController(true)
	begun := sim.now
	for !sim.ctl.takeoverComplete {
		sim.advance(time.Millisecond)
		if endSome(3 * endsPerAnswer); len(f.ends) < 3*endsPerAnswer {
			t.Fatal("the tasks do not suffice for the test")
		}
	}
	if took := sim.now.Sub(begun); took > time.Second {
		t.Errorf("the takeover took %v with %d ends from before it, want at most 1 s", took, earlier)
	}
	if w := sim.ctl.workers[f.id]; len(w.runs) == 0 || !w.endLists.truncated {
		t.Errorf("%d runs and %d ends are left, want a takeover that does not wait for them", len(w.runs), len(f.ends))
	}
	sim.advance(20 * time.Second)
	if sim.startsSent != 0 || sim.state("j1") != workload.JobCompleted {
		t.Errorf("%d starts, state %q, want none and completed", sim.startsSent, sim.state("j1"))
	}
}

// TestNothingStartsBesideATruncatedList guards against ends that are never all listed: a worker of which an answer lists 500
// ends gets no start until an answer lists them all.
func TestNothingStartsBesideATruncatedList(t *testing.T) {
	sim := newCellWithManyEnds(t, "gang", 2, 1500)
	sim.advance(2 * time.Second)
	sim.observe = func(e event.Event) {
		if e.Type == event.TaskPlaced && sim.ctl.workers[e.Worker].endLists.truncated {
			t.Errorf("%s is placed on %s, of which not all ends are listed", e.Task, e.Worker)
		}
	}
	sim.startController(true)
	// Its starts need no ticket and no record.
	sim.submit(simpleJob("j2", "batch", 3000, 10, func(s *workload.Step) { s.Size.MemoryMiB = 1; s.AllowCopies = true }))
	sim.advance(5 * time.Second)
	if got := sim.state("j2"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestWorkerIsLostWhileItsEndsAreRead guards against a takeover that waits for the rest of the ends on a worker which falls
// silent or is restarted after its first answer.
func TestWorkerIsLostWhileItsEndsAreRead(t *testing.T) {
	losses := map[string]func(f *fakeWorker){
		"cut off":   func(f *fakeWorker) { f.partitioned = true },
		"crashed":   func(f *fakeWorker) { f.crash() },
		"restarted": func(f *fakeWorker) { f.restart() },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			sim := newCellWithManyEnds(t, "gang", 2, 1500)
			sim.advance(2 * time.Second)
			sim.startController(true)
			f := sim.workers["i-aa"]
			w := sim.ctl.workers[f.id]
			for range 100 {
				if !w.endLists.unread {
					sim.advance(time.Millisecond)
				}
			}
			if !w.endLists.unread || sim.ctl.takeoverComplete {
				t.Fatal("the takeover does not wait for the rest of the ends")
			}
			lose(f)
			took := sim.awaitTakeover(sim.timing.longestLease() + time.Second)
			t.Logf("the takeover took %v", took)
			if !w.settled() {
				t.Error("ends of the lost worker are still waited for")
			}
			sim.advance(5 * time.Second)
			if got := sim.state("j1"); got != workload.JobCompleted {
				t.Errorf("state %q, want completed", got)
			}
		})
	}
}

// TestEndsBeyondTheFirstListOfOneController guards against the same under one controller: more ends than one answer lists
// pile up while the store is away or the worker is cut off, and no task runs again.
func TestEndsBeyondTheFirstListOfOneController(t *testing.T) {
	const tasks = 3000
	disturb := map[string][2]func(sim *simulation){
		"the store is away": {
			func(sim *simulation) { sim.storeDown = true },
			func(sim *simulation) { sim.storeDown = false },
		},
		"a worker is cut off": {
			func(sim *simulation) { sim.workers["i-aa"].partitioned = true },
			func(sim *simulation) { sim.workers["i-aa"].reconnect() },
		},
		"answers of a worker are lost": {
			func(sim *simulation) { sim.workers["i-aa"].mute = true },
			func(sim *simulation) { sim.workers["i-aa"].mute = false },
		},
		"the store is away, then the controller changes": {
			func(sim *simulation) { sim.storeDown = true },
			func(sim *simulation) { sim.storeDown = false; sim.ctl = nil; sim.startController(true) },
		},
	}
	for name, change := range disturb {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.allowedShare = 1
			sim.addWorkers(2, tasks/2*10)
			endAt := simulationStart.Add(5 * time.Second)
			sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
				return max(endAt.Sub(sim.now), 100*time.Millisecond), workload.EndDone
			}
			sim.startController(true)
			sim.advance(100 * time.Millisecond)
			sim.submit(simpleJob("j1", "gang", tasks, 10, smallMemory))
			sim.advance(4 * time.Second)
			started := sim.startsSent
			sim.refuseLosses()
			change[0](sim)
			sim.advance(3 * time.Second)
			if n := sim.listedEnds(); n < 2*endsPerAnswer {
				t.Fatalf("%d ends are listed, want more than answers list", n)
			}
			change[1](sim)
			if sim.startsSent == 0 {
				started = 0 // by another controller
			}
			sim.advance(10 * time.Second)
			if sim.state("j1") != workload.JobCompleted || sim.startsSent != started {
				t.Errorf("state %q after %d starts, want completed after %d", sim.state("j1"), sim.startsSent, started)
			}
		})
	}
}

// TestEndsOfALaterBootBeyondTheFirstList guards against the same at the next boot of a worker: starts that wait for it are
// carried out there, and more of them end than its first answer lists.
func TestEndsOfALaterBootBeyondTheFirstList(t *testing.T) {
	const recorded, tasks = 250, 1200 // without copies, and with copies allowed
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.heldCallShare = 1
	sim.addWorkers(1, 100_000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 10 * time.Millisecond, workload.EndDone
	}
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	sim.refuseLosses()
	f := sim.workers["i-aa"]
	f.up = false // its process ends, unseen
	sim.submit(simpleJob("j1", "batch", recorded, 10, smallMemory))
	sim.submit(simpleJob("j2", "batch", tasks, 10, func(s *workload.Step) { s.Size.MemoryMiB = 1; s.AllowCopies = true }))
	sim.advance(100 * time.Millisecond)
	f.start()
	f.firstReadingMs = 1 // the deadlines by the former clock have not passed
	sim.listWorker(f)
	most := 0
	for range 200 {
		sim.advance(time.Millisecond)
		most = max(most, len(f.ends))
	}
	if most <= endsPerAnswer {
		t.Fatalf("%d ends are listed at the next boot, want more than one answer lists", most)
	}
	sim.advance(40 * time.Second)
	for _, id := range []string{"j1", "j2"} {
		if got := sim.state(id); got != workload.JobCompleted {
			t.Errorf("%s: state %q, want completed", id, got)
		}
	}
	if sim.startsSent != recorded+tasks {
		t.Errorf("%d starts of %d tasks", sim.startsSent, recorded+tasks)
	}
}

// TestEndsFromBeforeTheFirstAnswer guards against ends that are taken for read too early, or never: of the ends that a worker
// lists after its first answer, those of runs that were in progress then or started since come last.
func TestEndsFromBeforeTheFirstAnswer(t *testing.T) {
	firstAt := simulationStart
	full := &workload.PollResult{Ended: make([]workload.EndedTask, endsPerAnswer)}
	for name, c := range map[string]struct {
		run    *run
		unread bool
	}{
		"unknown":                         {run: nil, unread: true},
		"of a former boot, not seen here": {run: &run{startSent: firstAt.Add(-time.Second)}, unread: true},
		"waits for its record":            {run: &run{awaitsRecord: true}, unread: true},
		"of a former boot, seen here":     {run: &run{startSent: firstAt.Add(-time.Second), listedByWorker: true}, unread: false},
		"adopted at the first answer":     {run: &run{startSent: firstAt}, unread: false},
		"started since":                   {run: &run{startSent: firstAt.Add(time.Second)}, unread: false},
	} {
		var l endLists
		l.begin(full, firstAt)
		l.noteEnd(c.run)
		l.noteResponse(full)
		if l.unread != c.unread || !l.truncated {
			t.Errorf("%s: unread %v, truncated %v, want %v and true", name, l.unread, l.truncated, c.unread)
		}
	}
}

// TestWorkerWithUnreadEndsIsPolled guards against a worker that leaves the list while its ends are read, and is not asked for
// the rest of them.
func TestWorkerWithUnreadEndsIsPolled(t *testing.T) {
	c := New(1, Timing{}, nil)
	w := newWorker(workload.Worker{ID: "i-1"}, 1)
	w.accountedFor = true
	if c.needsPolling(w) {
		t.Error("a worker that is neither listed nor in use is polled")
	}
	w.endLists.unread = true
	if !c.needsPolling(w) {
		t.Error("a worker with unread ends is not polled")
	}
}
