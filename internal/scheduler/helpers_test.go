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

// newCell returns a set of usable workers of 16 cores and 64 GiB each, with eight
// workers per rack and the racks distributed round-robin over three failure domains.
func newCell(workers int) *NodeSet {
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

// newRequest returns a placement request for the first tasks of a job.
func newRequest(job string, kind structs.Kind, tasks int, sz structs.Resources) PlacementRequest {
	req := PlacementRequest{Job: job, Class: "c", Kind: kind, Size: sz, AllOrNothing: kind == structs.KindGang}
	for i := range tasks {
		req.Tasks = append(req.Tasks, TaskRef{Task: structs.NewTaskID(job, i)})
	}
	return req
}

// place places a request and assigns the resulting allocations.
func place(t testing.TB, s *NodeSet, req PlacementRequest) Plan {
	t.Helper()
	p := Place(s, req)
	for _, alloc := range p.Allocs(req, structs.AllocStarting) {
		if err := s.Assign(alloc); err != nil {
			t.Fatal(err)
		}
	}
	return p
}
