package controller

import (
	"slices"
	"time"
)

// youngRuns returns the number of runs of which the worker has not outlived the start.
func (w *worker) youngRuns() int {
	n := 0
	for _, r := range w.runs {
		if !r.outlived {
			n++
		}
	}
	return n
}

// suspectPlacement is a worker chosen for a suspect. fit is how many tasks fitted there before.
type suspectPlacement struct {
	task *task
	on   *candidate
	fit  int
}

// placeSuspects chooses a worker of its own for each suspect among some tasks, where a crash would
// end the fewest runs. The candidates chosen take nothing else. It also returns the tasks that are
// no suspects; suspects for which there is no worker are in neither list.
func placeSuspects(tasks []*task, found []candidate, now time.Time) (chosen []suspectPlacement, others []*task) {
	if !slices.ContainsFunc(tasks, (*task).suspect) {
		return nil, tasks
	}
	for _, t := range tasks {
		if !t.suspect() {
			others = append(others, t)
			continue
		}
		if on := quietest(t, found, now); on != nil {
			chosen = append(chosen, suspectPlacement{task: t, on: on, fit: on.fit})
			on.fit = 0
		}
	}
	return chosen, others
}

// quietest returns the candidate for a suspect with the fewest young runs, then with the fewest
// runs, nil if there is none.
func quietest(t *task, found []candidate, now time.Time) *candidate {
	var best *candidate
	bestYoung := 0
	for i := range found {
		cand := &found[i]
		if cand.fit == 0 || t.avoids(cand.w, now) {
			continue
		}
		young := cand.w.youngRuns()
		if best == nil || young < bestYoung || young == bestYoung && len(cand.w.runs) < len(best.w.runs) {
			best, bestYoung = cand, young
		}
	}
	return best
}

// undoPlacements gives the candidates that were chosen for suspects back.
func undoPlacements(chosen []suspectPlacement) {
	for _, p := range chosen {
		p.on.fit = p.fit
	}
}
