package entry

import (
	"context"
	"testing"
	"time"

	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/platformlog"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// stale returns the table of a jobs stream as it was when the job was accepted.
func stale(t *testing.T, log *platformlog.Client, id string) *state.JobTable {
	t.Helper()
	table := state.NewJobTable()
	err := journal.ReadToTail(t.Context(), journal.LogSource{Log: log}, state.JobsStream(structs.JobGroup(id)), 1, func(p journal.Page) int64 {
		for _, r := range p.Records {
			if table.Get(id) == nil {
				table.Apply(r.Offset, r.Data)
			}
		}
		return p.Next
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestGainedJobWhoseEndIsNotReadYet has an entry gain a job that has ended under its
// former owner, while it has not read the end. The worker has forgotten the run, so
// that no inventory shows it. It must not run again.
func TestGainedJobWhoseEndIsNotReadYet(t *testing.T) {
	c := newTestCell(t, 1)
	c.awaitReady()
	c.setClass(structs.Class{Name: "reconcile", Kind: structs.KindBatch, Target: structs.Target{StartWithin: within(time.Second)}})
	id := c.submit(10 * time.Millisecond)
	c.await("the end of the job", func() bool {
		status, err := c.callers(0).JobStatus(context.Background(), id, time.Second)
		return err == nil && status.State == structs.JobComplete
	})
	e := c.entries[0]
	c.await("the run is forgotten", func() (ok bool) {
		e.do(func() { ok = len(e.core.fleet.RunsOfJobs(map[string]bool{id: true})) == 0 && !e.core.jobs.Owns(id) })
		return ok
	})
	table := stale(t, e.log, id)
	e.do(func() {
		e.core.streams[structs.JobGroup(id)].table = table
		e.core.gainJob(table.Get(id), false)
	})
	c.await("the job has ended for its new owner", func() (ok bool) {
		e.do(func() { ok = !e.core.jobs.Owns(id) })
		return ok
	})
	if runs := c.runs.Load(); runs != 1 {
		t.Errorf("the task ran %d times", runs)
	}
}
