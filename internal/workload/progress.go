package workload

// Progress is what is stored of a job's way besides the job itself.
type Progress struct {
	// State is the final state, empty while the job goes on.
	State JobState `json:"state,omitempty"`
	// EndedMs is when the job ended, in Unix milliseconds.
	EndedMs int64 `json:"ended_ms,omitempty"`
	// DoneBelow says that all occurrences below it are done.
	DoneBelow int `json:"done_below,omitempty"`
	// DoneOccurrences are the occurrences from DoneBelow on that are done, in rising order.
	DoneOccurrences []int `json:"closed,omitempty"`
	// Steps are those of open occurrences on which something has ended.
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is what has ended of a step of one occurrence.
type StepProgress struct {
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	DoneTasks  Bitmap `json:"d,omitempty"`
	// Tasks are those that have failed or saved something.
	Tasks []TaskProgress `json:"t,omitempty"`
}

// TaskProgress is what earlier runs of a task left.
type TaskProgress struct {
	Index int `json:"i,omitempty"`
	// FailedRuns are the numbers of the runs that failed, so that a repeated report of an
	// end counts once.
	FailedRuns []int64 `json:"f,omitempty"`
	Checkpoint string  `json:"c,omitempty"`
}

// Bitmap is a set of small numbers.
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
