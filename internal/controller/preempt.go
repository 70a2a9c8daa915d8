package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

const (
	// minPreemptInterval is the least time between two preemptions for one step. Stopping
	// runs and getting new tickets takes about that long.
	minPreemptInterval = 1500 * time.Millisecond
	// minVictimSearchInterval is the least time between two searches for victims for one
	// step. A search visits all runs, and little changes in between.
	minVictimSearchInterval = 100 * time.Millisecond
	// maxVictimAge is the run time beyond which a run without checkpoints is not preempted.
	maxVictimAge = 400 * time.Millisecond
	// gangWaitBeforePreempt is how long a gang waits for capacity to become free once enough
	// workers for it are known. The expected start is only an estimate.
	gangWaitBeforePreempt = time.Second
	// maxCostShare is the largest amount of work that may be lost for a gang, as a share of
	// the gang's own work. maxLateCostShare is the same for a gang that can no longer be on
	// time.
	maxCostShare     = 0.3
	maxLateCostShare = 0.1
	// minVictimSlack is the time that must remain until a victim's latest start, so that the
	// victim can still be on time.
	minVictimSlack = 2 * time.Second
)

// victim is a run that may be preempted, with the work lost by that in core-seconds.
type victim struct {
	run  *run
	id   string // orders runs of the same cost
	cost float64
}

// preemptionOption describes the capacity that preempting runs on one worker would free.
type preemptionOption struct {
	w           *worker
	free        structs.Resources
	victims     []victim // the cheapest first
	slots       int      // gang tasks placed so far in this search
	victimsUsed int      // victims chosen so far in this search
	maxSlots    int
}

// preempt stops runs of lower priority that lose little work and have slack, if a gang that
// would otherwise wait longer or be late can start in their place.
func (c *Controller) preempt(s *step, pool []*worker, now time.Time) {
	if s.startAt.IsZero() || now.Sub(s.lastPreemption) < minPreemptInterval {
		return
	}
	waited := now.Sub(s.waitingSince)
	if waited < gangWaitBeforePreempt && (s.late || !s.startAt.After(s.latestStartAt)) {
		return
	}
	if now.Sub(s.lastVictimSearch) < minVictimSearchInterval {
		return
	}
	s.lastVictimSearch = now
	var options []*preemptionOption
	for _, w := range pool {
		if option := c.preemptionOptionOn(s, w, now); option != nil {
			options = append(options, option)
		}
	}
	cost, ok := chooseVictims(options, s.size, len(s.tasks))
	if !ok || cost > s.maxPreemptionCost() {
		return
	}
	s.lastPreemption = now
	s.startAt = now.Add(expectedStopTime)
	c.dropReservations(s)
	for _, option := range options {
		if option.slots == 0 {
			continue
		}
		c.addReservation(s, option.w, s.size.Times(int64(option.slots)), s.startAt)
		for _, v := range option.victims[:option.victimsUsed] {
			c.recordRun(event.TaskEvicted, v.run, "for "+s.id().String())
			c.stopRun(v.run, now)
		}
	}
}

// dropReservations removes all reservations of a step.
func (c *Controller) dropReservations(s *step) {
	for w, reservations := range c.reservations {
		c.reservations[w] = slices.DeleteFunc(reservations, func(reserved *reservation) bool { return reserved.step == s })
	}
}

// maxPreemptionCost returns the largest amount of work that may be lost for a gang, in
// core-seconds.
func (s *step) maxPreemptionCost() float64 {
	share := maxCostShare
	if s.late {
		share = maxLateCostShare
	}
	return share * float64(len(s.tasks)) * s.def.Estimate().Seconds() * float64(s.size.CPUMilli) / 1000
}

// preemptionOptionOn returns the capacity that could be freed on a worker for a gang, nil if
// the worker can't run the gang.
func (c *Controller) preemptionOptionOn(s *step, w *worker, now time.Time) *preemptionOption {
	if w.avoided || !s.matchesWorker(w) || !s.mayUse(w) {
		return nil
	}
	option := &preemptionOption{w: w, free: c.freeForReservation(s, w), maxSlots: s.maxSlots(w)}
	for _, r := range w.runs {
		if cost, ok := c.victimCost(s, r, now); ok {
			option.victims = append(option.victims, victim{run: r, id: r.id().String(), cost: cost})
		}
	}
	slices.SortFunc(option.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id))
	})
	return option
}

// victimCost returns the work in core-seconds that is lost by stopping a run for a step, and
// whether the run may be stopped at all.
func (c *Controller) victimCost(s *step, r *run, now time.Time) (float64, bool) {
	other := r.task.step
	if other.job().class.Priority <= s.job().class.Priority || other.gang != nil || other.def.LongRunning {
		return 0, false
	}
	if r.stopping || r.state != runRunning || r.confirmedAt.IsZero() {
		return 0, false
	}
	if other.latestStart().Sub(now) < minVictimSlack {
		return 0, false
	}
	elapsed := now.Sub(r.confirmedAt)
	lost := elapsed
	switch {
	case other.def.SavesCheckpoints:
		lost = min(elapsed, c.timing.CheckpointInterval) + c.timing.RestoreTime
	case elapsed > maxVictimAge:
		return 0, false
	}
	return lost.Seconds() * float64(r.size.CPUMilli) / 1000, true
}

// chooseVictims chooses victims until a number of tasks fits, each time those that make one
// more task fit at the least cost. It returns the total cost, and false if the tasks can't
// fit.
func chooseVictims(options []*preemptionOption, size structs.Resources, need int) (total float64, ok bool) {
	for need > 0 {
		var best *preemptionOption
		bestStops, bestCost := 0, 0.0
		for _, option := range options {
			stops, cost, ok := option.nextSlotCost(size)
			if ok && (best == nil || cost < bestCost) {
				best, bestStops, bestCost = option, stops, cost
			}
		}
		if best == nil {
			return 0, false
		}
		best.addSlot(size, bestStops)
		total += bestCost
		need--
	}
	return total, true
}

// nextSlotCost returns how many more victims make one more task fit, and their cost.
func (o *preemptionOption) nextSlotCost(size structs.Resources) (stops int, cost float64, ok bool) {
	if o.slots >= o.maxSlots {
		return 0, 0, false
	}
	free := o.free
	for {
		if size.Fits(free) {
			return stops, cost, true
		}
		if o.victimsUsed+stops >= len(o.victims) {
			return 0, 0, false
		}
		v := o.victims[o.victimsUsed+stops]
		free = free.Add(v.run.size)
		cost += v.cost
		stops++
	}
}

// addSlot places one more task and uses the victims that make it fit.
func (o *preemptionOption) addSlot(size structs.Resources, stops int) {
	for _, v := range o.victims[o.victimsUsed : o.victimsUsed+stops] {
		o.free = o.free.Add(v.run.size)
	}
	o.victimsUsed += stops
	o.free = o.free.Sub(size)
	o.slots++
}
