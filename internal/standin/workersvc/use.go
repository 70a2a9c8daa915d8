package workersvc

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// Bounds of a stated use.
const (
	maxUse    = 1 << 24
	maxSpread = 2
	// growStep is the period at which the memory of growing tasks is looked at.
	growStep = 20 * time.Millisecond
)

// trueUse is what the tasks of a job use whatever they are granted. Each task draws
// its own from a lognormal distribution around the mean.
type trueUse struct {
	cpu, memory float64
	// spread is the standard deviation of the logarithm.
	spread float64
	seed   uint64
	// grow is the time over which memory grows from nothing.
	grow time.Duration
}

// parseUse reads "cpu=500,mem=300,spread=0.3,seed=7,grow=200": thousandths of a core,
// MiB, and milliseconds.
func parseUse(text string) *trueUse {
	u := &trueUse{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "cpu":
			u.cpu = number(value, maxUse)
		case "mem":
			u.memory = number(value, maxUse)
		case "spread":
			u.spread = number(value, maxSpread)
		case "seed":
			u.seed = uint64(number(value, maxUse))
		case "grow":
			u.grow = millis(int64(number(value, maxUse)))
		}
	}
	return u
}

// number reads a number between 0 and most, 0 for anything else.
func number(text string, most float64) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= most) {
		return 0
	}
	return f
}

// draw returns what a task uses at most: the same for each of its runs.
func (u *trueUse) draw(task structs.TaskID) structs.Resources {
	_, index, _ := task.Split()
	rng := rand.New(rand.NewPCG(u.seed, uint64(index)))
	amount := func(mean float64) int64 {
		return int64(mean * math.Exp(u.spread*rng.NormFloat64()-u.spread*u.spread/2))
	}
	return structs.Resources{CPUMilli: amount(u.cpu), MemoryMiB: amount(u.memory)}
}

// truly reports whether the task uses what it states, whatever it is granted.
func (t *task) truly() bool { return t.payload.use != nil }

// growing reports whether the task's memory still grows.
func (t *task) growing(now time.Time) bool {
	return t.truly() && now.Sub(t.started) < t.payload.use.grow
}

// memory is what the task uses now.
func (t *task) memory(now time.Time) int64 {
	if !t.growing(now) {
		return t.need.MemoryMiB
	}
	part := float64(now.Sub(t.started)) / float64(t.payload.use.grow)
	return int64(float64(t.need.MemoryMiB) * part)
}

// wanted is the processor that the task uses if its worker has enough.
func (t *task) wanted() int64 {
	if t.percent >= fullPercent {
		return t.need.CPUMilli
	}
	return min(t.need.CPUMilli, t.start.Size.CPUMilli*int64(t.percent)/fullPercent)
}

// use returns what the task uses now.
func (t *task) use(now time.Time) structs.Resources {
	if !t.truly() {
		return t.payload.usage(t.start.Size, t.percent)
	}
	return structs.Resources{
		CPUMilli:     int64(float64(t.wanted()) * t.share),
		MemoryMiB:    t.memory(now),
		Accelerators: t.start.Size.Accelerators,
	}
}

// contend shares the processors out among the tasks of true use, in proportion to what
// they want; it needs the lock.
func (w *Worker) contend(now time.Time) {
	var wanted int64
	for _, t := range w.running {
		if t.running() && t.truly() {
			wanted += t.wanted()
		}
	}
	share := min(float64(w.cfg.Worker.Size.CPUMilli)/float64(max(wanted, 1)), 1)
	for _, t := range w.running {
		if !t.running() || !t.truly() || t.share == share {
			continue
		}
		t.count(now, w.faults.slow())
		t.share = share
		w.reportLater(t, now)
	}
}

// reportLater shows the task's usage after the lag, if that is not due already.
func (w *Worker) reportLater(t *task, now time.Time) {
	if t.reportAt.IsZero() {
		t.reportAt = now.Add(w.cfg.UsageLag)
	}
}

// killForMemory kills the tasks furthest above their grants while the worker has not
// enough memory for all; it needs the lock.
func (w *Worker) killForMemory(now time.Time) {
	for w.memoryUsed(now) > w.cfg.Worker.Size.MemoryMiB {
		t := w.furthestAbove(now)
		if t == nil {
			return
		}
		t.usage = t.use(now)
		w.end(t, structs.AllocFailed, worker.ReasonOutOfMemory)
	}
}

// memoryUsed is what the tasks of true use take now; it needs the lock.
func (w *Worker) memoryUsed(now time.Time) int64 {
	var used int64
	for _, t := range w.running {
		if t.running() && t.truly() {
			used += t.memory(now)
		}
	}
	return used
}

// furthestAbove returns the task whose memory is furthest above its grant; it needs
// the lock.
func (w *Worker) furthestAbove(now time.Time) *task {
	var worst *task
	above := func(t *task) int64 { return t.memory(now) - t.start.Size.MemoryMiB }
	for _, t := range w.running {
		if t.running() && t.truly() && (worst == nil || above(t) > above(worst)) {
			worst = t
		}
	}
	return worst
}
