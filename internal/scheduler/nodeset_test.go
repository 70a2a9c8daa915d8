package scheduler

import (
	"math/rand/v2"
	"testing"

	"dotterelhitch/internal/structs"
)

func TestAccountingIsIdempotent(t *testing.T) {
	s := cell(2)
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
		t.Fatalf("after a newer sight: used %+v, want %+v", got, a.Size)
	}
	if !s.Release("j#0", 1) || s.Release("j#0", 1) {
		t.Fatal("Release must tell the first end only")
	}
	if !s.Node("w00000").Used().IsZero() || len(s.jobs) != 0 || len(s.held) != 0 {
		t.Fatal("something is still counted")
	}
}

func TestAssignRefuses(t *testing.T) {
	s := cell(2)
	ok := structs.Alloc{Task: "j#0", Worker: "w00000", Size: size(9, 8, 0), State: structs.AllocStarting}
	if err := s.Assign(ok); err != nil {
		t.Fatal(err)
	}
	s.SetFlag("w00001", FlagLeaving, true)
	for name, c := range map[string]struct {
		change func(*structs.Alloc)
		want   structs.Code
	}{
		"over-give":            {func(a *structs.Alloc) { a.Task = "j#1" }, structs.CodeNoCapacity},
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

func TestInventoryAboveSizeIsCountedAndBlocksPlacement(t *testing.T) {
	s := cell(1)
	s.AddObserved(structs.Alloc{Task: "j#0", Worker: "w00000", Size: size(12, 8, 0), State: structs.AllocRunning})
	s.AddObserved(structs.Alloc{Task: "j#1", Worker: "w00000", Size: size(12, 8, 0), State: structs.AllocRunning})
	if got := s.Node("w00000").Used().CPUMilli; got != 24000 {
		t.Fatalf("used %d, want 24000", got)
	}
	if p := Place(s, ask("k", structs.KindBatch, 1, size(1, 1, 0))); len(p.Placed) != 0 {
		t.Fatal("placed on a worker above its size")
	}
	s.AddObserved(structs.Alloc{Task: "j#1", Worker: "w00000", State: structs.AllocComplete})
	s.SetExcessUse("w00000", size(0, 55, 0))
	if p := Place(s, ask("k", structs.KindBatch, 5, size(1, 1, 0))); len(p.Placed) != 1 {
		t.Fatalf("placed %d beside an excess of 55 GiB, want 1", len(p.Placed))
	}
	s.SetExcessUse("w00000", structs.Resources{})
	if p := Place(s, ask("k", structs.KindBatch, 5, size(1, 1, 0))); len(p.Placed) != 4 {
		t.Fatalf("placed %d, want 4", len(p.Placed))
	}
}

func TestMovedAndRemovedWorkers(t *testing.T) {
	s := cell(16)
	place(t, s, ask("j", structs.KindService, 4, size(1, 1, 0)))
	for _, n := range s.Nodes() {
		w := n.Worker()
		w.Rack = "other"
		s.Upsert(w)
	}
	lost := 0
	for _, n := range s.Nodes() {
		lost += len(s.Remove(n.ID()))
	}
	if lost != 4 || s.Len() != 0 || len(s.jobs) != 0 || len(s.held) != 0 || len(s.topo.racks) != 0 {
		t.Fatalf("lost %d, jobs %d, held %d, racks %d", lost, len(s.jobs), len(s.held), len(s.topo.racks))
	}
}

// TestNeverOverGives makes random changes and checks after each that no placement
// passed a worker's size and that the sums equal a fresh count.
func TestNeverOverGives(t *testing.T) {
	kinds := []structs.Kind{structs.KindService, structs.KindBatch, structs.KindGang}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		s := cell(12)
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
				a := ask(string(structs.NewTaskID("j", step)), kinds[rng.IntN(3)], 1+rng.IntN(9),
					structs.Resources{CPUMilli: rng.Int64N(9000), MemoryMiB: 1 + rng.Int64N(30000), Accelerators: rng.Int64N(2)})
				p := place(t, s, a)
				if a.AllOrNothing && len(p.Placed) != 0 && len(p.Placed) != len(a.Tasks) {
					t.Fatalf("seed %d: a whole ask was placed in part", seed)
				}
				live = append(live, p.Allocs(a, structs.AllocStarting)...)
			}
			checkSums(t, s, live)
			checkFinds(t, s, kinds[rng.IntN(3)], structs.Resources{
				CPUMilli: 1 + rng.Int64N(9000), MemoryMiB: 1 + rng.Int64N(30000), Accelerators: rng.Int64N(2),
			})
		}
	}
}

// checkFinds checks that a task is placed if and only if some worker has room.
func checkFinds(t *testing.T, s *NodeSet, kind structs.Kind, sz structs.Resources) {
	t.Helper()
	room := false
	for _, n := range s.Nodes() {
		room = room || sz.Fits(n.freeFor(sz))
	}
	p := Place(s, ask("find", kind, 1, sz))
	if placed := len(p.Placed) == 1; placed != room {
		t.Fatalf("%s %+v: placed %v, some worker has room %v", kind, sz, placed, room)
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
			t.Fatalf("worker %s: used %+v, counted %+v", n.ID(), n.Used(), sums[n.ID()])
		}
		if !n.Used().Fits(n.Worker().Size) {
			t.Fatalf("worker %s: used %+v passes its size", n.ID(), n.Used())
		}
	}
}
