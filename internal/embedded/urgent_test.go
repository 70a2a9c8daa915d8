package embedded

import (
	"slices"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

// addClass adds a class and waits until it is in force at every entry.
func (f *failureTest) addClass(c structs.Class) {
	f.t.Helper()
	change, err := f.cell.Operator().SetClass(f.ctx, c, 0)
	f.must(err)
	f.await("class "+c.Name+" in force", func() bool {
		n := 0
		for _, e := range f.cell.Events() {
			if e.Type == event.ConfigInForce && e.Version == change.Version {
				n++
			}
		}
		return n >= len(f.cell.LiveEntries())
	})
}

// submitSized submits one job of tasks that fill so much of a worker.
func (f *failureTest) submitSized(c *Caller, class string, tasks int, cpu int64, run time.Duration, payload string) string {
	f.t.Helper()
	id, err := c.Submit(f.ctx, structs.Job{
		Class:   class,
		Count:   tasks,
		Size:    structs.Resources{CPUMilli: cpu, MemoryMiB: 512},
		RunTime: structs.Duration(run),
		Payload: payload,
	})
	f.must(err)
	return id
}

// running counts the runs of a job by the workers' record, and those of them that
// have ended in a state.
func (f *failureTest) running(job string, ended structs.AllocState) (runs, ends int) {
	for _, e := range f.cell.Events() {
		of, _, _ := strings.Cut(string(e.Task), "#")
		switch {
		case of != job:
		case e.Type == event.TaskRun:
			runs++
		case e.Type == event.TaskEnd && e.State == string(ended):
			ends++
		}
	}
	return runs, ends
}

// startWaits returns how long each task of some jobs waited from the acceptance of
// its job to its first run.
func (f *failureTest) startWaits(jobs []string) []time.Duration {
	accepted := map[string]int64{}
	first := map[structs.TaskID]int64{}
	for _, e := range f.cell.Events() {
		switch e.Type {
		case event.JobAccepted:
			accepted[e.Job] = e.Time.Micros
		case event.TaskRun:
			if _, seen := first[e.Task]; !seen {
				first[e.Task] = e.Time.Micros
			}
		}
	}
	var waits []time.Duration
	for task, at := range first {
		job, _, _ := task.Split()
		if slices.Contains(jobs, job) {
			waits = append(waits, time.Duration(at-accepted[job])*time.Microsecond)
		}
	}
	slices.Sort(waits)
	return waits
}

// urgentCell fills a cell with batch work that would run for longer than the test.
func urgentCell(t *testing.T) (f *failureTest, c *Caller, bulk string) {
	f = newFailureTest(t, 3)
	f.addClass(structs.Class{Name: "bulk", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Hour)}})
	f.addClass(structs.Class{Name: "urgent", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Second)}})
	c = f.cell.NewCaller("caller")
	bulk = f.submitSized(c, "bulk", 32, 1000, 10*time.Minute, "checkpoint")
	f.await("the cell is full", func() bool {
		runs, _ := f.running(bulk, structs.AllocStopped)
		return runs >= 32
	})
	return f, c, bulk
}

// runAgain waits until the evicted tasks of the job that fills the cell run again.
func (f *failureTest) runAgain(bulk string) {
	f.t.Helper()
	f.await("the evicted tasks run again", func() bool {
		runs, stopped := f.running(bulk, structs.AllocStopped)
		return stopped > 0 && runs == 32+stopped
	})
}

func TestUrgentWorkStartsInAFullCell(t *testing.T) {
	f, c, bulk := urgentCell(t)
	var ids []string
	for range 6 {
		ids = append(ids, f.submitSized(c, "urgent", 2, 1500, 200*time.Millisecond, ""))
	}
	f.complete(c, ids)
	_, complete := f.running(bulk, structs.AllocComplete)
	if complete > 0 {
		t.Errorf("%d batch tasks ended before the urgent ones had run: the cell was not full", complete)
	}
	f.runAgain(bulk)
	waits := f.startWaits(ids)
	t.Logf("start wait of %d tasks: p50 %v, p99 %v; %d evictions", len(waits), waits[len(waits)/2], waits[len(waits)*99/100], f.count(event.TaskEvicted))
	f.check()
}

func TestEvictedTasksResumeFromTheirCheckpoint(t *testing.T) {
	f := newFailureTest(t, 2)
	f.addClass(structs.Class{Name: "bulk", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Hour)}})
	f.addClass(structs.Class{Name: "urgent", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Second)}})
	c := f.cell.NewCaller("caller")
	bulk := f.submitSized(c, "bulk", 8, 4000, 4*time.Second, "checkpoint")
	f.await("the cell is full", func() bool { return f.count(event.TaskRun) >= 8 })
	urgent := f.submitSized(c, "urgent", 4, 4000, 100*time.Millisecond, "")
	f.complete(c, []string{urgent, bulk})
	resumed := 0
	for _, e := range f.cell.Events() {
		if e.Type == event.TaskRun && e.Detail != "" {
			resumed++
		}
	}
	if evicted := f.count(event.TaskEvicted); evicted == 0 || resumed != evicted {
		t.Errorf("%d tasks were evicted, %d resumed from a checkpoint", evicted, resumed)
	}
	f.check()
}

func TestStopsOfEvictedTasksGetNoAnswer(t *testing.T) {
	f, c, bulk := urgentCell(t)
	lose := 2
	for _, w := range f.cell.Standins.Workers() {
		f.must(w.ChangeFaults(workersvc.FaultChange{LoseStops: &lose}))
	}
	f.complete(c, []string{f.submitSized(c, "urgent", 6, 3000, 200*time.Millisecond, "")})
	f.runAgain(bulk)
	f.check()
}

func TestServicesAndTasksOfLikeSlackAreNotEvicted(t *testing.T) {
	f := newFailureTest(t, 2)
	f.addClass(structs.Class{Name: "counter", Kind: structs.KindService, Target: structs.Target{StartWithin: structs.Duration(time.Hour)}})
	f.addClass(structs.Class{Name: "urgent", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Second)}})
	c := f.cell.NewCaller("caller")
	f.submitSized(c, "counter", 4, 4000, 0, "")
	like := f.submitSized(c, "reconcile", 4, 4000, 3*time.Second, "checkpoint")
	f.await("the cell is full", func() bool { return f.count(event.TaskRun) >= 8 })
	f.complete(c, []string{f.submitSized(c, "urgent", 2, 4000, 100*time.Millisecond, ""), like})
	if n := f.count(event.TaskEvicted); n > 0 {
		t.Errorf("%d tasks were evicted, want none", n)
	}
	f.check()
}
