package orchestrator

import (
	"slices"

	"dotterelhitch/internal/structs"
)

// InventoryRound is one round of asking all owners of workers which runs of some jobs
// they know. If every worker is accounted for, a run that nobody reports does not
// exist.
type InventoryRound struct {
	// Jobs lists the IDs of the jobs in the round.
	Jobs []string
	// attempts maps the job ID and the index of each task that the round decides to the
	// task's attempt number at the start of the round.
	attempts map[string]map[int]int
}

// FoundRun is a run reported by the owner of its worker; Member is that owner.
type FoundRun struct {
	Job    string
	Run    TaskRun
	State  structs.AllocState
	Member string
}

// StartInventory starts a round for the jobs that need one; it returns nil if none
// does.
func (o *Orchestrator) StartInventory() *InventoryRound {
	o.index.applyChanges()
	c := &InventoryRound{attempts: map[string]map[int]int{}}
	for j := range o.index.needInventory {
		id := j.spec.ID
		c.Jobs = append(c.Jobs, id)
		c.attempts[id] = j.decidableAttempts()
	}
	if len(c.Jobs) == 0 {
		return nil
	}
	slices.Sort(c.Jobs)
	return c
}

// RequestInventories requests an inventory of every job with placed or doubtful tasks.
// It is called when an owner of workers was lost, since that owner may have
// acknowledged a start that it did not carry out.
func (o *Orchestrator) RequestInventories() {
	for _, j := range o.jobs {
		if j.tasksIn[placed]+j.tasksIn[inDoubt] > 0 {
			j.needsInventory = true
			j.markChanged()
		}
	}
}

// decidableAttempts returns the attempt numbers of the tasks that an inventory decides,
// by task index.
func (j *job) decidableAttempts() map[int]int {
	out := map[int]int{}
	for i, t := range j.tasks {
		if t.phase == inDoubt || t.phase == placed {
			out[i] = t.attempt
		}
	}
	return out
}

// FinishInventory records the result of a round. complete means that every worker was
// accounted for; otherwise the tasks that were not found stay in doubt and the jobs
// need another round. Runs that have ended are not handled here: they arrive as
// reports.
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
		if j.recordFound(f) {
			seen[f.Job][f.Run.Index] = true
		}
	}
	for _, id := range c.Jobs {
		if j := o.jobs[id]; j != nil {
			j.resolveMissing(c.attempts[id], seen[id], complete)
		}
	}
}

// recordFound records a run that was found and reports whether it is the latest attempt
// of its task.
func (j *job) recordFound(f FoundRun) bool {
	t := &j.tasks[f.Run.Index]
	if f.Run.Attempt > t.attempt {
		t.attempt = f.Run.Attempt
	}
	if t.phase == inDoubt && f.Run.Attempt == t.attempt && !f.State.Terminal() {
		t.worker = f.Run.Worker
		j.setPhase(f.Run.Index, placed)
	}
	return f.Run.Attempt == t.attempt
}

// resolveMissing makes the tasks pending that nobody reported in a complete round.
func (j *job) resolveMissing(attempts map[int]int, seen map[int]bool, complete bool) {
	if !complete {
		return
	}
	j.needsInventory = false
	j.markChanged()
	for index, attempt := range attempts {
		t := &j.tasks[index]
		if seen[index] || t.attempt != attempt {
			continue
		}
		if t.phase == inDoubt || t.phase == placed {
			j.setPhase(index, pending)
		}
	}
	if j.tasksIn[inDoubt] > 0 {
		j.needsInventory = true
		j.markChanged()
	}
	if j.spec.Kind == structs.KindGang && j.tasksIn[pending] > 0 && j.liveTasks() > 0 {
		j.restartGang = true
		j.markChanged()
	}
}
