package state

import (
	"maps"
	"slices"

	"dotterelhitch/internal/structs"
)

// maxEndedJobs is the number of ended jobs that are kept for status calls.
const maxEndedJobs = 4096

// Job is an accepted job with the state of its tasks according to the log.
type Job struct {
	Job structs.Job `json:"job"`
	// AcceptedOffset is the offset of the change that accepted the job.
	AcceptedOffset int64 `json:"accepted"`
	// Ends maps a task's index to its final state, until all tasks have ended.
	Ends map[int]structs.AllocState `json:"ends,omitempty"`
	// FinalCounts counts the tasks by final state once all have ended.
	FinalCounts *TaskCounts `json:"sum,omitempty"`
	// StartedMs is when the last task first ran, in Unix milliseconds.
	StartedMs int64 `json:"started_ms,omitempty"`
	Cancelled bool  `json:"cancelled,omitempty"`
	// FailReason says why the job was failed; empty if it was not.
	FailReason string `json:"parked,omitempty"`
	// EndedOffset is the offset of the change that ended the job, zero before.
	EndedOffset int64 `json:"ended_at,omitempty"`
}

// TaskCounts counts the ended tasks by final state.
type TaskCounts struct {
	Settled  int `json:"settled"`
	Complete int `json:"complete,omitempty"`
	Failed   int `json:"failed,omitempty"`
}

// TaskCounts counts the tasks whose end is in the log.
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

// compact drops what an ended job no longer needs: its payload and, once all tasks have
// ended, the state of each task.
func (j *Job) compact() {
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

// Ended reports whether the job has ended, so that no task of it will be started.
func (j *Job) Ended() bool { return j.EndedOffset != 0 }

// JobTable is the table of one group's jobs. Only one goroutine may use it.
type JobTable struct {
	nextOffset int64
	jobs       map[string]*Job
	// ended lists the IDs of the ended jobs, oldest end first.
	ended []string
	// horizon is the offset of the end of the last forgotten job. An acceptance based
	// on an older offset is refused, since it may be a repeat that names a forgotten
	// job.
	horizon int64
}

// JobsSnapshot is the full content of a JobTable as of offset Next-1.
type JobsSnapshot struct {
	Next    int64    `json:"next"`
	Horizon int64    `json:"horizon,omitempty"`
	Jobs    []Job    `json:"jobs"`
	Ended   []string `json:"ended,omitempty"`
}

// NewJobTable returns the table of an empty stream.
func NewJobTable() *JobTable {
	return &JobTable{nextOffset: 1, jobs: map[string]*Job{}}
}

// NextOffset returns the offset of the record to apply next.
func (t *JobTable) NextOffset() int64 { return t.nextOffset }

// Get returns a job, nil if there is none with that ID. The caller must not modify it.
func (t *JobTable) Get(id string) *Job { return t.jobs[id] }

// All returns all jobs in no particular order. The caller must not modify them.
func (t *JobTable) All() []*Job {
	return slices.Collect(maps.Values(t.jobs))
}

// Apply applies one record and returns a result for each of its changes. Records before
// NextOffset are ignored.
func (t *JobTable) Apply(offset int64, data []byte) []Result {
	if offset < t.nextOffset {
		return nil
	}
	t.nextOffset = offset + 1
	return fold(offset, data, t.apply)
}

func (t *JobTable) apply(offset int64, ch Change) Result {
	switch ch.Type {
	case JobAccept:
		return t.applyAccept(offset, ch)
	case JobCancel:
		return t.applyCancel(offset, ch)
	case JobFail:
		return t.applyFail(offset, ch)
	case TasksEnd:
		return t.applyEnds(offset, ch)
	case JobsSnapshotPart:
		return accept(offset, ch)
	default:
		return refuse(offset, ch, structs.CodeInvalid, "change type %q", ch.Type)
	}
}

// applyAccept adds a job. A repeat with the same ID is accepted without effect.
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

// applyCancel cancels the matching jobs that were accepted up to the author's read
// offset, so that a late repeat does not cancel jobs submitted since.
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
		t.endJob(id, j, offset)
	}
	return accept(offset, ch)
}

func (t *JobTable) applyFail(offset int64, ch Change) Result {
	j := t.jobs[ch.JobID]
	if j == nil {
		return refuse(offset, ch, structs.CodeNotFound, "job %s", ch.JobID)
	}
	if !j.Ended() {
		j.FailReason = ch.Reason
		t.endJob(ch.JobID, j, offset)
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
		if _, recorded := j.Ends[e.Index]; !recorded {
			j.Ends[e.Index] = e.State
		}
	}
	if !j.Ended() && len(j.Ends) == j.Job.Count {
		t.endJob(ch.JobID, j, offset)
	}
	j.compact()
	return accept(offset, ch)
}

// endJob marks a job as ended and forgets the oldest ended jobs beyond maxEndedJobs.
func (t *JobTable) endJob(id string, j *Job, offset int64) {
	j.EndedOffset = offset
	j.compact()
	t.ended = append(t.ended, id)
	for len(t.ended) > maxEndedJobs {
		oldest := t.ended[0]
		t.horizon = max(t.horizon, t.jobs[oldest].EndedOffset)
		delete(t.jobs, oldest)
		t.ended = t.ended[1:]
	}
}

// Snapshot returns the full content of the table.
func (t *JobTable) Snapshot() JobsSnapshot {
	s := JobsSnapshot{Next: t.nextOffset, Horizon: t.horizon, Ended: slices.Clone(t.ended)}
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		j := *t.jobs[id]
		j.Ends = maps.Clone(j.Ends)
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// RestoreJobTable returns the table with the content of a snapshot.
func RestoreJobTable(s JobsSnapshot) *JobTable {
	t := NewJobTable()
	t.nextOffset = s.Next
	t.horizon = s.Horizon
	t.ended = slices.Clone(s.Ended)
	for i := range s.Jobs {
		j := s.Jobs[i]
		j.compact()
		if j.Ends == nil && j.FinalCounts == nil {
			j.Ends = map[int]structs.AllocState{}
		}
		t.jobs[j.Job.ID] = &j
	}
	return t
}
