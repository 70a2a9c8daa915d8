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

// world plays a controller against small fakes of workers, store and advisor in virtual
// time. It checks at each start what a controller promises.
type world struct {
	t    testing.TB
	rng  *rand.Rand
	now  time.Time
	seq  int
	todo actions

	timing  Timing
	config  *workload.Config
	workers map[string]*fakeWorker
	store   map[string][]byte
	fence   int64 // the store's
	down    bool  // the store does not answer
	ctl     *Controller
	lanes   []string
	lost    float64 // share of orders that are carried out without an answer
	late    float64 // share of orders that are carried out 2 to 12 s later, unanswered
	latency time.Duration

	committing bool
	wakeAt     time.Time            // when the controller's next turn is scheduled
	adviseFrom map[string]time.Time // when a lane's advisor call ends
	goodShare  float64
	share      func(workload.StepID) float64 // overrides goodShare
	jobs       map[string]*workload.Job
	cancelled  map[string]time.Time // when the cancel was acknowledged
	accepted   map[string]bool
	// placed counts the starts by the present controller.
	placed int
	// latestBegin is how long after its time an occurrence of a timed job started at most.
	latestBegin time.Duration
	doneRuns    map[workload.TaskID]bool // noted as done
	failures    map[workload.TaskID]int  // noted as failed
	run         func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason)
	record      func(event.Event)
}

// epochStart is when the virtual time begins.
var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t:   t,
		rng: rand.New(rand.NewPCG(seed, 1)),
		now: epochStart,
		timing: Timing{
			MaxLease:           6 * time.Second,
			RequestedLease:     5 * time.Second,
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
		workers:    map[string]*fakeWorker{},
		store:      map[string][]byte{},
		lanes:      []string{"lane-1", "lane-2", "lane-3"},
		latency:    4 * time.Millisecond,
		adviseFrom: map[string]time.Time{},
		goodShare:  0.5,
		jobs:       map[string]*workload.Job{},
		cancelled:  map[string]time.Time{},
		accepted:   map[string]bool{},
		doneRuns:   map[workload.TaskID]bool{},
		failures:   map[workload.TaskID]int{},
	}
	w.run = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Second, workload.EndDone
	}
	trace := traced(t, w)
	w.record = func(e event.Event) {
		if e.Type == event.TaskPlaced {
			w.placed++
		}
		trace(e)
	}
	return w
}

// newLedWorld returns a world with workers and a controller that has seen them.
func newLedWorld(t testing.TB, workers int, cpu int64) *world {
	w := newWorld(t, 1)
	w.addWorkers(workers, cpu)
	w.lead(true)
	w.play(100 * time.Millisecond)
	return w
}

// at schedules an action.
func (w *world) at(t time.Time, f func()) {
	w.seq++
	heap.Push(&w.todo, action{at: t, seq: w.seq, f: f})
}

func (w *world) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

// delay is a one-way time on the network.
func (w *world) delay() time.Duration {
	return w.latency/2 + time.Duration(w.rng.Int64N(int64(w.latency)))
}

// play runs the world for a time.
func (w *world) play(d time.Duration) {
	w.t.Helper()
	end := w.now.Add(d)
	for len(w.todo) > 0 && !w.todo[0].at.After(end) {
		a := heap.Pop(&w.todo).(action)
		w.now = a.at
		a.f()
		w.step()
	}
	w.now = end
}

// step carries out what the controller wants now.
func (w *world) step() {
	ctl := w.ctl
	if ctl == nil {
		return
	}
	orders := ctl.NextOrders(w.now)
	orders.sort()
	for _, l := range orders.Polls {
		w.look(ctl, l)
	}
	for _, s := range orders.Starts {
		w.start(ctl, s)
	}
	for _, s := range orders.Stops {
		w.stop(ctl, s)
	}
	for _, a := range orders.AdvisorCalls {
		w.ask(ctl, a)
	}
	w.commit(ctl)
	w.wake(ctl)
}

// sort brings orders into an order of their own, so that a seed repeats.
func (o *Orders) sort() {
	slices.SortFunc(o.Polls, func(a, b Poll) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(o.Starts, func(a, b Start) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	slices.SortFunc(o.Stops, func(a, b Stop) int {
		return cmp.Or(cmp.Compare(a.Run.String(), b.Run.String()), cmp.Compare(a.Worker, b.Worker))
	})
}

// wake schedules the controller's next turn.
func (w *world) wake(ctl *Controller) {
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

// lead starts a controller of a new epoch; the former one is dead if it ended.
func (w *world) lead(formerDead bool) {
	w.fence++
	w.placed = 0
	ctl := New(w.fence, w.timing, w.record)
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
	if formerDead && ctl.IsOnlyPossiblePredecessor(w.fence-1) {
		ctl.SetPredecessorsExpiry(w.now)
	}
	ctl.SetAdvisorEntries(w.lanes)
	w.ctl = ctl
	w.committing = false
	for _, id := range w.workerIDs() {
		if f := w.workers[id]; f.listed {
			ctl.SetWorker(f.info(), w.now)
		}
	}
	w.proveOn(ctl)
	w.step()
}

// proveOn keeps proving the controller's term while it is the newest and the store
// answers.
func (w *world) proveOn(ctl *Controller) {
	w.after(500*time.Millisecond, func() {
		if w.ctl != ctl {
			return
		}
		if !w.down {
			ctl.ConfirmEpoch(w.now.Add(-4 * time.Millisecond))
		}
		w.proveOn(ctl)
	})
}

// commit stores the next batch.
func (w *world) commit(ctl *Controller) {
	if w.committing || w.down || !ctl.HasUnstoredChanges() {
		return
	}
	b := ctl.NextBatch()
	if b == nil {
		return
	}
	w.committing = true
	w.append(ctl, b)
}

func (w *world) append(ctl *Controller, b *Batch) {
	w.after(w.delay()*2, func() {
		if w.down {
			w.append(ctl, b)
			return
		}
		if ctl.epoch < w.fence {
			return
		}
		for _, r := range b.Records {
			if r.Value == nil {
				delete(w.store, r.Key)
			} else {
				w.store[r.Key] = r.Value
			}
		}
		w.after(w.delay(), func() {
			if w.ctl != ctl {
				return
			}
			w.committing = false
			for _, id := range b.Accepted {
				w.accepted[id] = true
			}
			for _, id := range b.Ended {
				if state, _ := ctl.JobState(id); state == workload.JobCancelled {
					w.cancelled[id] = w.now
				}
			}
			ctl.BatchStored(b, w.now)
			for _, id := range b.Ended {
				if state, _ := ctl.JobState(id); state == workload.JobCancelled {
					w.cancelled[id] = w.now
				}
			}
		})
	})
}

// submit hands a job in.
func (w *world) submit(job *workload.Job) {
	w.t.Helper()
	if err := job.Validate(); err != nil {
		w.t.Fatal(err)
	}
	w.jobs[job.ID] = job
	own := *job
	if _, err := w.ctl.Submit(&own, w.now); err != nil {
		w.t.Fatal(err)
	}
	w.step()
}

// ask answers a call for advice: each lane is served one call at a time.
func (w *world) ask(ctl *Controller, a AdvisorCall) {
	from := w.adviseFrom[a.Entry]
	if from.Before(w.now) {
		from = w.now
	}
	end := from.Add(a.ExpectedDuration)
	w.adviseFrom[a.Entry] = end
	w.at(end.Add(w.delay()), func() {
		if w.ctl != ctl {
			return
		}
		var good []workload.Ticket
		for _, id := range a.Workers {
			if w.allows(a.Step, id) {
				good = append(good, workload.Ticket{Worker: id, Ticket: fmt.Sprintf("%s@%d", a.Step, end.UnixMilli())})
			}
		}
		ctl.AdvisorCallDone(&a, good, 0, nil, w.now)
	})
}

// allows is the advisor's policy, which does not change.
func (w *world) allows(step workload.StepID, worker string) bool {
	h := fnv(step.String() + "/" + worker)
	share := w.goodShare
	if w.share != nil {
		share = w.share(step)
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

func (w *world) workerIDs() []string {
	ids := make([]string, 0, len(w.workers))
	for id := range w.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// broken reports a promise that does not hold.
func (w *world) broken(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("at %v: %s", w.now.Sub(epochStart), fmt.Sprintf(format, args...))
}

// state returns the state of a job as callers see it.
func (w *world) state(id string) workload.JobState {
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
