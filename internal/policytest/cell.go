package policytest

import (
	"fmt"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

const (
	rackWorkers = 8
	domainCount = 3
	gib         = 1024
)

// workerSize is the size of one worker of the numbering service.
var workerSize = structs.Resources{CPUMilli: 16000, MemoryMiB: 64 * gib}

// newCell returns usable workers, eight to a rack, the racks in turn over three
// failure domains. Every n-th rack has workers with accelerators, none if n is zero.
func newCell(workers, n int, accelerators int64) *scheduler.NodeSet {
	s := scheduler.NewNodeSet()
	for i := range workers {
		rack := i / rackWorkers
		w := structs.Worker{
			ID:     fmt.Sprintf("w%05d", i),
			Region: "casa",
			Domain: fmt.Sprintf("d%d", rack%domainCount),
			Rack:   fmt.Sprintf("r%d", rack),
			Size:   workerSize,
		}
		if n > 0 && rack%n == 0 {
			w.Size.Accelerators = accelerators
		}
		s.Upsert(w)
		s.SetFlag(w.ID, scheduler.FlagInventoried, true)
	}
	return s
}

// newAsk returns an ask for tasks of a job.
func newAsk(job, class string, kind structs.Kind, tasks int, size structs.Resources) scheduler.PlacementRequest {
	ask := scheduler.PlacementRequest{Job: job, Class: class, Kind: kind, Size: size, AllOrNothing: kind == structs.KindGang}
	for i := range tasks {
		ask.Tasks = append(ask.Tasks, scheduler.TaskRef{Task: structs.NewTaskID(job, i)})
	}
	return ask
}

// assign adds the allocations of a plan to the node set. It panics if the set refuses
// one, because the placement then chose a worker without capacity.
func assign(s *scheduler.NodeSet, plan scheduler.Plan, ask scheduler.PlacementRequest) {
	for _, a := range plan.Allocs(ask, structs.AllocRunning) {
		if err := s.Assign(a); err != nil {
			panic(err)
		}
	}
}
