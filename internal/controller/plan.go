package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// plan is one pass of placement: every step that has tasks to start, the most urgent
// first.
func (c *Controller) plan(now time.Time) {
	c.planNeed = false
	c.planAt = now.Add(planGap * time.Duration(max(len(c.workers), smallPool)) / smallPool)
	if !c.HasLeaderLease(now) {
		return
	}
	clear(c.held)
	clear(c.schedules)
	pool := c.pool(now)
	steps := sortedSteps(c.ready, now)
	for _, s := range steps {
		switch {
		case now.Before(s.notBefore):
		case s.gang != nil:
			c.placeGang(s, pool, now)
		default:
			c.placeTasks(s, pool, now)
		}
	}
	c.recordWaits(steps, now)
	c.askAdvice(c.stepsToAsk(steps, now), pool, now)
}

// pool returns the workers that may get work, in the order of their IDs.
func (c *Controller) pool(now time.Time) []*worker {
	out := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		if w.usable(now) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	markAvoided(out, now)
	return out
}

// stepsToAsk returns the steps of a pass that still have tasks to start and those whose job
// is about to be stored, so that the advisor answers meanwhile, the most urgent first.
func (c *Controller) stepsToAsk(steps []*step, now time.Time) []*step {
	out := slices.DeleteFunc(steps, func(s *step) bool {
		_, ready := c.ready[s]
		return !ready
	})
	if len(c.coming) == 0 {
		return out
	}
	out = append(out, sortedSteps(c.coming, now)...)
	slices.SortFunc(out, compareSteps)
	return out
}

// sortedSteps returns steps by priority, those first that can still be in time, then the
// least slack first.
func sortedSteps(set map[*step]struct{}, now time.Time) []*step {
	out := make([]*step, 0, len(set))
	for s := range set {
		s.latest = s.latestStart()
		s.late = s.latest.Before(now)
		out = append(out, s)
	}
	slices.SortFunc(out, compareSteps)
	return out
}

func compareSteps(a, b *step) int {
	ja, jb := a.job(), b.job()
	return cmp.Or(
		cmp.Compare(ja.class.Priority, jb.class.Priority),
		cmp.Compare(lateRank(a), lateRank(b)),
		a.latest.Compare(b.latest),
		cmp.Compare(ja.spec.ID, jb.spec.ID),
		cmp.Compare(a.occ.k, b.occ.k),
		cmp.Compare(a.index, b.index),
	)
}

// lateRank orders steps that can't be in time any more after the others.
func lateRank(s *step) int {
	if s.late {
		return 1
	}
	return 0
}

// suits reports whether a worker may run tasks of a step at all.
func (s *step) suits(w *worker) bool {
	if w.info.Service != s.job().class.Service {
		return false
	}
	return s.def.Label == "" || w.info.HasLabel(s.def.Label)
}

// fit returns how many more tasks of a step a worker can take now, besides what is held
// there for others.
func (c *Controller) fit(s *step, w *worker, now time.Time) int {
	n := times(c.roomFor(s, w, now), s.size)
	if s.perWorker != nil {
		n = min(n, s.def.MaxPerWorker-s.perWorker[w])
	}
	return max(n, 0)
}

// unboundedFit stands for a step whose tasks take nothing.
const unboundedFit = 64

// times returns how often a size fits into free room.
func times(free, size structs.Resources) int {
	if free.HasNegative() {
		return 0
	}
	return int(size.FitCount(free, unboundedFit))
}

// candidate is a worker that can take tasks of a step.
type candidate struct {
	w      *worker
	fit    int
	score  float64
	ticket string
}

// candidates returns the workers that can take tasks of a step now, the best first.
// With ticketed only those count that the advisor's ticket allows.
func (c *Controller) candidates(s *step, pool []*worker, ticketed bool, now time.Time) []candidate {
	if ticketed && !s.hasTickets(now) {
		return nil
	}
	var out []candidate
	for _, w := range pool {
		if w.avoided || !s.suits(w) || !s.size.Fits(w.free()) {
			continue
		}
		ticket, ok := s.ticket(w, now)
		if ticketed && !ok {
			continue
		}
		n := c.fit(s, w, now)
		if n == 0 {
			continue
		}
		out = append(out, candidate{w: w, fit: n, score: c.score(s, w, now), ticket: ticket})
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return out
}

// Weights of a score: how much a longer run time counts for steps with little slack and
// for others, against the share of the worker that would be left.
const (
	tightTimeWeight = 2.0
	looseTimeWeight = 0.3
	// heldPenalty leaves workers that are held for a gang to the last.
	heldPenalty = 1.0
)

// score rates a worker for a step; lower is better.
func (c *Controller) score(s *step, w *worker, now time.Time) float64 {
	weight := looseTimeWeight
	if s.latest.Sub(now) < s.def.Estimate() {
		weight = tightTimeWeight
	}
	longer := 1 / c.speeds.of(w)
	if s.def.DataRack != "" && s.def.DataRack != w.info.Rack {
		longer *= max(c.timing.OffRackSlowdown, 1)
		weight = tightTimeWeight
	}
	score := weight*longer + leftShare(w, s.size)
	if len(c.held[w]) > 0 {
		score += heldPenalty
	}
	return score
}

// leftShare is the larger share of a worker that is left after one task.
func leftShare(w *worker, size structs.Resources) float64 {
	left := w.free().Sub(size)
	return max(
		share(left.CPUMilli, w.info.Capacity.CPUMilli),
		share(left.MemoryMiB, w.info.Capacity.MemoryMiB),
	)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// startable returns the tasks of a step that may be started now.
func (s *step) startable(now time.Time) []*task {
	var out []*task
	for _, t := range s.tasks {
		if !t.done && (len(t.runs) == 0 || t.copyWanted) && t.aliens == 0 && !t.uncertain && !now.Before(t.notBefore) {
			out = append(out, t)
		}
	}
	return out
}

// placeTasks starts tasks that run each by itself.
func (c *Controller) placeTasks(s *step, pool []*worker, now time.Time) {
	tasks := s.startable(now)
	if len(tasks) == 0 {
		return
	}
	found := c.candidates(s, pool, true, now)
	found = oneRack(s, found, len(tasks))
	for i := range found {
		cand := &found[i]
		tasks = c.fill(tasks, cand, now)
		if len(tasks) == 0 {
			return
		}
	}
}

// fill starts tasks on a candidate as far as it has room, but for those that were moved
// off it, and returns the others.
func (c *Controller) fill(tasks []*task, cand *candidate, now time.Time) []*task {
	var left []*task
	for _, t := range tasks {
		if cand.fit == 0 || t.avoid == cand.w && now.Before(t.avoidTo) {
			left = append(left, t)
			continue
		}
		c.start(t, cand.w, cand.ticket, t.last+1, now)
		cand.fit--
	}
	return left
}

// oneRack keeps the candidates of the rack with the most room for a step whose tasks
// should stand together, if that rack holds them all.
func oneRack(s *step, found []candidate, want int) []candidate {
	if !s.def.SameRack {
		return found
	}
	room := map[string]int{}
	for i := range found {
		room[found[i].w.info.Rack] += found[i].fit
	}
	best := ""
	for rack, n := range room {
		if best == "" || n > room[best] || n == room[best] && rack < best {
			best = rack
		}
	}
	if room[best] < want {
		return found
	}
	return slices.DeleteFunc(found, func(cand candidate) bool { return cand.w.info.Rack != best })
}

// start starts a run of a task on a worker.
func (c *Controller) start(t *task, w *worker, ticket string, number int64, now time.Time) {
	r := &run{task: t, num: number, w: w, size: t.step.size, state: runStarting, movedAt: now}
	c.attach(r)
	c.sendStart(r, ticket, now)
	c.recordRun(event.TaskPlaced, r, "")
}

// placeGang starts all tasks of a gang, or holds workers for it.
func (c *Controller) placeGang(s *step, pool []*worker, now time.Time) {
	if s.gang.number != 0 {
		c.mendGang(s, now)
		return
	}
	tasks := s.startable(now)
	if len(tasks) < len(s.tasks) {
		return
	}
	found := oneRack(s, c.candidates(s, pool, true, now), len(tasks))
	if totalFit(found) < len(tasks) {
		c.reserve(s, pool, now)
		c.preempt(s, pool, now)
		return
	}
	s.gang.number = s.tasks[0].nextGangNumber()
	s.gang.since = now
	s.waitsSince = time.Time{}
	s.knowsSince = time.Time{}
	for i := range found {
		cand := &found[i]
		for cand.fit > 0 && len(tasks) > 0 {
			c.start(tasks[0], cand.w, cand.ticket, s.gang.number, now)
			tasks = tasks[1:]
			cand.fit--
		}
	}
}

// nextGangNumber returns the number of the next attempt of the task's gang.
func (t *task) nextGangNumber() int64 {
	highest := t.last
	for _, other := range t.step.tasks {
		highest = max(highest, other.last)
	}
	return highest + 1
}

func totalFit(found []candidate) int {
	total := 0
	for i := range found {
		total += found[i].fit
	}
	return total
}

// mendGang breaks an attempt of which members are missing for good: their worker was
// lost, or a former controller had started only a part.
func (c *Controller) mendGang(s *step, now time.Time) {
	if s.gang.breaking {
		return
	}
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && t.uncertain {
			return
		}
	}
	c.breakGang(s, now)
}
