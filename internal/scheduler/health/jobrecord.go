package health

// jobRecord is where tasks of a job have ended, by worker.
type jobRecord struct {
	ok     map[string]int
	failed map[string]int
	// open are failures by worker that no success elsewhere has explained yet.
	open   map[string]int
	parked bool
}

func newJobRecord() *jobRecord {
	return &jobRecord{ok: make(map[string]int), failed: make(map[string]int), open: make(map[string]int)}
}

// succeedsElsewhere reports whether the job has succeeded on another worker.
func (j *jobRecord) succeedsElsewhere(worker string) bool {
	if _, here := j.ok[worker]; here {
		return len(j.ok) > 1
	}
	return len(j.ok) > 0
}
