package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/runtimes"
	"dotterelhitch/internal/structs"
)

// reservation is capacity on a worker that is kept for a gang until all its tasks fit.
type reservation struct {
	step    *step
	size    structs.Resources
	startAt time.Time // the gang's expected start
}

// expectedRelease is the expected end of a run, which frees the run's capacity.
type expectedRelease struct {
	at   time.Time
	size structs.Resources
}

// futureSlot is capacity for one more task of a gang on a worker, from a time on.
type futureSlot struct {
	w  *worker
	at time.Time
}

// availableFor returns the capacity of a worker for tasks of a step. Capacity reserved for a
// gang is available to tasks that are expected to end before the gang starts (backfill), and
// to classes with a higher priority.
func (c *Controller) availableFor(s *step, w *worker, now time.Time) structs.Resources {
	free := w.free()
	reservations := c.reservations[w]
	if len(reservations) == 0 {
		return free
	}
	end := now.Add(c.expectedRunTime(s, w, now).P90)
	for _, reserved := range reservations {
		if reserved.step == s || s.job().class.Priority < reserved.step.job().class.Priority || !end.After(reserved.startAt) {
			continue
		}
		free = free.Sub(reserved.size)
	}
	return free.ClampNegative()
}

// reservedFor returns the capacity of a worker that is reserved for a step.
func (c *Controller) reservedFor(s *step, w *worker) structs.Resources {
	for _, reserved := range c.reservations[w] {
		if reserved.step == s {
			return reserved.size
		}
	}
	return structs.Resources{}
}

// addReservation reserves capacity on a worker for a step.
func (c *Controller) addReservation(s *step, w *worker, size structs.Resources, at time.Time) {
	for _, reserved := range c.reservations[w] {
		if reserved.step == s {
			reserved.size = reserved.size.Add(size)
			return
		}
	}
	c.reservations[w] = append(c.reservations[w], &reservation{step: s, size: size, startAt: at})
}

// expectedRunTime returns the expected run time of a task of a step on a worker.
func (c *Controller) expectedRunTime(s *step, w *worker, now time.Time) runtimes.Expectation {
	return c.expectation(s, now).AtSpeed(c.speeds.relativeSpeed(w))
}

// reserve reserves capacity for a gang that does not fit yet on the workers where it is
// expected to fit first. It also sets the gang's expected start, by which its tickets are
// renewed in time.
func (c *Controller) reserve(s *step, pool []*worker, now time.Time) {
	s.startAt = time.Time{}
	ahead := c.mayReserveAhead()
	need := len(s.tasks)
	if !ahead && !c.fitsWithoutTickets(s, need) {
		return
	}
	slots := c.futureSlots(s, pool, now)
	if len(slots) < need {
		// The gang would not fit even after all other runs have ended, so nothing is reserved
		// for it.
		return
	}
	slices.SortStableFunc(slots, func(a, b futureSlot) int { return a.at.Compare(b.at) })
	slots = slots[:need]
	startAt := slots[need-1].at
	if startAt.After(now) && !ahead {
		return
	}
	s.startAt = startAt
	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}
	for _, slot := range slots {
		c.addReservation(s, slot.w, s.size, s.startAt)
	}
	if startAt.After(now) {
		c.reservedAhead = c.reservedAhead.Add(s.size.Times(int64(need)))
	}
}

// maxReservedShare is the share of the workers' capacity beyond which no further gang reserves room
// that is not free yet. What a gang has reserved is idle until the last of it is free, so with many
// waiting gangs only the most urgent ones may reserve.
const maxReservedShare = 0.03

// mayReserveAhead reports whether one more gang may reserve room that is not free yet.
func (c *Controller) mayReserveAhead() bool {
	share := max(
		fraction(c.reservedAhead.CPUMilli, c.poolCapacity.CPUMilli),
		fraction(c.reservedAhead.MemoryMiB, c.poolCapacity.MemoryMiB),
	)
	return share < maxReservedShare
}

// fitsWithoutTickets reports whether a number of tasks of a gang fit now on workers that it may use, in capacity that
// is not reserved for other steps. Tickets are not needed.
func (c *Controller) fitsWithoutTickets(s *step, need int) bool {
	rooms := c.room.withRoom(s.job().class.Service, s.size)
	for i := range rooms {
		w := rooms[i].w
		if !rooms[i].fits(s.size) || w.avoided || !s.matchesWorker(w) || !s.mayUse(w) {
			continue
		}
		if need -= min(countFits(c.freeForReservation(s, w), s.size), s.maxSlots(w)); need <= 0 {
			return true
		}
	}
	return false
}

// maxSlots returns how many tasks of a step fit on a worker when it is empty.
func (s *step) maxSlots(w *worker) int {
	n := countFits(w.info.Capacity, s.size)
	if s.perWorker != nil {
		n = min(n, s.def.MaxPerWorker)
	}
	return n
}

// freeForReservation returns the free capacity of a worker that is not reserved for other steps.
func (c *Controller) freeForReservation(s *step, w *worker) structs.Resources {
	free := w.free()
	for _, reserved := range c.reservations[w] {
		if reserved.step != s {
			free = free.Sub(reserved.size)
		}
	}
	return free
}

// futureSlots returns the capacity for tasks of a gang on the workers that it may use, with
// the times at which it is expected to become free. It returns nil if these workers do not hold the
// gang even when empty. The result is valid until the next call.
func (c *Controller) futureSlots(s *step, pool []*worker, now time.Time) []futureSlot {
	if s.job().class.Advisor != nil && (s.advice == nil || c.allowedSlots(s) < float64(len(s.tasks))) {
		return nil
	}
	usable := c.workerBuffer[:0]
	total := 0
	for _, w := range pool {
		if w.avoided || !s.matchesWorker(w) || !s.mayUse(w) {
			continue
		}
		usable = append(usable, w)
		total += s.maxSlots(w)
	}
	c.workerBuffer = usable
	if total < len(s.tasks) {
		return nil
	}
	out := c.slotBuffer[:0]
	for _, w := range usable {
		out = c.workerSlots(out, s, w, s.maxSlots(w), now)
	}
	c.slotBuffer = out
	return out
}

// workerSlots appends the slots of one worker to out. Capacity that is reserved for other steps has none.
func (c *Controller) workerSlots(out []futureSlot, s *step, w *worker, maxSlots int, now time.Time) []futureSlot {
	free := c.freeForReservation(s, w)
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

// overdueExtension is the remaining time that is assumed for a run that has passed its
// expected end.
const overdueExtension = 500 * time.Millisecond

// expectedReleases returns the expected ends of the runs on a worker in order of time.
// Long-running tasks have no expected end.
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
	// expectedStopTime is the time that stopping a run is expected to take.
	expectedStopTime = 200 * time.Millisecond
	// minPercentForEstimate is the progress from which on the end is estimated from the
	// progress instead of the stated estimate.
	minPercentForEstimate = 15
)

// expectedEnd returns the expected end of a run, from its progress or from the stated
// estimate.
func (c *Controller) expectedEnd(r *run, now time.Time) time.Time {
	if r.stopping {
		return now.Add(expectedStopTime)
	}
	startedAt := r.confirmedAt
	if startedAt.IsZero() {
		startedAt = now
	}
	expected := c.expectedRunTime(r.task.step, r.worker, now)
	end := startedAt.Add(expected.After(now.Sub(startedAt)).Median)
	switch {
	case r.percent < minPercentForEstimate:
	case r.resumed:
		// Its progress includes that of earlier runs.
		end = r.percentAt.Add(expected.Median * time.Duration(100-r.percent) / 100)
	case r.percentAt.After(startedAt):
		end = startedAt.Add(r.percentAt.Sub(startedAt) * 100 / time.Duration(r.percent))
	}
	if extended := now.Add(overdueExtension); end.Before(now) {
		return extended
	}
	return end
}
