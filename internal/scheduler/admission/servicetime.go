package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// defaultServiceTime is assumed of a class of which nothing was measured.
	defaultServiceTime = 10 * time.Millisecond
	// maxServiceTime is the largest time that the histograms tell apart.
	maxServiceTime = 10 * time.Minute
	// histogramDigits is the number of significant digits kept: a value is off by
	// at most a sixteenth, at some 3 KiB a histogram.
	histogramDigits = 1
	// windowSamples is the number of samples after which the older window of
	// samples is forgotten.
	windowSamples = 512
	// meanShift is the weight of a new sample in the mean as a power of two.
	meanShift = 5
	// highQuantile is the percentile by which a request's own service time is
	// judged.
	highQuantile = 99
	// minSamples is the number of samples below which the quantile is not used.
	minSamples = 20
)

// ServiceTime estimates how long endpoints take for the requests of one class. The
// quantile covers the last windowSamples to twice as many.
type ServiceTime struct {
	mean     time.Duration
	now, old *hdrhistogram.Histogram
	// high is the quantile as of the last refresh.
	high time.Duration
}

// NewServiceTime returns an estimate without samples.
func NewServiceTime() *ServiceTime {
	return &ServiceTime{
		mean: defaultServiceTime,
		high: defaultServiceTime,
		now:  newHistogram(),
		old:  newHistogram(),
	}
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxServiceTime.Microseconds(), histogramDigits)
}

// Record adds the time that one request took at its endpoint.
func (s *ServiceTime) Record(d time.Duration) {
	d = min(max(d, time.Microsecond), maxServiceTime)
	total := s.now.TotalCount() + s.old.TotalCount()
	if total == 0 {
		s.mean = d
	} else {
		s.mean += (d - s.mean) >> meanShift
	}
	_ = s.now.RecordValue(d.Microseconds())
	if s.now.TotalCount()%minSamples == 0 {
		s.refresh()
	}
	if s.now.TotalCount() >= windowSamples {
		s.now, s.old = s.old, s.now
		s.now.Reset()
	}
}

// refresh reads the quantile of both windows.
func (s *ServiceTime) refresh() {
	high := s.now.ValueAtPercentile(highQuantile)
	if s.old.TotalCount() > 0 {
		high = max(high, s.old.ValueAtPercentile(highQuantile))
	}
	s.high = time.Duration(high) * time.Microsecond
}

// Mean returns the moving mean.
func (s *ServiceTime) Mean() time.Duration { return s.mean }

// HighQuantile returns the high quantile, at least the mean.
func (s *ServiceTime) HighQuantile() time.Duration { return max(s.high, s.mean) }
