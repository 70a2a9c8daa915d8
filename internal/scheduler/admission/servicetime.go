package admission

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// defaultServiceTime is the estimate for a class without samples.
	defaultServiceTime = 10 * time.Millisecond
	// maxServiceTime is the largest value that the histograms can represent.
	maxServiceTime = 10 * time.Minute
	// histogramDigits is the number of significant digits: the relative error of a
	// value is at most 1/16, and a histogram takes about 3 KiB.
	histogramDigits = 1
	// windowSamples is the number of samples in the current window after which the
	// previous window is discarded.
	windowSamples = 512
	// meanWeightShift is the weight of a new sample in the mean: 1/2^meanWeightShift.
	meanWeightShift = 5
	// highQuantile is the percentile of the service time that a request's own run is
	// assumed to take.
	highQuantile = 99
	// minSamples is the number of samples between two updates of the quantile; before
	// the first update, the quantile is not used.
	minSamples = 20
)

// ServiceTime estimates the service time of the requests of one class. The quantile
// covers between windowSamples and twice as many of the latest samples.
type ServiceTime struct {
	mean              time.Duration
	current, previous *hdrhistogram.Histogram
	// quantile is the quantile as of the last refresh.
	quantile time.Duration
}

// NewServiceTime returns an estimate without samples.
func NewServiceTime() *ServiceTime {
	return &ServiceTime{
		mean:     defaultServiceTime,
		quantile: defaultServiceTime,
		current:  newHistogram(),
		previous: newHistogram(),
	}
}

// newHistogram returns a histogram with values in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxServiceTime.Microseconds(), histogramDigits)
}

// Record adds the service time of one request.
func (s *ServiceTime) Record(d time.Duration) {
	d = min(max(d, time.Microsecond), maxServiceTime)
	total := s.current.TotalCount() + s.previous.TotalCount()
	if total == 0 {
		s.mean = d
	} else {
		s.mean += (d - s.mean) >> meanWeightShift
	}
	_ = s.current.RecordValue(d.Microseconds())
	if s.current.TotalCount()%minSamples == 0 {
		s.refreshQuantile()
	}
	if s.current.TotalCount() >= windowSamples {
		s.current, s.previous = s.previous, s.current
		s.current.Reset()
	}
}

// refreshQuantile recomputes the quantile from both windows.
func (s *ServiceTime) refreshQuantile() {
	high := s.current.ValueAtPercentile(highQuantile)
	if s.previous.TotalCount() > 0 {
		high = max(high, s.previous.ValueAtPercentile(highQuantile))
	}
	s.quantile = time.Duration(high) * time.Microsecond
}

// Mean returns the moving mean.
func (s *ServiceTime) Mean() time.Duration { return s.mean }

// HighQuantile returns the highQuantile percentile of the service time, but at least
// the mean.
func (s *ServiceTime) HighQuantile() time.Duration { return max(s.quantile, s.mean) }
