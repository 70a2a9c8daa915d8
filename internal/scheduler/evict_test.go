package scheduler

import (
	"testing"

	"dotterelhitch/internal/structs"
)

func TestEvictionStopsTheCheapestThatMakeRoom(t *testing.T) {
	s := cell(3)
	place(t, s, ask("svc", structs.KindService, 3, size(10, 10, 0)))
	place(t, s, ask("batch", structs.KindBatch, 9, size(2, 2, 0)))
	cost := func(a structs.Alloc) (float64, bool) {
		if jobOf(a.Task) == "svc" {
			return 0, false
		}
		if a.Worker == "w00001" {
			return 1, true
		}
		return 2, true
	}
	urgent := ask("urgent", structs.KindBatch, 2, size(3, 3, 0))
	if p := Place(s, urgent); len(p.Placed) != 0 {
		t.Fatal("the cell is not full")
	}
	plan := PlanEvictions(s, urgent, cost)
	if len(plan) != 2 || plan[0].Worker != "w00001" || len(plan[0].Allocs) != 2 {
		t.Fatalf("evictions %+v", plan)
	}
	for _, e := range plan {
		s.SetReservation(Reservation{Job: "urgent", Workers: []string{plan[0].Worker, plan[1].Worker}})
		for _, a := range e.Allocs {
			s.Release(a.Task, a.Attempt)
		}
	}
	if p := place(t, s, urgent); len(p.Placed) != 2 {
		t.Fatalf("placed %d of 2 after the evictions", len(p.Placed))
	}
	if got := EvictableOnReserved(s, "urgent", cost); len(got) == 0 || got[0].Worker != "w00001" {
		t.Fatalf("stragglers %+v", got)
	}
	if PlanEvictions(s, ask("big", structs.KindBatch, 1, size(7, 7, 0)), cost) != nil {
		t.Fatal("a service was to be stopped")
	}
}
