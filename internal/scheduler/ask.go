package scheduler

import "dotterelhitch/internal/structs"

// PlacementRequest asks for workers for tasks of one job.
type PlacementRequest struct {
	Job   string
	Class string
	Team  string
	Kind  structs.Kind
	// Size is the resources granted to each task.
	Size  structs.Resources
	Tasks []TaskRef
	// AvoidWorkers are IDs of workers on which the tasks failed before.
	AvoidWorkers []string
	// AllOrNothing requests that either all tasks are placed or none.
	AllOrNothing bool
	// ProbeWorkers are IDs of workers on probation, each of which may be given one of
	// the tasks.
	ProbeWorkers []string
}

// avoids reports whether the request excludes a worker.
func (r *PlacementRequest) avoids(id string) bool {
	for _, worker := range r.AvoidWorkers {
		if worker == id {
			return true
		}
	}
	return false
}

// tieBreakSeed returns the seed that orders equally good nodes for this request.
func (r *PlacementRequest) tieBreakSeed() uint64 {
	if len(r.Tasks) == 0 {
		return hash(r.Job)
	}
	return hash(string(r.Tasks[0].Task))
}
