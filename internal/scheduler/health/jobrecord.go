package health

// jobRecord counts by worker how the tasks of a job have ended.
type jobRecord struct {
	succeeded map[string]int
	failed    map[string]int
	// unexplained counts by worker the failures for which the job has not succeeded on
	// another worker yet.
	unexplained map[string]int
	parked      bool
}

func newJobRecord() *jobRecord {
	return &jobRecord{succeeded: make(map[string]int), failed: make(map[string]int), unexplained: make(map[string]int)}
}

// succeededElsewhere reports whether the job has succeeded on another worker.
func (j *jobRecord) succeededElsewhere(worker string) bool {
	if _, here := j.succeeded[worker]; here {
		return len(j.succeeded) > 1
	}
	return len(j.succeeded) > 0
}
