package scheduler

import (
	"testing"

	"dotterelhitch/internal/structs"
)

func TestEvictionStopsCheapestSufficientAllocs(t *testing.T) {
	s := newCell(3)
	place(t, s, newRequest("svc", structs.KindService, 3, size(10, 10, 0)))
	place(t, s, newRequest("batch", structs.KindBatch, 9, size(2, 2, 0)))
	cost := func(a structs.Alloc) (float64, bool) {
		if jobOf(a.Task) == "svc" {
			return 0, false
		}
		if a.Worker == "w00001" {
			return 1, true
		}
		return 2, true
	}
	urgent := newRequest("urgent", structs.KindBatch, 2, size(3, 3, 0))
	if p := Place(s, urgent); len(p.Placed) != 0 {
		t.Fatal("the cell is not full")
	}
	evictions := PlanEvictions(s, urgent, cost)
	if len(evictions) != 2 || evictions[0].Worker != "w00001" || len(evictions[0].Allocs) != 2 {
		t.Fatalf("evictions %+v", evictions)
	}
	for _, e := range evictions {
		s.SetReservation(Reservation{Job: "urgent", Workers: []string{evictions[0].Worker, evictions[1].Worker}})
		for _, a := range e.Allocs {
			s.Release(a.Task, a.Attempt)
		}
	}
	if p := place(t, s, urgent); len(p.Placed) != 2 {
		t.Fatalf("placed %d of 2 after the evictions", len(p.Placed))
	}
	if got := EvictableOnReserved(s, "urgent", cost); len(got) == 0 || got[0].Worker != "w00001" {
		t.Fatalf("evictable on reserved workers: %+v", got)
	}
	if PlanEvictions(s, newRequest("big", structs.KindBatch, 1, size(7, 7, 0)), cost) != nil {
		t.Fatal("planned to evict a task of the service")
	}
}
