package structs

import (
	"fmt"
	"strconv"
	"strings"
)

// Bounds on one job.
const (
	MaxTasksPerJob  = 20000
	MaxPayloadBytes = 4096
)

// Job is a submitted set of equal tasks.
type Job struct {
	// ID names the group of members that decides the job; see NewJobID.
	ID    string `json:"id"`
	Class string `json:"class"`
	Team  string `json:"team,omitempty"`
	Kind  Kind   `json:"kind"`
	// Count is the number of tasks.
	Count int `json:"count"`
	// Size is the declared size of one task.
	Size Resources `json:"size"`
	// RunTime is the declared run time of a task; zero for services.
	RunTime Duration `json:"run_time,omitempty"`
	// Payload is handed to the worker as it is.
	Payload string `json:"payload,omitempty"`
	// AcceptedMs is the wall-clock time of acceptance in Unix milliseconds.
	AcceptedMs int64 `json:"accepted_ms,omitempty"`
}

// Validate checks a job as a caller submits it.
func (j Job) Validate() error {
	if !ValidName(j.Class) {
		return NewError(CodeInvalid, "class %q: want 1 to 63 of a-z 0-9 . _ -", j.Class)
	}
	if j.Count < 1 || j.Count > MaxTasksPerJob {
		return NewError(CodeInvalid, "count %d: want 1 to %d", j.Count, MaxTasksPerJob)
	}
	if j.Size.HasNegative() || j.Size.IsZero() {
		return NewError(CodeInvalid, "size: want some processor, memory or accelerators, none negative")
	}
	if j.RunTime < 0 {
		return NewError(CodeInvalid, "run_time must not be negative")
	}
	if len(j.Payload) > MaxPayloadBytes {
		return NewError(CodeInvalid, "payload of %d bytes: at most %d", len(j.Payload), MaxPayloadBytes)
	}
	return nil
}

// NewJobID returns the ID of a job: "<group>:<unique>", or "<group>:<team>~<unique>"
// for the job of a team.
func NewJobID(group, team, unique string) string {
	if team == "" {
		return group + ":" + unique
	}
	return group + ":" + team + "~" + unique
}

// JobOwnerKey returns the part of a job ID that decides its owner: all jobs of a team in
// one group have the same owner, which can then keep the team's quota by itself.
func JobOwnerKey(id string) string {
	if i := strings.LastIndexByte(id, '~'); i >= 0 {
		return id[:i]
	}
	return id
}

// JobGroup returns the group part of a job ID, empty if the ID has none.
func JobGroup(id string) string {
	group, _, found := strings.Cut(id, ":")
	if !found {
		return ""
	}
	return group
}

// TaskID names one task of a job: "<job>#<index>".
type TaskID string

// NewTaskID returns the ID of task index of a job.
func NewTaskID(job string, index int) TaskID {
	return TaskID(fmt.Sprintf("%s#%d", job, index))
}

// Split returns the job and the index of a task.
func (t TaskID) Split() (job string, index int, err error) {
	i := strings.LastIndexByte(string(t), '#')
	if i < 0 {
		return "", 0, NewError(CodeInvalid, "task ID %q: want <job>#<index>", string(t))
	}
	n, err := strconv.Atoi(string(t)[i+1:])
	if err != nil || n < 0 {
		return "", 0, NewError(CodeInvalid, "task ID %q: want <job>#<index>", string(t))
	}
	return string(t)[:i], n, nil
}

// AllocState is the state of one run of a task on a worker.
type AllocState string

// The states of an allocation.
const (
	AllocReserved AllocState = "reserved" // held for a gang, not started
	AllocStarting AllocState = "starting" // sent to the worker, not confirmed
	AllocRunning  AllocState = "running"  // confirmed by the worker
	AllocComplete AllocState = "complete" // ended well
	AllocFailed   AllocState = "failed"   // ended badly
	AllocStopped  AllocState = "stopped"  // stopped by command or a lapsed lease
)

// Terminal reports whether the run has ended.
func (s AllocState) Terminal() bool {
	return s == AllocComplete || s == AllocFailed || s == AllocStopped
}

// Alloc is one run of a task on a worker.
type Alloc struct {
	Task    TaskID     `json:"task"`
	Attempt int        `json:"attempt"`
	Worker  string     `json:"worker"`
	Class   string     `json:"class"`
	Team    string     `json:"team,omitempty"`
	Size    Resources  `json:"size"`
	State   AllocState `json:"state"`
}
