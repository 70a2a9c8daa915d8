package embedded

import (
	"testing"
	"time"

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
	f.cell.Live()[0].Kill()
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
