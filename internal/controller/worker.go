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
	// seen says that the present boot has answered under this epoch.
	seen bool
	// accounted says that nothing of a former controller can run there unseen.
	accounted bool

	// clockMs is the worker's clock in its last answer, which arrived at clockAt.
	clockMs int64
	clockAt time.Time
	// granted is the highest deadline given, by the worker's clock.
	granted int64

	heard     time.Time // start of the last look or order that was answered
	looking   bool
	lookSent  time.Time
	nextLook  time.Time
	failures  int // looks that failed in a row
	lapsed    bool
	penaltyTo time.Time

	speed  speed
	health healthRecord
	// avoided says that the present pass of placement gives the worker nothing.
	avoided bool

	used  structs.Resources
	runs  map[workload.Run]*run
	alien map[workload.Run]*alien

	// noted are the ends above seenSeq that are stored; handled those that were
	// taken in.
	seenSeq int64
	noted   map[int64]bool
	handled map[int64]bool
}

// registered is a worker of the registry.
type registered struct {
	Addr string `json:"addr"`
}

// alien is a run on a worker that belongs to no task as the controller knows it.
type alien struct {
	run   workload.Run
	task  *task // nil if the task is not known
	size  structs.Resources
	known bool // whether size is
	sent  time.Time
}

// runState is what is known of a run.
type runState uint8

const (
	runStarting runState = iota // the start is on its way
	runDoubt                    // the start got no answer
	runRunning
	runStopping // the stop is on its way or was obeyed; the end is not listed yet
)

// run is a run of a task that may be present on a worker.
type run struct {
	task  *task
	num   int64
	w     *worker
	size  structs.Resources
	state runState

	sent      time.Time // when the start was sent
	confirmed time.Time // when the worker's word on the run arrived
	stopSent  time.Time
	stopAcked time.Time
	stopping  bool
	retryAt   time.Time
	inFlight  bool
	shown     bool // by a look at the boot

	percent   int
	percentAt time.Time
	movedAt   time.Time // when percent last rose
	resumed   bool
}

func (r *run) id() workload.Run { return workload.Run{Task: r.task.id(), Number: r.num} }

func newWorker(info workload.Worker) *worker {
	return &worker{
		info:    info,
		runs:    map[workload.Run]*run{},
		alien:   map[workload.Run]*alien{},
		noted:   map[int64]bool{},
		handled: map[int64]bool{},
	}
}

// free returns what may still be given on the worker.
func (w *worker) free() structs.Resources {
	return w.info.Capacity.Sub(w.used)
}

// opaque reports whether something runs there whose size is not known.
func (w *worker) opaque() bool {
	for _, a := range w.alien {
		if !a.known {
			return true
		}
	}
	return false
}

// reachable reports whether the worker has answered lately.
func (w *worker) reachable(now time.Time) bool {
	if w.failures > 0 {
		return false
	}
	return !w.looking || now.Sub(w.lookSent) < lookPatience
}

// lookPatience is how long a look may be under way before the worker counts as not
// answering: its wait and a slow round trip.
const lookPatience = 2500 * time.Millisecond

// usable reports whether tasks may be started on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.seen && w.registered && !w.info.Draining && !w.lapsed &&
		w.reachable(now) && !now.Before(w.penaltyTo) && !w.opaque()
}

// deadline returns the time on the worker's clock until which a lease given now runs.
func (w *worker) deadline(now time.Time, lease time.Duration) int64 {
	return w.clockMs + now.Sub(w.clockAt).Milliseconds() + lease.Milliseconds()
}

// leaseEnd returns when every lease given to the present boot has certainly ended.
func (w *worker) leaseEnd() time.Time {
	left := time.Duration(w.granted-w.clockMs) * time.Millisecond
	if left <= 0 {
		return w.clockAt
	}
	return w.clockAt.Add(time.Duration(float64(left)/(1-clockSlowness)) + leaseMargin)
}
