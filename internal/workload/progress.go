package workload

import "slices"

// Progress is the part of a job's state that is stored beside the job itself.
type Progress struct {
	// State is the final state, empty until the job has ended.
	State JobState `json:"state,omitempty"`
	// EndedMs is when the job ended, in Unix milliseconds by the clock of the controller of then. It is
	// for earlier programs only.
	EndedMs int64 `json:"ended_ms,omitempty"`
	// EndedElapsedMs is the reading of the cell's elapsed time when the job ended, in milliseconds, zero
	// if an earlier program stored its end.
	EndedElapsedMs int64 `json:"ended_elapsed_ms,omitempty"`
	// DoneBelow is the number below which all occurrences are done.
	DoneBelow int `json:"done_below,omitempty"`
	// DoneOccurrences are the occurrences from DoneBelow on that are done, in ascending
	// order.
	DoneOccurrences []int `json:"closed,omitempty"`
	// Steps are the steps of open occurrences for which some progress is stored.
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	DoneTasks  Bitmap `json:"d,omitempty"`
	// Tasks are the tasks that are not done and have failed runs, a checkpoint or worker
	// crashes. What all members of a gang share is stored with its first task.
	Tasks []TaskProgress `json:"t,omitempty"`
}

// TaskProgress is the result of the earlier runs of a task.
type TaskProgress struct {
	Index int `json:"i,omitempty"`
	// FailedRuns are the numbers of the runs that failed. They are stored so that a repeated
	// report of the same end is counted only once.
	FailedRuns []int64 `json:"f,omitempty"`
	Checkpoint string  `json:"c,omitempty"`
	// Crashes are the crashes of workers that count for the task. Earlier programs counted lapsed leases as
	// crashes, under the names w, y and t, which must not be used again.
	Crashes []TaskCrash `json:"x,omitempty"`
	// Test is the run under which a worker may crash, nil if there is none.
	Test *SuspectTest `json:"p,omitempty"`
}

// HasBegun reports whether a run of the task has certainly begun. A crash that is not certain, and a test,
// may be of a run whose start order never arrived.
func (tp *TaskProgress) HasBegun() bool {
	isCertain := func(c TaskCrash) bool { return c.Finding == CrashCertain }
	return len(tp.FailedRuns) > 0 || tp.Checkpoint != "" || slices.ContainsFunc(tp.Crashes, isCertain)
}

// TaskCrash is a crash of a worker that counts for a task.
type TaskCrash struct {
	Run     int64        `json:"r"`
	Worker  string       `json:"w"`
	Finding CrashFinding `json:"f,omitempty"`
	// AtStart says that the worker had not outlived the start of the run, and that no worker has outlived
	// a start of the task since.
	AtStart bool `json:"s,omitempty"`
}

// CrashFinding says what is known of a run on a worker whose process has ended.
type CrashFinding uint8

const (
	// CrashPossible means that the start order may not have reached the process, or that the run may have
	// ended long before the process did.
	CrashPossible CrashFinding = iota
	// CrashLikely means that the start order reached the worker, or was sent before it fell silent. The
	// run may have ended behind a cut.
	CrashLikely
	// CrashCertain means that the worker had the run when its process ended.
	CrashCertain
)

func (f CrashFinding) String() string {
	switch f {
	case CrashCertain:
		return "certain"
	case CrashLikely:
		return "likely"
	default:
		return "possible"
	}
}

// SuspectTest is a run of a task under which a worker may have crashed.
type SuspectTest struct {
	Run    int64  `json:"r"`
	Worker string `json:"w"`
	BootMs int64  `json:"b"` // the worker's boot when the run was placed
	// Finding is what a crash of the worker would say of the run.
	Finding CrashFinding `json:"f"`
}

// Bitmap is a set of small non-negative integers.
type Bitmap []byte

// Set adds a number.
func (b *Bitmap) Set(i int) {
	for len(*b) <= i/8 {
		*b = append(*b, 0)
	}
	(*b)[i/8] |= 1 << (i % 8)
}

// Has reports whether a number is in the set.
func (b Bitmap) Has(i int) bool {
	return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}
