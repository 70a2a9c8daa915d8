package controller

import (
	"dotterelhitch/internal/headroom"
	"dotterelhitch/internal/structs"
)

// headroom returns how many of n tasks of a step may start now beside the capacity that is left free for urgent
// classes. Steps of urgent classes, steps without slack and long-running tasks leave nothing free. Neither do gangs,
// since they rarely find room for all their tasks at once.
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
