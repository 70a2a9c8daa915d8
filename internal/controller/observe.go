package controller

import (
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// maxEndsListed is the number of ends that a worker lists at a time; a list as long may
// leave some out.
const maxEndsListed = 500

// SetWorker takes what the platform's list says of a worker.
func (c *Controller) SetWorker(info workload.Worker, now time.Time) {
	w := c.workers[info.ID]
	if w == nil {
		w = newWorker(info)
		w.accounted = true
		c.workers[info.ID] = w
		c.recordWorker(event.WorkerListed, w, w.info.String())
	}
	draining := info.Draining && !w.info.Draining
	w.info = info
	if !w.listed {
		w.listed = true
		w.nextLook = now
	}
	if !w.registered {
		c.dirty.register(w)
	}
	if draining {
		c.recordWorker(event.WorkerDraining, w, "")
	}
	if info.BootMs > w.boot && w.boot != 0 {
		w.nextLook = now
	}
	c.needPlan(now)
}

// UnlistWorker takes the list's word that a worker is not there any more. What runs on it
// stays counted until its lease has ended.
func (c *Controller) UnlistWorker(id string, now time.Time) {
	w := c.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	c.recordWorker(event.WorkerUnlisted, w, "")
	c.needPlan(now)
}

// PollDone takes a worker's answer to a look that began at sent.
func (c *Controller) PollDone(id string, obs *workload.PollResult, sent, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.looking = false
	w.failures = 0
	w.nextLook = now.Add(c.timing.PollPause)
	c.wakes.add(w.nextLook)
	if obs.BootMs < w.boot {
		return
	}
	if obs.BootMs > w.boot {
		c.reboot(w, obs.BootMs, now)
	}
	c.heard(w, obs.ClockMs, sent, now)
	if !w.seen {
		w.seen = true
		w.accounted = true
		c.recordWorker(event.WorkerGained, w, "")
	}
	w.lapsed = false
	w.skipForgotten(obs)
	c.takeRunning(w, obs, now)
	for i := range obs.Ended {
		c.takeEnd(w, &obs.Ended[i], now)
	}
	c.dropAbsent(w, obs, sent, now)
	c.findStragglers(w, now)
	c.needPlan(now)
}

// PollFailed takes a look that got no answer, or a refusal.
func (c *Controller) PollFailed(id string, answer OrderResult, now time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.looking = false
	if answer == RefusedStaleToken {
		c.fence(w)
	}
	if w.failures == 0 {
		c.recordWorker(event.WorkerUnresponsive, w, answer.String())
	}
	w.failures++
	w.nextLook = now.Add(retryLook)
	c.wakes.add(w.nextLook)
}

// retryLook is the pause after a look that failed.
const retryLook = 200 * time.Millisecond

// fence notes that another controller has taken over.
func (c *Controller) fence(w *worker) {
	if !c.fenced {
		c.recordWorker(event.Fenced, w, "")
	}
	c.fenced = true
}

// heard takes an answer's reading of the worker's clock.
func (c *Controller) heard(w *worker, clockMs int64, sent, now time.Time) {
	if sent.After(w.heard) {
		w.heard = sent
	}
	if clockMs > w.clockMs || w.clockAt.IsZero() {
		w.clockMs = clockMs
		w.clockAt = now
	}
}

// reboot takes the word that a worker runs a new boot: what ran in the former one has
// ended with it. A run that the former boot has not shown may have been started by the
// new one: the new boot's lists tell.
func (c *Controller) reboot(w *worker, boot int64, now time.Time) {
	if w.boot != 0 {
		c.recordWorker(event.WorkerBoot, w, "")
	}
	w.boot = boot
	w.seen = false
	w.clockMs = 0
	w.clockAt = time.Time{}
	w.granted = 0
	w.seenSeq = 0
	clear(w.noted)
	clear(w.handled)
	for id := range w.alien {
		c.dropAlien(w, id)
	}
	for _, r := range w.runs {
		if r.shown {
			c.lose(r, now)
		}
	}
}

// takeRunning takes the runs that a worker shows.
func (c *Controller) takeRunning(w *worker, obs *workload.PollResult, now time.Time) {
	for i := range obs.Running {
		row := &obs.Running[i]
		r := w.runs[row.Run]
		if r == nil {
			r = c.adopt(w, row, now)
		}
		if r != nil {
			c.showRun(r, row, now)
		}
	}
}

// showRun takes what a worker shows of a run.
func (c *Controller) showRun(r *run, row *workload.RunningTask, now time.Time) {
	r.shown = true
	c.begin(r.task.step.job(), now)
	if r.state == runStarting || r.state == runDoubt {
		r.state = runRunning
	}
	if r.confirmed.IsZero() {
		r.confirmed = now
	}
	c.progressed(r, row.Percent, now)
	if row.Percent > r.percent || r.movedAt.IsZero() {
		r.movedAt = now
	}
	if g := r.task.step.gang; g != nil && row.Percent > 0 {
		g.whole = true
	}
	r.percent = row.Percent
	r.percentAt = now
	if row.Checkpoint != "" {
		r.task.save(r.num, row.Checkpoint)
	}
}

// save keeps the checkpoint of the latest run.
func (t *task) save(num int64, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if g := t.step.gang; g != nil {
		if num >= g.savedRun {
			g.saved = checkpoint
			g.savedRun = num
		}
		return
	}
	if num >= t.savedRun {
		t.saved = checkpoint
		t.savedRun = num
	}
}

// adopt takes over a run that a former controller has started, or has it stopped if it
// should not be.
func (c *Controller) adopt(w *worker, row *workload.RunningTask, now time.Time) *run {
	if a := w.alien[row.Run]; a != nil {
		return nil
	}
	t := c.task(row.Run.Task)
	if t == nil || !c.adoptable(t, row.Run) {
		c.addAlien(w, row.Run, t, now)
		return nil
	}
	r := &run{
		task:      t,
		num:       row.Run.Number,
		w:         w,
		size:      t.step.size,
		state:     runRunning,
		sent:      now,
		confirmed: now,
	}
	c.attach(r)
	c.begin(t.step.job(), now)
	if t.step.gang != nil {
		t.step.gang.number = max(t.step.gang.number, r.num)
		if t.step.gang.since.IsZero() {
			t.step.gang.since = now
		}
	}
	c.recordRun(event.TaskAdopted, r, "")
	return r
}

// adoptable reports whether an unknown run may stay.
func (c *Controller) adoptable(t *task, r workload.Run) bool {
	s := t.step
	if s.job().over() || t.done {
		return false
	}
	if s.gang != nil {
		return !s.gang.breaking && len(t.runs) == 0 && (s.gang.number == 0 || s.gang.number == r.Number)
	}
	return len(t.runs) == 0 || s.def.AllowCopies
}

// addAlien counts a run that is to be stopped.
func (c *Controller) addAlien(w *worker, id workload.Run, t *task, now time.Time) {
	a := &alien{run: id}
	if t != nil {
		a.task = t
		t.aliens++
		a.size = t.step.size
		a.known = true
	} else if size, ok := c.sizeOf(id.Task); ok {
		a.size = size
		a.known = true
	}
	w.alien[id] = a
	w.used = w.used.Add(a.size)
	c.stopAlien(w, a, now)
}

// sizeOf returns the size of a task of a known job.
func (c *Controller) sizeOf(id workload.TaskID) (structs.Resources, bool) {
	j := c.jobs[id.Job]
	if j == nil || j.spec == nil || id.Step >= len(j.spec.Steps) {
		return structs.Resources{}, false
	}
	return j.spec.Steps[id.Step].ReservedSize(), true
}

func (c *Controller) stopAlien(w *worker, a *alien, now time.Time) {
	a.sent = now
	c.orders.Stops = append(c.orders.Stops, Stop{Worker: w.info.ID, Addr: w.info.Addr, Run: a.run})
}

func (c *Controller) dropAlien(w *worker, id workload.Run) {
	a := w.alien[id]
	if a == nil {
		return
	}
	delete(w.alien, id)
	w.used = w.used.Sub(a.size)
	if a.task != nil {
		a.task.aliens--
	}
}

// task returns a task of an open occurrence, nil if there is none.
func (c *Controller) task(id workload.TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	for _, occ := range j.open {
		if occ.k != id.Occurrence {
			continue
		}
		if id.Step >= len(occ.steps) || id.Index >= len(occ.steps[id.Step].tasks) {
			return nil
		}
		return occ.steps[id.Step].tasks[id.Index]
	}
	return nil
}

// takeEnd takes an end that a worker lists.
func (c *Controller) takeEnd(w *worker, e *workload.EndedTask, now time.Time) {
	if e.Seq <= w.seenSeq || w.handled[e.Seq] {
		return
	}
	w.handled[e.Seq] = true
	c.dropAlien(w, e.Run)
	j := c.jobs[e.Run.Task.Job]
	r := w.runs[e.Run]
	t := c.task(e.Run.Task)
	if r != nil {
		t = r.task
		c.detach(r)
	}
	stored := true
	if j != nil && t != nil && !j.over() {
		c.begin(j, now)
		stored = !c.endTask(t, r, e, now)
	}
	n := note{w: w, boot: w.boot, seq: e.Seq}
	if j == nil || stored && !j.unstored() {
		c.noteEnd(n)
		return
	}
	j.notes = append(j.notes, n)
	c.change(j)
}

// skipForgotten starts the count of ends at the first one listed: those before were
// forgotten under an earlier epoch.
func (w *worker) skipForgotten(obs *workload.PollResult) {
	if len(obs.Ended) == 0 {
		return
	}
	low := obs.Ended[0].Seq
	for i := range obs.Ended {
		low = min(low, obs.Ended[i].Seq)
	}
	w.seenSeq = max(w.seenSeq, low-1)
}

// noteEnd lets the worker forget an end.
func (c *Controller) noteEnd(n note) {
	if n.w.boot != n.boot || n.seq <= n.w.seenSeq {
		return
	}
	n.w.noted[n.seq] = true
	for n.w.noted[n.w.seenSeq+1] {
		n.w.seenSeq++
		delete(n.w.noted, n.w.seenSeq)
		delete(n.w.handled, n.w.seenSeq)
	}
}

// dropAbsent ends the runs that a worker shows neither as running nor as ended in the
// answer to a look that began after they were confirmed or stopped.
func (c *Controller) dropAbsent(w *worker, obs *workload.PollResult, sent, now time.Time) {
	if len(obs.Ended) >= maxEndsListed {
		return
	}
	present := make(map[workload.Run]bool, len(obs.Running))
	for i := range obs.Running {
		present[obs.Running[i].Run] = true
	}
	for id, r := range w.runs {
		if present[id] || r.inFlight {
			continue
		}
		settled := !r.confirmed.IsZero() && sent.After(r.confirmed) || !r.stopAcked.IsZero() && sent.After(r.stopAcked)
		if settled {
			c.lose(r, now)
		}
	}
	for id, a := range w.alien {
		if !present[id] && sent.After(a.sent) {
			c.dropAlien(w, id)
		}
	}
}
