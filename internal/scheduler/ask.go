package scheduler

import "dotterelhitch/internal/structs"

// PlacementRequest is a wish to run tasks of one job.
type PlacementRequest struct {
	Job   string
	Class string
	Team  string
	Kind  structs.Kind
	// Size is what one task is granted.
	Size  structs.Resources
	Tasks []TaskRef
	// AvoidWorkers names workers on which the tasks failed before.
	AvoidWorkers []string
	// AllOrNothing asks for all tasks or none.
	AllOrNothing bool
	// ProbeWorkers names workers on probation that may each get one of the tasks.
	ProbeWorkers []string
}

// avoids reports whether a worker is to be left out.
func (a *PlacementRequest) avoids(id string) bool {
	for _, avoid := range a.AvoidWorkers {
		if avoid == id {
			return true
		}
	}
	return false
}

// seed returns the seed by which ties are broken.
func (a *PlacementRequest) seed() uint64 {
	if len(a.Tasks) == 0 {
		return hash(a.Job)
	}
	return hash(string(a.Tasks[0].Task))
}
