package workload

import (
	"fmt"
	"strings"
	"time"

	"dotterelhitch/internal/structs"
)

// Worker describes a worker in the platform's list.
type Worker struct {
	ID      string
	Service string
	Addr    string
	// Domain is the failure domain.
	Domain   string
	Capacity structs.Resources
	// Rack is the rack of the worker's instance. It is also one of Labels.
	Rack   string
	Labels []string
	// Draining says that the worker accepts no new tasks.
	Draining bool
	// DrainTimeLeft is the least time that a draining worker remains available, zero if that
	// is not known.
	DrainTimeLeft time.Duration
	// BootMs is when the worker's process started, in Unix milliseconds.
	BootMs int64
}

// String describes the worker for events and logs.
func (w *Worker) String() string {
	return fmt.Sprintf("%s at %s in %s, %s, labels %s", w.Service, w.Addr, w.Domain, w.Capacity, strings.Join(w.Labels, " "))
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// PollResult is a worker's response to a poll.
type PollResult struct {
	BootMs int64
	// ClockMs is the worker's clock at the time of the response, in milliseconds.
	ClockMs int64
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is a run that is present on a worker.
type RunningTask struct {
	Run Run
	// Checkpoint is the latest checkpoint of the run, empty if there is none.
	Checkpoint string
	// Percent is the progress of the run. For a long-running task, 100 means that it is
	// working.
	Percent int
	// Usage is the tail latency in milliseconds of a task that serves requests, and the
	// processor use in thousandths of a core of any other task.
	Usage int64
}

// EndedTask is the end of a run, which a worker lists until it is acknowledged.
type EndedTask struct {
	// Seq numbers the ends under one boot from 1.
	Seq        int64
	Run        Run
	Reason     EndReason
	Checkpoint string
}

// Ticket is the advisor's permission to run a step on a worker.
type Ticket struct {
	Worker string
	Ticket string
}
