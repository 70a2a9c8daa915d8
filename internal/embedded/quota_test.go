package embedded

import (
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// TestTeamsStayWithinTheirQuota runs jobs of a team that ask for far more than its
// quota, through the death of an entry, and reads from the workers' own record what
// the team's tasks held together.
func TestTeamsStayWithinTheirQuota(t *testing.T) {
	f := newFailureTest(t, 3)
	limit := structs.Resources{CPUMilli: 4000, MemoryMiB: 64 << 10}
	_, err := f.cell.Operator().SetQuota(f.ctx, structs.Quota{Team: "audit", Limit: limit}, 0)
	f.must(err)
	f.await("the quota everywhere", func() bool { return f.count(event.ConfigInForce) >= 12 })
	c := f.cell.NewCaller("caller")
	var ids []string
	for range 6 {
		id, err := c.Submit(f.ctx, structs.Job{
			Class:   "reconcile",
			Team:    "audit",
			Count:   8,
			Size:    structs.Resources{CPUMilli: 800, MemoryMiB: 128},
			RunTime: structs.Duration(300 * time.Millisecond),
		})
		f.must(err)
		ids = append(ids, id)
	}
	f.await("some tasks have run", func() bool { return f.count(event.TaskEnd) >= 10 })
	f.cell.LiveEntries()[0].Kill()
	f.complete(c, ids)
	peak := f.peakCPU()
	if peak > limit.CPUMilli {
		t.Errorf("the team's tasks held %d mCPU at a time, its quota is %d", peak, limit.CPUMilli)
	}
	if peak < limit.CPUMilli {
		t.Errorf("the team's tasks held at most %d mCPU of a quota of %d", peak, limit.CPUMilli)
	}
	f.check()
}

// TestQuotaFollowsDemand runs the jobs of a team in two regions. Its quota was split
// between them; jobs of one region alone use all of it, and when jobs come to the other
// region too, they start before the first ones are done.
func TestQuotaFollowsDemand(t *testing.T) {
	f := newFailureTest(t, 3)
	far := f.startFarEntry()
	limit := structs.Resources{CPUMilli: 4000, MemoryMiB: 64 << 10}
	_, err := f.cell.Operator().SetQuota(f.ctx, structs.Quota{Team: "audit", Limit: limit}, 0)
	f.must(err)
	f.await("the quota at the far entry", func() bool { return f.quotaSeen(far) })
	near := f.cell.LiveEntries()[0]
	submit := func(e *Entry, tasks int) string {
		client := &caller.Client{BaseURL: "http://" + e.CallerAddr()}
		id, err := client.SubmitJob(f.ctx, structs.Job{
			Class:   "reconcile",
			Team:    "audit",
			Count:   tasks,
			Size:    structs.Resources{CPUMilli: 800, MemoryMiB: 128},
			RunTime: structs.Duration(200 * time.Millisecond),
		}, "")
		f.must(err)
		return id
	}
	first := submit(near, 100)
	f.await("the whole quota is held", func() bool { return f.peakCPU() == limit.CPUMilli })
	second := submit(far, 20)
	near.Kill()
	f.complete(f.cell.NewCaller("caller"), []string{first, second})
	if peak := f.peakCPU(); peak > limit.CPUMilli {
		t.Errorf("the team's tasks held %d mCPU at a time, its quota is %d", peak, limit.CPUMilli)
	}
	if !f.startsBeforeEnd(second, first) {
		t.Error("the second region's tasks started only after the first region's job had ended")
	}
	f.check()
}

// quotaSeen reports whether an entry has a configuration with the quota in force: the
// classes and the quota.
func (f *failureTest) quotaSeen(e *Entry) bool {
	seen := 0
	for _, ev := range f.cell.Events() {
		if ev.Type == event.ConfigInForce && ev.Proc == e.Member().ID {
			seen++
		}
	}
	return seen >= 4
}

// startsBeforeEnd reports whether a task of one job ran before the last task of another
// job had ended.
func (f *failureTest) startsBeforeEnd(job, other string) bool {
	var started, lastEnd event.Time
	for _, e := range f.cell.Events() {
		id, _, err := e.Task.Split()
		switch {
		case err != nil:
		case e.Type == event.TaskRun && id == job && started == (event.Time{}):
			started = e.Time
		case e.Type == event.TaskEnd && id == other:
			lastEnd = e.Time
		}
	}
	return started.Before(lastEnd)
}

// peakCPU is the most that all tasks held at a time, in thousandths of a core.
func (f *failureTest) peakCPU() int64 {
	var used, peak int64
	held := map[structs.TaskID]int64{}
	for _, e := range f.cell.Events() {
		switch e.Type {
		case event.TaskRun:
			held[e.Task] = e.Size.CPUMilli
			used += e.Size.CPUMilli
			peak = max(peak, used)
		case event.TaskEnd:
			used -= held[e.Task]
			delete(held, e.Task)
		}
	}
	return peak
}
