package advisorqueue

import (
	"math"
	"time"
)

// Selection decides how many workers a call asks about. One more worker delays the answer, and with it the tasks that
// the workers selected before take; without it, the tasks that it would take wait for another call. Both are counted in
// time summed over tasks. The number of tasks that the selected workers take is approximated by a normal distribution.
type Selection struct {
	tasks          float64
	perWorker      time.Duration
	anotherCall    time.Duration
	mean, variance float64 // of the number of tasks that the selected workers take
}

// NewSelection returns an empty selection for a call on behalf of a number of tasks. Each worker prolongs the call by
// perWorker, and another call would delay the tasks by anotherCall.
func NewSelection(tasks int, perWorker, anotherCall time.Duration) *Selection {
	return &Selection{tasks: float64(tasks), perWorker: perWorker, anotherCall: anotherCall}
}

// WorthAdding reports whether one more worker is worth its time. The worker has room for fit tasks. With the given
// probability it is allowed, and still has that room when the answer comes.
func (s *Selection) WorthAdding(fit int, probability float64) bool {
	takes := probability * min(float64(fit), s.tasks)
	delayed := min(max(s.mean, takes), s.tasks)
	return s.shortfall()*takes*float64(s.anotherCall) >= delayed*float64(s.perWorker)
}

// Add counts a worker that the call asks about, or one with a valid ticket, whose probability is 1.
func (s *Selection) Add(fit int, probability float64) {
	f := min(float64(fit), s.tasks)
	s.mean += probability * f
	s.variance += probability * (1 - probability) * f * f
}

// shortfall returns the probability that the selected workers take fewer tasks than there are.
func (s *Selection) shortfall() float64 {
	missing := s.tasks - 0.5 - s.mean
	if s.variance == 0 {
		if missing > 0 {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(-missing/math.Sqrt(2*s.variance))
}
