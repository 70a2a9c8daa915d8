package state

import (
	"maps"
	"slices"

	"dotterelhitch/internal/structs"
)

// endedKept is the number of ended jobs whose state is kept for status calls.
const endedKept = 4096

// Job is an accepted job and what the log says of its tasks.
type Job struct {
	Job structs.Job `json:"job"`
	// AcceptedOffset is the offset of its acceptance.
	AcceptedOffset int64 `json:"accepted"`
	// Ends maps a task's index to its settled state, until all are settled.
	Ends map[int]structs.AllocState `json:"ends,omitempty"`
	// FinalCounts counts the settled tasks once all are.
	FinalCounts *TaskCounts `json:"sum,omitempty"`
	// StartedMs is when the last task first ran, in Unix milliseconds.
	StartedMs int64 `json:"started_ms,omitempty"`
	Cancelled bool  `json:"cancelled,omitempty"`
	// FailReason says why the job was given up; empty if it was not.
	FailReason string `json:"parked,omitempty"`
	// EndedOffset is the offset of the change that ended the job, zero before.
	EndedOffset int64 `json:"ended_at,omitempty"`
}

// TaskCounts counts settled tasks by their state.
type TaskCounts struct {
	Settled  int `json:"settled"`
	Complete int `json:"complete,omitempty"`
	Failed   int `json:"failed,omitempty"`
}

// TaskCounts counts the tasks that the log holds an end of.
func (j *Job) TaskCounts() TaskCounts {
	if j.FinalCounts != nil {
		return *j.FinalCounts
	}
	sum := TaskCounts{Settled: len(j.Ends)}
	for _, end := range j.Ends {
		switch end {
		case structs.AllocComplete:
			sum.Complete++
		case structs.AllocFailed:
			sum.Failed++
		}
	}
	return sum
}

// shrink drops what an ended job needs no more: its payload, and the state of each
// task once all are settled.
func (j *Job) shrink() {
	if !j.Ended() {
		return
	}
	j.Job.Payload = ""
	if len(j.Ends) == j.Job.Count {
		sum := j.TaskCounts()
		j.FinalCounts = &sum
		j.Ends = nil
	}
}

// Ended reports whether nothing more will be started for the job.
func (j *Job) Ended() bool { return j.EndedOffset != 0 }

// JobTable is the table of one group's jobs. It is owned by one goroutine.
type JobTable struct {
	next  int64
	jobs  map[string]*Job
	ended []string
	// horizon is the offset of the end of the last forgotten job. A repeat of
	// an acceptance that is based on an older position could name a job that
	// was forgotten, and is refused.
	horizon int64
}

// JobsSnapshot is the whole of a Jobs table as of offset Next-1.
type JobsSnapshot struct {
	Next    int64    `json:"next"`
	Horizon int64    `json:"horizon,omitempty"`
	Jobs    []Job    `json:"jobs"`
	Ended   []string `json:"ended,omitempty"`
}

// NewJobTable returns the table of an empty stream.
func NewJobTable() *JobTable {
	return &JobTable{next: 1, jobs: map[string]*Job{}}
}

// NextOffset is the offset of the record to apply next.
func (t *JobTable) NextOffset() int64 { return t.next }

// Get returns a job, nil if there is none of that ID. The caller must not change
// it.
func (t *JobTable) Get(id string) *Job { return t.jobs[id] }

// All returns all jobs, in no particular order. The caller must not change them.
func (t *JobTable) All() []*Job {
	return slices.Collect(maps.Values(t.jobs))
}

// Apply folds one record and returns a result for each of its changes.
func (t *JobTable) Apply(offset int64, data []byte) []Result {
	if offset < t.next {
		return nil
	}
	t.next = offset + 1
	return fold(offset, data, t.apply)
}

func (t *JobTable) apply(offset int64, ch Change) Result {
	switch ch.Type {
	case JobAccept:
		return t.applyAccept(offset, ch)
	case JobCancel:
		return t.applyCancel(offset, ch)
	case JobFail:
		return t.applyPark(offset, ch)
	case TasksEnd:
		return t.applyEnds(offset, ch)
	case JobsSnapshotPart:
		return accept(offset, ch)
	default:
		return refuse(offset, ch, structs.CodeInvalid, "change type %q", ch.Type)
	}
}

// applyAccept takes a job once; a repeat of the same ID is accepted and does
// nothing.
func (t *JobTable) applyAccept(offset int64, ch Change) Result {
	if ch.Job == nil || ch.Job.ID == "" {
		return refuse(offset, ch, structs.CodeInvalid, "job_accept without a job")
	}
	if err := ch.Job.Validate(); err != nil {
		return refuse(offset, ch, structs.CodeInvalid, "%v", err)
	}
	if t.jobs[ch.Job.ID] != nil {
		return accept(offset, ch)
	}
	if ch.Base < t.horizon {
		return refuse(offset, ch, structs.CodeConflict, "job %s: based on position %d, jobs up to %d are forgotten", ch.Job.ID, ch.Base, t.horizon)
	}
	t.jobs[ch.Job.ID] = &Job{Job: *ch.Job, AcceptedOffset: offset, Ends: map[int]structs.AllocState{}}
	return accept(offset, ch)
}

// applyCancel cancels the jobs that were accepted at or before the author's read
// position, so that a late repeat does not reach jobs submitted since.
func (t *JobTable) applyCancel(offset int64, ch Change) Result {
	if ch.Filter == nil || ch.Filter.Validate() != nil {
		return refuse(offset, ch, structs.CodeInvalid, "job_cancel without a filter")
	}
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		j := t.jobs[id]
		if j.Ended() || j.AcceptedOffset > ch.Base || !ch.Filter.Match(j.Job) {
			continue
		}
		j.Cancelled = true
		t.end(id, j, offset)
	}
	return accept(offset, ch)
}

func (t *JobTable) applyPark(offset int64, ch Change) Result {
	j := t.jobs[ch.JobID]
	if j == nil {
		return refuse(offset, ch, structs.CodeNotFound, "job %s", ch.JobID)
	}
	if !j.Ended() {
		j.FailReason = ch.Reason
		t.end(ch.JobID, j, offset)
	}
	return accept(offset, ch)
}

func (t *JobTable) applyEnds(offset int64, ch Change) Result {
	j := t.jobs[ch.JobID]
	if j == nil {
		return refuse(offset, ch, structs.CodeNotFound, "job %s", ch.JobID)
	}
	j.StartedMs = max(j.StartedMs, ch.StartedMs)
	if j.FinalCounts != nil {
		return accept(offset, ch)
	}
	for _, e := range ch.Ends {
		if e.Index < 0 || e.Index >= j.Job.Count {
			continue
		}
		if _, settled := j.Ends[e.Index]; !settled {
			j.Ends[e.Index] = e.State
		}
	}
	if !j.Ended() && len(j.Ends) == j.Job.Count {
		t.end(ch.JobID, j, offset)
	}
	j.shrink()
	return accept(offset, ch)
}

// end marks a job as ended and forgets the oldest ended ones past the bound.
func (t *JobTable) end(id string, j *Job, offset int64) {
	j.EndedOffset = offset
	j.shrink()
	t.ended = append(t.ended, id)
	for len(t.ended) > endedKept {
		oldest := t.ended[0]
		t.horizon = max(t.horizon, t.jobs[oldest].EndedOffset)
		delete(t.jobs, oldest)
		t.ended = t.ended[1:]
	}
}

// Snapshot returns the whole table.
func (t *JobTable) Snapshot() JobsSnapshot {
	s := JobsSnapshot{Next: t.next, Horizon: t.horizon, Ended: slices.Clone(t.ended)}
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		j := *t.jobs[id]
		j.Ends = maps.Clone(j.Ends)
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// RestoreJobTable returns the table that a snapshot describes.
func RestoreJobTable(s JobsSnapshot) *JobTable {
	t := NewJobTable()
	t.next = s.Next
	t.horizon = s.Horizon
	t.ended = slices.Clone(s.Ended)
	for i := range s.Jobs {
		j := s.Jobs[i]
		j.shrink()
		if j.Ends == nil && j.FinalCounts == nil {
			j.Ends = map[int]structs.AllocState{}
		}
		t.jobs[j.Job.ID] = &j
	}
	return t
}
