package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

const (
	// preemptPause is the least time between two preemptions for one step: stops and
	// fresh tickets take that long to show.
	preemptPause = 1500 * time.Millisecond
	// searchPause is the least time between two searches for work to stop for one step:
	// little changes meanwhile, and a search goes over all that runs.
	searchPause = 100 * time.Millisecond
	// freshRun is how long a run without checkpoints may have run to be stopped for
	// others.
	freshRun = 400 * time.Millisecond
	// preemptWait is how long a gang waits for room that comes free by itself, once the
	// workers that may hold it are known. When it will is only an estimate.
	preemptWait = time.Second
	// costShare is the most work that may be lost for a gang, as a share of its own;
	// lateCostShare the same for a gang that can't be in time any more.
	costShare     = 0.3
	lateCostShare = 0.1
	// victimMargin is what a victim must have left, beyond its run time, to be in time
	// all the same.
	victimMargin = 2 * time.Second
)

// victim is a run that may be stopped to make room, with the work that is lost by that in
// core-seconds.
type victim struct {
	run  *run
	cost float64
}

// freeable is what stopping runs on one worker would make room for.
type freeable struct {
	w       *worker
	free    structs.Resources
	victims []victim // the cheapest first
	taken   int      // slots of the gang counted so far
	stopped int      // victims counted so far
	most    int
}

// preempt stops less urgent work that loses little and has time left, where that lets a
// gang start that would have to wait or be late otherwise.
func (c *Controller) preempt(s *step, pool []*worker, now time.Time) {
	if s.startAt.IsZero() || now.Sub(s.preempted) < preemptPause {
		return
	}
	waited := now.Sub(s.waitsSince)
	if waited < preemptWait && (s.late || !s.startAt.After(s.latest)) {
		return
	}
	if now.Sub(s.searched) < searchPause {
		return
	}
	s.searched = now
	var options []*freeable
	for _, w := range pool {
		if f := c.freeable(s, w, now); f != nil {
			options = append(options, f)
		}
	}
	cost, ok := chooseVictims(options, s.size, len(s.tasks))
	if !ok || cost > s.costLimit() {
		return
	}
	s.preempted = now
	s.startAt = now.Add(stopTakes)
	c.unhold(s)
	for _, f := range options {
		if f.taken == 0 {
			continue
		}
		c.hold(s, f.w, s.size.Times(int64(f.taken)), s.startAt)
		for _, v := range f.victims[:f.stopped] {
			c.recordRun(event.TaskEvicted, v.run, "for "+s.id().String())
			c.stop(v.run, now)
		}
	}
}

// unhold gives up the room that is held for a step.
func (c *Controller) unhold(s *step) {
	for w, holds := range c.held {
		c.held[w] = slices.DeleteFunc(holds, func(h *hold) bool { return h.step == s })
	}
}

// costLimit is the most work that may be lost for a gang, in core-seconds.
func (s *step) costLimit() float64 {
	share := costShare
	if s.late {
		share = lateCostShare
	}
	return share * float64(len(s.tasks)) * s.def.Estimate().Seconds() * float64(s.size.CPUMilli) / 1000
}

// freeable returns what a worker has to offer for a gang, nil if nothing.
func (c *Controller) freeable(s *step, w *worker, now time.Time) *freeable {
	if w.avoided || !s.suits(w) || !s.mayUse(w) {
		return nil
	}
	f := &freeable{w: w, free: w.free(), most: times(w.info.Capacity, s.size)}
	for _, h := range c.held[w] {
		if h.step != s {
			f.free = f.free.Sub(h.size)
		}
	}
	if s.perWorker != nil {
		f.most = min(f.most, s.def.MaxPerWorker)
	}
	for _, r := range w.runs {
		if cost, ok := c.victimCost(s, r, now); ok {
			f.victims = append(f.victims, victim{run: r, cost: cost})
		}
	}
	slices.SortFunc(f.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.run.id().String(), b.run.id().String()))
	})
	return f
}

// victimCost returns the work that is lost by stopping a run for a step, and whether it may
// be stopped at all.
func (c *Controller) victimCost(s *step, r *run, now time.Time) (float64, bool) {
	other := r.task.step
	if other.job().class.Priority <= s.job().class.Priority || other.gang != nil || other.def.LongRunning {
		return 0, false
	}
	if r.stopping || r.state != runRunning || r.confirmed.IsZero() {
		return 0, false
	}
	if other.latestStart().Sub(now) < victimMargin {
		return 0, false
	}
	elapsed := now.Sub(r.confirmed)
	lost := elapsed
	switch {
	case other.def.SavesCheckpoints:
		lost = min(elapsed, c.timing.CheckpointInterval) + c.timing.RestoreTime
	case elapsed > freshRun:
		return 0, false
	}
	return lost.Seconds() * float64(r.size.CPUMilli) / 1000, true
}

// chooseVictims counts victims until so many tasks of a size fit, always those next that
// make room for one more at the least cost. It returns their cost, and false if the tasks
// can't fit.
func chooseVictims(options []*freeable, size structs.Resources, need int) (total float64, ok bool) {
	for need > 0 {
		var best *freeable
		bestStops, bestCost := 0, 0.0
		for _, f := range options {
			stops, cost, ok := f.next(size)
			if ok && (best == nil || cost < bestCost) {
				best, bestStops, bestCost = f, stops, cost
			}
		}
		if best == nil {
			return 0, false
		}
		best.take(size, bestStops)
		total += bestCost
		need--
	}
	return total, true
}

// next returns how many more victims make room for one more task, and their cost.
func (f *freeable) next(size structs.Resources) (stops int, cost float64, ok bool) {
	if f.taken >= f.most {
		return 0, 0, false
	}
	free := f.free
	for {
		if size.Fits(free) {
			return stops, cost, true
		}
		if f.stopped+stops >= len(f.victims) {
			return 0, 0, false
		}
		v := f.victims[f.stopped+stops]
		free = free.Add(v.run.size)
		cost += v.cost
		stops++
	}
}

// take counts one more task and the victims that make room for it.
func (f *freeable) take(size structs.Resources, stops int) {
	for _, v := range f.victims[f.stopped : f.stopped+stops] {
		f.free = f.free.Add(v.run.size)
	}
	f.stopped += stops
	f.free = f.free.Sub(size)
	f.taken++
}
