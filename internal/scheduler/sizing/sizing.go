// Package sizing learns what the tasks of a class really use and chooses what a new
// task is granted and what is done when a worker gets short. Declared sizes are often
// several times off; placing by learnt ones packs tighter without granting a worker
// more than it has. It does no I/O, starts no goroutine and gets reports as
// arguments.
package sizing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelhitch/internal/structs"
)

const (
	// processorPercentile is the percentile of task peaks granted as processor,
	// which can be throttled.
	processorPercentile = 95
	// memoryPercentile is the percentile of task peaks granted as memory, which
	// can only be taken back by a stop.
	memoryPercentile = 99
	// headroomPercent is granted above the percentile.
	headroomPercent = 10
	// minTasks is the number of ended or long-running tasks from which on grants
	// are learnt.
	minTasks = 20
	// windowTasks is the number of tasks after which the older window is dropped.
	windowTasks = 1000
	// sampleEvery is how long a long-running task runs for each further sample that
	// it gives.
	sampleEvery = time.Hour
	// minProcessorMilli and minMemoryMiB are the least grants.
	minProcessorMilli = 10
	minMemoryMiB      = 16
	// maxAmount is the largest amount in thousandths of a core or MiB that the
	// histograms tell apart.
	maxAmount = 1 << 24
	// histogramDigits is the number of significant digits kept.
	histogramDigits = 1
)

// usage is the peaks of the tasks of a class in two windows.
type usage struct {
	cpu, memory window
}

// window is a histogram over the last windowTasks to twice as many samples.
type window struct {
	now, old *hdrhistogram.Histogram
}

func newWindow() window {
	return window{
		now: hdrhistogram.New(1, maxAmount, histogramDigits),
		old: hdrhistogram.New(1, maxAmount, histogramDigits),
	}
}

// record adds a sample.
func (w *window) record(v int64) {
	_ = w.now.RecordValue(min(max(v, 1), maxAmount))
	if w.now.TotalCount() >= windowTasks {
		w.now, w.old = w.old, w.now
		w.now.Reset()
	}
}

// count returns the number of samples kept.
func (w *window) count() int64 { return w.now.TotalCount() + w.old.TotalCount() }

// percentile returns the larger percentile of the two windows that hold enough.
func (w *window) percentile(p float64) int64 {
	if w.now.TotalCount() < minTasks && w.old.TotalCount() > 0 {
		return w.old.ValueAtPercentile(p)
	}
	return max(w.now.ValueAtPercentile(p), w.old.ValueAtPercentile(p))
}

// Sizer learns the sizes of classes.
type Sizer struct {
	classes map[string]*usage
	tasks   map[structs.TaskID]*sample
}

// sample is the peak of a task that still runs.
type sample struct {
	class string
	peak  structs.Resources
	since time.Time
}

// NewSizer returns a sizer that has learnt nothing.
func NewSizer() *Sizer {
	return &Sizer{classes: make(map[string]*usage), tasks: make(map[structs.TaskID]*sample)}
}

// Report takes what a running task was last seen to use.
func (s *Sizer) Report(now time.Time, class string, task structs.TaskID, used structs.Resources) {
	t := s.tasks[task]
	if t == nil {
		t = &sample{class: class, since: now}
		s.tasks[task] = t
	}
	t.peak.CPUMilli = max(t.peak.CPUMilli, used.CPUMilli)
	t.peak.MemoryMiB = max(t.peak.MemoryMiB, used.MemoryMiB)
	if now.Sub(t.since) >= sampleEvery {
		s.learn(t)
		*t = sample{class: class, since: now}
	}
}

// Ended ends a task and learns its peak. Pass false for one that was cut short, of
// which the peak may not have been seen.
func (s *Sizer) Ended(task structs.TaskID, whole bool) {
	t := s.tasks[task]
	if t == nil {
		return
	}
	delete(s.tasks, task)
	if whole {
		s.learn(t)
	}
}

// learn adds a peak to its class. A task of which no use was reported, such as one
// that ended within the lag of the reports, teaches nothing.
func (s *Sizer) learn(t *sample) {
	if t.peak.IsZero() {
		return
	}
	u := s.classes[t.class]
	if u == nil {
		u = &usage{cpu: newWindow(), memory: newWindow()}
		s.classes[t.class] = u
	}
	u.cpu.record(t.peak.CPUMilli)
	u.memory.record(t.peak.MemoryMiB)
}

// Grant returns what the next task of a class is granted: the learnt size once
// enough tasks were seen, the declared size before. Accelerators are granted as
// declared. A learnt grant never exceeds limit, the largest worker's size.
func (s *Sizer) Grant(class string, declared, limit structs.Resources) structs.Resources {
	u := s.classes[class]
	if u == nil || u.cpu.count() < minTasks {
		return declared
	}
	return structs.Resources{
		CPUMilli:     grant(&u.cpu, processorPercentile, minProcessorMilli, limit.CPUMilli),
		MemoryMiB:    grant(&u.memory, memoryPercentile, minMemoryMiB, limit.MemoryMiB),
		Accelerators: declared.Accelerators,
	}
}

// grant returns a percentile with headroom within bounds.
func grant(w *window, percentile float64, least, most int64) int64 {
	v := w.percentile(percentile) * (100 + headroomPercent) / 100
	return min(max(v, least), max(most, least))
}

// Learnt reports whether grants of a class are learnt.
func (s *Sizer) Learnt(class string) bool {
	u := s.classes[class]
	return u != nil && u.cpu.count() >= minTasks
}

// ForgetClass drops what was learnt of a class that no longer exists.
func (s *Sizer) ForgetClass(class string) { delete(s.classes, class) }
