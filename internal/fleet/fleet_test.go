package fleet

import (
	"testing"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

func TestSilentWorkerLapsesOnlyAsFarAsOwnershipIsProven(t *testing.T) {
	f := New(Timing{Lease: 6 * time.Second, ClockMargin: time.Second, UnreachableAfter: 2 * time.Second})
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.AddWorker(structs.Worker{ID: "w-1"}, 1, start)
	f.WorkerAnswered("w-1", start, start)
	former := func(structs.Worker, time.Time) bool { return true }
	now := start.Add(8 * time.Second)
	for _, c := range []struct {
		proven time.Time
		lapsed int
	}{
		{time.Time{}, 0},
		{start.Add(5 * time.Second), 0},
		{start.Add(7 * time.Second), 1},
	} {
		if got := f.Tick(now, c.proven, former); len(got) != c.lapsed {
			t.Errorf("proven to %v: lapsed %v, want %d", c.proven.Sub(start), got, c.lapsed)
		}
	}
}

func TestWorkerThatRefusesItsOwnerDoesNotLapse(t *testing.T) {
	f := New(Timing{Lease: 6 * time.Second, ClockMargin: time.Second, UnreachableAfter: 2 * time.Second})
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.AddWorker(structs.Worker{ID: "w-1"}, 1, start)
	f.WorkerAnswered("w-1", start, start)
	f.EpochRefused("w-1")
	former := func(structs.Worker, time.Time) bool { return true }
	now := start.Add(time.Minute)
	if got := f.Tick(now, now, former); len(got) != 0 {
		t.Errorf("lapsed %v: a newer owner may renew its leases", got)
	}
	f.RenewOwnership("w-1", 1)
	if got := f.Tick(now, now, former); len(got) != 0 {
		t.Errorf("lapsed %v after another try at the same epoch", got)
	}
	f.RenewOwnership("w-1", 2)
	if got := f.Tick(now, now, former); len(got) != 1 {
		t.Errorf("lapsed %v, want the worker, which was gained under a newer epoch", got)
	}
}

func TestRefusedStartThatAnInventoryShowedIsReported(t *testing.T) {
	f := New(Timing{Lease: 6 * time.Second, ClockMargin: time.Second, UnreachableAfter: 2 * time.Second})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	size := structs.Resources{CPUMilli: 1000, MemoryMiB: 1}
	f.AddWorker(structs.Worker{ID: "w-1", Size: size, State: structs.WorkerLive}, 1, now)
	f.ApplyInventory("w-1", worker.Inventory{Full: true}, true, now, now)
	ask := scheduler.PlacementRequest{Job: "g:j", Class: "c", Kind: structs.KindBatch, Size: size, Tasks: []scheduler.TaskRef{{Task: "g:j#0", Attempt: 1}}}
	placed, why := f.Place(TaskRequest{Placement: ask, DeclaredSize: size}, now)
	if why != nil || len(placed) != 1 {
		t.Fatalf("placed %v: %v", placed, why)
	}
	// The job's owner, left in doubt, counts the run that the inventory shows as placed.
	if shown := f.RunsOfJobs(map[string]bool{"g:j": true}); len(shown) != 1 {
		t.Fatalf("shown %v", shown)
	}
	f.StartDone(placed[0].Key(), structs.NewError(structs.CodeDeadline, "the command is too old"), now)
	if got := f.ReportsDue(now); len(got) != 1 || got[0].State != structs.AllocStopped {
		t.Errorf("reports %v, want the run as stopped", got)
	}
	ask.Tasks[0].Attempt = 2
	if _, why := f.Place(TaskRequest{Placement: ask, DeclaredSize: size}, now); why != nil {
		t.Errorf("the room was not freed: %v", why)
	}
}
