package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// hold is room on a worker that is kept for a gang until it fits.
type hold struct {
	step *step
	size structs.Resources
	at   time.Time // when the gang is expected to start
}

// release is the expected end of a run on a worker.
type release struct {
	at   time.Time
	size structs.Resources
}

// slot is room for one more task of a gang on a worker from a time on.
type slot struct {
	w  *worker
	at time.Time
}

// roomFor returns the room of a worker for tasks of a step. Room that is held for gangs is
// lent to tasks that end before it is needed, and to classes that come before them.
func (c *Controller) roomFor(s *step, w *worker, now time.Time) structs.Resources {
	free := w.free()
	holds := c.held[w]
	if len(holds) == 0 {
		return free
	}
	end := now.Add(c.expected(s, w))
	for _, h := range holds {
		if h.step == s || s.job().class.Priority < h.step.job().class.Priority || !end.After(h.at) {
			continue
		}
		free = free.Sub(h.size)
	}
	return free.ClampNegative()
}

// heldFor returns the room of a worker that is held for a step.
func (c *Controller) heldFor(s *step, w *worker) structs.Resources {
	for _, h := range c.held[w] {
		if h.step == s {
			return h.size
		}
	}
	return structs.Resources{}
}

// hold keeps room on a worker for a step.
func (c *Controller) hold(s *step, w *worker, size structs.Resources, at time.Time) {
	for _, h := range c.held[w] {
		if h.step == s {
			h.size = h.size.Add(size)
			return
		}
	}
	c.held[w] = append(c.held[w], &hold{step: s, size: size, at: at})
}

// expected returns how long a task of a step is expected to run on a worker.
func (c *Controller) expected(s *step, w *worker) time.Duration {
	return time.Duration(float64(s.def.Estimate()) / c.speeds.of(w))
}

// reserve keeps room for a gang that does not fit yet on the workers where it will first,
// and asks for fresh tickets in time.
func (c *Controller) reserve(s *step, pool []*worker, now time.Time) {
	s.startAt = time.Time{}
	slots := c.futureSlots(s, pool, now)
	need := len(s.tasks)
	if len(slots) < need {
		// It would not fit if all else had ended: nothing is kept from others for it.
		return
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return a.at.Compare(b.at) })
	slots = slots[:need]
	s.startAt = slots[need-1].at
	if s.waitsSince.IsZero() {
		s.waitsSince = now
	}
	for _, sl := range slots {
		c.hold(s, sl.w, s.size, s.startAt)
	}
}

// futureSlots returns the room for tasks of a gang on the workers that it may use, each with
// the time from which on it is expected to be free.
func (c *Controller) futureSlots(s *step, pool []*worker, now time.Time) []slot {
	var out []slot
	for _, w := range pool {
		if w.avoided || !s.suits(w) || !s.mayUse(w) {
			continue
		}
		most := times(w.info.Capacity, s.size)
		if s.perWorker != nil {
			most = min(most, s.def.MaxPerWorker)
		}
		out = c.workerSlots(out, s, w, most, now)
	}
	return out
}

// workerSlots adds the slots of one worker, besides what is held there for others.
func (c *Controller) workerSlots(out []slot, s *step, w *worker, most int, now time.Time) []slot {
	free := w.free()
	for _, h := range c.held[w] {
		if h.step != s {
			free = free.Sub(h.size)
		}
	}
	count := 0
	add := func(at time.Time) {
		for fits := min(times(free, s.size), most); count < fits; count++ {
			out = append(out, slot{w: w, at: at})
		}
	}
	add(now)
	for _, r := range c.schedule(w, now) {
		if count >= most {
			return out
		}
		free = free.Add(r.size)
		add(r.at)
	}
	return out
}

// overdue is how much longer a run that has passed its expected end is expected to take.
const overdue = 500 * time.Millisecond

// schedule returns the expected ends of the runs on a worker in order. Runs that last do
// not end.
func (c *Controller) schedule(w *worker, now time.Time) []release {
	if out, ok := c.schedules[w]; ok {
		return out
	}
	out := make([]release, 0, len(w.runs))
	for _, r := range w.runs {
		if !r.task.step.def.LongRunning || r.stopping {
			out = append(out, release{at: c.expectedEnd(r, now), size: r.size})
		}
	}
	slices.SortFunc(out, func(a, b release) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.size.CPUMilli, b.size.CPUMilli), cmp.Compare(a.size.MemoryMiB, b.size.MemoryMiB))
	})
	c.schedules[w] = out
	return out
}

const (
	// stopTakes is how long a stop is expected to take.
	stopTakes = 200 * time.Millisecond
	// tellingPercent is the progress from which on it tells the end better than the
	// estimate.
	tellingPercent = 15
)

// expectedEnd returns when a run is expected to end: by its progress, or by its estimate.
func (c *Controller) expectedEnd(r *run, now time.Time) time.Time {
	if r.stopping {
		return now.Add(stopTakes)
	}
	began := r.confirmed
	if began.IsZero() {
		began = now
	}
	end := began.Add(c.expected(r.task.step, r.w))
	if r.percent >= tellingPercent && !r.resumed && r.percentAt.After(began) {
		end = began.Add(r.percentAt.Sub(began) * 100 / time.Duration(r.percent))
	}
	if soonest := now.Add(overdue); end.Before(now) {
		return soonest
	}
	return end
}
