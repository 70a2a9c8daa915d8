package controller

import (
	"maps"
	"slices"
	"time"

	"dotterelhitch/internal/workload"
)

// crashedRuns returns the runs on a worker whose process has ended, none if the worker was draining and
// has left.
func (w *worker) crashedRuns() []*run {
	if w.leaving {
		return nil
	}
	return w.runsByStart()
}

// runsByStart returns the runs on a worker in the order in which they were started.
func (w *worker) runsByStart() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int { return a.startSent.Compare(b.startSent) })
}

// What shows that the process of a worker has ended. Silence does not, nor does an entry that is gone
// from the list or a lease that has ended: they follow from a cut or a pause as well.
const (
	crashByNewBoot     = "another boot of the worker answers"
	crashByOtherWorker = "another worker answers at its address"
)

// workerCrash is the end of a worker's process.
type workerCrash struct {
	evidence string
	lost     []lostRun
}

// lostRun is a run that a worker may have had when its process ended.
type lostRun struct {
	*run
	finding workload.CrashFinding
}

// crashNow returns what is known of the end of the worker's process, which was last heard at a given time,
// when its successor answers.
func (w *worker) crashNow(evidence string, heard, now time.Time) workerCrash {
	crash := workerCrash{evidence: evidence}
	for _, r := range slices.Concat(w.lapsedRuns, w.crashedRuns()) {
		crash.lost = append(crash.lost, lostRun{run: r, finding: w.findingOn(r, heard, now)})
	}
	w.lapsedRuns = nil
	return crash
}

// findingOn returns what the end of the worker's process, which was last heard at a given time, says of a
// run on it.
func (w *worker) findingOn(r *run, heard, now time.Time) workload.CrashFinding {
	present := r.listedByWorker || r.acceptedByBoot
	leaseHeld := w.holdsLease(r, now)
	switch {
	case !r.stopAcked.IsZero():
		return workload.CrashPossible
	case present && w.brokeOff && leaseHeld:
		return workload.CrashCertain
	case (present || r.reached || r.startSent.Before(heard)) && (w.brokeOff || leaseHeld):
		return workload.CrashLikely
	default:
		return workload.CrashPossible
	}
}
