package workload

// Progress is the part of a job's state that is stored beside the job itself.
type Progress struct {
	// State is the final state, empty until the job has ended.
	State JobState `json:"state,omitempty"`
	// EndedMs is when the job ended, in Unix milliseconds.
	EndedMs int64 `json:"ended_ms,omitempty"`
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
	// WorkerCrashes counts the workers that crashed while they had a run of the task. Suspicion
	// counts those that crashed shortly after its start. TestedRun is the number of a run that may
	// crash its worker, zero if there is none.
	WorkerCrashes int   `json:"w,omitempty"`
	Suspicion     int   `json:"y,omitempty"`
	TestedRun     int64 `json:"t,omitempty"`
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
