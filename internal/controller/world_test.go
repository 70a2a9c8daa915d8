package controller

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/leaderlease"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// simulation runs a controller against fake workers, a fake store and a fake advisor in
// virtual time. At each start it checks the guarantees of the controller.
type simulation struct {
	t       testing.TB
	rng     *rand.Rand
	bootRNG *rand.Rand // draws the clocks of boots and the calls that are held
	// faultRNG draws the faults that walks switch on.
	faultRNG *rand.Rand
	faults   walkFaults
	now      time.Time
	seq      int
	pending  actions

	timing     Timing
	config     *workload.Config
	workers    map[string]*fakeWorker
	store      map[string][]byte
	storeEpoch int64 // the newest epoch known to the store
	storeDown  bool  // the store does not respond
	ctl        *Controller
	// clocks tells how far the clock of each controller is ahead of now, clockAhead that of those
	// started next.
	clocks     map[*Controller]time.Duration
	clockAhead time.Duration
	// timeKnownAfter is when controllers learn how far their clocks are ahead, negative for never.
	timeKnownAfter time.Duration
	advisorEntries []string
	// advisorTransit is the mean time that a call to the advisor spends outside it, beside the network delay.
	advisorTransit time.Duration
	// advisorRefuses has the advisor answer a call through an entry with an error, advisorLoses with nothing until
	// the call times out. Both may be nil.
	advisorRefuses    func(entry string) error
	advisorLoses      func(entry string) bool
	lostAnswerShare   float64 // share of orders that are carried out but get no response
	delayedOrderShare float64 // share of orders that are carried out 2 to 12 s later and get no response
	heldCallShare     float64 // share of calls to a worker that is down that wait for its next boot
	// lateStartsEndWithBoot says that a late start is not carried out by a later boot than the one that is meant.
	lateStartsEndWithBoot bool
	refusedOrderShare     float64 // share of starts and stops that an unhealthy worker refuses
	// orderTimeout is the time after which a start or stop counts as unanswered. The platform's
	// client has 400 ms, which leaves time to send a start again before it is given up.
	orderTimeout time.Duration
	meanLatency  time.Duration

	committing       bool
	wakeAt           time.Time            // when the controller is called next
	advisorBusyUntil map[string]time.Time // when an entry's advisor call ends
	allowedShare     float64
	allowedShareOf   func(workload.StepID) float64 // overrides allowedShare
	jobs             map[string]*workload.Job
	cancelAckedAt    map[string]time.Time // when the cancellation was acknowledged
	accepted         map[string]bool
	// startsSent counts the starts by the current controller.
	startsSent int
	// stopsSent counts the stops by all controllers.
	stopsSent int
	// maxStartDelay is the longest time between an occurrence's scheduled time and its start, by class.
	maxStartDelay map[string]time.Duration
	startsOf      map[workload.TaskID]int  // starts that workers have carried out
	ackedDone     map[workload.TaskID]bool // tasks of which an end with EndDone was acknowledged
	ackedFailures map[workload.TaskID]int  // acknowledged failures
	// deadly tells the tasks that crash each worker that starts them. crashesUnder counts the
	// workers that crashed while they ran a task, startsAfterCrashes the starts since there were
	// maxCrashesUnderTask.
	deadly             func(workload.TaskID) bool
	crashesUnder       map[workload.TaskID]int
	startsAfterCrashes map[workload.TaskID]int
	drawResult         func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason)
	// observe is called with each event if it is not nil. stoppedWork is the work of the runs that were stopped, in
	// core-seconds.
	observe     func(event.Event)
	stoppedWork float64
	// statedRunTimes has controllers use the stated run times only.
	statedRunTimes bool
	record         func(event.Event)
	// quotaWhenPlaced is the quota of a run's team when the run was placed, or the highest since. toleratesOverrun says that a team may
	// exceed its quota by what a controller can't know. quotaChecks counts the starts that were checked.
	quotaWhenPlaced  map[string]placedQuota
	toleratesOverrun bool
	quotaChecks      int
}

// simulationStart is the start of the virtual time.
var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type action struct {
	at  time.Time
	seq int
	f   func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }

func (a *actions) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	sim := &simulation{
		t:   t,
		rng: rand.New(rand.NewPCG(seed, 1)),
		now: simulationStart,

		bootRNG:       rand.New(rand.NewPCG(seed, 40)),
		faultRNG:      rand.New(rand.NewPCG(seed, 53)),
		heldCallShare: 0.5,
		timing: Timing{
			MaxLease:           6 * time.Second,
			RequestedLease:     5 * time.Second,
			DeliveryTime:       1100 * time.Millisecond,
			LateStartTime:      maxOrderDelay + 100*time.Millisecond,
			LeaderLease:        leaderlease.Timing{Lease: 20 * time.Second, MaxLease: 20 * time.Second},
			GangTimeout:        3 * time.Second,
			PollWait:           time.Second,
			PollPause:          15 * time.Millisecond,
			OffRackSlowdown:    2,
			RestoreTime:        600 * time.Millisecond,
			CheckpointInterval: time.Second,
			StatusRetention:    120 * time.Second,
		},
		orderTimeout: time.Second,
		config: &workload.Config{Version: 1, Classes: map[string]*workload.Class{
			"batch": {Name: "batch", Service: "svc", MaxAttempts: 3, Stretch: 2, Target: 3 * time.Second, Priority: 1},
			"gang": {
				Name: "gang", Service: "svc", MaxAttempts: 3, Stretch: 2, Target: 3 * time.Second,
				Advisor: &workload.AdvisorTiming{DecisionTime: 200 * time.Millisecond, TimePerWorker: 5 * time.Millisecond, TicketValidity: 2500 * time.Millisecond},
			},
		}},
		workers:          map[string]*fakeWorker{},
		store:            map[string][]byte{},
		advisorEntries:   []string{"lane-1", "lane-2", "lane-3"},
		meanLatency:      4 * time.Millisecond,
		advisorBusyUntil: map[string]time.Time{},
		allowedShare:     0.5,
		jobs:             map[string]*workload.Job{},
		cancelAckedAt:    map[string]time.Time{},
		clocks:           map[*Controller]time.Duration{},
		accepted:         map[string]bool{},
		maxStartDelay:    map[string]time.Duration{},
		startsOf:         map[workload.TaskID]int{},
		ackedDone:        map[workload.TaskID]bool{},
		ackedFailures:    map[workload.TaskID]int{},
		quotaWhenPlaced:  map[string]placedQuota{},

		crashesUnder:       map[workload.TaskID]int{},
		startsAfterCrashes: map[workload.TaskID]int{},
	}
	sim.timeKnownAfter = -1
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Second, workload.EndDone
	}
	trace := traceRecorder(t, sim)
	sim.record = func(e event.Event) {
		if e.Type == event.TaskPlaced {
			sim.startsSent++
			sim.noteQuota(e)
		}
		if sim.observe != nil {
			sim.observe(e)
		}
		trace(e)
	}
	return sim
}

// newSimulationWithController returns a simulation with workers and a controller that has
// polled them.
func newSimulationWithController(t testing.TB, workers int, cpu int64) *simulation {
	sim := newSimulation(t, 1)
	sim.addWorkers(workers, cpu)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	return sim
}

// at schedules an action.
func (sim *simulation) at(t time.Time, f func()) {
	sim.seq++
	heap.Push(&sim.pending, action{at: t, seq: sim.seq, f: f})
}

func (sim *simulation) after(d time.Duration, f func()) { sim.at(sim.now.Add(d), f) }

// networkDelay returns a random one-way network delay.
func (sim *simulation) networkDelay() time.Duration {
	return sim.meanLatency/2 + time.Duration(sim.rng.Int64N(int64(sim.meanLatency)))
}

// clockOf returns what the clock of a controller shows at a time.
func (sim *simulation) clockOf(ctl *Controller, t time.Time) time.Time { return t.Add(sim.clocks[ctl]) }

// nowOf returns what the clock of a controller shows now.
func (sim *simulation) nowOf(ctl *Controller) time.Time { return sim.clockOf(ctl, sim.now) }

// advance runs the simulation for a time.
func (sim *simulation) advance(d time.Duration) {
	sim.t.Helper()
	end := sim.now.Add(d)
	for len(sim.pending) > 0 && !sim.pending[0].at.After(end) {
		a := heap.Pop(&sim.pending).(action)
		sim.now = a.at
		a.f()
		sim.carryOutOrders()
	}
	sim.now = end
}

// carryOutOrders carries out the orders that the controller issues now.
func (sim *simulation) carryOutOrders() {
	ctl := sim.ctl
	if ctl == nil {
		return
	}
	orders := ctl.NextOrders(sim.nowOf(ctl))
	orders.sort()
	for _, l := range orders.Polls {
		sim.poll(ctl, l)
	}
	for _, s := range orders.Starts {
		sim.start(ctl, s)
	}
	for _, s := range orders.Stops {
		sim.stop(ctl, s)
	}
	for _, a := range orders.AdvisorCalls {
		sim.answerAdvisorCall(ctl, a)
	}
	sim.storeNextBatch(ctl)
	sim.scheduleWakeup(ctl)
}

// sort brings the orders into a fixed order, so that a seed gives the same run each time.
func (o *Orders) sort() {
	slices.SortFunc(o.Polls, func(a, b Poll) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(o.Starts, func(a, b Start) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	slices.SortFunc(o.Stops, func(a, b Stop) int {
		return cmp.Or(cmp.Compare(a.Run.String(), b.Run.String()), cmp.Compare(a.Worker, b.Worker))
	})
}

// scheduleWakeup schedules the next call of the controller.
func (sim *simulation) scheduleWakeup(ctl *Controller) {
	next := ctl.NextWake(sim.nowOf(ctl)).Add(-sim.clocks[ctl])
	if !next.After(sim.now) {
		next = sim.now.Add(time.Millisecond)
	}
	if sim.wakeAt.After(sim.now) && !next.Before(sim.wakeAt) {
		return
	}
	sim.wakeAt = next
	sim.at(next, func() {})
}

// startController starts a controller of a new epoch. predecessorEnded says that the previous
// one is known to have ended.
func (sim *simulation) startController(predecessorEnded bool) {
	former := sim.storeEpoch
	sim.storeEpoch += FencingTokensPerEpoch
	sim.startsSent = 0
	ctl := New(sim.storeEpoch, sim.timing, sim.record)
	var records []Record
	for key, value := range sim.store {
		records = append(records, Record{Key: key, Value: value})
	}
	slices.SortFunc(records, func(a, b Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	if !sim.statedRunTimes {
		ctl.LearnRunTimes()
	}
	sim.clocks[ctl] = sim.clockAhead
	now := sim.nowOf(ctl)
	ctl.SetConfig(sim.config, now)
	sim.tellTimeOfDay(ctl)
	ctl.Load(records, now)
	ctl.ConfirmEpoch(now)
	ctl.BoundPredecessors(leaderlease.Predecessor{Epoch: former, UsesWitnesses: true}, now, now)
	if predecessorEnded {
		ctl.PredecessorEnded(former, now)
	}
	ctl.SetAdvisorEntries(sim.advisorEntries)
	sim.ctl = ctl
	sim.committing = false
	for _, id := range sim.workerIDs() {
		if f := sim.workers[id]; f.listed {
			ctl.SetWorker(f.info(), now)
		}
	}
	sim.keepConfirmingEpoch(ctl)
	sim.carryOutOrders()
}

// tellTimeOfDay has a controller whose clock is not right wait for the time of day, and learn it after
// timeKnownAfter.
func (sim *simulation) tellTimeOfDay(ctl *Controller) {
	ahead := sim.clocks[ctl]
	if ahead == 0 || sim.timeKnownAfter < 0 {
		return
	}
	ctl.AwaitTimeOfDay()
	sim.after(sim.timeKnownAfter, func() {
		if sim.ctl == ctl {
			ctl.SetTimeOfDay(-ahead, sim.nowOf(ctl))
		}
	})
}

// keepConfirmingEpoch confirms the controller's epoch periodically while it is the newest and
// the store responds.
func (sim *simulation) keepConfirmingEpoch(ctl *Controller) {
	sim.after(500*time.Millisecond, func() {
		if sim.ctl != ctl {
			return
		}
		if !sim.storeDown {
			ctl.ConfirmEpoch(sim.nowOf(ctl).Add(-4 * time.Millisecond))
		}
		sim.keepConfirmingEpoch(ctl)
	})
}

// storeNextBatch stores the next batch of the controller.
func (sim *simulation) storeNextBatch(ctl *Controller) {
	if sim.committing || sim.storeDown || !ctl.HasUnstoredChanges() {
		return
	}
	b := ctl.NextBatch()
	if b == nil {
		return
	}
	sim.committing = true
	sim.appendBatch(ctl, b)
}

func (sim *simulation) appendBatch(ctl *Controller, b *Batch) {
	sim.after(sim.networkDelay()*2, func() {
		if sim.storeDown {
			sim.appendBatch(ctl, b)
			return
		}
		if ctl.epoch < sim.storeEpoch {
			return
		}
		sim.applyBatch(b)
		sim.after(sim.networkDelay(), func() {
			if sim.ctl != ctl {
				return
			}
			sim.committing = false
			for _, id := range b.Accepted {
				sim.accepted[id] = true
			}
			for _, id := range b.Ended {
				if state, _ := ctl.JobState(id); state == workload.JobCancelled {
					sim.cancelAckedAt[id] = sim.now
				}
			}
			ctl.BatchStored(b, sim.nowOf(ctl))
			for _, id := range b.Ended {
				if state, _ := ctl.JobState(id); state == workload.JobCancelled {
					sim.cancelAckedAt[id] = sim.now
				}
			}
		})
	})
}

// applyBatch changes the records in the store as a batch says.
func (sim *simulation) applyBatch(b *Batch) {
	for _, r := range b.Records {
		if r.Value == nil {
			delete(sim.store, r.Key)
		} else {
			sim.store[r.Key] = r.Value
		}
	}
}

// submit submits a job.
func (sim *simulation) submit(job *workload.Job) {
	sim.t.Helper()
	if err := job.Validate(); err != nil {
		sim.t.Fatal(err)
	}
	sim.jobs[job.ID] = job
	copied := *job
	if _, err := sim.ctl.Submit(&copied, sim.nowOf(sim.ctl)); err != nil {
		sim.t.Fatal(err)
	}
	sim.carryOutOrders()
}

// answerAdvisorCall answers an advisor call. Each entry has one call in progress at a time.
func (sim *simulation) answerAdvisorCall(ctl *Controller, call AdvisorCall) {
	done := func(allowed []workload.Ticket, err error) {
		if sim.ctl == ctl {
			ctl.AdvisorCallDone(&call, allowed, 0, err, sim.nowOf(ctl))
		}
	}
	switch {
	case sim.advisorLoses != nil && sim.advisorLoses(call.Entry):
		sim.after(call.ExpectedDuration+advisorTimeoutSlack, func() { done(nil, structs.NewError(structs.CodeUnknown, "no answer")) })
		return
	case sim.advisorRefuses != nil:
		if err := sim.advisorRefuses(call.Entry); err != nil {
			sim.after(2*sim.networkDelay(), func() { done(nil, err) })
			return
		}
	}
	there, back := time.Duration(0), time.Duration(0)
	if sim.advisorTransit > 0 {
		there = sim.advisorTransit/4 + time.Duration(sim.rng.Int64N(int64(sim.advisorTransit/2)))
		back = sim.advisorTransit/4 + time.Duration(sim.rng.Int64N(int64(sim.advisorTransit/2)))
	}
	arrive := func() {
		from := sim.advisorBusyUntil[call.Entry]
		if from.Before(sim.now) {
			from = sim.now
		}
		end := from.Add(call.ExpectedDuration)
		sim.advisorBusyUntil[call.Entry] = end
		wayBack := back + sim.networkDelay()
		sim.at(end, func() {
			allowed := sim.issueTickets(&call)
			sim.after(wayBack, func() { done(allowed, nil) })
		})
	}
	if there == 0 {
		arrive()
		return
	}
	sim.after(there, arrive)
}

// issueTickets returns the advisor's answer to a call: a ticket for each worker that may run the step.
func (sim *simulation) issueTickets(call *AdvisorCall) []workload.Ticket {
	var allowed []workload.Ticket
	for _, id := range call.Workers {
		if sim.advisorAllows(call.Step, id) {
			allowed = append(allowed, workload.Ticket{Worker: id, Ticket: sim.issueTicket(call.Step, id)})
		}
	}
	return allowed
}

// issueTicket returns a new ticket for the tasks of a step on the present boot of a worker.
func (sim *simulation) issueTicket(step workload.StepID, worker string) string {
	ticket := fmt.Sprintf("%s@%d", step, sim.now.UnixMilli())
	if f, advisor := sim.workers[worker], sim.advisorOf(step.Job); f != nil && advisor != nil {
		f.tickets[ticket] = issuedTicket{step: step, expiresAt: sim.now.Add(advisor.TicketValidity)}
	}
	return ticket
}

// advisorOf returns the advisor's timing for the class of a job, nil if the class has no advisor.
func (sim *simulation) advisorOf(job string) *workload.AdvisorTiming {
	if j := sim.jobs[job]; j != nil {
		return sim.config.Classes[j.Class].Advisor
	}
	return nil
}

// advisorTimeoutSlack is the time after which a call to the advisor without an answer fails, beside the time for which
// the advisor works on it.
const advisorTimeoutSlack = 1500 * time.Millisecond

// advisorAllows is the policy of the advisor, which does not change.
func (sim *simulation) advisorAllows(step workload.StepID, worker string) bool {
	h := fnv(step.String() + "/" + worker)
	share := sim.allowedShare
	if sim.allowedShareOf != nil {
		share = sim.allowedShareOf(step)
	}
	return float64(h%1000) < share*1000
}

func fnv(s string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(s) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

func (sim *simulation) workerIDs() []string {
	ids := make([]string, 0, len(sim.workers))
	for id := range sim.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// violation reports a violated guarantee.
func (sim *simulation) violation(format string, args ...any) {
	sim.t.Helper()
	sim.t.Errorf("at %v: %s", sim.now.Sub(simulationStart), fmt.Sprintf(format, args...))
}

// state returns the state of a job as shown to callers.
func (sim *simulation) state(id string) workload.JobState {
	state, _ := sim.ctl.JobState(id)
	return state
}

// simpleJob returns a job of one step.
func simpleJob(id, class string, count int, cpu int64, edit func(*workload.Step)) *workload.Job {
	step := workload.Step{Count: count, Size: structs.Resources{CPUMilli: cpu, MemoryMiB: 100}, EstimateMs: 1000}
	if edit != nil {
		edit(&step)
	}
	return &workload.Job{ID: id, Class: class, Payload: "payload of " + id, Steps: []workload.Step{step}}
}
