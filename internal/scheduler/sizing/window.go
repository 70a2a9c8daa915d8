package sizing

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowTasks is the number of tasks after which the older window is dropped.
	windowTasks = 1000
	// maxAmount is the largest amount in thousandths of a core or MiB that the
	// histograms tell apart.
	maxAmount = 1 << 24
	// histogramDigits is the number of significant digits kept.
	histogramDigits = 1
	// refreshEvery is the number of samples after which the mean and the deviation
	// are worked out anew.
	refreshEvery = 10
	// highPercentile bounds a grant from above: no task is granted more than nearly
	// all were seen to use.
	highPercentile = 99.5
)

// usage is the peaks of the tasks of a class.
type usage struct {
	cpu, memory window
}

// window is a histogram over the last windowTasks to twice as many samples, with what
// was last read from it.
type window struct {
	now, old              *hdrhistogram.Histogram
	mean, deviation, high float64
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
	if w.now.TotalCount()%refreshEvery == 0 {
		w.refresh()
	}
	if w.now.TotalCount() >= windowTasks {
		w.now, w.old = w.old, w.now
		w.now.Reset()
	}
}

// refresh reads both windows.
func (w *window) refresh() {
	n := float64(w.now.TotalCount())
	o := float64(w.old.TotalCount())
	m, p := w.now.Mean(), w.old.Mean()
	w.mean = (n*m + o*p) / (n + o)
	square := func(mean, deviation float64) float64 { return mean*mean + deviation*deviation }
	second := (n*square(m, w.now.StdDev()) + o*square(p, w.old.StdDev())) / (n + o)
	w.deviation = math.Sqrt(max(second-w.mean*w.mean, 0))
	w.high = float64(max(w.now.ValueAtPercentile(highPercentile), w.old.ValueAtPercentile(highPercentile)))
}

// count returns the number of samples kept.
func (w *window) count() int64 { return w.now.TotalCount() + w.old.TotalCount() }

// grant returns the mean plus the task's part of the deviations of the sum over a
// worker of size most, within bounds.
func (w *window) grant(deviations float64, least, most int64) int64 {
	tasks := max(float64(most)/max(w.mean, 1), 1)
	v := w.mean + deviations*w.deviation/math.Sqrt(tasks)
	return min(max(int64(math.Ceil(min(v, w.high))), least), max(most, least))
}
