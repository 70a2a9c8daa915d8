package scheduler

import (
	"math/rand/v2"
	"testing"

	"dotterelhitch/internal/structs"
)

func TestAccountingIsIdempotent(t *testing.T) {
	s := newCell(2)
	a := structs.Alloc{Task: "j#0", Attempt: 1, Worker: "w00000", Size: size(4, 8, 0), State: structs.AllocStarting}
	for range 2 {
		if err := s.Assign(a); err != nil {
			t.Fatal(err)
		}
		s.AddObserved(a)
	}
	if got := s.Node("w00000").Used(); got != a.Size {
		t.Fatalf("used %+v, want %+v", got, a.Size)
	}
	a.Size = size(5, 8, 0)
	s.AddObserved(a)
	if got := s.Node("w00000").Used(); got != a.Size {
		t.Fatalf("after a newer report: used %+v, want %+v", got, a.Size)
	}
	if !s.Release("j#0", 1) || s.Release("j#0", 1) {
		t.Fatal("only the first Release must report that something was counted")
	}
	if !s.Node("w00000").Used().IsZero() || len(s.jobs) != 0 || len(s.allocsByTask) != 0 {
		t.Fatal("allocations are counted after their release")
	}
}

func TestAssignRejectsInvalidAllocs(t *testing.T) {
	s := newCell(2)
	ok := structs.Alloc{Task: "j#0", Worker: "w00000", Size: size(9, 8, 0), State: structs.AllocStarting}
	if err := s.Assign(ok); err != nil {
		t.Fatal(err)
	}
	s.SetFlag("w00001", FlagLeaving, true)
	for name, c := range map[string]struct {
		change func(*structs.Alloc)
		want   structs.Code
	}{
		"does not fit":         {func(a *structs.Alloc) { a.Task = "j#1" }, structs.CodeNoCapacity},
		"second attempt":       {func(a *structs.Alloc) { a.Attempt = 2; a.Size = size(1, 1, 0) }, structs.CodeConflict},
		"same on other worker": {func(a *structs.Alloc) { a.Worker = "w00001" }, structs.CodeConflict},
		"leaving worker":       {func(a *structs.Alloc) { a.Task = "j#2"; a.Worker = "w00001" }, structs.CodeNoCapacity},
		"unknown worker":       {func(a *structs.Alloc) { a.Task = "j#2"; a.Worker = "x" }, structs.CodeNotOwner},
		"negative size":        {func(a *structs.Alloc) { a.Task = "j#2"; a.Size.CPUMilli = -1 }, structs.CodeInvalid},
	} {
		a := ok
		c.change(&a)
		if got := structs.CodeOf(s.Assign(a)); got != c.want {
			t.Errorf("%s: code %q, want %q", name, got, c.want)
		}
	}
}

func TestInventoryAboveWorkerSizeIsCountedAndBlocksPlacement(t *testing.T) {
	s := newCell(1)
	s.AddObserved(structs.Alloc{Task: "j#0", Worker: "w00000", Size: size(12, 8, 0), State: structs.AllocRunning})
	s.AddObserved(structs.Alloc{Task: "j#1", Worker: "w00000", Size: size(12, 8, 0), State: structs.AllocRunning})
	if got := s.Node("w00000").Used().CPUMilli; got != 24000 {
		t.Fatalf("used %d, want 24000", got)
	}
	if p := Place(s, newRequest("k", structs.KindBatch, 1, size(1, 1, 0))); len(p.Placed) != 0 {
		t.Fatal("placed on a worker whose used resources exceed its size")
	}
	s.AddObserved(structs.Alloc{Task: "j#1", Worker: "w00000", State: structs.AllocComplete})
	s.SetExcessUse("w00000", size(0, 55, 0))
	if p := Place(s, newRequest("k", structs.KindBatch, 5, size(1, 1, 0))); len(p.Placed) != 1 {
		t.Fatalf("placed %d with an excess use of 55 GiB, want 1", len(p.Placed))
	}
	s.SetExcessUse("w00000", structs.Resources{})
	if p := Place(s, newRequest("k", structs.KindBatch, 5, size(1, 1, 0))); len(p.Placed) != 4 {
		t.Fatalf("placed %d, want 4", len(p.Placed))
	}
}

func TestWorkersChangeRackAndAreRemoved(t *testing.T) {
	s := newCell(16)
	place(t, s, newRequest("j", structs.KindService, 4, size(1, 1, 0)))
	for _, n := range s.Nodes() {
		w := n.Worker()
		w.Rack = "other"
		s.Upsert(w)
	}
	lost := 0
	for _, n := range s.Nodes() {
		lost += len(s.Remove(n.ID()))
	}
	if lost != 4 || s.Len() != 0 || len(s.jobs) != 0 || len(s.allocsByTask) != 0 || len(s.topo.racks) != 0 {
		t.Fatalf("lost %d, jobs %d, allocated tasks %d, racks %d", lost, len(s.jobs), len(s.allocsByTask), len(s.topo.racks))
	}
}

// TestPlacementsNeverExceedWorkerSize makes random placements and releases, and checks
// after each that no worker is used above its size and that the running sums equal
// sums recomputed from the live allocations.
func TestPlacementsNeverExceedWorkerSize(t *testing.T) {
	kinds := []structs.Kind{structs.KindService, structs.KindBatch, structs.KindGang}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s := newCell(12)
		for i := 12; i < 16; i++ {
			addWorker(s, i, size(32, 128, 4))
		}
		var live []structs.Alloc
		for step := range 400 {
			if rng.IntN(3) == 0 && len(live) > 0 {
				i := rng.IntN(len(live))
				s.Release(live[i].Task, live[i].Attempt)
				live = append(live[:i], live[i+1:]...)
			} else {
				a := newRequest(string(structs.NewTaskID("j", step)), kinds[rng.IntN(3)], 1+rng.IntN(9),
					structs.Resources{CPUMilli: rng.Int64N(9000), MemoryMiB: 1 + rng.Int64N(30000), Accelerators: rng.Int64N(2)})
				p := place(t, s, a)
				if a.AllOrNothing && len(p.Placed) != 0 && len(p.Placed) != len(a.Tasks) {
					t.Fatalf("seed %d: an all-or-nothing request was placed partially", seed)
				}
				live = append(live, p.Allocs(a, structs.AllocStarting)...)
			}
			checkSums(t, s, live)
			checkPlacesIfCapacity(t, s, kinds[rng.IntN(3)], structs.Resources{
				CPUMilli: 1 + rng.Int64N(9000), MemoryMiB: 1 + rng.Int64N(30000), Accelerators: rng.Int64N(2),
			})
		}
	}
}

// checkPlacesIfCapacity checks that a task is placed if and only if it fits on some
// worker.
func checkPlacesIfCapacity(t *testing.T, s *NodeSet, kind structs.Kind, sz structs.Resources) {
	t.Helper()
	hasCapacity := false
	for _, n := range s.Nodes() {
		hasCapacity = hasCapacity || sz.Fits(n.freeForSize(sz))
	}
	p := Place(s, newRequest("find", kind, 1, sz))
	if placed := len(p.Placed) == 1; placed != hasCapacity {
		t.Fatalf("%s %+v: placed %v, fits on some worker %v", kind, sz, placed, hasCapacity)
	}
}

func checkSums(t *testing.T, s *NodeSet, live []structs.Alloc) {
	t.Helper()
	sums := make(map[string]structs.Resources)
	for _, a := range live {
		sums[a.Worker] = sums[a.Worker].Add(a.Size)
	}
	for _, n := range s.Nodes() {
		if n.Used() != sums[n.ID()] {
			t.Fatalf("worker %s: used %+v, sum of live allocations %+v", n.ID(), n.Used(), sums[n.ID()])
		}
		if !n.Used().Fits(n.Worker().Size) {
			t.Fatalf("worker %s: used %+v exceeds its size", n.ID(), n.Used())
		}
	}
}
