package scheduler

import (
	"fmt"
	"testing"

	"dotterelhitch/internal/structs"
)

// size returns an amount of cores, GiB and accelerators.
func size(cores, gib, accelerators int64) structs.Resources {
	return structs.Resources{CPUMilli: cores * 1000, MemoryMiB: gib * 1024, Accelerators: accelerators}
}

// cell returns a set of usable workers of 16 cores and 64 GiB, eight to a rack and
// the racks in turn over three failure domains.
func cell(workers int) *NodeSet {
	s := NewNodeSet()
	for i := range workers {
		addWorker(s, i, size(16, 64, 0))
	}
	return s
}

func addWorker(s *NodeSet, i int, sz structs.Resources) string {
	rack := i / 8
	id := fmt.Sprintf("w%05d", i)
	s.Upsert(structs.Worker{
		ID: id, Region: "casa", Domain: fmt.Sprintf("d%d", rack%3), Rack: fmt.Sprintf("r%d", rack),
		Size: sz, Slots: 8,
	})
	s.SetFlag(id, FlagInventoried, true)
	return id
}

// ask returns an ask for tasks of a job.
func ask(job string, kind structs.Kind, tasks int, sz structs.Resources) PlacementRequest {
	a := PlacementRequest{Job: job, Class: "c", Kind: kind, Size: sz, AllOrNothing: kind == structs.KindGang}
	for i := range tasks {
		a.Tasks = append(a.Tasks, TaskRef{Task: structs.NewTaskID(job, i)})
	}
	return a
}

// place places and assigns.
func place(t testing.TB, s *NodeSet, a PlacementRequest) Plan {
	t.Helper()
	p := Place(s, a)
	for _, alloc := range p.Allocs(a, structs.AllocStarting) {
		if err := s.Assign(alloc); err != nil {
			t.Fatal(err)
		}
	}
	return p
}
