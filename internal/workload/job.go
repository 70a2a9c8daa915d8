package workload

import (
	"time"

	"dotterelhitch/internal/structs"
)

// Bounds on one job.
const (
	MaxSteps        = 256
	MaxTasksPerStep = 20000
	MaxPayloadBytes = 4000
	MaxOccurrences  = 1 << 20
)

// Job is what a caller handed in.
type Job struct {
	ID    string `json:"id"`
	Class string `json:"class"`
	// AcceptedClass is the class as it was when the job was accepted: they hold on when the
	// class is removed.
	AcceptedClass Class `json:"terms"`
	// Payload is handed to every task as it is.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Recurrence runs the steps several times by a timetable.
	Recurrence Recurrence `json:"repeat,omitzero"`
	// AcceptedMs is when the job was accepted, in Unix milliseconds.
	AcceptedMs int64 `json:"accepted_ms"`
}

// Recurrence is a timetable of occurrences. The zero value is one occurrence at once.
type Recurrence struct {
	Count int `json:"count"`
	// StartMs is when the first occurrence is due, in Unix milliseconds.
	StartMs    int64 `json:"start_ms"`
	IntervalMs int64 `json:"interval_ms"`
}

// Step is a set of equal tasks.
type Step struct {
	Count int               `json:"count"`
	Size  structs.Resources `json:"size"`
	// EstimateMs is a rough estimate of a task's run time in milliseconds.
	EstimateMs int64 `json:"estimate_ms,omitempty"`
	// DependsOn are the steps whose tasks must all be done before.
	DependsOn []int `json:"after,omitempty"`
	// Gang tasks work only while all of one attempt run.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slower when spread over racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is one that the worker must have, empty for none.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the data, empty for none.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker bounds the tasks of an occurrence on one worker; zero is no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// SavesCheckpoints says that tasks save their progress.
	SavesCheckpoints bool `json:"checkpoints,omitempty"`
	// AllowCopies allows copies of a task to run in parallel.
	AllowCopies bool `json:"duplicates,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// TailTargetMs bounds the tail latency that the tasks serve their users with;
	// zero for none.
	TailTargetMs int64 `json:"tail_target_ms,omitempty"`
	// Harvest tasks run on processor time that others leave unused; their
	// processor size is not counted.
	Harvest bool `json:"harvest,omitempty"`
	// MaxUnavailable is the disruption budget: how many long-running tasks may be
	// away at a time by the system's own acts.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// ReservedSize returns the size that a task of the step takes of its worker.
func (s *Step) ReservedSize() structs.Resources {
	size := s.Size
	if s.Harvest {
		size.CPUMilli = 0
	}
	return size
}

// Estimate returns the estimated run time of a task.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMs) * time.Millisecond }

// OccurrenceCount returns how often the steps run.
func (j *Job) OccurrenceCount() int { return max(j.Recurrence.Count, 1) }

// Recurring reports whether the job runs by a timetable.
func (j *Job) Recurring() bool { return j.Recurrence.Count > 0 }

// HasLongRunningStep reports whether some step runs until the job is cancelled.
func (j *Job) HasLongRunningStep() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// EarliestStartMs returns when an occurrence may start, in Unix milliseconds.
func (j *Job) EarliestStartMs(occurrence int) int64 {
	if !j.Recurring() {
		return j.AcceptedMs
	}
	return j.Recurrence.StartMs + int64(occurrence)*j.Recurrence.IntervalMs
}

// CriticalPaths returns the longest chain of estimated run times from the start of step i to
// the end of the steps that wait for it. Each step counts extra besides.
func (j *Job) CriticalPaths(extra time.Duration) []time.Duration {
	below := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		below[i] += j.Steps[i].Estimate() + extra
		for _, before := range j.Steps[i].DependsOn {
			below[before] = max(below[before], below[i])
		}
	}
	return below
}

// Validate checks a job as a caller hands it in.
func (j *Job) Validate() error {
	if j.ID == "" {
		return structs.NewError(structs.CodeInvalid, "job without an ID")
	}
	if len(j.Payload) > MaxPayloadBytes {
		return structs.NewError(structs.CodeInvalid, "payload of %d bytes: at most %d", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) < 1 || len(j.Steps) > MaxSteps {
		return structs.NewError(structs.CodeInvalid, "%d steps: want 1 to %d", len(j.Steps), MaxSteps)
	}
	if err := j.Recurrence.validate(); err != nil {
		return err
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (r Recurrence) validate() error {
	if r.Count < 0 || r.Count > MaxOccurrences {
		return structs.NewError(structs.CodeInvalid, "%d occurrences: want 0 to %d", r.Count, MaxOccurrences)
	}
	if r.IntervalMs < 0 || r.StartMs < 0 {
		return structs.NewError(structs.CodeInvalid, "a time or interval of occurrences is negative")
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return structs.NewError(structs.CodeInvalid, "step %d: count %d: want 1 to %d", index, s.Count, MaxTasksPerStep)
	}
	if s.Size.HasNegative() {
		return structs.NewError(structs.CodeInvalid, "step %d: a negative size", index)
	}
	if s.EstimateMs < 0 || s.TailTargetMs < 0 {
		return structs.NewError(structs.CodeInvalid, "step %d: a negative time", index)
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return structs.NewError(structs.CodeInvalid, "step %d: a negative limit", index)
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= index {
			return structs.NewError(structs.CodeInvalid, "step %d: it waits for step %d, want an earlier one", index, before)
		}
	}
	return nil
}
