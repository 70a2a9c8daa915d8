package controller

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// runPlacementPass starts tasks of all steps that have tasks to start, the most urgent step
// first, and calls the advisor for those that need tickets.
func (c *Controller) runPlacementPass(now time.Time) {
	c.placementNeeded = false
	c.passes++
	c.nextPlacement = now.Add(c.placementInterval())
	c.lastPassSteps = len(c.readySteps)
	if !c.HasLeaderLease(now) || len(c.readySteps)+len(c.stepsAwaitingStore) == 0 {
		return
	}
	c.passAt = now
	clear(c.reservations)
	clear(c.releaseSchedules)
	clear(c.quotaHolds)
	c.heldByTeam = nil
	pool := c.usableWorkers(now)
	c.room.rebuild(pool)
	for i, w := range pool {
		w.lastPass, w.order = c.passes, i
	}
	c.reservedAhead, c.poolCapacity = structs.Resources{}, totalCapacity(pool)
	c.servicePools = poolServices(pool)
	c.stepBuffer = sortedSteps(c.stepBuffer[:0], c.readySteps, now)
	c.shares = c.divideCapacity(c.stepBuffer, now)
	steps := c.inShareOrder(c.stepBuffer, func(s *step) {
		switch {
		case now.Before(s.notBefore):
		case s.gang != nil:
			c.placeGang(s, pool, now)
		default:
			c.placeTasks(s, now)
		}
	})
	c.recordWaits(steps, now)
	c.callAdvisor(c.stepsForAdvisor(steps, now), pool, now)
}

// PassCount returns how many placement passes were made, and the number of steps that waited at the beginning of the
// latest one.
func (c *Controller) PassCount() (passes, steps int) { return c.passes, c.lastPassSteps }

// usableWorkers returns the workers on which tasks may be started, ordered by ID.
func (c *Controller) usableWorkers(now time.Time) []*worker {
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

// totalCapacity returns the capacity of some workers.
func totalCapacity(workers []*worker) structs.Resources {
	var total structs.Resources
	for _, w := range workers {
		total = total.Add(w.info.Capacity)
	}
	return total
}

// stepsForAdvisor returns the steps to ask the advisor about, in the order of placement: those of
// a pass that still have tasks to start, and those whose job is being stored, so that the
// advisor's answer arrives meanwhile. Steps that wait for the quota of their team are left out.
func (c *Controller) stepsForAdvisor(steps []*step, now time.Time) []*step {
	out := slices.DeleteFunc(steps, func(s *step) bool {
		_, ready := c.readySteps[s]
		return !ready
	})
	if len(c.stepsAwaitingStore) > 0 {
		out = sortedSteps(out, c.stepsAwaitingStore, now)
	}
	out = slices.DeleteFunc(out, func(s *step) bool { return c.quotaRoom(s, len(s.tasks)) == 0 })
	return c.inShareOrder(out, func(*step) {})
}

// sortedSteps appends steps to out and sorts all of out by priority. Within a priority, steps that can
// still be on time come first, then those with the earliest latest start.
func sortedSteps(out []*step, set map[*step]struct{}, now time.Time) []*step {
	for s := range set {
		s.latestStartAt = s.latestStart()
		s.late = s.latestStartAt.Before(now)
		out = append(out, s)
	}
	slices.SortFunc(out, compareSteps)
	return out
}

// compareSteps compares one criterion after the other instead of all by cmp.Or, since a pass makes thousands of
// comparisons.
func compareSteps(a, b *step) int {
	ja, jb := a.job(), b.job()
	if n := cmp.Compare(ja.class.Priority, jb.class.Priority); n != 0 {
		return n
	}
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if n := a.latestStartAt.Compare(b.latestStartAt); n != 0 {
		return n
	}
	if n := cmp.Compare(ja.spec.ID, jb.spec.ID); n != 0 {
		return n
	}
	return cmp.Or(cmp.Compare(a.occ.number, b.occ.number), cmp.Compare(a.index, b.index))
}

// matchesWorker reports whether a worker has the service and the label that the step
// requires.
func (s *step) matchesWorker(w *worker) bool {
	if w.info.Service != s.job().class.Service {
		return false
	}
	return s.def.Label == "" || w.info.HasLabel(s.def.Label)
}

// fitCount returns how many more tasks of a step fit on a worker now, beside the reservations
// of other steps.
func (c *Controller) fitCount(s *step, w *worker, now time.Time) int {
	n := countFits(c.availableFor(s, w, now), s.size)
	if s.perWorker != nil {
		n = min(n, s.def.MaxPerWorker-s.perWorker[w])
	}
	return max(n, 0)
}

// maxFit bounds the number of tasks that fit into a free capacity, since tasks may need
// nothing.
const maxFit = 64

// countFits returns how many tasks of a size fit into a free capacity.
func countFits(free, size structs.Resources) int {
	if free.HasNegative() {
		return 0
	}
	return int(size.FitCount(free, maxFit))
}

// candidate is a worker on which tasks of a step can be started.
type candidate struct {
	w      *worker
	order  int // worker.order, in the same pass
	fit    int
	score  float64
	ticket string
}

// candidates returns the workers on which tasks of a step fit now, the best first. With
// ticketed, workers without a valid ticket of the advisor are left out, else only those that it has
// forbidden. The result is valid until the next call.
func (c *Controller) candidates(s *step, ticketed bool, now time.Time) []candidate {
	out := c.unsortedCandidates(s, ticketed, now)
	slices.SortFunc(out, compareCandidates)
	return out
}

// unsortedCandidates returns the result of candidates in any order.
func (c *Controller) unsortedCandidates(s *step, ticketed bool, now time.Time) []candidate {
	if ticketed && !s.hasTickets(now) {
		return nil
	}
	out := c.candidateBuffer[:0]
	rooms := c.room.withRoom(s.job().class.Service, s.size)
	if ticketed && s.advice != nil && len(s.advice.verdicts) < verdictsPerRoom*len(rooms) {
		for w, v := range s.advice.verdicts {
			if v.allowed && w.lastPass == c.passes && s.size.Fits(w.free()) {
				out = c.appendCandidate(out, s, w, ticketed, now)
			}
		}
	} else {
		for i := range rooms {
			if rooms[i].fits(s.size) {
				out = c.appendCandidate(out, s, rooms[i].w, ticketed, now)
			}
		}
	}
	c.candidateBuffer = out
	return out
}

// verdictsPerRoom is the number of verdicts that can be iterated over in the time of looking up the verdict on one
// worker.
const verdictsPerRoom = 2

// appendCandidate appends a worker on which one task of a step fits to out, unless none may be started there now.
func (c *Controller) appendCandidate(out []candidate, s *step, w *worker, ticketed bool, now time.Time) []candidate {
	if w.avoided || w.suspectRuns > 0 || !s.matchesWorker(w) {
		return out
	}
	if v, known := s.verdict(w); known && !v.allowed {
		return out
	}
	ticket, ok := s.ticket(w, now)
	if ticketed && (!ok || !w.acksAllowStart(now) || ticket == "" && !c.takesRecord(s, w, now)) {
		return out
	}
	n := c.fitCount(s, w, now)
	if n == 0 {
		return out
	}
	return append(out, candidate{w: w, order: w.order, fit: n, score: c.score(s, w, now), ticket: ticket})
}

// compareCandidates orders candidates by score, equally good ones by their place in the pool.
func compareCandidates(a, b candidate) int {
	if n := cmp.Compare(a.score, b.score); n != 0 {
		return n
	}
	return cmp.Compare(a.order, b.order)
}

// candidateHeap takes the best candidates one by one, for steps that need only a few of many.
type candidateHeap []candidate

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h candidateHeap) Less(i, j int) bool { return compareCandidates(h[i], h[j]) < 0 }

// Swap implements heap.Interface.
func (h candidateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface. Candidates are never added.
func (h candidateHeap) Push(any) { panic("a candidate is added") }

// Pop implements heap.Interface. It removes the last candidate; takeBest does not need it.
func (h *candidateHeap) Pop() any {
	last := len(*h) - 1
	cand := (*h)[last]
	*h = (*h)[:last]
	return cand
}

// takeBest removes and returns the best candidate, without the allocation that heap.Pop makes.
func (h *candidateHeap) takeBest() candidate {
	best := (*h)[0]
	last := len(*h) - 1
	(*h)[0] = (*h)[last]
	*h = (*h)[:last]
	if last > 0 {
		heap.Fix(h, 0)
	}
	return best
}

// Weights of a score: how much a longer run time counts, for steps with little slack and for
// others, against the share of the worker that would remain free.
const (
	tightTimeWeight = 2.0
	looseTimeWeight = 0.3
	// reservedPenalty ranks workers with reservations for gangs last.
	reservedPenalty = 1.0
)

// score rates a worker for a step; lower is better.
func (c *Controller) score(s *step, w *worker, now time.Time) float64 {
	weight := looseTimeWeight
	if s.latestStartAt.Sub(now) < s.def.Estimate() {
		weight = tightTimeWeight
	}
	longer := 1 / c.speeds.relativeSpeed(w)
	if s.def.DataRack != "" && s.def.DataRack != w.info.Rack {
		longer *= max(c.timing.OffRackSlowdown, 1)
		weight = tightTimeWeight
	}
	score := weight*longer + remainingShare(w, s.size)
	if len(c.reservations[w]) > 0 {
		score += reservedPenalty
	}
	return score
}

// remainingShare returns the share of a worker's processor or memory, whichever is larger,
// that remains free after one more task.
func remainingShare(w *worker, size structs.Resources) float64 {
	remaining := w.free().Sub(size)
	return max(
		fraction(remaining.CPUMilli, w.info.Capacity.CPUMilli),
		fraction(remaining.MemoryMiB, w.info.Capacity.MemoryMiB),
	)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// startable reports whether the task may be started now.
func (t *task) startable(now time.Time) bool {
	return !t.done && (len(t.runs) == 0 || t.copyWanted) && t.orphanRuns == 0 && !t.mayBeRunning && !now.Before(t.notBefore) &&
		t.suspicionStored() && !t.awaitsLateStart(now)
}

// startableTasks returns the tasks of a step that may be started now.
func (s *step) startableTasks(now time.Time) []*task {
	var out []*task
	for _, t := range s.tasks {
		if t.startable(now) {
			out = append(out, t)
		}
	}
	return out
}

// startableCount returns the number of tasks of a step that may be started now.
func (s *step) startableCount(now time.Time) int {
	n := 0
	for _, t := range s.tasks {
		if t.startable(now) {
			n++
		}
	}
	return n
}

// placeTasks starts tasks of a step that is not a gang.
func (c *Controller) placeTasks(s *step, now time.Time) {
	if !s.hasTickets(now) || !c.hasRoom(s) {
		return
	}
	tasks := s.startableTasks(now)
	room := c.startRoom(s, len(tasks))
	if room == 0 {
		return
	}
	found := preferOneRack(s, c.candidates(s, true, now), room)
	chosen, tasks := placeSuspects(tasks, found, now)
	for _, p := range chosen {
		if c.startRoom(s, 1) == 0 {
			return
		}
		c.startRun(p.task, p.on.w, p.on.ticket, p.task.highestRun+1, now)
	}
	for i := range found {
		cand := &found[i]
		cand.fit = c.startRoom(s, cand.fit)
		tasks = c.startOnCandidate(tasks, cand, now)
		if len(tasks) == 0 {
			return
		}
	}
}

// startOnCandidate starts tasks on a candidate until it is full, and returns the tasks that
// it did not start. Tasks that avoid the worker are not started.
func (c *Controller) startOnCandidate(tasks []*task, cand *candidate, now time.Time) []*task {
	var notStarted []*task
	for _, t := range tasks {
		if cand.fit == 0 || t.avoids(cand.w, now) {
			notStarted = append(notStarted, t)
			continue
		}
		c.startRun(t, cand.w, cand.ticket, t.highestRun+1, now)
		cand.fit--
	}
	return notStarted
}

// avoids reports whether the task was moved off the worker or has failed there a short time ago.
func (t *task) avoids(w *worker, now time.Time) bool {
	return t.avoidedWorker == w && now.Before(t.avoidUntil)
}

// preferOneRack returns only the candidates in the rack with the most capacity if the step's
// tasks should run in one rack and that rack has capacity for all of them.
func preferOneRack(s *step, found []candidate, need int) []candidate {
	if !s.def.SameRack {
		return found
	}
	capacity := map[string]int{}
	for i := range found {
		capacity[found[i].w.info.Rack] += found[i].fit
	}
	best := ""
	for rack, n := range capacity {
		if best == "" || n > capacity[best] || n == capacity[best] && rack < best {
			best = rack
		}
	}
	if capacity[best] < need {
		return found
	}
	return slices.DeleteFunc(found, func(cand candidate) bool { return cand.w.info.Rack != best })
}

// startRun starts a run of a task on a worker.
func (c *Controller) startRun(t *task, w *worker, ticket string, number int64, now time.Time) {
	r := &run{task: t, number: number, worker: w, size: t.step.size, state: runStarting, progressedAt: now}
	c.addRun(r)
	if p := c.servicePools[w.info.Service]; p != nil {
		p.used = p.used.Add(r.size)
	}
	c.requestStart(r, ticket, now)
	c.recordRun(event.TaskPlaced, r, "")
}

// placeGang starts all tasks of a gang, or reserves capacity for it.
func (c *Controller) placeGang(s *step, pool []*worker, now time.Time) {
	if s.gang.attempt != 0 {
		c.abortIncompleteGang(s, now)
		return
	}
	if s.startableCount(now) < len(s.tasks) {
		return
	}
	tasks := s.tasks
	if c.quotaRoom(s, len(tasks)) == 0 {
		c.waitForQuota(s, pool, now)
		return
	}
	found := preferOneRack(s, c.candidates(s, true, now), len(tasks))
	if totalFit(found) < len(tasks) {
		c.holdQuota(s, pool, now)
		c.reserve(s, pool, now)
		c.preempt(s, pool, now)
		return
	}
	chosen, others := placeSuspects(tasks, found, now)
	if len(chosen)+len(others) < len(tasks) || totalFit(found) < len(others) {
		// The suspects can't have workers of their own.
		undoPlacements(chosen)
		chosen, others = nil, tasks
	}
	s.gang.attempt = s.tasks[0].nextGangAttempt()
	s.gang.attemptCheckpoint = s.gang.checkpoint
	s.gang.startedAt = now
	s.waitingSince = time.Time{}
	s.quotaWaitSince = time.Time{}
	s.enoughAllowedSince = time.Time{}
	for _, p := range chosen {
		c.startRun(p.task, p.on.w, p.on.ticket, s.gang.attempt, now)
	}
	for i := range found {
		cand := &found[i]
		for cand.fit > 0 && len(others) > 0 {
			c.startRun(others[0], cand.w, cand.ticket, s.gang.attempt, now)
			others = others[1:]
			cand.fit--
		}
	}
}

// nextGangAttempt returns the run number of the next attempt of the task's gang.
func (t *task) nextGangAttempt() int64 {
	highest := t.highestRun
	for _, other := range t.step.tasks {
		highest = max(highest, other.highestRun)
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

// abortIncompleteGang aborts an attempt of which members are missing: their worker was lost, or an earlier
// controller had started only some of them. Those that may run on silent workers are waited for if the others are
// at work, and else for gangPatience.
func (c *Controller) abortIncompleteGang(s *step, now time.Time) {
	if s.gang.aborting {
		return
	}
	mayBeRunning := func(t *task) bool { return !t.done && len(t.runs) == 0 && t.mayBeRunning }
	patience := s.gang.startedAt.Add(c.gangPatience())
	patient := now.Before(patience)
	if patient {
		c.wakeups.add(patience)
	}
	if slices.ContainsFunc(s.tasks, mayBeRunning) && (s.gang.allRunning || patient) {
		return
	}
	c.abortGang(s, now)
}

// gangPatience is how long an attempt of a gang may be incomplete before it is aborted. Its members wait for one
// another for Timing.GangTimeout, and the abort takes a while.
func (c *Controller) gangPatience() time.Duration { return c.timing.GangTimeout / 2 }
