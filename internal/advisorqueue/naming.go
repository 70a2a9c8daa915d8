package advisorqueue

import (
	"math"
	"time"
)

// Naming decides how many workers a call names. One more worker delays the answer, and with it the tasks that the
// workers named before take; without it, the tasks that it would take wait for another call. Both are counted in time
// summed over tasks. The number of tasks that the named workers take is a sum of independent draws, taken as normal.
type Naming struct {
	tasks          float64
	perWorker      time.Duration
	anotherCall    time.Duration
	mean, variance float64 // of the tasks that the named workers take
}

// NewNaming returns the decision for a call that asks for a number of tasks. Each worker in it takes the time
// perWorker, and another call delays the tasks by anotherCall.
func NewNaming(tasks int, perWorker, anotherCall time.Duration) *Naming {
	return &Naming{tasks: float64(tasks), perWorker: perWorker, anotherCall: anotherCall}
}

// Worth reports whether one more worker is worth its time. It has room for some tasks, and is allowed and still has that
// room at the answer with a probability.
func (n *Naming) Worth(fit int, probability float64) bool {
	takes := probability * min(float64(fit), n.tasks)
	delayed := min(max(n.mean, takes), n.tasks)
	return n.shortfall()*takes*float64(n.anotherCall) >= delayed*float64(n.perWorker)
}

// Add counts a worker that the call names, or that needs no call.
func (n *Naming) Add(fit int, probability float64) {
	f := min(float64(fit), n.tasks)
	n.mean += probability * f
	n.variance += probability * (1 - probability) * f * f
}

// shortfall returns the probability that the workers take fewer tasks than there are.
func (n *Naming) shortfall() float64 {
	missing := n.tasks - 0.5 - n.mean
	if n.variance == 0 {
		if missing > 0 {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(-missing/math.Sqrt(2*n.variance))
}
