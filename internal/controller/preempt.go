package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

const (
	// minPreemptInterval is the least time between two preemptions for one step: stops and
	// fresh tickets take that long to show.
	minPreemptInterval = 1500 * time.Millisecond
	// minVictimSearchInterval is the least time between two searches for work to stop for one step:
	// little changes meanwhile, and a search goes over all that runs.
	minVictimSearchInterval = 100 * time.Millisecond
	// maxVictimAge is how long a run without checkpoints may have run to be stopped for
	// others.
	maxVictimAge = 400 * time.Millisecond
	// gangWaitBeforePreempt is how long a gang waits for room that comes free by itself, once the
	// workers that may hold it are known. When it will is only an estimate.
	gangWaitBeforePreempt = time.Second
	// maxCostShare is the most work that may be lost for a gang, as a share of its own;
	// maxLateCostShare the same for a gang that can't be in time any more.
	maxCostShare     = 0.3
	maxLateCostShare = 0.1
	// minVictimSlack is what a victim must have left, beyond its run time, to be in time
	// all the same.
	minVictimSlack = 2 * time.Second
)

// victim is a run that may be stopped to make room, with the work that is lost by that in
// core-seconds.
type victim struct {
	run  *run
	cost float64
}

// preemptionOption is what stopping runs on one worker would make room for.
type preemptionOption struct {
	w           *worker
	free        structs.Resources
	victims     []victim // the cheapest first
	slots       int      // slots of the gang counted so far
	victimsUsed int      // victims counted so far
	maxSlots    int
}

// preempt stops less urgent work that loses little and has time left, where that lets a
// gang start that would have to wait or be late otherwise.
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

// dropReservations gives up the room that is held for a step.
func (c *Controller) dropReservations(s *step) {
	for w, reservations := range c.reservations {
		c.reservations[w] = slices.DeleteFunc(reservations, func(reserved *reservation) bool { return reserved.step == s })
	}
}

// maxPreemptionCost is the most work that may be lost for a gang, in core-seconds.
func (s *step) maxPreemptionCost() float64 {
	share := maxCostShare
	if s.late {
		share = maxLateCostShare
	}
	return share * float64(len(s.tasks)) * s.def.Estimate().Seconds() * float64(s.size.CPUMilli) / 1000
}

// preemptionOptionOn returns what a worker has to offer for a gang, nil if nothing.
func (c *Controller) preemptionOptionOn(s *step, w *worker, now time.Time) *preemptionOption {
	if w.avoided || !s.matchesWorker(w) || !s.mayUse(w) {
		return nil
	}
	option := &preemptionOption{w: w, free: w.free(), maxSlots: countFits(w.info.Capacity, s.size)}
	for _, reserved := range c.reservations[w] {
		if reserved.step != s {
			option.free = option.free.Sub(reserved.size)
		}
	}
	if s.perWorker != nil {
		option.maxSlots = min(option.maxSlots, s.def.MaxPerWorker)
	}
	for _, r := range w.runs {
		if cost, ok := c.victimCost(s, r, now); ok {
			option.victims = append(option.victims, victim{run: r, cost: cost})
		}
	}
	slices.SortFunc(option.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.run.id().String(), b.run.id().String()))
	})
	return option
}

// victimCost returns the work that is lost by stopping a run for a step, and whether it may
// be stopped at all.
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

// chooseVictims counts victims until so many tasks of a size fit, always those next that
// make room for one more at the least cost. It returns their cost, and false if the tasks
// can't fit.
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

// nextSlotCost returns how many more victims make room for one more task, and their cost.
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

// addSlot counts one more task and the victims that make room for it.
func (o *preemptionOption) addSlot(size structs.Resources, stops int) {
	for _, v := range o.victims[o.victimsUsed : o.victimsUsed+stops] {
		o.free = o.free.Add(v.run.size)
	}
	o.victimsUsed += stops
	o.free = o.free.Sub(size)
	o.slots++
}
