package policytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// UrgentSetup is an experiment with urgent tasks that arrive in a cell full of batch
// work.
type UrgentSetup struct {
	Seed uint64
	// Evict stops batch tasks with a checkpoint to make room; the baseline waits
	// at the head of the queue for room to become free.
	Evict bool
}

// UrgentResult is what came of the urgent tasks.
type UrgentResult struct {
	// InTimeShare is the share that started within the target.
	InTimeShare float64
	// WaitP50 and Wait99 are percentiles of the wait in seconds.
	WaitP50, WaitP99 float64
	// EvictionsPerTask is the number of batch tasks stopped for each urgent task.
	EvictionsPerTask float64
}

const (
	urgentWorkers = 50
	urgentWithin  = 1100 * time.Millisecond
	urgentEvery   = 500 * time.Millisecond
	urgentRun     = 20 * time.Second
	batchRun      = 10 * time.Minute
	batchBacklog  = 200
	urgentTime    = 20 * time.Minute
	urgentWarmup  = time.Minute
	// stopLeast and stopMost bound the time that a worker takes to checkpoint and
	// stop a task.
	stopLeast = 100 * time.Millisecond
	stopMost  = 600 * time.Millisecond
)

// urgent is the model.
type urgent struct {
	UrgentSetup
	*clock
	rng     *rand.Rand
	set     *scheduler.NodeSet
	queue   *scheduler.Queue
	jobs    int
	batch   int
	pending map[string]bool
	// ends is when running tasks end, by allocation.
	ends map[structs.TaskID]time.Time

	wait    []float64
	evicted int
}

// RunUrgent runs the experiment.
func RunUrgent(setup UrgentSetup) UrgentResult {
	m := &urgent{
		UrgentSetup: setup,
		clock:       newClock(),
		rng:         newRand(setup.Seed),
		set:         newCell(urgentWorkers, 0, 0),
		queue:       scheduler.NewQueue(),
		pending:     make(map[string]bool),
		ends:        make(map[structs.TaskID]time.Time),
	}
	m.round()
	m.after(urgentWarmup, m.arrive)
	m.run(urgentTime)
	inTime := 0
	for _, w := range m.wait {
		if w <= urgentWithin.Seconds() {
			inTime++
		}
	}
	n := float64(len(m.wait))
	return UrgentResult{
		InTimeShare:      float64(inTime) / n,
		WaitP50:          quantile(m.wait, 0.5),
		WaitP99:          quantile(m.wait, 0.99),
		EvictionsPerTask: float64(m.evicted) / n,
	}
}

// arrive queues an urgent task and plans the next.
func (m *urgent) arrive() {
	m.after(exponential(m.rng, urgentEvery), m.arrive)
	m.push("urgent", structs.Resources{CPUMilli: 2000, MemoryMiB: 4 * gib}, urgentWithin)
	m.round()
}

// push queues a job of one task.
func (m *urgent) push(class string, size structs.Resources, within time.Duration) {
	m.jobs++
	m.queue.Push(scheduler.QueuedJob{
		Job: fmt.Sprintf("%s-%d", class, m.jobs), Class: class, Kind: structs.KindBatch, Size: size, PendingTasks: 1,
		AcceptedAt: m.now, LatestStart: m.now.Add(within),
	})
}

// round keeps the backlog of batch tasks up and walks over the queue once.
func (m *urgent) round() {
	for ; m.batch < batchBacklog; m.batch++ {
		size := structs.Resources{CPUMilli: 500 + m.rng.Int64N(3500), MemoryMiB: gib + m.rng.Int64N(8*gib)}
		m.push("batch", size, time.Hour)
	}
	r := m.queue.BeginRound(m.now)
	for item, ok := r.Next(); ok; item, ok = r.Next() {
		ask := newAsk(item.Job, item.Class, item.Kind, 1, item.Size)
		plan := scheduler.Place(m.set, ask)
		if len(plan.Placed) == 1 {
			r.MarkStarted(1)
			m.started(item, plan, ask)
			continue
		}
		r.MarkBlocked(plan.BlockReason())
		if m.Evict && item.Class == "urgent" && !m.pending[item.Job] {
			m.evict(ask)
		}
	}
	r.End()
}

// started counts a task that has started and plans its end.
func (m *urgent) started(item scheduler.QueuedJob, plan scheduler.Plan, ask scheduler.PlacementRequest) {
	assign(m.set, plan, ask)
	m.set.CancelReservation(item.Job)
	run := exponential(m.rng, batchRun)
	if item.Class == "urgent" {
		run = urgentRun
		m.wait = append(m.wait, m.now.Sub(item.AcceptedAt).Seconds())
		delete(m.pending, item.Job)
	} else {
		m.batch--
	}
	task := plan.Placed[0].Task
	m.ends[task] = m.now.Add(run)
	m.after(run, func() {
		delete(m.ends, task)
		if m.set.Release(task, 0) {
			m.round()
		}
	})
}

// evict stops batch tasks for an urgent one and keeps the room for it.
func (m *urgent) evict(ask scheduler.PlacementRequest) {
	plan := scheduler.PlanEvictions(m.set, ask, m.cost)
	if len(plan) == 0 {
		return
	}
	e := plan[0]
	m.pending[ask.Job] = true
	m.evicted += len(e.Allocs)
	m.set.SetReservation(scheduler.Reservation{Job: ask.Job, Workers: []string{e.Worker}, Until: m.now.Add(time.Minute)})
	m.queue.SetHasReservation(ask.Job, true)
	for _, a := range e.Allocs {
		m.after(stopLeast+time.Duration(m.rng.Int64N(int64(stopMost-stopLeast))), func() {
			m.set.Release(a.Task, a.Attempt)
			m.round()
		})
	}
}

// cost prefers batch tasks with the most time left to run.
func (m *urgent) cost(a structs.Alloc) (float64, bool) {
	if a.Class != "batch" {
		return 0, false
	}
	return 1 / (1 + m.ends[a.Task].Sub(m.now).Seconds()), true
}
