package controller

import (
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// Timing holds the periods and bounds of a controller.
type Timing struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// RequestedLease is what the controller asks for.
	RequestedLease time.Duration
	// LeaderLease is how long the controller may order after its last proof that it is
	// current.
	LeaderLease time.Duration
	// GangTimeout is how long a member of a gang waits for the others.
	GangTimeout time.Duration
	// PollWait is how long a look at a worker waits for an end there.
	PollWait time.Duration
	// PollPause is the pause between two looks at a worker.
	PollPause time.Duration
	// CheckpointInterval is how often tasks save their progress, RestoreTime how long
	// it takes to resume from a checkpoint.
	CheckpointInterval time.Duration
	RestoreTime        time.Duration
	// OffRackSlowdown is how many times as long a task takes off its data's rack.
	OffRackSlowdown float64
	// StatusRetention is how long the state of an ended job is kept.
	StatusRetention time.Duration
}

// longestLease is how long a lease lasts at most after it was given: its end is worked out
// from a reading of the worker's clock that may be as old as two looks, and runs on that
// clock.
func (t *Timing) longestLease() time.Duration {
	asked := t.RequestedLease + time.Duration(clockSlowness*float64(2*lookPatience))
	return time.Duration(float64(min(asked, t.MaxLease))/(1-clockSlowness)) + leaseMargin
}

const (
	// clockSlowness is how much slower a worker's clock may run.
	clockSlowness = 0.02
	// leaseMargin is added to the computed end of a lease for the granularity of
	// clocks in milliseconds.
	leaseMargin = 20 * time.Millisecond
)

// Controller decides for one cell under one epoch. One goroutine uses it.
type Controller struct {
	epoch  int64
	timing Timing
	record func(event.Event)

	config  *workload.Config
	jobs    map[string]*job
	workers map[string]*worker

	// active are the jobs that go on.
	active map[string]*job
	timed  map[*job]struct{} // those of active that run by a timetable
	ended  endedQueue
	// waiting counts the jobs of which nothing has started.
	waiting waitCounts

	// proven is the start of the last call that proved the epoch current.
	proven time.Time
	// formerEnd is when the authority of every former controller has ended; zero if
	// there can't have been one.
	formerEnd time.Time
	// endedBefore is the newest epoch of which the store says that no controller of an
	// earlier one orders any more; formersNoted says that it says so of this epoch.
	endedBefore  int64
	formersNoted bool
	// settled says that every worker that a former controller may have used is
	// accounted for.
	settled bool
	fenced  bool
	// unretired are ended jobs of former epochs, whose sizes are needed until all
	// workers are accounted for.
	unretired []*job

	dirty  dirtySet
	orders Orders
	wakes  wakeHeap
	// retries are the runs of which an order got no answer.
	retries map[*run]struct{}

	// surveyAt is when all workers may be looked over next, surveyDue that they have not
	// been since the last event.
	surveyAt  time.Time
	surveyDue bool

	// ready are the steps with tasks to start, coming those that will have some once their
	// job is stored.
	ready    map[*step]struct{}
	coming   map[*step]struct{}
	planAt   time.Time
	planNeed bool

	lanes  map[string]*lane
	shares map[string]*goodShare
	speeds speedBook
	// held and schedules belong to one pass of placement.
	held      map[*worker][]*hold
	schedules map[*worker][]release
}

// New returns a controller of an epoch that knows nothing yet. The recorder may be nil.
func New(epoch int64, timing Timing, record func(event.Event)) *Controller {
	if record == nil {
		record = func(event.Event) {}
	}
	return &Controller{
		epoch:   epoch,
		timing:  timing,
		record:  record,
		config:  &workload.Config{},
		jobs:    map[string]*job{},
		workers: map[string]*worker{},
		active:  map[string]*job{},
		timed:   map[*job]struct{}{},
		waiting: waitCounts{byClass: map[string]int{}, changed: true},
		dirty:   newDirtySet(),
		retries: map[*run]struct{}{},
		ready:   map[*step]struct{}{},
		coming:  map[*step]struct{}{},
		lanes:   map[string]*lane{},
		shares:  map[string]*goodShare{},
		held:    map[*worker][]*hold{},

		schedules: map[*worker][]release{},
	}
}

// Epoch returns the epoch of the controller, which is its fencing token.
func (c *Controller) Epoch() int64 { return c.epoch }

// Fenced reports whether a worker or the store has refused the epoch: another
// controller has taken over.
func (c *Controller) Fenced() bool { return c.fenced }

// ConfirmEpoch notes that a call begun at start showed the epoch to be current.
func (c *Controller) ConfirmEpoch(start time.Time) {
	if start.After(c.proven) {
		c.proven = start
	}
}

// HasLeaderLease reports whether the controller may order now.
func (c *Controller) HasLeaderLease(now time.Time) bool {
	return !c.fenced && now.Sub(c.proven) < c.timing.LeaderLease
}

// SetPredecessorsExpiry bounds the authority of former controllers: none orders after the time.
func (c *Controller) SetPredecessorsExpiry(at time.Time) {
	if c.formerEnd.IsZero() || at.Before(c.formerEnd) {
		c.formerEnd = at
	}
}

// IsOnlyPossiblePredecessor reports whether the controller of an epoch is the only former one that may
// still order: all before it are known to have ended.
func (c *Controller) IsOnlyPossiblePredecessor(epoch int64) bool {
	return epoch == 0 || epoch == c.endedBefore
}

// SetConfig puts a version of the configuration in force.
func (c *Controller) SetConfig(cfg *workload.Config, now time.Time) {
	if cfg.Version <= c.config.Version {
		return
	}
	c.config = cfg
	for _, j := range c.active {
		if class := cfg.Classes[j.spec.Class]; class != nil {
			j.setClass(class)
		}
	}
	c.needPlan(now)
}

// Config returns the version in force.
func (c *Controller) Config() *workload.Config { return c.config }
