package workload

import (
	"fmt"
	"strings"
	"time"

	"dotterelhitch/internal/structs"
)

// Worker is what a worker says of itself in the platform's list.
type Worker struct {
	ID      string
	Service string
	Addr    string
	// Domain is the failure domain.
	Domain   string
	Capacity structs.Resources
	// Rack is where the worker stands; it is one of Labels.
	Rack   string
	Labels []string
	// Draining workers get no new work.
	Draining bool
	// DrainTimeLeft is the least time that a draining worker has left; zero if it is not
	// known.
	DrainTimeLeft time.Duration
	// BootMs is when the worker's process started, in Unix milliseconds.
	BootMs int64
}

// String describes the worker for a reader of the logs.
func (w *Worker) String() string {
	return fmt.Sprintf("%s at %s in %s, %s, labels %s", w.Service, w.Addr, w.Domain, w.Capacity, strings.Join(w.Labels, " "))
}

// HasLabel reports whether the worker bears a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// PollResult is what a worker answered to a look at it.
type PollResult struct {
	BootMs int64
	// ClockMs is the worker's own clock when it answered.
	ClockMs int64
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is a run that is present on a worker.
type RunningTask struct {
	Run Run
	// Checkpoint is what the run has saved, empty if nothing.
	Checkpoint string
	// Percent is the progress of the run; of a long-running task whether it is at
	// work (100).
	Percent int
	// Usage is the tail latency in milliseconds of a task that serves, the processor
	// use in thousandths of a core of any other.
	Usage int64
}

// EndedTask is a run that has ended on a worker and is not forgotten there.
type EndedTask struct {
	// Seq numbers the ends of one boot from 1.
	Seq        int64
	Run        Run
	Reason     EndReason
	Checkpoint string
}

// Ticket is the advisor's leave to run a step on a worker.
type Ticket struct {
	Worker string
	Ticket string
}
