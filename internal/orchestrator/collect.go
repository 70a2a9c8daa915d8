package orchestrator

import (
	"slices"

	"dotterelhitch/internal/structs"
)

// InventoryRound is one round of asking every worker's owner what it runs of some
// jobs. Runs that nobody reports, when every worker is accounted for, run nowhere.
type InventoryRound struct {
	// Jobs are the jobs asked about.
	Jobs []string
	// open holds the tasks that the round decides, as they were at its start.
	open map[string]map[int]int
}

// FoundRun is a run that an owner reported.
type FoundRun struct {
	Job    string
	Run    TaskRun
	State  structs.AllocState
	Member string
}

// StartInventory begins a round for the jobs that need one, nil if none does. recheck
// asks again about every task, since an owner was lost.
func (o *Orchestrator) StartInventory() *InventoryRound {
	o.attention.settleChanges()
	c := &InventoryRound{open: map[string]map[int]int{}}
	for j := range o.attention.collect {
		id := j.spec.ID
		c.Jobs = append(c.Jobs, id)
		c.open[id] = j.open()
	}
	if len(c.Jobs) == 0 {
		return nil
	}
	slices.Sort(c.Jobs)
	return c
}

// RequestInventories asks for an inventory of every job, since a worker's owner was lost and
// may have promised a start that it did not make.
func (o *Orchestrator) RequestInventories() {
	for _, j := range o.jobs {
		if j.count[placed]+j.count[doubt] > 0 {
			j.collect = true
			j.mark()
		}
	}
}

// open returns the attempts of the tasks that an inventory decides.
func (j *job) open() map[int]int {
	out := map[int]int{}
	for i, t := range j.tasks {
		if t.phase == doubt || t.phase == placed {
			out[i] = t.attempt
		}
	}
	return out
}

// FinishInventory takes the outcome of a round. complete says that no worker was left
// unaccounted for; otherwise the tasks that were not found stay in doubt and the
// jobs need another round. Runs that have ended are to be reported as usual.
func (o *Orchestrator) FinishInventory(c *InventoryRound, found []FoundRun, complete bool) {
	seen := map[string]map[int]bool{}
	for _, f := range found {
		j := o.jobs[f.Job]
		if j == nil || f.Run.Index < 0 || f.Run.Index >= len(j.tasks) {
			continue
		}
		if seen[f.Job] == nil {
			seen[f.Job] = map[int]bool{}
		}
		if j.noteFound(f) {
			seen[f.Job][f.Run.Index] = true
		}
	}
	for _, id := range c.Jobs {
		if j := o.jobs[id]; j != nil {
			j.closeRound(c.open[id], seen[id], complete)
		}
	}
}

// noteFound keeps a run that was found and reports whether it stands for its task.
func (j *job) noteFound(f FoundRun) bool {
	t := &j.tasks[f.Run.Index]
	if f.Run.Attempt > t.attempt {
		t.attempt = f.Run.Attempt
	}
	if t.phase == doubt && f.Run.Attempt == t.attempt && !f.State.Terminal() {
		t.worker = f.Run.Worker
		j.move(f.Run.Index, placed)
	}
	return f.Run.Attempt == t.attempt
}

// closeRound decides the tasks that nobody reported.
func (j *job) closeRound(open map[int]int, seen map[int]bool, complete bool) {
	if !complete {
		return
	}
	j.collect = false
	j.mark()
	for index, attempt := range open {
		t := &j.tasks[index]
		if seen[index] || t.attempt != attempt {
			continue
		}
		if t.phase == doubt || t.phase == placed {
			j.move(index, pending)
		}
	}
	if j.count[doubt] > 0 {
		j.collect = true
		j.mark()
	}
	if j.spec.Kind == structs.KindGang && j.count[pending] > 0 && j.live() > 0 {
		j.stopAll = true
		j.mark()
	}
}
