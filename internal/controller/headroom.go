package controller

import (
	"dotterelhitch/internal/headroom"
	"dotterelhitch/internal/structs"
)

// headroom returns how many of n tasks of a step may start now beside what is left free for urgent classes. Steps
// without slack, gangs, which are hard enough to place as it is, and long-running tasks leave nothing free.
func (c *Controller) headroom(s *step, n int) int {
	class := s.job().class
	if class.Target <= headroom.ShortTarget || s.gang != nil || s.def.LongRunning || s.latestStartAt.Sub(c.passAt) < headroom.MinSlack {
		return n
	}
	var urgent structs.Resources
	for name, other := range c.config.Classes {
		if other.Priority < class.Priority && other.Target <= headroom.ShortTarget {
			urgent = urgent.Add(c.usage.Class(name))
		}
	}
	if urgent.IsZero() {
		return n
	}
	reserve := headroom.Reserve(c.poolCapacity, urgent)
	return headroom.Room(c.poolCapacity, c.usage.Total(), reserve, s.size, n)
}
