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
		if other.Service == class.Service && other.Priority < class.Priority && other.Target <= headroom.ShortTarget {
			urgent = urgent.Add(c.usage.Class(name))
		}
	}
	if urgent.IsZero() {
		return n
	}
	pool := c.servicePools[class.Service]
	if pool == nil {
		return n
	}
	reserve := headroom.Reserve(pool.capacity, urgent)
	return headroom.Room(pool.capacity, pool.used, reserve, s.size, n)
}

// servicePool is what the usable workers of a service have, and what is in use on them.
type servicePool struct{ capacity, used structs.Resources }

// poolServices returns the pools of all services at the beginning of a placement pass.
func poolServices(pool []*worker) map[string]*servicePool {
	out := map[string]*servicePool{}
	for _, w := range pool {
		p := out[w.info.Service]
		if p == nil {
			p = &servicePool{}
			out[w.info.Service] = p
		}
		p.capacity = p.capacity.Add(w.info.Capacity)
		p.used = p.used.Add(w.used.Min(w.info.Capacity))
	}
	return out
}
