package fleet

import (
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

func TestSilentWorkerLapsesOnlyAsFarAsOwnershipIsProven(t *testing.T) {
	f := New(Timing{Lease: 6 * time.Second, ClockMargin: time.Second, Silent: 2 * time.Second})
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Gain(structs.Worker{ID: "w-1"}, 1, start)
	f.Heard("w-1", start, start)
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
	f := New(Timing{Lease: 6 * time.Second, ClockMargin: time.Second, Silent: 2 * time.Second})
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Gain(structs.Worker{ID: "w-1"}, 1, start)
	f.Heard("w-1", start, start)
	f.Refused("w-1")
	former := func(structs.Worker, time.Time) bool { return true }
	now := start.Add(time.Minute)
	if got := f.Tick(now, now, former); len(got) != 0 {
		t.Errorf("lapsed %v: a newer owner may renew its leases", got)
	}
	f.Regain("w-1", 1)
	if got := f.Tick(now, now, former); len(got) != 0 {
		t.Errorf("lapsed %v after another try at the same epoch", got)
	}
	f.Regain("w-1", 2)
	if got := f.Tick(now, now, former); len(got) != 1 {
		t.Errorf("lapsed %v, want the worker, which was gained under a newer epoch", got)
	}
}
