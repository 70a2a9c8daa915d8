// Package worker is the client of the platform's workers for tasks: fences,
// leases, starts, stops and inventories. docs/PLATFORM.md states the protocol and
// what the system assumes of it.
package worker

import "dotterelhitch/internal/structs"

// CommandHeader is what every command bears: who gives it and under which epoch.
type CommandHeader struct {
	// Epoch is the owner's epoch, a log offset.
	Epoch int64 `json:"epoch"`
	// Owner is the member ID of the owner.
	Owner string `json:"owner"`
	// WorkerUptimeMs is the latest reading of the worker's uptime that the owner holds.
	// Leases count from it, and a start that names a reading older than its lease
	// is refused, so that a command that was long under way does nothing. Zero
	// counts from the receipt.
	WorkerUptimeMs int64 `json:"as_of_ms,omitempty"`
}

// TaskRef names one run of a task.
type TaskRef struct {
	Task    structs.TaskID `json:"task"`
	Attempt int            `json:"attempt"`
}

// TaskStart is a task to run.
type TaskStart struct {
	TaskRef
	Class string            `json:"class"`
	Size  structs.Resources `json:"size"`
	// RunMs is the declared run time in milliseconds; zero runs until stopped.
	RunMs int64 `json:"run_ms"`
	// LeaseMs is the lease in milliseconds from the receipt.
	LeaseMs int64  `json:"lease_ms"`
	Payload string `json:"payload,omitempty"`
	// Checkpoint resumes what an earlier run of the task had saved.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// StartRequest is the body of a start call.
type StartRequest struct {
	CommandHeader
	Tasks []TaskStart `json:"tasks"`
}

// RenewRequest is the body of a lease call.
type RenewRequest struct {
	CommandHeader
	// LeaseMs is the new lease of every task in milliseconds from the receipt.
	LeaseMs int64 `json:"lease_ms"`
}

// RenewResult is the answer to a lease call.
type RenewResult struct {
	Renewed  int   `json:"renewed"`
	UptimeMs int64 `json:"uptime_ms"`
}

// StopRequest is the body of a stop call.
type StopRequest struct {
	CommandHeader
	Tasks []TaskRef `json:"tasks"`
	// Checkpoint asks each task to save its progress first.
	Checkpoint bool `json:"checkpoint"`
}

// TaskThrottle bounds the processor time of one task.
type TaskThrottle struct {
	TaskRef
	// CPUPercent is the share of its declared processor time; 100 is no bound.
	CPUPercent int `json:"cpu_percent"`
}

// ThrottleRequest is the body of a throttle call.
type ThrottleRequest struct {
	CommandHeader
	Tasks []TaskThrottle `json:"tasks"`
}

// ForgetRequest is the body of a forget call.
type ForgetRequest struct {
	CommandHeader
	Tasks []TaskRef `json:"tasks"`
}

// TaskResult is what became of a command for one task.
type TaskResult struct {
	TaskRef
	// Error is nil if the command was obeyed.
	Error *structs.Error `json:"error"`
}

// TaskResults is the answer to a command on tasks, one for each in the same order.
type TaskResults struct {
	Results  []TaskResult `json:"results"`
	UptimeMs int64        `json:"uptime_ms"`
}

// TaskInfo is what a worker knows of one run of a task.
type TaskInfo struct {
	TaskRef
	Class string             `json:"class"`
	Size  structs.Resources  `json:"size"`
	State structs.AllocState `json:"state"`
	// Usage is what the task was last seen to use; zero if not seen yet.
	Usage structs.Resources `json:"usage"`
	// Checkpoint is what the task saved, empty if nothing.
	Checkpoint string `json:"checkpoint,omitempty"`
	// LeaseLeftMs is what is left of the lease in milliseconds.
	LeaseLeftMs int64 `json:"lease_left_ms"`
	// CPUPercent is the bound on the task's processor share; zero for none.
	CPUPercent int `json:"cpu_percent,omitempty"`
	// Reason says why the task ended.
	Reason string `json:"reason,omitempty"`
}

// ReasonOutOfMemory is the reason of a failed task that was killed since its worker
// had no memory left.
const ReasonOutOfMemory = "out of memory"

// OutOfMemory reports whether the task was killed since its worker had no memory left.
func (t TaskInfo) OutOfMemory() bool {
	return t.State == structs.AllocFailed && t.Reason == ReasonOutOfMemory
}

// Inventory is what a worker runs and the ended tasks not yet forgotten.
type Inventory struct {
	// Full is true if Tasks holds all tasks, false if it holds those that changed
	// after the sequence number that the caller named.
	Full bool `json:"whole"`
	// Seq rises with every change of a task's state or usage, of the fence and
	// of Draining.
	Seq        int64  `json:"seq"`
	FenceEpoch int64  `json:"fence"`
	Owner      string `json:"owner"`
	// BootID is new at every start of the worker.
	BootID   string `json:"boot"`
	Draining bool   `json:"draining"`
	// UptimeMs is the worker's monotonic clock since its start, in milliseconds.
	UptimeMs int64      `json:"uptime_ms"`
	Tasks    []TaskInfo `json:"tasks"`
}

// ProbeAnswer is the answer to a probe.
type ProbeAnswer struct {
	BootID   string `json:"boot"`
	Draining bool   `json:"draining"`
}
