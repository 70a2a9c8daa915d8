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
	Seed      uint64
	SizeError float64
	// LearnSizes places by learnt sizes instead of declared ones.
	LearnSizes bool
	// EnableGuard throttles and checkpoints by reported use.
	EnableGuard bool
}

// PackingResult is what came of the tasks after the warm-up.
type PackingResult struct {
	// CompletedWork is the processor time of ended tasks as a share of the cell's.
	CompletedWork float64
	// CPUUtilization and Memory are the mean use as shares of the cell's size.
	CPUUtilization, MemoryUtilization float64
	// KilledPer1000 and Checkpointed are tasks per thousand that ended: killed by their
	// worker when its memory ran out, so that all their work was lost, or stopped
	// by the guard with what they had done kept.
	KilledPer1000, CheckpointedPer1000 float64
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
	guard   *sizing.ShortageGuard
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

// RunPacking runs the experiment.
func RunPacking(setup PackingSetup) PackingResult {
	m := &packing{
		PackingSetup: setup,
		clock:        newClock(),
		rng:          newRand(setup.Seed),
		set:          newCell(packingWorkers, 0, 0),
		sizer:        sizing.NewSizer(),
		guard:        sizing.NewShortageGuard(),
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
		CPUMilli:  int64(float64(c.mean.CPUMilli) * logUniform(m.rng, 1/m.SizeError, m.SizeError)),
		MemoryMiB: int64(float64(c.mean.MemoryMiB) * logUniform(m.rng, 1/m.SizeError, m.SizeError)),
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

// result sums up.
func (m *packing) result() PackingResult {
	samples := float64(m.ticks * packingWorkers)
	cell := float64(packingWorkers) * float64(workerSize.CPUMilli) * packingTime.Seconds()
	return PackingResult{
		CompletedWork:       m.worked / cell,
		CPUUtilization:      m.cpu / samples,
		MemoryUtilization:   m.memory / samples,
		KilledPer1000:       1000 * float64(m.killed) / float64(max(m.ended, 1)),
		CheckpointedPer1000: 1000 * float64(m.stopped) / float64(max(m.ended, 1)),
	}
}
