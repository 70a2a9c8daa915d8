package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of a Rate that states none.
const rateWindow = 2 * time.Second

// Rate is an exponentially decaying rate of events a second. The zero value is
// ready to use.
type Rate struct {
	value float64
	last  time.Time
	// window is the time constant; zero means rateWindow.
	window time.Duration
}

// NewRate returns a rate of the given time constant.
func NewRate(window time.Duration) Rate { return Rate{window: window} }

// Add counts n events at a time that never goes back.
func (r *Rate) Add(now time.Time, n int) {
	r.decay(now)
	r.value += float64(n) / r.constant().Seconds()
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}

// decay ages the value to now.
func (r *Rate) decay(now time.Time) {
	if age := now.Sub(r.last); age > 0 {
		r.value *= math.Exp(-age.Seconds() / r.constant().Seconds())
		r.last = now
	}
}

// constant is the time constant in force.
func (r *Rate) constant() time.Duration {
	if r.window > 0 {
		return r.window
	}
	return rateWindow
}
