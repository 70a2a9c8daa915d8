package embedded

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/structs"
)

// packTopology is a small cell whose workers report use after a while.
const packTopology = `
[[workers]]
prefix = "w"
count = 8
region = "casa"
domain = "casa-a"
cores = 4
memory_gib = 8
usage_lag = "200ms"
`

// packLoad is a fixed amount of work of which the declared sizes are off.
type packLoad struct {
	seed    uint64
	classes int
	// jobs of tasks are run of each class.
	jobs, tasks int
	// least and most bound the classes' mean true use.
	least, most structs.Resources
	run         time.Duration
	// grow is the time over which a task's memory grows.
	grow time.Duration
}

// sizeError is how far off declared sizes are at most, either way.
const sizeError = 5

// packClass is a class with its mean true use and its declared size.
type packClass struct {
	name           string
	mean, declared structs.Resources
	seed           uint64
}

// draw returns the classes of a load.
func (l packLoad) draw() []packClass {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	between := func(low, high float64) float64 { return low * math.Pow(high/low, rng.Float64()) }
	amount := func(least, most int64) (mean, declared int64) {
		m := between(float64(least), float64(most))
		return int64(m), int64(m * between(1.0/sizeError, sizeError))
	}
	classes := make([]packClass, l.classes)
	for i := range classes {
		c := packClass{name: fmt.Sprintf("pack-%d", i), seed: l.seed*1000 + uint64(i)*100}
		c.mean.CPUMilli, c.declared.CPUMilli = amount(l.least.CPUMilli, l.most.CPUMilli)
		c.mean.MemoryMiB, c.declared.MemoryMiB = amount(l.least.MemoryMiB, l.most.MemoryMiB)
		classes[i] = c
	}
	return classes
}

// newPackTest runs a cell of three entries.
func newPackTest(t testing.TB, topology string, bound time.Duration, adjust func(*settings.Entry)) *failureTest {
	t.Helper()
	f := newAdjustedTest(t, topology, bound, adjust)
	for range 3 {
		f.startEntry()
	}
	f.configure()
	return f
}

// submitLoad adds the classes and submits all jobs at once.
func (f *failureTest) submitLoad(c *Caller, l packLoad, classes []packClass) []string {
	f.t.Helper()
	for _, class := range classes {
		f.addClass(structs.Class{Name: class.name, Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Hour)}})
	}
	var ids []string
	for n := range l.jobs {
		for _, class := range classes {
			id, err := c.Submit(f.ctx, structs.Job{
				Class:   class.name,
				Count:   l.tasks,
				Size:    class.declared,
				RunTime: structs.Duration(l.run),
				Payload: fmt.Sprintf("checkpoint use:cpu=%d,mem=%d,spread=0.25,seed=%d,grow=%d",
					class.mean.CPUMilli, class.mean.MemoryMiB, class.seed+uint64(n), l.grow.Milliseconds()),
			})
			f.must(err)
			ids = append(ids, id)
		}
	}
	return ids
}

// packRecord is what the workers' record tells of a run.
type packRecord struct {
	// complete counts the good ends of each task.
	complete map[structs.TaskID]int
	// granted are the processor grants of each class in the order of its runs.
	granted map[string][]int64
	// beyond is the most that running tasks of a worker declared together, as a part
	// of its size.
	beyond float64
	killed int
}

// readRecord reads the workers' record.
func (f *failureTest) readRecord(classes []packClass, size structs.Resources) packRecord {
	r := packRecord{complete: map[structs.TaskID]int{}, granted: map[string][]int64{}}
	declared := map[string]structs.Resources{}
	for _, c := range classes {
		declared[c.name] = c.declared
	}
	held := map[string]structs.Resources{}
	class := map[structs.TaskID]string{}
	for _, e := range f.cell.Events() {
		switch e.Type {
		case event.TaskRun:
			class[e.Task] = e.Class
			r.granted[e.Class] = append(r.granted[e.Class], e.Size.CPUMilli)
			held[e.Worker] = held[e.Worker].Add(declared[e.Class])
			r.beyond = max(r.beyond, share(held[e.Worker], size))
		case event.TaskEnd:
			held[e.Worker] = held[e.Worker].Sub(declared[class[e.Task]])
			r.noteEnd(e)
		}
	}
	return r
}

func (r *packRecord) noteEnd(e event.Event) {
	switch structs.AllocState(e.State) {
	case structs.AllocComplete:
		r.complete[e.Task]++
	case structs.AllocFailed:
		r.killed++
	}
}

// share is the larger part of a size that an amount takes.
func share(amount, size structs.Resources) float64 {
	cpu := float64(amount.CPUMilli) / float64(size.CPUMilli)
	return max(cpu, float64(amount.MemoryMiB)/float64(size.MemoryMiB))
}

// endedOnce fails unless every task of the load ended well once.
func (f *failureTest) endedOnce(r packRecord, tasks int) {
	f.t.Helper()
	if len(r.complete) != tasks {
		f.t.Errorf("%d tasks have ended well, want %d", len(r.complete), tasks)
	}
	for task, n := range r.complete {
		if n != 1 {
			f.t.Errorf("task %s ended well %d times", task, n)
		}
	}
}

// TestCellPacksByLearntSizes runs work whose declared sizes are off by up to five times
// either way, through the death of an entry, so that workers change their owner with
// learnt grants on them.
func TestCellPacksByLearntSizes(t *testing.T) {
	f := newPackTest(t, packTopology, 2*testBound, shortTiming)
	load := packLoad{
		seed: 26, classes: 5, jobs: 6, tasks: 20,
		least: structs.Resources{CPUMilli: 100, MemoryMiB: 150},
		most:  structs.Resources{CPUMilli: 400, MemoryMiB: 600},
		run:   time.Second,
		grow:  300 * time.Millisecond,
	}
	classes := load.draw()
	c := f.cell.NewCaller("caller")
	ids := f.submitLoad(c, load, classes)
	f.await("a third has ended", func() bool { return f.count(event.TaskEnd) > 200 })
	f.cell.LiveEntries()[0].Kill()
	f.complete(c, ids)
	f.check()
	r := f.readRecord(classes, structs.Resources{CPUMilli: 4000, MemoryMiB: 8 << 10})
	f.endedOnce(r, load.classes*load.jobs*load.tasks)
	t.Logf("%d runs were killed for memory, %d evictions, %d throttles", r.killed, f.count(event.TaskEvicted), f.count(event.TaskThrottled))
	if r.beyond <= 1 {
		t.Errorf("tasks of a worker declared at most %.2f of its size together: not packed beyond what was declared", r.beyond)
	}
	for _, class := range classes {
		late := slices.Clone(r.granted[class.name])
		late = late[len(late)*2/3:]
		slices.Sort(late)
		granted := float64(late[len(late)/2]) / float64(class.mean.CPUMilli)
		declared := float64(class.declared.CPUMilli) / float64(class.mean.CPUMilli)
		t.Logf("%s: declared %.2f of its mean use of processor, granted %.2f", class.name, declared, granted)
		if math.Abs(math.Log(granted)) > max(math.Abs(math.Log(declared)), math.Log(1.6)) {
			t.Errorf("%s: granted %.2f of its mean use, declared %.2f", class.name, granted, declared)
		}
	}
}

// packBenchTopology is a cell of workers like the users', fewer of them.
const packBenchTopology = `
[[workers]]
prefix = "w"
count = 24
region = "casa"
domain = "casa-a"
cores = 16
memory_gib = 64
usage_lag = "1s"
`

// packBenchBound is the time after which a run of BenchmarkPacking gives up.
const packBenchBound = 8 * time.Minute

// BenchmarkPacking runs the same fixed work by declared and by learnt sizes.
func BenchmarkPacking(b *testing.B) {
	for _, learn := range []bool{false, true} {
		for seed := range uint64(3) {
			b.Run(fmt.Sprintf("learn=%v/seed=%d", learn, seed+1), func(b *testing.B) { benchmarkPacking(b, learn, seed+1) })
		}
	}
}

func benchmarkPacking(b *testing.B, learn bool, seed uint64) {
	adjust := func(s *settings.Entry) {
		s.Packing.LearnUsage = learn
	}
	load := packLoad{
		seed: seed, classes: 12, jobs: 10, tasks: 50,
		least: structs.Resources{CPUMilli: 250, MemoryMiB: 512},
		most:  structs.Resources{CPUMilli: 2000, MemoryMiB: 8 << 10},
		run:   4 * time.Second,
		grow:  time.Second,
	}
	classes := load.draw()
	size := structs.Resources{CPUMilli: 24 * 16000, MemoryMiB: 24 * 64 << 10}
	for b.Loop() {
		f := newPackTest(b, packBenchTopology, packBenchBound, adjust)
		c := f.cell.NewCaller("caller")
		began := time.Now()
		f.complete(c, f.submitLoad(c, load, classes))
		took := time.Since(began).Seconds()
		f.check()
		r := f.readRecord(classes, size)
		f.endedOnce(r, load.classes*load.jobs*load.tasks)
		var used structs.Resources
		for _, class := range classes {
			used = used.Add(class.mean.Times(int64(load.jobs * load.tasks)))
		}
		worked := load.run.Seconds() / took
		b.ReportMetric(took, "finish-s")
		b.ReportMetric(worked*float64(used.CPUMilli)/float64(size.CPUMilli), "processor/size")
		b.ReportMetric(worked*float64(used.MemoryMiB)/float64(size.MemoryMiB), "memory/size")
		b.ReportMetric(float64(r.killed), "kills")
		b.ReportMetric(float64(f.count(event.TaskEvicted)), "checkpoints")
		b.ReportMetric(float64(f.count(event.TaskThrottled)), "throttles")
		f.cell.Close()
	}
}
