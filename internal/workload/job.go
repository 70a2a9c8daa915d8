package workload

import (
	"time"

	"dotterelhitch/internal/structs"
)

// Limits of one job.
const (
	MaxSteps        = 256
	MaxTasksPerStep = 20000
	MaxPayloadBytes = 4000
	MaxOccurrences  = 1 << 20
)

// Job is a job as submitted by a caller.
type Job struct {
	ID    string `json:"id"`
	Class string `json:"class"`
	// AcceptedClass is the class as configured when the job was accepted. It applies if the
	// class is removed later.
	AcceptedClass Class `json:"terms"`
	// Team is the name of the team on whose behalf the job was submitted, empty if there is none.
	// AcceptedTeam is the team as configured then. It applies if the team is removed later.
	Team         string `json:"team,omitempty"`
	AcceptedTeam Team   `json:"team_terms,omitzero"`
	// Payload is passed unchanged to every task.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Recurrence says how often and when the steps run.
	Recurrence Recurrence `json:"repeat,omitzero"`
	// AcceptedMs is when the job was accepted, in Unix milliseconds by the clock of the controller that
	// accepted it. Other controllers can't compare it with their own; earlier programs do.
	AcceptedMs int64 `json:"accepted_ms"`
	// AcceptedElapsedMs is the reading of the cell's elapsed time then, in milliseconds, zero if an
	// earlier program accepted the job.
	AcceptedElapsedMs int64 `json:"accepted_elapsed_ms,omitempty"`
}

// Recurrence is the schedule of a recurring job. The zero value means a single occurrence
// that starts at once.
type Recurrence struct {
	Count int `json:"count"`
	// StartMs is the start time of the first occurrence, in Unix milliseconds.
	StartMs    int64 `json:"start_ms"`
	IntervalMs int64 `json:"interval_ms"`
}

// Step is a set of identical tasks.
type Step struct {
	Count int               `json:"count"`
	Size  structs.Resources `json:"size"`
	// EstimateMs is a rough estimate of the run time of a task, in milliseconds.
	EstimateMs int64 `json:"estimate_ms,omitempty"`
	// DependsOn are the indexes of the steps that must be complete before this one starts.
	DependsOn []int `json:"after,omitempty"`
	// Gang tasks make progress only while all tasks of the same attempt run.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks run more slowly if they are spread over several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the worker must have, empty if there is no such requirement.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the tasks' data, empty if there is none.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker is the largest number of tasks of one occurrence on one worker. Zero means
	// no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// SavesCheckpoints says that tasks save their progress in checkpoints.
	SavesCheckpoints bool `json:"checkpoints,omitempty"`
	// AllowCopies says that a speculative copy of a task may run beside the first run.
	AllowCopies bool `json:"duplicates,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// Image names the program that the tasks run.
	Image string `json:"image,omitempty"`
	// TailTargetMs is the target for the tail latency of the requests that the tasks serve,
	// in milliseconds. Zero means that there is no target.
	TailTargetMs int64 `json:"tail_target_ms,omitempty"`
	// Harvest tasks run on processor time that other tasks leave unused. Their processor size
	// is not reserved.
	Harvest bool `json:"harvest,omitempty"`
	// MaxUnavailable is the disruption budget: the largest number of long-running tasks that
	// the system itself may make unavailable at the same time.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// ReservedSize returns the capacity that a task of the step reserves on its worker.
func (s *Step) ReservedSize() structs.Resources {
	size := s.Size
	if s.Harvest {
		size.CPUMilli = 0
	}
	return size
}

// Estimate returns the estimated run time of a task.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMs) * time.Millisecond }

// OccurrenceCount returns the number of times that the steps run.
func (j *Job) OccurrenceCount() int { return max(j.Recurrence.Count, 1) }

// Recurring reports whether the job has a schedule of occurrences.
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

// EarliestStartMs returns the earliest start time of an occurrence, in Unix milliseconds.
func (j *Job) EarliestStartMs(occurrence int) int64 {
	if !j.Recurring() {
		return j.AcceptedMs
	}
	return j.Recurrence.StartMs + int64(occurrence)*j.Recurrence.IntervalMs
}

// CriticalPaths returns, for each step, the longest chain of estimated run times from the
// start of the step to the end of all steps that depend on it. The time extra is added for
// each step.
func (j *Job) CriticalPaths(extra time.Duration) []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		paths[i] += j.Steps[i].Estimate() + extra
		for _, dependency := range j.Steps[i].DependsOn {
			paths[dependency] = max(paths[dependency], paths[i])
		}
	}
	return paths
}

// Validate checks a submitted job. Errors have CodeInvalid.
func (j *Job) Validate() error {
	if j.ID == "" {
		return structs.NewError(structs.CodeInvalid, "job without an ID")
	}
	if len(j.Payload) > MaxPayloadBytes {
		return structs.NewError(structs.CodeInvalid, "payload of %d bytes: want at most %d", len(j.Payload), MaxPayloadBytes)
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
		return structs.NewError(structs.CodeInvalid, "the start time or the interval of the occurrences is negative")
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return structs.NewError(structs.CodeInvalid, "step %d: count %d: want 1 to %d", index, s.Count, MaxTasksPerStep)
	}
	if s.Size.HasNegative() {
		return structs.NewError(structs.CodeInvalid, "step %d: the size is negative", index)
	}
	if s.EstimateMs < 0 || s.TailTargetMs < 0 {
		return structs.NewError(structs.CodeInvalid, "step %d: an estimate or a target is negative", index)
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return structs.NewError(structs.CodeInvalid, "step %d: a limit is negative", index)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return structs.NewError(structs.CodeInvalid, "step %d: depends on step %d: want an earlier step", index, dependency)
		}
	}
	return nil
}
