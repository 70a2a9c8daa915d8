package embedded

import (
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/logsvc"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

// deathStep is a step of a job at which an entry dies.
type deathStep struct {
	name string
	// hold is the call that is held at the step.
	hold heldCall
	// late has the held call arrive only after the dead member was removed.
	late bool
	// reach brings the job to a step after its start instead; nil for a held call.
	reach func(*failureTest)
	// mend ends the faults after the death; nil for nothing.
	mend func(*failureTest)
}

const (
	// wideTasks is the number of tasks of a job that needs every worker.
	wideTasks = 30
	wideRun   = 100 * time.Millisecond
	// standstill is the factor by which workers are slowed until the test lets
	// their tasks end.
	standstill = 1000
)

// batchSteps and gangSteps are the steps of each kind of job before endSteps.
var batchSteps = []deathStep{
	{name: "a placement is sent", hold: heldCall{method: "Place"}},
	{name: "tasks were placed", hold: heldCall{method: "Place", answers: true}},
	{name: "tasks run", reach: func(*failureTest) {}},
}

var gangSteps = []deathStep{
	{name: "a reservation is sent", hold: heldCall{method: "Place"}},
	{name: "room is reserved", hold: heldCall{method: "Place", answers: true}},
	{name: "some have to be started", hold: heldCall{method: "Commit", first: true}},
	{name: "some are started too late", hold: heldCall{method: "Commit", first: true}, late: true},
	{name: "all have to be started", hold: heldCall{method: "Commit"}},
	{name: "tasks were started", hold: heldCall{method: "Commit", answers: true}},
}

var endSteps = []deathStep{
	{name: "some have ended", reach: func(f *failureTest) {
		f.slow(f.cell.Standins.Workers()[:4], 1)
		f.await("some ends are in the log", func() bool { return f.count(event.TaskSettled) > 0 })
	}},
	{name: "ends are not in the log", reach: func(f *failureTest) {
		down := logsvc.OutageRefuse
		f.change(logsvc.FaultChange{Outage: &down})
		f.slow(f.cell.Standins.Workers(), 1)
		f.await("every task has ended", func() bool { return f.count(event.TaskEnd) >= wideTasks })
	}, mend: func(f *failureTest) {
		up := logsvc.OutageNone
		f.change(logsvc.FaultChange{Outage: &up})
	}},
}

// slow makes the work of workers take longer by a factor.
func (f *failureTest) slow(workers []*standin.RunningWorker, factor float64) {
	f.t.Helper()
	for _, w := range workers {
		f.must(w.ChangeFaults(workersvc.FaultChange{SlowFactor: &factor}))
	}
}

// awaitAllRun waits until the tasks of a job run all at once.
func (f *failureTest) awaitAllRun(id string, tasks int) {
	f.t.Helper()
	f.await("all tasks run at once", func() bool {
		running := 0
		for _, e := range f.cell.Events() {
			job, _, err := e.Task.Split()
			switch {
			case err != nil || job != id:
			case e.Type == event.TaskRun:
				running++
			case e.Type == event.TaskEnd:
				running--
			}
		}
		return running == tasks
	})
}

// TestGangThroughADeathAtEachStep ends the gang's owner, or another member with part of
// the gang, at each step from the reservation to the record of the ends.
func TestGangThroughADeathAtEachStep(t *testing.T) {
	testDeaths(t, "summary", slices.Concat(gangSteps, endSteps))
}

// TestBatchThroughADeathAtEachStep does the same with a batch job.
func TestBatchThroughADeathAtEachStep(t *testing.T) {
	testDeaths(t, "reconcile", slices.Concat(batchSteps, endSteps))
}

func testDeaths(t *testing.T, class string, steps []deathStep) {
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			t.Run("of the owner", func(t *testing.T) {
				t.Parallel()
				testDeath(t, class, step, true)
			})
			t.Run("of a member", func(t *testing.T) {
				t.Parallel()
				testDeath(t, class, step, false)
			})
		})
	}
}

func testDeath(t *testing.T, class string, step deathStep, ofOwner bool) {
	hold := &callHold{heldCall: step.hold, free: make(chan struct{})}
	f := newCellTest(t, topology, testBound)
	for range 3 {
		f.startBehindGate(hold)
	}
	f.configure()
	f.slow(f.cell.Standins.Workers(), standstill)
	c := f.cell.NewCaller("caller")
	id := f.submitWide(c, class, wideTasks)
	if step.reach != nil {
		f.awaitAllRun(id, wideTasks)
		step.reach(f)
	} else {
		f.await("a call is held", func() bool { return hold.target() != nil })
	}
	f.victim(c, id, hold, ofOwner).Kill()
	if !step.late {
		close(hold.free)
	}
	if step.mend != nil {
		step.mend(f)
	}
	f.await("the dead member is removed", func() bool { return f.count(event.MemberRemoved) > 0 })
	if step.late {
		close(hold.free)
	}
	if step.reach == nil {
		f.awaitAllRun(id, wideTasks)
	}
	f.slow(f.cell.Standins.Workers(), 1)
	f.complete(c, []string{id})
	if class == "summary" {
		f.checkTogether(id)
	}
	f.complete(c, []string{f.submitWide(c, "summary", 32)})
	f.check()
}

// submitWide submits a job whose tasks take a processor each.
func (f *failureTest) submitWide(c *Caller, class string, tasks int) string {
	f.t.Helper()
	id, err := c.Submit(f.ctx, structs.Job{
		Class:   class,
		Count:   tasks,
		Size:    structs.Resources{CPUMilli: 1000, MemoryMiB: 128},
		RunTime: structs.Duration(wideRun),
	})
	f.must(err)
	return id
}

// victim returns the owner of a job, or another member: one to which a call is held if
// there is one.
func (f *failureTest) victim(c *Caller, id string, hold *callHold, ofOwner bool) *Entry {
	f.t.Helper()
	status, err := c.statusOnce(f.ctx, id)
	f.must(err)
	if e := hold.target(); !ofOwner && e != nil {
		return e
	}
	for _, e := range f.cell.LiveEntries() {
		if (e.Member().ID == status.Owner) == ofOwner {
			return e
		}
	}
	f.t.Fatalf("no entry to end: the owner is %s", status.Owner)
	return nil
}

// checkTogether fails unless the runs of a gang that completed overlap all.
func (f *failureTest) checkTogether(id string) {
	f.t.Helper()
	begun := map[structs.TaskID]int64{}
	var lastBegin, firstEnd int64
	for _, e := range f.cell.Events() {
		job, _, err := e.Task.Split()
		switch {
		case err != nil || job != id:
		case e.Type == event.TaskRun:
			begun[e.Task] = e.Time.Micros
		case e.Type == event.TaskEnd && e.State == string(structs.AllocComplete):
			lastBegin = max(lastBegin, begun[e.Task])
			if firstEnd == 0 {
				firstEnd = e.Time.Micros
			}
		}
	}
	if firstEnd == 0 || lastBegin >= firstEnd {
		f.t.Errorf("gang %s: a task began %d us after the first had ended", id, lastBegin-firstEnd)
	}
}
