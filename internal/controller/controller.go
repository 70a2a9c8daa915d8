package controller

import (
	"time"

	"dotterelhitch/internal/advisorqueue"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/fairshare"
	"dotterelhitch/internal/leaderlease"
	"dotterelhitch/internal/runtimes"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/usage"
	"dotterelhitch/internal/workload"
)

// Timing holds the time limits and intervals of a controller.
type Timing struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// RequestedLease is the length of the lease that the controller requests.
	RequestedLease time.Duration
	// DeliveryTime is how long after its sending a start or a poll may still reach a worker.
	DeliveryTime time.Duration
	// LateStartTime is how long after its sending a start without an answer and without a ticket may still be carried
	// out, by whichever boot of the worker is up then. Zero means that no start is carried out late.
	LateStartTime time.Duration
	// LeaderLease holds the durations of the controller's leader lease.
	LeaderLease leaderlease.Timing
	// GangTimeout is how long a member of a gang waits on its worker for the other members.
	GangTimeout time.Duration
	// PollWait is how long a worker may delay its response to a poll while no run ends.
	PollWait time.Duration
	// PollPause is the pause between two polls of a worker.
	PollPause time.Duration
	// CheckpointInterval is how often tasks save a checkpoint. RestoreTime is how long a task
	// takes to resume from one.
	CheckpointInterval time.Duration
	RestoreTime        time.Duration
	// OffRackSlowdown is the factor by which a task takes longer on a worker outside the rack
	// that holds its data.
	OffRackSlowdown float64
	// QuotaOverrun is the share of its quota by which a team may exceed it because of runs that are not known.
	QuotaOverrun float64
	// StatusRetention is how long the state of an ended job is stored.
	StatusRetention time.Duration
}

// AllowForDelay records that orders may take up to an additional time on their way to workers.
func (c *Controller) AllowForDelay(d time.Duration) { c.orderDelay = max(c.orderDelay, d) }

// OrderDelay returns the additional time that AllowForDelay has recorded.
func (c *Controller) OrderDelay() time.Duration { return c.orderDelay }

// longestLease is Timing.longestLease for orders that may be delayed.
func (c *Controller) longestLease() time.Duration { return c.timing.longestLease() + c.orderDelay }

// longestLease returns the longest time for which a lease can last after the order that grants it was sent. If a
// later boot of the worker gets the order, the deadline by the clock of the former boot may lie as far ahead as a
// worker allows.
func (t *Timing) longestLease() time.Duration {
	return t.DeliveryTime + time.Duration(float64(t.MaxLease)/(1-maxClockSlowness)) + leaseEndMargin
}

const (
	// maxClockSlowness is the largest fraction by which a worker's clock may run slow.
	maxClockSlowness = 0.02
	// leaseEndMargin is added to the computed end of a lease because clocks are read in
	// milliseconds.
	leaseEndMargin = 20 * time.Millisecond
)

// Controller makes all decisions of one cell under one epoch. It is not safe for concurrent
// use.
type Controller struct {
	epoch  int64
	timing Timing
	record func(event.Event)

	config *workload.Config

	jobs    map[string]*job
	workers map[string]*worker
	// usage is what may be running on all workers, by team and class. It changes together with worker.used.
	usage *usage.Account
	// retiredTokens are the latest fencing tokens of the workers that were dropped, by worker.
	retiredTokens map[string]int64
	// retiredUnreachedIn is worker.unreachedIn of the workers that were dropped, by worker, if it was not zero.
	retiredUnreachedIn map[string]int

	// unreadable are the IDs of stored jobs whose records can't be read.
	unreadable map[string]struct{}
	// inheritedTests are the tasks that earlier controllers tested, by worker, until the worker shows
	// what has become of it.
	inheritedTests map[string][]*task
	// active are the jobs that have not ended.
	active    map[string]*job
	recurring map[*job]struct{} // those of active that are recurring
	ended     endedQueue
	// waiting counts the jobs of which no task has started.
	waiting waitCounts

	// lease is the controller's leader lease.
	lease *leaderlease.Holder
	// awaitsConfirmation says that leases on unreachable workers have ended since the store last
	// showed the epoch to be current.
	awaitsConfirmation bool
	// predecessors are the earlier controllers, nil until BoundPredecessors is called.
	predecessors *leaderlease.Predecessors
	// leaseRecord is what the predecessor has stored of leader leases.
	leaseRecord leaderlease.Record
	// unreachedMs are the workers that are not accounted for, with the time until every lease there
	// has ended, as of the latest updateLeaseRecord. leaseRecordDue is when that is due again,
	// leaseRecordVersion counts the records.
	unreachedMs map[string]int64
	// unreachedLeft says that some of these leases have not ended, or that no record names their worker yet.
	unreachedLeft      bool
	leaseRecordDue     time.Time
	leaseRecordVersion int
	// predecessorsExpiry is the time by which the leader leases of all earlier controllers
	// have ended. It is zero until SetPredecessorsExpiry is called.
	predecessorsExpiry time.Time
	// predecessorsEndedBefore is the newest epoch for which the store records that no
	// controller of an earlier epoch issues orders any more. predecessorsEndNoted says that
	// this record was requested for the controller's own epoch.
	predecessorsEndedBefore int64
	predecessorsEndNoted    bool
	// takeoverComplete says that every worker that an earlier controller may have used is
	// accounted for.
	takeoverComplete bool
	fenced           bool
	// orderDelay is how much longer than Timing.DeliveryTime an order may be on its way.
	orderDelay time.Duration
	// tokensUsedUp says that a worker has got the last fencing token of the epoch.
	tokensUsedUp bool
	// unretiredJobs are jobs of earlier epochs that have ended. Their teams and task sizes are needed
	// until all workers are accounted for.
	unretiredJobs []*job
	// inheritedJobs are the jobs that were accepted under earlier epochs, until all workers are accounted for.
	inheritedJobs []*job

	// timeOfDayAhead is how far the time of day is ahead of the controller's clock. awaitsTimeOfDay says that
	// this is not known yet.
	timeOfDayAhead  time.Duration
	awaitsTimeOfDay bool
	// loadedAt is when the store was loaded.
	loadedAt time.Time
	// elapsed measures the ages of jobs across controllers. A reading is stored at elapsedRecordDue.
	elapsed          elapsedTime
	elapsedRecordDue time.Time

	dirty   dirtySet
	orders  Orders
	wakeups wakeupQueue
	// retries are the runs with an order that got no response.
	retries map[*run]struct{}
	// startsInFlight are the start orders whose results are not known, as far as they are tracked. heldAcks are the
	// ends whose acknowledgment waits for late starts.
	startsInFlight map[workload.Run]*unansweredStart
	heldAcks       []endAck
	// startRecords are the starts that the store has to name, by worker. recordedRuns are the runs to start that the
	// store names.
	startRecords map[string]*startRecord
	recordedRuns []*run
	// startRecordsDue is when refreshStartRecords looks at them next.
	startRecordsDue time.Time
	// awaitingRecord are the runs whose starts wait for their record, in the order of the requests, and some that do not
	// any more. recordsStalled says that a start has waited for maxRecordWait since the latest batch was stored.
	awaitingRecord []*run
	recordsStalled bool
	// inheritedStarts are the starts of earlier controllers that the store names. closedTasks are their tasks that are
	// not open any more.
	inheritedStarts []*unansweredStart
	closedTasks     map[workload.TaskID]*task
	// tickedAt is the time of the latest tick.
	tickedAt time.Time

	// nextWorkerScan is the earliest time of the next pass over all workers. workerScanDue
	// says that no pass was made since the last event.
	nextWorkerScan time.Time
	workerScanDue  bool

	// readySteps are the steps with tasks to start. stepsAwaitingStore are the steps that
	// will have tasks to start once their job is stored.
	readySteps         map[*step]struct{}
	stepsAwaitingStore map[*step]struct{}
	nextPlacement      time.Time
	placementNeeded    bool
	// passes counts the placement passes, lastPassSteps the steps that waited at the beginning of the latest.
	passes, lastPassSteps int

	advisorQueue    *advisorqueue.Queue
	allowedShares   map[string]*allowedShare
	stillFreeShares map[string]*allowedShare
	speeds          speedEstimator
	// runTimes is what was learned of run times, nil if the stated ones are used.
	runTimes *runtimes.Estimator
	// The buffers are reused by every placement pass, to save allocations.
	stepBuffer      []*step
	candidateBuffer candidateHeap
	workerBuffer    []*worker
	slotBuffer      []futureSlot
	// The fields below are valid during one placement pass, which began at passAt. room finds the workers with free
	// capacity. reservedAhead is the capacity that gangs have reserved before it is free, poolCapacity that of all
	// usable workers, servicePools that of the usable workers of each service.
	passAt           time.Time
	room             roomIndex
	reservedAhead    structs.Resources
	poolCapacity     structs.Resources
	servicePools     map[string]*servicePool
	reservations     map[*worker][]*reservation
	releaseSchedules map[*worker][]expectedRelease
	// quotaHolds are the gangs for which quota is kept, by team. heldByTeam is what unknown runs of earlier
	// controllers may hold of the teams' quotas, nil until it is needed.
	quotaHolds map[string]*quotaHold
	heldByTeam map[string]structs.Resources
	// shares is how the teams share the capacity, nil while it suffices and without teams.
	shares *fairshare.Division
	// shareLimit is the utilization of their shares up to which teams may start tasks in the current round of the pass.
	shareLimit float64
}

// New returns a controller for an epoch, without any state. The recorder may be nil.
func New(epoch int64, timing Timing, record func(event.Event)) *Controller {
	if record == nil {
		record = func(event.Event) {}
	}
	return &Controller{
		epoch:              epoch,
		timing:             timing,
		record:             record,
		config:             &workload.Config{},
		jobs:               map[string]*job{},
		workers:            map[string]*worker{},
		usage:              usage.New(),
		retiredTokens:      map[string]int64{},
		retiredUnreachedIn: map[string]int{},
		unreadable:         map[string]struct{}{},
		inheritedTests:     map[string][]*task{},
		active:             map[string]*job{},
		recurring:          map[*job]struct{}{},
		waiting:            waitCounts{byClass: map[string]int{}, changed: true},
		lease:              leaderlease.NewHolder(timing.LeaderLease),
		dirty:              newDirtySet(),
		retries:            map[*run]struct{}{},
		startsInFlight:     map[workload.Run]*unansweredStart{},
		startRecords:       map[string]*startRecord{},
		closedTasks:        map[workload.TaskID]*task{},
		readySteps:         map[*step]struct{}{},
		stepsAwaitingStore: map[*step]struct{}{},
		advisorQueue:       advisorqueue.New(),
		allowedShares:      map[string]*allowedShare{},
		stillFreeShares:    map[string]*allowedShare{},
		reservations:       map[*worker][]*reservation{},

		releaseSchedules: map[*worker][]expectedRelease{},
		quotaHolds:       map[string]*quotaHold{},
	}
}

// Epoch returns the epoch of the controller, which is also its fencing token.
func (c *Controller) Epoch() int64 { return c.epoch }

// WorkerCount returns the number of workers that are listed or may have runs.
func (c *Controller) WorkerCount() int { return len(c.workers) }

// Fenced reports whether a worker has refused the epoch as stale, so that another controller
// has taken over.
func (c *Controller) Fenced() bool { return c.fenced }

// SetConfig applies a version of the configuration. A version that is not newer than the
// current one is ignored.
func (c *Controller) SetConfig(cfg *workload.Config, now time.Time) {
	if cfg.Version <= c.config.Version {
		return
	}
	c.config = cfg
	for _, j := range c.active {
		if class := cfg.Classes[j.spec.Class]; class != nil {
			j.setClass(class)
		}
		j.setTeam(cfg.Teams)
	}
	c.requestPlacement(now)
}

// Config returns the configuration in force.
func (c *Controller) Config() *workload.Config { return c.config }
