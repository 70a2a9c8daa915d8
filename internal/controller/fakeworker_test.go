package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// fakeWorker runs tasks under a fence and one lease, as the platform's workers do.
type fakeWorker struct {
	w        *world
	id       string
	capacity structs.Resources
	rack     string
	listed   bool
	draining bool
	up       bool // runs and answers
	cut      bool // runs, but nobody reaches it
	stands   bool // what runs there stands still
	stoodAt  time.Time
	boot     int64
	bornAt   time.Time

	fence    int64
	deadline time.Time
	runs     map[workload.TaskID]*fakeRun
	highest  map[workload.TaskID]int64 // of runs stopped or ended
	ends     []workload.EndedTask
	void     map[int64]bool // ends after which the lease lapsed before they were noted
	seq      int64
	waiting  func() // answers a look that waits for an end
}

type fakeRun struct {
	id     workload.Run
	step   *workload.Step
	waits  bool // for the other members of its gang
	began  time.Time
	doneAt time.Time
	how    workload.EndReason
}

func (w *world) addWorkers(n int, cpu int64) {
	for range n {
		f := &fakeWorker{
			w:        w,
			id:       "i-" + string(rune('a'+len(w.workers)/26)) + string(rune('a'+len(w.workers)%26)),
			capacity: structs.Resources{CPUMilli: cpu, MemoryMiB: 64000},
			rack:     "r-" + string(rune('0'+len(w.workers)/8)),
			listed:   true,
		}
		f.start()
		w.workers[f.id] = f
	}
}

// start boots the worker anew: it knows nothing of before.
func (f *fakeWorker) start() {
	f.up = true
	f.boot = f.w.now.UnixMilli() + 1
	f.bornAt = f.w.now
	f.fence = 0
	f.deadline = time.Time{}
	f.runs = map[workload.TaskID]*fakeRun{}
	f.highest = map[workload.TaskID]int64{}
	f.ends = nil
	f.void = map[int64]bool{}
	f.seq = 0
	f.waiting = nil
}

// crash ends everything on the worker.
func (f *fakeWorker) crash() {
	f.up = false
	f.runs = map[workload.TaskID]*fakeRun{}
}

func (f *fakeWorker) info() workload.Worker {
	return workload.Worker{
		ID: f.id, Service: "svc", Addr: f.id, Capacity: f.capacity, Rack: f.rack,
		Labels: []string{"a", f.rack}, BootMs: f.boot, Draining: f.draining,
	}
}

func (f *fakeWorker) clock() int64 { return f.w.now.Sub(f.bornAt).Milliseconds() + 1 }

// hold extends the lease to a time on the worker's clock.
func (f *fakeWorker) hold(deadlineMs int64) {
	at := f.bornAt.Add(time.Duration(deadlineMs-1) * time.Millisecond)
	if longest := f.w.now.Add(f.w.timing.MaxLease); at.After(longest) {
		at = longest
	}
	if !at.After(f.deadline) {
		return
	}
	f.deadline = at
	boot := f.boot
	f.w.at(at, func() {
		if f.boot == boot && f.up && !f.w.now.Before(f.deadline) {
			for _, e := range f.ends {
				f.void[e.Seq] = true
			}
			for _, id := range f.runIDs() {
				f.end(id, workload.EndLeaseExpired)
			}
		}
	})
}

// runIDs returns the tasks that run there in order.
func (f *fakeWorker) runIDs() []workload.TaskID {
	ids := make([]workload.TaskID, 0, len(f.runs))
	for id := range f.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b workload.TaskID) int { return cmp.Compare(a.String(), b.String()) })
	return ids
}

func (f *fakeWorker) used() structs.Resources {
	var sum structs.Resources
	for _, r := range f.runs {
		sum = sum.Add(r.step.ReservedSize())
	}
	return sum
}

// end lists the end of a run.
func (f *fakeWorker) end(id workload.TaskID, how workload.EndReason) {
	r := f.runs[id]
	if r == nil {
		return
	}
	delete(f.runs, id)
	f.highest[id] = max(f.highest[id], r.id.Number)
	f.seq++
	f.ends = append(f.ends, workload.EndedTask{Seq: f.seq, Run: r.id, Reason: how})
	if r.step.Gang {
		f.w.gangEnded(r, how)
	}
	if f.waiting != nil {
		answer := f.waiting
		f.waiting = nil
		answer()
	}
}

// reach calls the worker over the network. It reports unanswered calls as the world's
// faults have them.
func (w *world) reach(ctl *Controller, id string, carry func(f *fakeWorker) func(), miss func(OrderResult)) {
	answer := func(f func()) {
		w.after(w.delay(), func() {
			if w.ctl == ctl {
				f()
			}
		})
	}
	timeout := func() { w.after(time.Second, func() { answer(func() { miss(NoResponse) }) }) }
	fate := w.rng.Float64()
	w.after(w.delay(), func() {
		f := w.workers[id]
		switch {
		case f == nil || !f.up || f.cut:
			timeout()
		case fate < w.late:
			boot := f.boot
			w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() {
				if f.up && f.boot == boot {
					carry(f)
				}
			})
			timeout()
		case fate < w.late+w.lost:
			carry(f)
			timeout()
		default:
			if back := carry(f); back != nil {
				answer(back)
			}
		}
	})
}

func (w *world) look(ctl *Controller, l Poll) {
	sent := w.now
	boot := int64(0)
	w.reach(ctl, l.Worker, func(f *fakeWorker) func() {
		boot = f.boot
		if ctl.epoch < f.fence {
			return func() { ctl.PollFailed(l.Worker, RefusedStaleToken, w.now) }
		}
		f.fence = ctl.epoch
		f.forget(l.AckedSeq)
		if l.LeaseDeadlineMs > 0 {
			f.hold(l.LeaseDeadlineMs)
		}
		reply := func() func() {
			obs := f.observation()
			return func() { ctl.PollDone(l.Worker, obs, sent, w.now) }
		}
		if len(f.ends) > 0 || l.Wait == 0 {
			return reply()
		}
		answered := false
		f.waiting = func() {
			if answered {
				return
			}
			answered = true
			back := reply()
			w.after(w.delay(), func() {
				if w.ctl == ctl {
					back()
				}
			})
		}
		mine := f.waiting
		w.after(l.Wait, func() {
			if f.up && f.boot == boot {
				mine()
				return
			}
			if !answered {
				w.after(time.Second, func() {
					if w.ctl == ctl {
						ctl.PollFailed(l.Worker, NoResponse, w.now)
					}
				})
			}
		})
		return nil
	}, func(a OrderResult) { ctl.PollFailed(l.Worker, a, w.now) })
}

// forget drops the ends that were taken note of. One after which the lease lapsed does
// not count: its task may have been started elsewhere.
func (f *fakeWorker) forget(seen int64) {
	for len(f.ends) > 0 && f.ends[0].Seq <= seen {
		e := f.ends[0]
		f.ends = f.ends[1:]
		if f.void[e.Seq] {
			continue
		}
		switch e.Reason {
		case workload.EndDone:
			f.w.doneRuns[e.Run.Task] = true
		case workload.EndFailed:
			f.w.failures[e.Run.Task]++
		}
	}
}

func (f *fakeWorker) observation() *workload.PollResult {
	obs := &workload.PollResult{BootMs: f.boot, ClockMs: f.clock(), Ended: append([]workload.EndedTask(nil), f.ends...)}
	for _, id := range f.runIDs() {
		r := f.runs[id]
		obs.Running = append(obs.Running, workload.RunningTask{Run: r.id, Percent: f.percent(r)})
	}
	return obs
}

func (w *world) start(ctl *Controller, s Start) {
	sent := w.now
	w.reach(ctl, s.Worker, func(f *fakeWorker) func() {
		answer := f.take(ctl.epoch, &s)
		clock := f.clock()
		return func() { ctl.StartDone(s.Worker, s.Run, answer, clock, sent, w.now) }
	}, func(a OrderResult) { ctl.StartDone(s.Worker, s.Run, a, 0, sent, w.now) })
}

// take carries out a start.
func (f *fakeWorker) take(token int64, s *Start) OrderResult {
	w := f.w
	if token < f.fence {
		return RefusedStaleToken
	}
	f.fence = token
	if r := f.runs[s.Run.Task]; r != nil && r.id.Number == s.Run.Number {
		return CarriedOut
	}
	if s.Run.Number <= f.highest[s.Run.Task] {
		return RefusedEndedRun
	}
	if s.LeaseDeadlineMs <= f.clock() {
		return RefusedLeaseExpired
	}
	w.checkStart(f, s)
	job := w.jobs[s.Run.Task.Job]
	step := &job.Steps[s.Run.Task.Step]
	took, how := w.run(s.Run.Task, f)
	r := &fakeRun{id: s.Run, step: step, began: w.now, how: how, doneAt: w.now.Add(took), waits: step.Gang}
	f.runs[s.Run.Task] = r
	f.hold(s.LeaseDeadlineMs)
	if step.Gang {
		w.gangStarted(f, r, took)
		return CarriedOut
	}
	f.finishLater(r)
	return CarriedOut
}

func (f *fakeWorker) finishLater(r *fakeRun) {
	if r.step.LongRunning && r.how != workload.EndFailed {
		return
	}
	boot := f.boot
	f.w.at(r.doneAt, func() {
		if !f.up || f.boot != boot || f.runs[r.id.Task] != r {
			return
		}
		if f.w.now.Before(r.doneAt) || f.stands {
			if !f.stands {
				f.finishLater(r)
			}
			return
		}
		f.end(r.id.Task, r.how)
	})
}

// standStill keeps all that runs there from going on for a time.
func (f *fakeWorker) standStill(d time.Duration) {
	f.stands = true
	f.stoodAt = f.w.now
	f.w.after(d, func() {
		f.stands = false
		for _, id := range f.runIDs() {
			r := f.runs[id]
			r.began = r.began.Add(d)
			r.doneAt = r.doneAt.Add(d)
			f.finishLater(r)
		}
	})
}

// percent is the progress of a run.
func (f *fakeWorker) percent(r *fakeRun) int {
	now := f.w.now
	if f.stands {
		now = f.stoodAt
	}
	if r.waits || !now.After(r.began) {
		return 0
	}
	return min(int(100*now.Sub(r.began)/r.doneAt.Sub(r.began)), 99)
}

func (w *world) stop(ctl *Controller, s Stop) {
	sent := w.now
	w.reach(ctl, s.Worker, func(f *fakeWorker) func() {
		answer := CarriedOut
		if ctl.epoch < f.fence {
			answer = RefusedStaleToken
		} else {
			f.fence = ctl.epoch
			f.halt(s.Run)
		}
		clock := f.clock()
		return func() { ctl.StopDone(s.Worker, s.Run, answer, clock, sent, w.now) }
	}, func(a OrderResult) { ctl.StopDone(s.Worker, s.Run, a, 0, sent, w.now) })
}

// halt stops a run, or has it refused when it comes.
func (f *fakeWorker) halt(run workload.Run) {
	f.highest[run.Task] = max(f.highest[run.Task], run.Number)
	r := f.runs[run.Task]
	if r == nil || r.id.Number > run.Number {
		return
	}
	boot := f.boot
	f.w.after(100*time.Millisecond, func() {
		if f.up && f.boot == boot && f.runs[run.Task] == r {
			f.end(run.Task, workload.EndStopped)
		}
	})
}

// gangStarted lets a gang work once all members of an attempt are there.
func (w *world) gangStarted(f *fakeWorker, r *fakeRun, took time.Duration) {
	members := w.gangRuns(r)
	if len(members) == r.step.Count {
		for _, m := range members {
			m.run.waits = false
			m.run.began = w.now
			m.run.doneAt = w.now.Add(took)
			m.on.finishLater(m.run)
		}
		return
	}
	boot := f.boot
	w.after(w.timing.GangTimeout, func() {
		if f.up && f.boot == boot && f.runs[r.id.Task] == r && r.waits {
			f.end(r.id.Task, workload.EndGangTimeout)
		}
	})
}

type gangMember struct {
	on  *fakeWorker
	run *fakeRun
}

// gangRuns returns the members of a gang's attempt that are there.
func (w *world) gangRuns(r *fakeRun) []gangMember {
	var out []gangMember
	for _, id := range w.workerIDs() {
		f := w.workers[id]
		for _, task := range f.runIDs() {
			other := f.runs[task]
			if other.id.Task.StepID == r.id.Task.StepID && other.id.Number == r.id.Number {
				out = append(out, gangMember{on: f, run: other})
			}
		}
	}
	return out
}

// gangEnded ends the other members of a gang.
func (w *world) gangEnded(r *fakeRun, how workload.EndReason) {
	if how == workload.EndGangAborted || r.waits {
		return
	}
	for _, m := range w.gangRuns(r) {
		if how == workload.EndDone {
			m.run.waits = true
			m.on.end(m.run.id.Task, workload.EndDone)
			continue
		}
		m.on.end(m.run.id.Task, workload.EndGangAborted)
	}
}

// checkStart checks what a controller promises of a start.
func (w *world) checkStart(f *fakeWorker, s *Start) {
	id := s.Run.Task
	job := w.jobs[id.Job]
	if job == nil || !w.accepted[id.Job] && !w.stored(id.Job) {
		w.broken("%s starts, which was not accepted", s.Run)
		return
	}
	step := &job.Steps[id.Step]
	if !f.used().Add(step.ReservedSize()).Fits(f.capacity) {
		w.broken("%s does not fit %s", s.Run, f.id)
	}
	for _, other := range w.workers {
		if r := other.runs[id]; r != nil && !step.AllowCopies {
			w.broken("%s starts on %s while %s runs on %s", s.Run, f.id, r.id, other.id)
		}
	}
	if w.doneRuns[id] && !step.AllowCopies {
		w.broken("%s starts after its end was noted", s.Run)
	}
	if limit := w.config.Classes[job.Class].AttemptLimit(); w.failures[id] >= limit && !step.Gang && !step.LongRunning {
		w.broken("%s starts after %d failures", s.Run, w.failures[id])
	}
	if at, ok := w.cancelled[id.Job]; ok && w.now.Sub(at) > 3*time.Second {
		w.broken("%s starts after its cancel", s.Run)
	}
	if job.Recurring() {
		late := w.now.Sub(time.UnixMilli(job.EarliestStartMs(id.Occurrence)))
		if late < 0 {
			w.broken("%s starts %v before its time", s.Run, -late)
		}
		w.latestBegin = max(w.latestBegin, late)
	}
	if s.Payload != job.Payload {
		w.broken("%s has another payload", s.Run)
	}
}

func (w *world) stored(job string) bool {
	_, ok := w.store[jobPrefix+job]
	return ok
}
