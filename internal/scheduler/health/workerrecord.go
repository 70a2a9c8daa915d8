package health

import "time"

const (
	// blameWeightShift gives the weight of a new result in a worker's blame as
	// 1/2^blameWeightShift.
	blameWeightShift = 2
	// blameThreshold is the blame at or above which a worker is put on probation.
	blameThreshold = 0.5
	// minBlameResults is the minimum number of results before the blame can put a
	// worker on probation.
	minBlameResults = 3
	// probationStreakFailures is the number of consecutive failures, and
	// probationStreakJobs the number of different jobs among them, that put a worker on
	// probation even if those jobs have not succeeded elsewhere.
	probationStreakFailures = 6
	probationStreakJobs     = 3
	// minProbeWait and maxProbeWait bound the wait between probes.
	minProbeWait = 10 * time.Second
	maxProbeWait = 10 * time.Minute
	// requiredProbeSuccesses is the number of consecutive successful probes that end a
	// probation.
	requiredProbeSuccesses = 2
)

// workerRecord summarises how tasks have ended on a worker.
type workerRecord struct {
	// blame is the moving average share of results that were attributed to the worker
	// as its fault.
	blame       float64
	resultCount int
	// succeeded is set once any task has succeeded on the worker.
	succeeded bool
	// failureStreak counts the failures since the last success; streakJobs are their
	// jobs.
	failureStreak int
	streakJobs    map[string]bool

	probation    bool
	backoff      backoff
	probing      bool
	probesPassed int
}

// recordBlame adds a result to the blame: 1 if it was the worker's fault, 0 for a
// success.
func (w *workerRecord) recordBlame(fault float64) {
	w.resultCount++
	w.blame += (fault - w.blame) / (1 << blameWeightShift)
}

// recordSuccess records a task that succeeded.
func (w *workerRecord) recordSuccess() {
	w.succeeded = true
	w.failureStreak = 0
	clear(w.streakJobs)
	w.recordBlame(0)
}

// isCredible reports whether a failure of the job is probably the job's fault: tasks
// have succeeded on the worker, and since the last success only this job has failed
// there.
func (w *workerRecord) isCredible(job string) bool {
	if !w.succeeded {
		return false
	}
	return len(w.streakJobs) == 0 || len(w.streakJobs) == 1 && w.streakJobs[job]
}

// recordFailure adds a failure of a job to the streak.
func (w *workerRecord) recordFailure(job string) {
	if w.streakJobs == nil {
		w.streakJobs = make(map[string]bool)
	}
	w.failureStreak++
	if len(w.streakJobs) < probationStreakJobs {
		w.streakJobs[job] = true
	}
}

// needsProbation reports whether the worker's results require a probation.
func (w *workerRecord) needsProbation() bool {
	if w.resultCount >= minBlameResults && w.blame >= blameThreshold {
		return true
	}
	return w.failureStreak >= probationStreakFailures && len(w.streakJobs) >= probationStreakJobs
}
