// Package timeofday decides which time of day counts in a cell whose machines' clocks differ.
package timeofday

import (
	"slices"
	"time"
)

const (
	// MaxDifference is the difference from the cell's time of day up to which a clock counts as right.
	MaxDifference = time.Second
	// MaxReadingError is the largest error with which a reading counts.
	MaxReadingError = 500 * time.Millisecond
)

// Reading is a measured difference of two clocks.
type Reading struct {
	// Ahead is how far the one clock is ahead of the other.
	Ahead time.Duration
	// MaxError bounds the error of Ahead.
	MaxError time.Duration
}

// Measure returns how far a clock is ahead of another one, which showed remote at some time between sent
// and received, two times of the former.
func Measure(sent, received, remote time.Time) Reading {
	halfRoundTrip := received.Sub(sent) / 2
	return Reading{Ahead: sent.Add(halfRoundTrip).Sub(remote), MaxError: halfRoundTrip}
}

// Usable reports whether the reading is exact enough to count.
func (r Reading) Usable() bool { return r.MaxError <= MaxReadingError }

// Agree returns how far the cell's time of day is ahead of a clock, given how far the clocks of the
// members, its own included, are ahead of it. It is the median, so that a minority of wrong clocks has no effect; where
// two halves differ it is the one closer to present, the result so far. A change of less than the error of a reading
// has no effect, and differences of up to MaxDifference are no reason to correct a clock: the result is zero then.
func Agree(ahead []time.Duration, present time.Duration) time.Duration {
	if len(ahead) == 0 {
		return present
	}
	sorted := slices.Sorted(slices.Values(ahead))
	median := sorted[(len(sorted)-1)/2]
	if upper := sorted[len(sorted)/2]; (upper - present).Abs() < (median - present).Abs() {
		median = upper
	}
	switch {
	case (median - present).Abs() <= MaxReadingError:
		return present
	case median.Abs() <= MaxDifference:
		return 0
	}
	return median
}
