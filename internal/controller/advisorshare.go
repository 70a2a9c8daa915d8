package controller

// advisorShares divides the entries through which the advisor is called among the classes whose
// steps need tickets. Each of these classes may use an equal part; what some leave unused, the others
// may use. Without it, wide gangs that wait for room would keep all entries busy with the renewal of
// their tickets, and steps of other classes would not get a ticket for free workers.
type advisorShares struct {
	part     int
	inFlight map[string]int // calls by class
}

// newAdvisorShares returns the shares for the steps of a pass.
func (c *Controller) newAdvisorShares(steps []*step) *advisorShares {
	asking := map[string]struct{}{}
	for _, s := range steps {
		if class := s.job().class; class.Advisor != nil {
			asking[class.Name] = struct{}{}
		}
	}
	shares := &advisorShares{inFlight: map[string]int{}}
	for _, entry := range c.advisorEntries {
		if entry.busy {
			shares.inFlight[entry.class]++
		}
	}
	if len(asking) > 0 {
		shares.part = (len(c.advisorEntries) + len(asking) - 1) / len(asking)
	}
	return shares
}

// left returns how many more calls a class may make within its part.
func (a *advisorShares) left(class string) int { return max(a.part-a.inFlight[class], 0) }

// add counts a call of a class.
func (a *advisorShares) add(class string) { a.inFlight[class]++ }
