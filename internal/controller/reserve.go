package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

// reservation is room on a worker that is kept for a gang until it fits.
type reservation struct {
	step    *step
	size    structs.Resources
	startAt time.Time // when the gang is expected to start
}

// expectedRelease is the expected end of a run on a worker.
type expectedRelease struct {
	at   time.Time
	size structs.Resources
}

// futureSlot is room for one more task of a gang on a worker from a time on.
type futureSlot struct {
	w  *worker
	at time.Time
}

// availableFor returns the room of a worker for tasks of a step. Room that is held for gangs is
// lent to tasks that end before it is needed, and to classes that come before them.
func (c *Controller) availableFor(s *step, w *worker, now time.Time) structs.Resources {
	free := w.free()
	reservations := c.reservations[w]
	if len(reservations) == 0 {
		return free
	}
	end := now.Add(c.expectedRunTime(s, w))
	for _, reserved := range reservations {
		if reserved.step == s || s.job().class.Priority < reserved.step.job().class.Priority || !end.After(reserved.startAt) {
			continue
		}
		free = free.Sub(reserved.size)
	}
	return free.Positive()
}

// reservedFor returns the room of a worker that is held for a step.
func (c *Controller) reservedFor(s *step, w *worker) structs.Resources {
	for _, reserved := range c.reservations[w] {
		if reserved.step == s {
			return reserved.size
		}
	}
	return structs.Resources{}
}

// addReservation keeps room on a worker for a step.
func (c *Controller) addReservation(s *step, w *worker, size structs.Resources, at time.Time) {
	for _, reserved := range c.reservations[w] {
		if reserved.step == s {
			reserved.size = reserved.size.Add(size)
			return
		}
	}
	c.reservations[w] = append(c.reservations[w], &reservation{step: s, size: size, startAt: at})
}

// expectedRunTime returns how long a task of a step is expected to run on a worker.
func (c *Controller) expectedRunTime(s *step, w *worker) time.Duration {
	return time.Duration(float64(s.def.Estimate()) / c.speeds.relativeSpeed(w))
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
	slices.SortStableFunc(slots, func(a, b futureSlot) int { return a.at.Compare(b.at) })
	slots = slots[:need]
	s.startAt = slots[need-1].at
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	for _, sl := range slots {
		c.addReservation(s, sl.w, s.size, s.startAt)
	}
}

// futureSlots returns the room for tasks of a gang on the workers that it may use, each with
// the time from which on it is expected to be free.
func (c *Controller) futureSlots(s *step, pool []*worker, now time.Time) []futureSlot {
	var out []futureSlot
	for _, w := range pool {
		if w.avoided || !s.matchesWorker(w) || !s.mayUse(w) {
			continue
		}
		maxSlots := countFits(w.info.Capacity, s.size)
		if s.perWorker != nil {
			maxSlots = min(maxSlots, s.def.MaxPerWorker)
		}
		out = c.workerSlots(out, s, w, maxSlots, now)
	}
	return out
}

// workerSlots adds the slots of one worker, besides what is held there for others.
func (c *Controller) workerSlots(out []futureSlot, s *step, w *worker, maxSlots int, now time.Time) []futureSlot {
	free := w.free()
	for _, reserved := range c.reservations[w] {
		if reserved.step != s {
			free = free.Sub(reserved.size)
		}
	}
	count := 0
	add := func(at time.Time) {
		for fits := min(countFits(free, s.size), maxSlots); count < fits; count++ {
			out = append(out, futureSlot{w: w, at: at})
		}
	}
	add(now)
	for _, r := range c.expectedReleases(w, now) {
		if count >= maxSlots {
			return out
		}
		free = free.Add(r.size)
		add(r.at)
	}
	return out
}

// overdueExtension is how much longer a run that has passed its expected end is expected to take.
const overdueExtension = 500 * time.Millisecond

// expectedReleases returns the expected ends of the runs on a worker in order. Runs that last do
// not end.
func (c *Controller) expectedReleases(w *worker, now time.Time) []expectedRelease {
	if out, ok := c.releaseSchedules[w]; ok {
		return out
	}
	out := make([]expectedRelease, 0, len(w.runs))
	for _, r := range w.runs {
		if !r.task.step.def.LongRunning || r.stopping {
			out = append(out, expectedRelease{at: c.expectedEnd(r, now), size: r.size})
		}
	}
	slices.SortFunc(out, func(a, b expectedRelease) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.size.CPUMilli, b.size.CPUMilli), cmp.Compare(a.size.MemoryMiB, b.size.MemoryMiB))
	})
	c.releaseSchedules[w] = out
	return out
}

const (
	// expectedStopTime is how long a stop is expected to take.
	expectedStopTime = 200 * time.Millisecond
	// minPercentForEstimate is the progress from which on it tells the end better than the
	// estimate.
	minPercentForEstimate = 15
)

// expectedEnd returns when a run is expected to end: by its progress, or by its estimate.
func (c *Controller) expectedEnd(r *run, now time.Time) time.Time {
	if r.stopping {
		return now.Add(expectedStopTime)
	}
	began := r.confirmedAt
	if began.IsZero() {
		began = now
	}
	end := began.Add(c.expectedRunTime(r.task.step, r.worker))
	if r.percent >= minPercentForEstimate && !r.resumed && r.percentAt.After(began) {
		end = began.Add(r.percentAt.Sub(began) * 100 / time.Duration(r.percent))
	}
	if soonest := now.Add(overdueExtension); end.Before(now) {
		return soonest
	}
	return end
}
