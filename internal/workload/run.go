package workload

import (
	"fmt"
	"strconv"
	"strings"

	"dotterelhitch/internal/structs"
)

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns "job.occurrence.step".
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	StepID
	Index int
}

// String returns "job.occurrence.step.index".
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses a task ID of the form "job.occurrence.step.index". Errors have
// CodeInvalid.
func ParseTaskID(s string) (TaskID, error) {
	job, rest, ok := strings.Cut(s, ".")
	parts := strings.Split(rest, ".")
	if !ok || job == "" || len(parts) != 3 {
		return TaskID{}, invalidTaskID(s)
	}
	var n [3]int
	for i, part := range parts {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 || strconv.Itoa(v) != part {
			return TaskID{}, invalidTaskID(s)
		}
		n[i] = v
	}
	return TaskID{StepID: StepID{Job: job, Occurrence: n[0], Step: n[1]}, Index: n[2]}, nil
}

func invalidTaskID(s string) error {
	return structs.NewError(structs.CodeInvalid, "task ID %q: want job.occurrence.step.index", s)
}

// Run identifies one run of a task. The runs of a task are numbered upwards from 1; the
// members of a gang's attempt have the same number.
type Run struct {
	Task   TaskID
	Number int64
}

// String returns "task/number".
func (r Run) String() string { return fmt.Sprintf("%s/%d", r.Task, r.Number) }

// EndReason is the reason for which a run ended.
type EndReason string

// The reasons for the end of a run.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangAborted means that another member of the gang ended.
	EndGangAborted EndReason = "broken"
	// EndGangTimeout means that the other members of the gang did not start in time.
	EndGangTimeout EndReason = "alone"
	// EndLost means that the run ended without its worker listing the end, for example
	// because the worker's process or lease ended.
	EndLost EndReason = "lost"
)

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}
