package admission

import (
	"math"
	"time"
)

// rateWindow is the time constant of a Rate.
const rateWindow = 2 * time.Second

// Rate is an exponentially decaying rate of events a second. The zero value is
// ready to use.
type Rate struct {
	value float64
	last  time.Time
}

// Add counts n events at a time that never goes back.
func (r *Rate) Add(now time.Time, n int) {
	r.decay(now)
	r.value += float64(n) / rateWindow.Seconds()
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}

// decay ages the value to now.
func (r *Rate) decay(now time.Time) {
	if age := now.Sub(r.last); age > 0 {
		r.value *= math.Exp(-age.Seconds() / rateWindow.Seconds())
		r.last = now
	}
}
