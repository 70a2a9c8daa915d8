package health

import "slices"

// WorkersOnProbation returns the workers on probation, by name.
func (t *Tracker) WorkersOnProbation() []string {
	var list []string
	for worker, w := range t.workers {
		if w.probation {
			list = append(list, worker)
		}
	}
	slices.Sort(list)
	return list
}
