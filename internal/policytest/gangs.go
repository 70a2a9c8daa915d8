package policytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// GangSetup is an experiment with gangs that compete among each other and with a
// steady stream of small tasks.
type GangSetup struct {
	Seed uint64
	// Load is the small tasks' share of the cell.
	Load float64
	// Rule is "hold" for a queue that holds workers for a blocked gang, "evict" for
	// one that also checkpoints what is left on them when the gang gets short of
	// time, "greedy" for one in which work may pass a blocked gang without bound,
	// and "fifo" for one in which nothing passes the first item.
	Rule string
}

// GangResult is what came of the jobs that arrived after the warm-up.
type GangResult struct {
	// GangWaitP50, Gang99 and GangWaitMax are the seconds until all tasks of a gang have
	// started. A gang that has not started at the end counts with its wait so far.
	GangWaitP50, GangWaitP99, GangWaitMax float64
	// UnstartedGangs is the number of gangs that had not started.
	UnstartedGangs float64
	// SmallWaitP99 is the 99th percentile of the small tasks' wait in seconds.
	SmallWaitP99 float64
	// EvictedShare is the share of small tasks that were checkpointed.
	EvictedShare float64
	// CPUUtilization is the mean share of processors in use.
	CPUUtilization float64
	// ReservedIdle is the mean, ReservedIdleMax the largest share of the cell's processors that
	// was kept free for a gang.
	ReservedIdle, ReservedIdleMax float64
}

const (
	gangWorkers  = 50
	gangTasks    = 8
	gangRun      = 60 * time.Second
	gangEvery    = 90 * time.Second
	gangWithin   = 2 * time.Minute
	smallRun     = 30 * time.Second
	smallWithin  = 30 * time.Second
	smallCPU     = 1000
	smallMemory  = 2 * gib
	gangWarmup   = 5 * time.Minute
	gangTime     = 40 * time.Minute
	gangDrain    = 10 * time.Minute
	samplePeriod = time.Second
	gangPeriod   = 250 * time.Millisecond
	// stragglerDivisor is the inverse of the part of its time that a gang must have
	// left for tasks on its workers to be left alone.
	stragglerDivisor = 4
)

// gangs is the model.
type gangs struct {
	GangSetup
	*clock
	rng   *rand.Rand
	set   *scheduler.NodeSet
	queue *scheduler.Queue
	fifo  []scheduler.QueuedJob
	jobs  int
	dirty bool
	// ends is when running small tasks end, left the run that an evicted one
	// still has before it.
	ends    map[string]time.Time
	left    map[string]time.Duration
	evicted int

	gangWait, smallWait []float64
	used, idle, idleMax float64
	samples             int
}

// RunGangs runs the experiment.
func RunGangs(setup GangSetup) GangResult {
	m := &gangs{
		GangSetup: setup,
		clock:     newClock(),
		rng:       newRand(setup.Seed),
		set:       newCell(gangWorkers, 0, 0),
		queue:     scheduler.NewQueue(),
		ends:      make(map[string]time.Time),
		left:      make(map[string]time.Duration),
	}
	rate := setup.Load * gangWorkers * float64(workerSize.CPUMilli) / smallCPU / smallRun.Seconds()
	m.arriveGang()
	m.arriveSmall(time.Duration(float64(time.Second) / rate))
	m.every(samplePeriod, m.sample)
	m.every(gangPeriod, m.round)
	m.run(gangWarmup + gangTime + gangDrain)
	return m.result()
}

// arriveGang queues a gang and plans the next.
func (m *gangs) arriveGang() {
	m.after(exponential(m.rng, gangEvery), m.arriveGang)
	m.push(structs.KindGang, gangTasks, structs.Resources{CPUMilli: workerSize.CPUMilli, MemoryMiB: 32 * gib}, gangWithin)
}

// arriveSmall queues a small task and plans the next.
func (m *gangs) arriveSmall(mean time.Duration) {
	m.after(exponential(m.rng, mean), func() { m.arriveSmall(mean) })
	m.push(structs.KindBatch, 1, structs.Resources{CPUMilli: smallCPU, MemoryMiB: smallMemory}, smallWithin)
}

// push queues a job and tries to start what waits.
func (m *gangs) push(kind structs.Kind, tasks int, size structs.Resources, within time.Duration) {
	m.jobs++
	item := scheduler.QueuedJob{
		Job: fmt.Sprintf("j%d", m.jobs), Class: string(kind), Kind: kind, Size: size, PendingTasks: tasks,
		AcceptedAt: m.now, LatestStart: m.now.Add(within),
	}
	if m.Rule == "fifo" {
		m.fifo = append(m.fifo, item)
		m.startFIFO()
		return
	}
	m.queue.Push(item)
	m.dirty = true
}

// startFIFO starts the first items until one does not fit.
func (m *gangs) startFIFO() {
	for len(m.fifo) > 0 && m.start(m.fifo[0]).Unplaced == nil {
		m.fifo = m.fifo[1:]
	}
}

// round walks over the queue once if something has changed.
func (m *gangs) round() {
	if !m.dirty {
		return
	}
	m.dirty = false
	r := m.queue.BeginRound(m.now)
	for item, ok := r.Next(); ok; item, ok = r.Next() {
		plan := m.start(item)
		if len(plan.Placed) == 0 {
			r.MarkBlocked(plan.BlockReason())
			continue
		}
		r.MarkStarted(len(plan.Placed))
	}
	holder, ok := r.End()
	if ok && m.Rule != "greedy" {
		m.hold(holder)
	}
}

// hold keeps workers for a job unless some are held for it already, and checkpoints
// what is left on them once the job gets short of time.
func (m *gangs) hold(item scheduler.QueuedJob) {
	for _, h := range m.set.Reservations() {
		if h.Job == item.Job {
			m.stragglers(item)
			return
		}
	}
	workers := scheduler.PlanReservation(m.set, m.ask(item))
	m.set.SetReservation(scheduler.Reservation{Job: item.Job, Workers: workers, Until: m.now.Add(time.Hour)})
	m.queue.SetHasReservation(item.Job, len(workers) > 0)
}

// stragglers stops the small tasks on held workers; they go on elsewhere later.
func (m *gangs) stragglers(item scheduler.QueuedJob) {
	if m.Rule != "evict" || item.Slack(m.now) > gangWithin/stragglerDivisor {
		return
	}
	cost := func(a structs.Alloc) (float64, bool) { return 1, a.Class == string(structs.KindBatch) }
	for _, a := range scheduler.EvictableOnReserved(m.set, item.Job, cost) {
		m.checkpoint(a)
	}
}

func (m *gangs) ask(item scheduler.QueuedJob) scheduler.PlacementRequest {
	return newAsk(item.Job, item.Class, item.Kind, item.PendingTasks, item.Size)
}

// start places an item; its Unplaced is nil if all tasks have started.
func (m *gangs) start(item scheduler.QueuedJob) scheduler.Plan {
	ask := m.ask(item)
	plan := scheduler.Place(m.set, ask)
	if len(plan.Unplaced) > 0 {
		return plan
	}
	plan.Unplaced = nil
	assign(m.set, plan, ask)
	m.set.CancelReservation(item.Job)
	m.count(item)
	run, again := m.left[item.Job]
	switch {
	case item.Kind == structs.KindGang:
		run = gangRun
	case !again:
		run = exponential(m.rng, smallRun)
	}
	delete(m.left, item.Job)
	m.ends[item.Job] = m.now.Add(run)
	m.after(run, func() { m.end(item.Job, plan) })
	return plan
}

// checkpoint stops a small task and queues what is left of it.
func (m *gangs) checkpoint(a structs.Alloc) {
	job, _, err := a.Task.Split()
	if err != nil {
		panic(err)
	}
	m.evicted++
	m.set.Release(a.Task, a.Attempt)
	m.left[job] = m.ends[job].Sub(m.now)
	delete(m.ends, job)
	m.queue.Push(scheduler.QueuedJob{
		Job: job, Class: a.Class, Kind: structs.KindBatch, Size: a.Size, PendingTasks: 1,
		AcceptedAt: m.now, LatestStart: m.now.Add(smallWithin),
	})
	m.dirty = true
}

// end releases the tasks of a job, unless it was stopped before.
func (m *gangs) end(job string, plan scheduler.Plan) {
	if !m.ends[job].Equal(m.now) {
		return
	}
	delete(m.ends, job)
	for _, p := range plan.Placed {
		m.set.Release(p.Task, p.Attempt)
	}
	if m.Rule == "fifo" {
		m.startFIFO()
		return
	}
	m.dirty = true
}

// count notes the wait of an item that arrived in the time that is measured.
func (m *gangs) count(item scheduler.QueuedJob) {
	arrived := item.AcceptedAt.Sub(epoch)
	if arrived < gangWarmup || arrived > gangWarmup+gangTime {
		return
	}
	wait := m.now.Sub(item.AcceptedAt).Seconds()
	if item.Kind == structs.KindGang {
		m.gangWait = append(m.gangWait, wait)
	} else {
		m.smallWait = append(m.smallWait, wait)
	}
}

// sample notes what is used and what is kept free.
func (m *gangs) sample() {
	if m.elapsed() < gangWarmup || m.elapsed() > gangWarmup+gangTime {
		return
	}
	total := float64(gangWorkers * workerSize.CPUMilli)
	d := m.set.Digest()
	idle := float64(m.set.IdleReserved().CPUMilli) / total
	m.used += 1 - float64(d.Free.CPUMilli+d.ReservedFree.CPUMilli)/total
	m.idle += idle
	m.idleMax = max(m.idleMax, idle)
	m.samples++
}

// result sums up.
func (m *gangs) result() GangResult {
	started := len(m.gangWait)
	for job := range m.jobs + 1 {
		if item, ok := m.queue.Get(fmt.Sprintf("j%d", job)); ok {
			m.count(item)
		}
	}
	for _, item := range m.fifo {
		m.count(item)
	}
	return GangResult{
		GangWaitP50:     quantile(m.gangWait, 0.5),
		GangWaitP99:     quantile(m.gangWait, 0.99),
		GangWaitMax:     quantile(m.gangWait, 1),
		UnstartedGangs:  float64(len(m.gangWait) - started),
		SmallWaitP99:    quantile(m.smallWait, 0.99),
		EvictedShare:    float64(m.evicted) / float64(max(len(m.smallWait), 1)),
		CPUUtilization:  m.used / float64(m.samples),
		ReservedIdle:    m.idle / float64(m.samples),
		ReservedIdleMax: m.idleMax,
	}
}
