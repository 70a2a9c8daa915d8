package policytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/scheduler/baseline"
	"dotterelhitch/internal/structs"
)

// FragmentSetup is an experiment with tasks of mixed sizes that are placed at once or
// lost.
type FragmentSetup struct {
	Seed uint64
	// Load is the offered processor time as a share of the cell.
	Load float64
	// Rule is "best", "first" or "random".
	Rule string
}

// FragmentResult is what came of the tasks after the warm-up.
type FragmentResult struct {
	// UnplacedShare is the share of a sort of tasks that found no worker.
	UnplacedShare map[string]float64
	// CPUUtilization is the mean share of the cell's processors in use.
	CPUUtilization float64
}

const (
	fragmentWorkers = 96
	fragmentRun     = 5 * time.Minute
	fragmentWarmup  = 30 * time.Minute
	fragmentTime    = 2 * time.Hour
)

// taskSort is a sort of tasks with its share of arrivals.
type taskSort struct {
	name  string
	share float64
	size  func(*rand.Rand) structs.Resources
}

var taskSorts = []taskSort{
	{"small", 0.80, func(rng *rand.Rand) structs.Resources {
		return structs.Resources{CPUMilli: 500 + rng.Int64N(1500), MemoryMiB: gib + rng.Int64N(7*gib)}
	}},
	{"large", 0.10, func(*rand.Rand) structs.Resources {
		return structs.Resources{CPUMilli: 8000, MemoryMiB: 32 * gib}
	}},
	{"accelerator", 0.10, func(*rand.Rand) structs.Resources {
		return structs.Resources{CPUMilli: 3000, MemoryMiB: 8 * gib, Accelerators: 1}
	}},
}

// meanTaskCPU is the mean processor demand over the sorts in thousandths of a core.
const meanTaskCPU = 0.80*1250 + 0.10*8000 + 0.10*3000

// newPlacer returns the placement rule of a name.
func newPlacer(rule string, seed uint64) baseline.Placer {
	switch rule {
	case "first":
		return baseline.FirstFit{}
	case "random":
		return baseline.RandomFit{Rand: newRand(seed + 1)}
	}
	return baseline.PlacerFunc(scheduler.Place)
}

// RunFragment runs the experiment.
func RunFragment(setup FragmentSetup) FragmentResult {
	c := newClock()
	rng := newRand(setup.Seed)
	set := newCell(fragmentWorkers, 4, 4)
	placer := newPlacer(setup.Rule, setup.Seed)
	offered := make(map[string]int)
	lost := make(map[string]int)
	rate := setup.Load * fragmentWorkers * float64(workerSize.CPUMilli) / meanTaskCPU / fragmentRun.Seconds()
	var arrive func()
	arrive = func() {
		c.after(exponential(rng, time.Duration(float64(time.Second)/rate)), arrive)
		sort := pickSort(rng)
		ask := newAsk(fmt.Sprintf("j%d", c.seq), sort.name, structs.KindBatch, 1, sort.size(rng))
		run := exponential(rng, fragmentRun)
		plan := placer.Place(set, ask)
		assign(set, plan, ask)
		if c.elapsed() >= fragmentWarmup {
			offered[sort.name]++
			lost[sort.name] += len(plan.Unplaced)
		}
		for _, p := range plan.Placed {
			c.after(run, func() { set.Release(p.Task, p.Attempt) })
		}
	}
	used, samples := 0.0, 0
	c.every(10*time.Second, func() {
		if c.elapsed() >= fragmentWarmup {
			d := set.Digest()
			used += 1 - float64(d.Free.CPUMilli)/float64(d.Total.CPUMilli)
			samples++
		}
	})
	arrive()
	c.run(fragmentWarmup + fragmentTime)
	r := FragmentResult{UnplacedShare: make(map[string]float64), CPUUtilization: used / float64(samples)}
	for name, n := range offered {
		r.UnplacedShare[name] = float64(lost[name]) / float64(n)
	}
	return r
}

// pickSort draws a sort of task.
func pickSort(rng *rand.Rand) taskSort {
	at := rng.Float64()
	for _, s := range taskSorts {
		if at < s.share {
			return s
		}
		at -= s.share
	}
	return taskSorts[0]
}
