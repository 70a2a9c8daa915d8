package policytest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/scheduler/sizing"
	"dotterelhitch/internal/structs"
)

// PackingSetup is an experiment with batch tasks whose declared sizes are off by up
// to Error times either way, and with always more work than fits.
type PackingSetup struct {
	Seed  uint64
	Error float64
	// Learn places by learnt sizes instead of declared ones.
	Learn bool
	// Guard throttles and checkpoints by reported use.
	Guard bool
}

// PackingResult is what came of the tasks after the warm-up.
type PackingResult struct {
	// Work is the processor time of ended tasks as a share of the cell's.
	Work float64
	// CPU and Memory are the mean use as shares of the cell's size.
	CPU, Memory float64
	// Killed and Checkpointed are tasks per thousand that ended: killed by their
	// worker when its memory ran out, so that all their work was lost, or stopped
	// by the guard with what they had done kept.
	Killed, Checkpointed float64
}

const (
	packingWorkers = 50
	packingClasses = 12
	packingBacklog = 300
	packingTick    = time.Second
	packingWarmup  = 20 * time.Minute
	packingTime    = 40 * time.Minute
	reportPeriod   = 5 * time.Second
	reportLag      = 10 * time.Second
	memoryRamp     = 30 * time.Second
	usageSigma     = 0.3
	packingTries   = 40
)

// packClass is a class with its true and its declared size.
type packClass struct {
	name           string
	mean, declared structs.Resources
	work           time.Duration
}

// packTask is a task with its true peak use.
type packTask struct {
	class *packClass
	id    structs.TaskID
	peak  structs.Resources
	work  time.Duration

	worker    string
	granted   structs.Resources
	done      time.Duration
	age       time.Duration
	throttled bool
}

// use returns what the task uses now: memory rises to its peak.
func (t *packTask) use() structs.Resources {
	ramp := min(float64(t.age)/float64(memoryRamp), 1)
	use := structs.Resources{CPUMilli: t.peak.CPUMilli, MemoryMiB: int64(float64(t.peak.MemoryMiB) * ramp)}
	if t.throttled {
		use.CPUMilli = min(use.CPUMilli, t.granted.CPUMilli)
	}
	return use
}

// report is what a worker saw of its tasks at a time.
type report struct {
	at  time.Time
	use map[*packTask]structs.Resources
}

// packing is the model.
type packing struct {
	PackingSetup
	*clock
	rng     *rand.Rand
	set     *scheduler.NodeSet
	sizer   *sizing.Sizer
	guard   *sizing.Guard
	classes []*packClass
	backlog []*packTask
	running map[string][]*packTask
	order   []string
	reports []report
	tasks   int

	ended, killed, stopped int
	worked, cpu, memory    float64
	ticks                  int
}

// Packing runs the experiment.
func Packing(setup PackingSetup) PackingResult {
	m := &packing{
		PackingSetup: setup,
		clock:        newClock(),
		rng:          newRand(setup.Seed),
		set:          newCell(packingWorkers, 0, 0),
		sizer:        sizing.NewSizer(),
		guard:        sizing.NewGuard(),
		running:      make(map[string][]*packTask),
	}
	for _, n := range m.set.Nodes() {
		m.order = append(m.order, n.ID())
	}
	for i := range packingClasses {
		m.classes = append(m.classes, m.newClass(i))
	}
	m.every(packingTick, m.tick)
	m.every(reportPeriod, m.report)
	m.run(packingWarmup + packingTime)
	return m.result()
}

// logUniform draws between low and high, evenly in the logarithm.
func logUniform(rng *rand.Rand, low, high float64) float64 {
	return low * math.Pow(high/low, rng.Float64())
}

// newClass draws a class.
func (m *packing) newClass(i int) *packClass {
	c := &packClass{
		name: fmt.Sprintf("c%d", i),
		mean: structs.Resources{
			CPUMilli:  int64(1000 * logUniform(m.rng, 0.25, 2)),
			MemoryMiB: int64(gib * logUniform(m.rng, 0.5, 8)),
		},
		work: time.Duration(logUniform(m.rng, 60, 600) * float64(time.Second)),
	}
	c.declared = structs.Resources{
		CPUMilli:  int64(float64(c.mean.CPUMilli) * logUniform(m.rng, 1/m.Error, m.Error)),
		MemoryMiB: int64(float64(c.mean.MemoryMiB) * logUniform(m.rng, 1/m.Error, m.Error)),
	}
	return c
}

// newTask draws a task.
func (m *packing) newTask() *packTask {
	c := m.classes[m.rng.IntN(len(m.classes))]
	m.tasks++
	factor := func() float64 { return math.Exp(usageSigma*m.rng.NormFloat64() - usageSigma*usageSigma/2) }
	return &packTask{
		class: c,
		id:    structs.NewTaskID(fmt.Sprintf("j%d", m.tasks), 0),
		peak: structs.Resources{
			CPUMilli:  int64(float64(c.mean.CPUMilli) * factor()),
			MemoryMiB: min(int64(float64(c.mean.MemoryMiB)*factor()), workerSize.MemoryMiB/2),
		},
		work: lognormal(m.rng, c.work, usageSigma),
	}
}

// tick lets a second pass on every worker, then fills the gaps.
func (m *packing) tick() {
	for _, worker := range m.order {
		m.tickWorker(worker)
	}
	if m.measures() {
		m.ticks++
	}
	m.place()
}

// measures reports whether the warm-up is over.
func (m *packing) measures() bool { return m.elapsed() > packingWarmup }

// tickWorker lets the tasks of a worker run for a second. If they want more
// processor than there is, all get slower; if memory runs out, the largest is killed.
func (m *packing) tickWorker(worker string) {
	var used structs.Resources
	var largest *packTask
	for _, t := range m.running[worker] {
		t.age += packingTick
		use := t.use()
		used = used.Add(use)
		if largest == nil || use.MemoryMiB > largest.use().MemoryMiB {
			largest = t
		}
	}
	if used.MemoryMiB > workerSize.MemoryMiB {
		m.kill(largest)
		used = used.Sub(largest.use())
	}
	rate := 1.0
	if used.CPUMilli > workerSize.CPUMilli {
		rate = float64(workerSize.CPUMilli) / float64(used.CPUMilli)
	}
	if m.measures() {
		m.cpu += min(float64(used.CPUMilli)/float64(workerSize.CPUMilli), 1)
		m.memory += float64(used.MemoryMiB) / float64(workerSize.MemoryMiB)
	}
	for _, t := range append([]*packTask(nil), m.running[worker]...) {
		m.progress(t, rate)
	}
}

// progress lets a task run for a second at a rate.
func (m *packing) progress(t *packTask, rate float64) {
	if t.peak.CPUMilli > 0 {
		rate *= float64(t.use().CPUMilli) / float64(t.peak.CPUMilli)
	}
	t.done += time.Duration(rate * float64(packingTick))
	if t.done < t.work {
		return
	}
	m.end(t)
	m.sizer.Ended(t.id, true)
	if m.measures() {
		m.ended++
		m.worked += float64(t.peak.CPUMilli) * t.work.Seconds()
	}
}

// kill ends a task whose worker has no memory left; it starts from the beginning.
func (m *packing) kill(t *packTask) {
	m.end(t)
	m.sizer.Ended(t.id, false)
	t.done = 0
	m.backlog = append(m.backlog, t)
	if m.measures() {
		m.killed++
	}
}

// checkpoint stops a task; it goes on later from where it was.
func (m *packing) checkpoint(t *packTask) {
	m.end(t)
	m.sizer.Ended(t.id, false)
	m.backlog = append(m.backlog, t)
	if m.measures() {
		m.stopped++
	}
}

// end takes a task off its worker.
func (m *packing) end(t *packTask) {
	list := m.running[t.worker]
	for i := range list {
		if list[i] == t {
			m.running[t.worker] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	m.set.Release(t.id, 0)
	t.worker = ""
	t.age = 0
	t.throttled = false
}

// place starts waiting tasks where they fit.
func (m *packing) place() {
	for len(m.backlog) < packingBacklog {
		m.backlog = append(m.backlog, m.newTask())
	}
	tries := 0
	var rest []*packTask
	for i, t := range m.backlog {
		if tries == packingTries {
			rest = append(rest, m.backlog[i:]...)
			break
		}
		if !m.start(t) {
			tries++
			rest = append(rest, t)
		}
	}
	m.backlog = rest
}

// start places one task.
func (m *packing) start(t *packTask) bool {
	t.granted = t.class.declared
	if m.Learn {
		t.granted = m.sizer.Grant(t.class.name, t.class.declared, workerSize)
	}
	ask := scheduler.Ask{
		Job: string(t.id), Class: t.class.name, Kind: structs.KindBatch, Size: t.granted,
		Tasks: []scheduler.TaskRef{{Task: t.id}},
	}
	plan := scheduler.Place(m.set, ask)
	if len(plan.Placed) == 0 {
		return false
	}
	assign(m.set, plan, ask)
	t.worker = plan.Placed[0].Worker
	m.running[t.worker] = append(m.running[t.worker], t)
	return true
}

// report takes what tasks use now and acts on what was seen a while ago.
func (m *packing) report() {
	r := report{at: m.now, use: make(map[*packTask]structs.Resources)}
	for _, list := range m.running {
		for _, t := range list {
			r.use[t] = t.use()
		}
	}
	m.reports = append(m.reports, r)
	for len(m.reports) > 0 && m.now.Sub(m.reports[0].at) >= reportLag {
		m.act(m.reports[0])
		m.reports = m.reports[1:]
	}
}

// act learns from a report and guards each worker by it.
func (m *packing) act(r report) {
	for _, worker := range m.order {
		tasks := m.running[worker]
		seen := make([]sizing.TaskUse, 0, len(tasks))
		for _, t := range tasks {
			use := r.use[t]
			m.sizer.Report(m.now, t.class.name, t.id, use)
			seen = append(seen, sizing.TaskUse{
				Task: t.id, Granted: t.granted, Used: use, Slack: t.work - t.done, Age: t.age,
				Throttled: throttle(t),
			})
		}
		if m.Guard {
			m.set.SetExcess(worker, sizing.Excess(seen))
			m.obey(m.guard.Act(m.now, worker, workerSize, seen), tasks)
		}
	}
}

// throttle returns the bound of a task in percent, zero for none.
func throttle(t *packTask) int {
	if t.throttled {
		return 100
	}
	return 0
}

// obey carries out the guard's actions.
func (m *packing) obey(actions []sizing.Action, tasks []*packTask) {
	byID := make(map[structs.TaskID]*packTask, len(tasks))
	for _, t := range tasks {
		byID[t.id] = t
	}
	for _, a := range actions {
		t := byID[a.Task]
		switch a.Kind {
		case sizing.Throttle:
			t.throttled = true
		case sizing.Unthrottle:
			t.throttled = false
		case sizing.Checkpoint:
			m.checkpoint(t)
		}
	}
}

// result sums up.
func (m *packing) result() PackingResult {
	samples := float64(m.ticks * packingWorkers)
	cell := float64(packingWorkers) * float64(workerSize.CPUMilli) * packingTime.Seconds()
	return PackingResult{
		Work:         m.worked / cell,
		CPU:          m.cpu / samples,
		Memory:       m.memory / samples,
		Killed:       1000 * float64(m.killed) / float64(max(m.ended, 1)),
		Checkpointed: 1000 * float64(m.stopped) / float64(max(m.ended, 1)),
	}
}
