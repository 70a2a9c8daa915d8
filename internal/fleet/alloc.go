// Package fleet makes the decisions of a worker's owner: which workers it owns, which
// runs they have, when the runs of a silent worker have certainly ended, and what to
// report to the owners of jobs. It does no I/O and reads no clock: the entry's control
// goroutine calls it with the current time.
package fleet

import (
	"time"

	"dotterelhitch/internal/structs"
)

// RunKey identifies one run of a task.
type RunKey struct {
	Task    structs.TaskID
	Attempt int
}

// Alloc is one run of a task on an owned worker.
type Alloc struct {
	structs.Alloc
	// DeclaredSize is the declared size of the task; zero if a former owner placed the
	// run. Accounting and the worker use the granted size, Alloc.Size.
	DeclaredSize structs.Resources
	// MinMemoryMiB is the least memory that the next run of the task needs because this
	// run was stopped or killed for lack of memory; zero otherwise.
	MinMemoryMiB int64
	// RunMs (the run time in milliseconds) and Payload are sent to the worker at the
	// start.
	RunMs   int64
	Payload string
	// Checkpoint is the checkpoint of an earlier run and, once this run has stopped,
	// its own.
	Checkpoint string
	// Evictions is the number of earlier runs of the task that were evicted.
	Evictions int
	// RunningSlack is the delay that the class's target tolerates while the run is in
	// progress; zero if it is not known.
	RunningSlack time.Duration
	// FirstSeen is when this owner placed the run or first found it in an inventory.
	FirstSeen time.Time
	// SlackAtPlacement is the time that was left until the class's target when the run
	// was placed.
	SlackAtPlacement time.Duration
	// TargetTime is the time of the class's target.
	TargetTime time.Time
	// Evicting is set once the run has been chosen to be stopped to free resources.
	Evicting bool
	// usage is the resource usage in the last inventory.
	usage structs.Resources
	// throttlePercent is the limit on the run's processor usage in percent; zero for
	// none.
	throttlePercent int
	// confirmedAt is when the worker first listed or acknowledged the run; zero if it
	// has not.
	confirmedAt time.Time
	// workerEpoch is the worker's epoch when the run was placed.
	workerEpoch int64
	// reservedUntil is when the reservation for a gang's task expires.
	reservedUntil time.Time
	// nextReportAt is the earliest time of the next report to the job's owner.
	nextReportAt time.Time
	// acknowledgedState is the last state that the job's owner has acknowledged.
	acknowledgedState structs.AllocState
	// listedToOwner is set once the run was listed in an inventory for the job's owner.
	listedToOwner bool
	// forgettable is set once the job's owner no longer needs the run.
	forgettable bool
}

// Key returns the key of the run.
func (a *Alloc) Key() RunKey { return RunKey{Task: a.Task, Attempt: a.Attempt} }

func (a *Alloc) confirm(now time.Time) {
	if a.confirmedAt.IsZero() {
		a.confirmedAt = now
	}
}
