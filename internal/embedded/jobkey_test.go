package embedded

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/structs"
)

// TestOneJobForOneKey submits each job through the entries of two regions at once,
// under one key.
func TestOneJobForOneKey(t *testing.T) {
	f := newFailureTest(t, 2)
	far := f.startFarEntry()
	submit := func(e *Entry, key string) string {
		client := &caller.Client{BaseURL: "http://" + e.CallerAddr()}
		id, err := client.SubmitJob(f.ctx, structs.Job{
			Class:   "reconcile",
			Count:   1,
			Size:    structs.Resources{CPUMilli: 100, MemoryMiB: 64},
			RunTime: structs.Duration(10 * time.Millisecond),
		}, key)
		if err != nil {
			t.Errorf("%s through %s: %v", key, e.Member().ID, err)
		}
		return id
	}
	const jobs = 20
	entries := f.cell.LiveEntries()
	for i := range jobs {
		ids := make([]string, len(entries))
		var all sync.WaitGroup
		for n, e := range entries {
			all.Go(func() { ids[n] = submit(e, fmt.Sprintf("key-%d", i)) })
		}
		all.Wait()
		for _, id := range ids[1:] {
			if id != ids[0] {
				t.Errorf("key %d: jobs %v, want one", i, ids)
				break
			}
		}
	}
	// A key that names a group belongs to it, wherever it comes in.
	if first, again := submit(entries[0], "casa-0:x"), submit(far, "casa-0:x"); first != again || structs.JobGroup(first) != "casa-0" {
		t.Errorf("a key of casa-0: jobs %s and %s", first, again)
	}
}
