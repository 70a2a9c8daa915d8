// Package fleet is the decision part of a worker's owner: which workers it owns,
// what runs on them as far as is known, when a silent worker's tasks have
// certainly ended, and what the owners of jobs have to be told. It is pure: the
// entry's control goroutine calls it and passes the time in.
package fleet

import (
	"time"

	"dotterelhitch/internal/structs"
)

// RunKey names one run of a task.
type RunKey struct {
	Task    structs.TaskID
	Attempt int
}

// Alloc is one run of a task on an owned worker.
type Alloc struct {
	structs.Alloc
	// DeclaredSize is the declared size of the task; zero if a former owner placed it.
	// The size that counts, and that the worker knows, is the granted one.
	DeclaredSize structs.Resources
	// MinMemoryMiB is what the task has to be granted next, once the run was stopped
	// or killed for memory; zero if it was not.
	MinMemoryMiB int64
	// RunMs and Payload are handed to the worker at the start.
	RunMs   int64
	Payload string
	// Checkpoint is what an earlier run saved and, once this one has stopped, what
	// it saved itself.
	Checkpoint string
	// Evictions is how often runs of the task were stopped to make room.
	Evictions int
	// RunningSlack is how far the class's target lets the run be put off while it
	// runs; zero if that is not known.
	RunningSlack time.Duration
	// FirstSeen is when this owner placed or first saw the run.
	FirstSeen time.Time
	// SlackAtPlacement is the time left to the class's target when the run was placed.
	SlackAtPlacement time.Duration
	// TargetTime is when the class's target passes.
	TargetTime time.Time
	// Evicting is set once the run is to be stopped to make room.
	Evicting bool
	// used is what the run was last seen to use.
	used structs.Resources
	// throttled is the bound on its processor share in percent; zero for none.
	throttled int
	// confirmed is when the worker first showed or acknowledged the run; zero
	// before.
	confirmed time.Time
	// epoch is the worker's epoch when the run was placed.
	epoch int64
	// reserveUntil is when the room for a gang's task is given up.
	reserveUntil time.Time
	// reportAt is the earliest time of the next report to the job's owner.
	reportAt time.Time
	// reported is the last state that the job's owner has taken note of.
	reported structs.AllocState
	// listed is set once an inventory has told the job's owner of the run.
	listed bool
	// forget is set once the job's owner needs the run no more.
	forget bool
}

// Key returns the name of the run.
func (a *Alloc) Key() RunKey { return RunKey{Task: a.Task, Attempt: a.Attempt} }

func (a *Alloc) confirm(now time.Time) {
	if a.confirmed.IsZero() {
		a.confirmed = now
	}
}
