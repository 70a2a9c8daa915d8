package scheduler

import (
	"reflect"
	"testing"

	"dotterelhitch/internal/structs"
)

func TestServicesSpreadOverDomainsThenRacks(t *testing.T) {
	s := cell(48) // six racks, two to a failure domain
	place(t, s, ask("svc", structs.KindService, 6, size(1, 1, 0)))
	job := s.jobs["svc"]
	if len(job.domains) != 3 || len(job.racks) != 6 {
		t.Fatalf("%d failure domains and %d racks, want 3 and 6", len(job.domains), len(job.racks))
	}
}

func TestGangStaysInOneRackWhereItFits(t *testing.T) {
	s := cell(48)
	place(t, s, ask("g", structs.KindGang, 16, size(8, 8, 0)))
	if job := s.jobs["g"]; len(job.racks) != 1 {
		t.Fatalf("%d racks, want 1", len(job.racks))
	}
	place(t, s, ask("h", structs.KindGang, 20, size(8, 8, 0)))
	if job := s.jobs["h"]; len(job.domains) != 1 || len(job.racks) != 2 {
		t.Fatalf("%d failure domains and %d racks, want 1 and 2", len(job.domains), len(job.racks))
	}
	if p := Place(s, ask("i", structs.KindGang, 100, size(8, 8, 0))); len(p.Placed) != 0 || p.BlockReason() != BlockedByGangSize {
		t.Fatalf("placed %d of a gang that does not fit", len(p.Placed))
	}
}

func TestBatchFillsTheTightestWorker(t *testing.T) {
	s := cell(8)
	place(t, s, ask("a", structs.KindBatch, 1, size(10, 10, 0)))
	place(t, s, ask("b", structs.KindBatch, 1, size(4, 4, 0)))
	place(t, s, ask("c", structs.KindBatch, 2, size(1, 1, 0)))
	busy := 0
	for _, n := range s.Nodes() {
		if n.TaskCount() > 0 {
			busy++
		}
	}
	if busy != 1 {
		t.Fatalf("%d workers busy, want 1", busy)
	}
}

func TestWorkWithoutAcceleratorsLeavesThemRoom(t *testing.T) {
	s := cell(2)
	addWorker(s, 2, size(16, 64, 4))
	p := place(t, s, ask("small", structs.KindBatch, 100, size(1, 1, 0)))
	if len(p.Placed) != 40 {
		t.Fatalf("placed %d, want 32 on plain workers and 8 beside the accelerators", len(p.Placed))
	}
	p = place(t, s, ask("acc", structs.KindBatch, 4, size(2, 1, 1)))
	if len(p.Placed) != 4 {
		t.Fatalf("placed %d of 4 on accelerators", len(p.Placed))
	}
	large := cell(0)
	addWorker(large, 0, size(16, 64, 4))
	if p := Place(large, ask("large", structs.KindBatch, 1, size(16, 1, 0))); len(p.Placed) != 1 {
		t.Fatal("work that only fits a whole worker with accelerators must run there")
	}
}

func TestFlagsKeepWorkAwayWithReasons(t *testing.T) {
	for flag, want := range map[Flag]Reason{
		FlagLeaving: ReasonLeaving, FlagDraining: ReasonDraining,
		FlagProbation: ReasonProbation, FlagFormerOwner: ReasonFormerOwner, FlagUnreachable: ReasonUnreachable,
	} {
		s := cell(3)
		for _, n := range s.Nodes() {
			s.SetFlag(n.ID(), flag, true)
		}
		p := Place(s, ask("j", structs.KindBatch, 1, size(1, 1, 0)))
		if len(p.Placed) != 0 || !reflect.DeepEqual(p.Rejections, []Rejection{{want, 3}}) {
			t.Errorf("%s: placed %d, why %v", want, len(p.Placed), p.Rejections)
		}
	}
	s := NewNodeSet()
	s.Upsert(structs.Worker{ID: "a", Size: size(1, 1, 0)})
	if p := Place(s, ask("j", structs.KindBatch, 1, size(1, 1, 0))); len(p.Placed) != 0 || p.Rejections[0].Reason != ReasonNotInventoried {
		t.Errorf("placed on a worker whose inventory was not read")
	}
}

func TestProbesAndAvoidedWorkers(t *testing.T) {
	s := cell(2)
	s.SetFlag("w00000", FlagProbation, true)
	a := ask("j", structs.KindBatch, 3, size(1, 1, 0))
	a.ProbeWorkers = []string{"w00000"}
	place(t, s, a)
	if got := s.Node("w00000").TaskCount(); got != 1 {
		t.Fatalf("%d tasks on the worker on probation, want 1", got)
	}
	a = ask("k", structs.KindBatch, 1, size(1, 1, 0))
	a.AvoidWorkers = []string{"w00001"}
	if p := Place(s, a); len(p.Placed) != 0 {
		t.Fatal("placed on an avoided worker")
	}
}

func TestPlaceIgnoresTheOrderOfArrival(t *testing.T) {
	forward, backward := NewNodeSet(), NewNodeSet()
	for i := range 40 {
		addWorker(forward, i, size(16, 64, 0))
		addWorker(backward, 39-i, size(16, 64, 0))
	}
	for _, kind := range []structs.Kind{structs.KindService, structs.KindBatch, structs.KindGang} {
		a := ask(string(kind), kind, 30, size(3, 5, 0))
		if p, q := place(t, forward, a), place(t, backward, a); !reflect.DeepEqual(p, q) {
			t.Errorf("%s: the plans differ", kind)
		}
	}
}

func TestHoldKeepsWorkersForOneJob(t *testing.T) {
	s := cell(4)
	s.SetLongRunning("svc", true)
	s.AddObserved(structs.Alloc{Task: "s#0", Worker: "w00000", Class: "svc", Size: size(8, 8, 0), State: structs.AllocRunning})
	small := ask("small", structs.KindBatch, 40, size(1, 1, 0))
	place(t, s, small)
	large := ask("large", structs.KindGang, 2, size(16, 16, 0))
	workers := PlanReservation(s, large)
	if len(workers) != 2 {
		t.Fatalf("held %v, want two workers", workers)
	}
	s.SetReservation(Reservation{Job: "large", Workers: workers})
	for _, id := range workers {
		for _, a := range s.WorkerAllocs(id) {
			s.Release(a.Task, a.Attempt)
		}
	}
	place(t, s, ask("more", structs.KindBatch, 100, size(1, 1, 0)))
	if p := place(t, s, large); len(p.Placed) != 2 {
		t.Fatalf("the held workers took %d of 2 tasks: %v", len(p.Placed), p.Rejections)
	}
	s.CancelReservation("large")
	if len(s.Reservations()) != 0 {
		t.Fatal("the hold did not end")
	}
	if PlanReservation(s, ask("never", structs.KindGang, 4, size(16, 16, 0))) != nil {
		t.Fatal("held workers on which services leave no room")
	}
}
