package controller

import (
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// worker is a worker that the controller knows, from the list or the registry.
type worker struct {
	info workload.Worker
	// listed says that the platform's list has the worker now.
	listed bool
	// registered says that the store names the worker as possibly in use.
	registered bool
	// boot is the start of the boot that last answered, in Unix milliseconds.
	boot int64
	// bootAnswered says that the present boot has answered under this epoch.
	bootAnswered bool
	// accountedFor says that nothing of a former controller can run there unseen.
	accountedFor bool

	// clockMs is the worker's clock in its last answer, which arrived at clockAt.
	clockMs int64
	clockAt time.Time
	// maxLeaseDeadlineMs is the highest deadline given, by the worker's clock.
	maxLeaseDeadlineMs int64

	lastAnsweredCall time.Time // start of the last look or order that was answered
	polling          bool
	pollSent         time.Time
	nextPoll         time.Time
	pollFailures     int // looks that failed in a row
	leaseExpired     bool
	noStartsUntil    time.Time

	speed  speedEstimate
	health healthRecord
	// avoided says that the present pass of placement gives the worker nothing.
	avoided bool

	used    structs.Resources
	runs    map[workload.Run]*run
	orphans map[workload.Run]*orphanRun

	// noted are the ends above ackedSeq that are stored; handled those that were
	// taken in.
	ackedSeq      int64
	storedEnds    map[int64]bool
	processedEnds map[int64]bool
}

// workerRecord is a worker of the registry.
type workerRecord struct {
	Addr string `json:"addr"`
}

// orphanRun is a run on a worker that belongs to no task as the controller knows it.
type orphanRun struct {
	run       workload.Run
	task      *task // nil if the task is not known
	size      structs.Resources
	sizeKnown bool // whether size is
	stopSent  time.Time
}

// runState is what is known of a run.
type runState uint8

const (
	runStarting     runState = iota // the start is on its way
	runStartUnknown                 // the start got no answer
	runRunning
	runStopping // the stop is on its way or was obeyed; the end is not listed yet
)

// run is a run of a task that may be present on a worker.
type run struct {
	task   *task
	number int64
	worker *worker
	size   structs.Resources
	state  runState

	startSent      time.Time // when the start was sent
	confirmedAt    time.Time // when the worker's word on the run arrived
	stopSent       time.Time
	stopAcked      time.Time
	stopping       bool
	retryAt        time.Time
	inFlight       bool
	listedByWorker bool // by a look at the boot

	percent      int
	percentAt    time.Time
	progressedAt time.Time // when percent last rose
	resumed      bool
}

func (r *run) id() workload.Run { return workload.Run{Task: r.task.id(), Number: r.number} }

func newWorker(info workload.Worker) *worker {
	return &worker{
		info:          info,
		runs:          map[workload.Run]*run{},
		orphans:       map[workload.Run]*orphanRun{},
		storedEnds:    map[int64]bool{},
		processedEnds: map[int64]bool{},
	}
}

// free returns what may still be given on the worker.
func (w *worker) free() structs.Resources {
	return w.info.Capacity.Sub(w.used)
}

// hasUnknownUsage reports whether something runs there whose size is not known.
func (w *worker) hasUnknownUsage() bool {
	for _, a := range w.orphans {
		if !a.sizeKnown {
			return true
		}
	}
	return false
}

// reachable reports whether the worker has answered lately.
func (w *worker) reachable(now time.Time) bool {
	if w.pollFailures > 0 {
		return false
	}
	return !w.polling || now.Sub(w.pollSent) < pollTimeout
}

// pollTimeout is how long a look may be under way before the worker counts as not
// answering: its wait and a slow round trip.
const pollTimeout = 2500 * time.Millisecond

// usable reports whether tasks may be started on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.bootAnswered && w.registered && !w.info.Draining && !w.leaseExpired &&
		w.reachable(now) && !now.Before(w.noStartsUntil) && !w.hasUnknownUsage()
}

// leaseDeadlineMs returns the time on the worker's clock until which a lease given now runs.
func (w *worker) leaseDeadlineMs(now time.Time, lease time.Duration) int64 {
	return w.clockMs + now.Sub(w.clockAt).Milliseconds() + lease.Milliseconds()
}

// leaseEnd returns when every lease given to the present boot has certainly ended.
func (w *worker) leaseEnd() time.Time {
	left := time.Duration(w.maxLeaseDeadlineMs-w.clockMs) * time.Millisecond
	if left <= 0 {
		return w.clockAt
	}
	return w.clockAt.Add(time.Duration(float64(left)/(1-maxClockSlowness)) + leaseEndMargin)
}
