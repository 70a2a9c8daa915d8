package scheduler

import "dotterelhitch/internal/structs"

// Ask is a wish to run tasks of one job.
type Ask struct {
	Job   string
	Class string
	Team  string
	Kind  structs.Kind
	// Size is what one task is granted.
	Size  structs.Resources
	Tasks []TaskRef
	// Avoid names workers on which the tasks failed before.
	Avoid []string
	// Whole asks for all tasks or none.
	Whole bool
	// Probes names workers on probation that may each get one of the tasks.
	Probes []string
}

// avoids reports whether a worker is to be left out.
func (a *Ask) avoids(id string) bool {
	for _, avoid := range a.Avoid {
		if avoid == id {
			return true
		}
	}
	return false
}

// seed returns the seed by which ties are broken.
func (a *Ask) seed() uint64 {
	if len(a.Tasks) == 0 {
		return hash(a.Job)
	}
	return hash(string(a.Tasks[0].Task))
}
