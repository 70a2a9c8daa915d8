package health

import "time"

const (
	// blameShift is the weight of a new result in a worker's blame as a power of
	// two.
	blameShift = 2
	// blameLimit is the blame from which on a worker goes on probation.
	blameLimit = 0.5
	// blameResults is the number of results below which it does not.
	blameResults = 3
	// streakFailures and streakJobs are the failures in a row, and the different
	// jobs among them, that put a worker on probation without a success elsewhere.
	streakFailures = 6
	streakJobs     = 3
	// probeLeast and probeMost bound the wait between probes.
	probeLeast = 10 * time.Second
	probeMost  = 10 * time.Minute
	// probeSuccesses is the number of probes in a row that end a probation.
	probeSuccesses = 2
)

// workerRecord is how tasks have ended on a worker.
type workerRecord struct {
	// blame is a moving share of results that were the worker's fault.
	blame   float64
	results int
	// succeeded says that some task has ended well.
	succeeded bool
	// streak counts failures since the last success, streakJobs their jobs.
	streak     int
	streakJobs map[string]bool

	probation bool
	backoff   backoff
	probing   bool
	passed    int
}

// count adds a result: 1 for the worker's fault, 0 for a success.
func (w *workerRecord) count(fault float64) {
	w.results++
	w.blame += (fault - w.blame) / (1 << blameShift)
}

// succeed adds a task that ended well.
func (w *workerRecord) succeed() {
	w.succeeded = true
	w.streak = 0
	clear(w.streakJobs)
	w.count(0)
}

// credible reports whether a failure of the job is likely the job's: the worker
// succeeds with others and fails with no other since.
func (w *workerRecord) credible(job string) bool {
	if !w.succeeded {
		return false
	}
	return len(w.streakJobs) == 0 || len(w.streakJobs) == 1 && w.streakJobs[job]
}

// fail adds a failure of a job to the streak.
func (w *workerRecord) fail(job string) {
	if w.streakJobs == nil {
		w.streakJobs = make(map[string]bool)
	}
	w.streak++
	if len(w.streakJobs) < streakJobs {
		w.streakJobs[job] = true
	}
}

// bad reports whether the worker should be on probation.
func (w *workerRecord) bad() bool {
	if w.results >= blameResults && w.blame >= blameLimit {
		return true
	}
	return w.streak >= streakFailures && len(w.streakJobs) >= streakJobs
}
