package admission

import (
	"math"
	"time"
)

// defaultRateWindow is the time constant of a zero Rate.
const defaultRateWindow = 2 * time.Second

// Rate is an exponentially decaying rate of events per second. The zero value is ready
// to use.
type Rate struct {
	value     float64
	lastDecay time.Time
	// window is the time constant; zero means defaultRateWindow.
	window time.Duration
}

// NewRate returns a rate with the given time constant.
func NewRate(window time.Duration) Rate { return Rate{window: window} }

// Add counts n events at now. now must not decrease between calls.
func (r *Rate) Add(now time.Time, n int) {
	r.decay(now)
	r.value += float64(n) / r.timeConstant().Seconds()
}

// PerSecond returns the rate in events per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}

// decay updates the value to its decayed value at now.
func (r *Rate) decay(now time.Time) {
	if age := now.Sub(r.lastDecay); age > 0 {
		r.value *= math.Exp(-age.Seconds() / r.timeConstant().Seconds())
		r.lastDecay = now
	}
}

// timeConstant returns the time constant in use.
func (r *Rate) timeConstant() time.Duration {
	if r.window > 0 {
		return r.window
	}
	return defaultRateWindow
}
