package advisorqueue

import "time"

// window bounds the calls in flight in total by what the controller can use. Each answer costs the controller
// processor time; once it has none left, answers wait at the controller, and the time that calls spend outside the
// advisor grows. The window shrinks while that time is long and grows otherwise.
type window struct {
	size      float64 // calls
	slowStart bool    // until the first decrease the window grows by one with each answer
	delay     time.Duration
	// decreasedAt is the time of the last decrease.
	decreasedAt time.Time
}

const (
	initialWindow = 64
	// minWindow is enough for the urgent calls of a cell whose controller is overloaded.
	minWindow = 16
	// longDelay is the mean time outside the advisor beyond which the window shrinks. It allows for members that get
	// their processor time in slices of 100 ms, and so delay a call although the controller is not overloaded.
	longDelay = 200 * time.Millisecond
	// delayWeight is the part of the difference by which an answer moves the mean delay.
	delayWeight = 0.05
	// windowDecrease is the factor by which the window shrinks, at most once in decreaseInterval, in which the effect
	// of the previous decrease shows.
	windowDecrease   = 0.8
	decreaseInterval = 300 * time.Millisecond
)

func newWindow() window { return window{size: initialWindow, slowStart: true, delay: assumedTransit} }

// limit returns the largest number of calls in flight for a number of entries.
func (w *window) limit(entries int) int { return min(int(w.size), MaxInFlight*entries) }

// answered adjusts the window after an answer that spent some time outside the advisor, with a number of calls in
// flight. A window of which less than half is used does not grow.
func (w *window) answered(outside time.Duration, inFlight int, now time.Time) {
	w.delay += time.Duration(delayWeight * float64(max(outside, 0)-w.delay))
	switch {
	case w.delay <= longDelay && float64(2*inFlight) < w.size:
	case w.delay <= longDelay && w.slowStart:
		w.size++
	case w.delay <= longDelay:
		w.size += 1 / w.size
	case now.Sub(w.decreasedAt) >= decreaseInterval:
		w.slowStart = false
		w.decreasedAt = now
		w.size = max(windowDecrease*w.size, minWindow)
	}
}
