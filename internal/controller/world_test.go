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
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// simulation plays a controller against small fakes of workers, store and advisor in virtual
// time. It checks at each start what a controller promises.
type simulation struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Time
	seq     int
	pending actions

	timing            Timing
	config            *workload.Config
	workers           map[string]*fakeWorker
	store             map[string][]byte
	storeEpoch        int64 // the store's
	storeDown         bool  // the store does not answer
	ctl               *Controller
	advisorEntries    []string
	lostAnswerShare   float64 // share of orders that are carried out without an answer
	delayedOrderShare float64 // share of orders that are carried out 2 to 12 s later, unanswered
	meanLatency       time.Duration

	committing       bool
	wakeAt           time.Time            // when the controller's next turn is scheduled
	advisorBusyUntil map[string]time.Time // when a lane's advisor call ends
	allowedShare     float64
	allowedShareOf   func(workload.StepID) float64 // overrides allowedShare
	jobs             map[string]*workload.Job
	cancelAcked      map[string]time.Time // when the cancel was acknowledged
	accepted         map[string]bool
	// startsSent counts the starts by the present controller.
	startsSent int
	// maxStartDelay is how long after its time an occurrence of a timed job started at most.
	maxStartDelay time.Duration
	ackedDone     map[workload.TaskID]bool // noted as done
	ackedFailures map[workload.TaskID]int  // noted as failed
	drawResult    func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason)
	record        func(event.Event)
}

// simulationStart is when the virtual time begins.
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
	w := &simulation{
		t:   t,
		rng: rand.New(rand.NewPCG(seed, 1)),
		now: simulationStart,
		timing: Timing{
			MaxLease:           6 * time.Second,
			Lease:              5 * time.Second,
			LeaderLease:        20 * time.Second,
			GangTimeout:        3 * time.Second,
			PollWait:           time.Second,
			PollPause:          15 * time.Millisecond,
			OffRackSlowdown:    2,
			RestoreTime:        600 * time.Millisecond,
			CheckpointInterval: time.Second,
			StatusRetention:    120 * time.Second,
		},
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
		cancelAcked:      map[string]time.Time{},
		accepted:         map[string]bool{},
		ackedDone:        map[workload.TaskID]bool{},
		ackedFailures:    map[workload.TaskID]int{},
	}
	w.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Second, workload.EndDone
	}
	trace := traceRecorder(t, w)
	w.record = func(e event.Event) {
		if e.Type == event.TaskPlaced {
			w.startsSent++
		}
		trace(e)
	}
	return w
}

// newSimulationWithController returns a world with workers and a controller that has seen them.
func newSimulationWithController(t testing.TB, workers int, cpu int64) *simulation {
	w := newSimulation(t, 1)
	w.addWorkers(workers, cpu)
	w.startController(true)
	w.advance(100 * time.Millisecond)
	return w
}

// at schedules an action.
func (w *simulation) at(t time.Time, f func()) {
	w.seq++
	heap.Push(&w.pending, action{at: t, seq: w.seq, f: f})
}

func (w *simulation) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

// networkDelay is a one-way time on the network.
func (w *simulation) networkDelay() time.Duration {
	return w.meanLatency/2 + time.Duration(w.rng.Int64N(int64(w.meanLatency)))
}

// advance runs the world for a time.
func (w *simulation) advance(d time.Duration) {
	w.t.Helper()
	end := w.now.Add(d)
	for len(w.pending) > 0 && !w.pending[0].at.After(end) {
		a := heap.Pop(&w.pending).(action)
		w.now = a.at
		a.f()
		w.carryOutOrders()
	}
	w.now = end
}

// carryOutOrders carries out what the controller wants now.
func (w *simulation) carryOutOrders() {
	ctl := w.ctl
	if ctl == nil {
		return
	}
	orders := ctl.NextOrders(w.now)
	orders.sort()
	for _, l := range orders.Polls {
		w.poll(ctl, l)
	}
	for _, s := range orders.Starts {
		w.start(ctl, s)
	}
	for _, s := range orders.Stops {
		w.stop(ctl, s)
	}
	for _, a := range orders.AdvisorCalls {
		w.answerAdvisorCall(ctl, a)
	}
	w.storeNextBatch(ctl)
	w.scheduleWakeup(ctl)
}

// sort brings orders into an order of their own, so that a seed repeats.
func (o *Orders) sort() {
	slices.SortFunc(o.Polls, func(a, b Poll) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(o.Starts, func(a, b Start) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	slices.SortFunc(o.Stops, func(a, b Stop) int {
		return cmp.Or(cmp.Compare(a.Run.String(), b.Run.String()), cmp.Compare(a.Worker, b.Worker))
	})
}

// scheduleWakeup schedules the controller's next turn.
func (w *simulation) scheduleWakeup(ctl *Controller) {
	next := ctl.NextWake(w.now)
	if !next.After(w.now) {
		next = w.now.Add(time.Millisecond)
	}
	if w.wakeAt.After(w.now) && !next.Before(w.wakeAt) {
		return
	}
	w.wakeAt = next
	w.at(next, func() {})
}

// startController starts a controller of a new epoch; the former one is dead if it ended.
func (w *simulation) startController(predecessorEnded bool) {
	w.storeEpoch++
	w.startsSent = 0
	ctl := New(w.storeEpoch, w.timing, w.record)
	var records []Record
	for key, value := range w.store {
		records = append(records, Record{Key: key, Value: value})
	}
	slices.SortFunc(records, func(a, b Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	ctl.SetConfig(w.config, w.now)
	if err := ctl.Load(records, w.now); err != nil {
		w.t.Fatal(err)
	}
	ctl.ConfirmEpoch(w.now)
	ctl.SetPredecessorsExpiry(w.now.Add(w.timing.LeaderLease))
	if predecessorEnded && ctl.IsOnlyPossiblePredecessor(w.storeEpoch-1) {
		ctl.SetPredecessorsExpiry(w.now)
	}
	ctl.SetAdvisorEntries(w.advisorEntries)
	w.ctl = ctl
	w.committing = false
	for _, id := range w.workerIDs() {
		if f := w.workers[id]; f.listed {
			ctl.SetWorker(f.info(), w.now)
		}
	}
	w.keepConfirmingEpoch(ctl)
	w.carryOutOrders()
}

// keepConfirmingEpoch keeps proving the controller's term while it is the newest and the store
// answers.
func (w *simulation) keepConfirmingEpoch(ctl *Controller) {
	w.after(500*time.Millisecond, func() {
		if w.ctl != ctl {
			return
		}
		if !w.storeDown {
			ctl.ConfirmEpoch(w.now.Add(-4 * time.Millisecond))
		}
		w.keepConfirmingEpoch(ctl)
	})
}

// storeNextBatch stores the next batch.
func (w *simulation) storeNextBatch(ctl *Controller) {
	if w.committing || w.storeDown || !ctl.HasUnstoredChanges() {
		return
	}
	b := ctl.NextBatch()
	if b == nil {
		return
	}
	w.committing = true
	w.appendBatch(ctl, b)
}

func (w *simulation) appendBatch(ctl *Controller, b *Batch) {
	w.after(w.networkDelay()*2, func() {
		if w.storeDown {
			w.appendBatch(ctl, b)
			return
		}
		if ctl.epoch < w.storeEpoch {
			return
		}
		for _, r := range b.Records {
			if r.Value == nil {
				delete(w.store, r.Key)
			} else {
				w.store[r.Key] = r.Value
			}
		}
		w.after(w.networkDelay(), func() {
			if w.ctl != ctl {
				return
			}
			w.committing = false
			for _, id := range b.Accepted {
				w.accepted[id] = true
			}
			for _, id := range b.Ended {
				if state, _ := ctl.JobState(id); state == workload.JobCancelled {
					w.cancelAcked[id] = w.now
				}
			}
			ctl.BatchStored(b, w.now)
			for _, id := range b.Ended {
				if state, _ := ctl.JobState(id); state == workload.JobCancelled {
					w.cancelAcked[id] = w.now
				}
			}
		})
	})
}

// submit hands a job in.
func (w *simulation) submit(job *workload.Job) {
	w.t.Helper()
	if err := job.Validate(); err != nil {
		w.t.Fatal(err)
	}
	w.jobs[job.ID] = job
	own := *job
	if _, err := w.ctl.Submit(&own, w.now); err != nil {
		w.t.Fatal(err)
	}
	w.carryOutOrders()
}

// answerAdvisorCall answers a call for advice: each lane is served one call at a time.
func (w *simulation) answerAdvisorCall(ctl *Controller, a AdvisorCall) {
	from := w.advisorBusyUntil[a.Entry]
	if from.Before(w.now) {
		from = w.now
	}
	end := from.Add(a.Expected)
	w.advisorBusyUntil[a.Entry] = end
	w.at(end.Add(w.networkDelay()), func() {
		if w.ctl != ctl {
			return
		}
		var good []workload.Ticket
		for _, id := range a.Workers {
			if w.advisorAllows(a.Step, id) {
				good = append(good, workload.Ticket{Worker: id, Ticket: fmt.Sprintf("%s@%d", a.Step, end.UnixMilli())})
			}
		}
		ctl.AdvisorCallDone(&a, good, 0, nil, w.now)
	})
}

// advisorAllows is the advisor's policy, which does not change.
func (w *simulation) advisorAllows(step workload.StepID, worker string) bool {
	h := fnv(step.String() + "/" + worker)
	share := w.allowedShare
	if w.allowedShareOf != nil {
		share = w.allowedShareOf(step)
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

func (w *simulation) workerIDs() []string {
	ids := make([]string, 0, len(w.workers))
	for id := range w.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// violation reports a promise that does not hold.
func (w *simulation) violation(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("at %v: %s", w.now.Sub(simulationStart), fmt.Sprintf(format, args...))
}

// state returns the state of a job as callers see it.
func (w *simulation) state(id string) workload.JobState {
	state, _ := w.ctl.JobState(id)
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
