package controller

import "dotterelhitch/internal/advisorqueue"

// advisorShares divides the entries through which the advisor is called among the classes whose
// steps need tickets. Each of these classes may use an equal part; what some leave unused, the others
// may use. Without it, wide gangs that wait for room would keep all entries busy with the renewal of
// their tickets, and steps of other classes would not get a ticket for free workers.
type advisorShares struct {
	queue *advisorqueue.Queue
	part  int // in parts of advisorqueue.MaxInFlight of an entry
}

// newAdvisorShares returns the shares for the steps of a pass.
func (c *Controller) newAdvisorShares(steps []*step) *advisorShares {
	asking := map[string]struct{}{}
	for _, s := range steps {
		if class := s.job().class; class.Advisor != nil {
			asking[class.Name] = struct{}{}
		}
	}
	shares := &advisorShares{queue: c.advisorQueue}
	if len(asking) > 0 {
		shares.part = (c.advisorQueue.Entries() + len(asking) - 1) / len(asking) * advisorqueue.MaxInFlight
	}
	return shares
}

// left returns how many more calls of a length a class may make within its part.
func (a *advisorShares) left(class string, length advisorqueue.Length) int {
	return max(a.part-a.queue.Units(class), 0) / length.Units()
}
