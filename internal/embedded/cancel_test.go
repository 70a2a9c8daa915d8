package embedded

import (
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/structs"
)

// TestCancellationsReachEveryGroup cancels jobs of two regions by a filter, and one by
// its ID through an entry of the other region.
func TestCancellationsReachEveryGroup(t *testing.T) {
	f := newFailureTest(t, 2)
	far := f.startFarEntry()
	near := f.cell.LiveEntries()[0]
	submit := func(e *Entry, key string) string {
		client := &caller.Client{BaseURL: "http://" + e.CallerAddr()}
		id, err := client.SubmitJob(f.ctx, structs.Job{
			Class:   "reconcile",
			Count:   2,
			Size:    structs.Resources{CPUMilli: 100, MemoryMiB: 64},
			RunTime: structs.Duration(time.Hour),
		}, key)
		f.must(err)
		return id
	}
	one, two, three := submit(near, "one"), submit(far, "two"), submit(far, "three")
	if again := submit(near, "two"); again != two {
		t.Errorf("a repeat through the other region: job %s, want %s", again, two)
	}
	client := &caller.Client{BaseURL: "http://" + near.CallerAddr()}
	n, err := client.CancelJob(f.ctx, two, "")
	if err != nil || n != 1 {
		t.Errorf("job of the other region: %d cancelled, %v, want 1", n, err)
	}
	n, err = client.CancelJobs(f.ctx, structs.JobFilter{Class: "reconcile"}, "")
	if err != nil || n != 2 {
		t.Errorf("by class: %d cancelled, %v, want 2", n, err)
	}
	for _, id := range []string{one, two, three} {
		status, err := client.JobStatus(f.ctx, id, 10*time.Second)
		if err != nil || status.State != structs.JobCancelled {
			t.Errorf("job %s: %s, %v, want cancelled", id, status.State, err)
		}
	}
}
