package controller

import (
	"encoding/json"
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// A start without an answer may be carried out after a change of the controller, too. Each start that is tracked is
// therefore recorded in the store before it is sent, and the successor waits for those that may still arrive as for its
// own. A start that is answered is taken out of the record with the next batch, after startRecordPeriod at the latest: the
// successor acknowledges no end on a worker while a start there may still arrive.

// startRecordPrefix is that of the keys of startRecords, which are followed by the worker's ID.
const startRecordPrefix = "u/"

// maxRecordedStarts is the number of starts in a worker's record from which no further start is placed there. It keeps
// the record well below the largest one that the store takes.
const maxRecordedStarts = 256

// maxRecordWait is how long a start waits for its record in the store. After it the run is withdrawn, so that it holds no
// room, and is placed by the quotas and capacities of the time when the store answers again.
const maxRecordWait = 500 * time.Millisecond

// startRecordPeriod is the period at which starts that can't be carried out any more are taken out of the records in the
// store while there is no other batch.
const startRecordPeriod = time.Second

// startRecord holds the tracked starts that may be under way to a worker.
type startRecord struct {
	starts map[workload.Run]*recordedStart
	// outdated says that the record in the latest batch holds other starts.
	outdated bool
}

// recordedStart is a start in a startRecord.
type recordedStart struct {
	task *task
	// run is nil for the start of an earlier controller.
	run *run
	// repeated says that the start may have been sent several times, repetitionStored that the store says so.
	repeated, repetitionStored bool
}

// batchedStart is a start in a batch. repeated is as the batch has it.
type batchedStart struct {
	start    *recordedStart
	repeated bool
}

// storedStart is the stored form of a recordedStart.
type storedStart struct {
	Task     string `json:"t"`
	Run      int64  `json:"r"`
	Repeated bool   `json:"c,omitempty"`
}

// tracksStart reports whether a start order has to be known until it can't be carried out any more.
func (c *Controller) tracksStart(t *task, ticket string) bool {
	return ticket == "" && !t.step.def.AllowCopies && c.timing.LateStartTime > 0
}

// requestStart sends the first start order for a run, a tracked one after it is recorded in the store.
func (c *Controller) requestStart(r *run, ticket string, now time.Time) {
	if !c.tracksStart(r.task, ticket) {
		c.sendStart(r, ticket, now)
		return
	}
	r.awaitsRecord = true
	r.recordRequested = now
	r.inFlight = true
	c.recordStart(r)
	c.awaitingRecord = append(c.awaitingRecord, r)
	c.wakeups.add(now.Add(maxRecordWait))
}

// recordStart adds the start of a run to the record of its worker.
func (c *Controller) recordStart(r *run) *recordedStart {
	rec := c.startRecords[r.worker.info.ID]
	if rec == nil {
		rec = &startRecord{starts: map[workload.Run]*recordedStart{}}
		c.startRecords[r.worker.info.ID] = rec
	}
	s := rec.starts[r.id()]
	if s == nil {
		s = &recordedStart{task: r.task, run: r}
		rec.starts[r.id()] = s
		c.storeStartRecord(rec)
	}
	return s
}

// storeStartRecord has a record with a new start stored.
func (c *Controller) storeStartRecord(rec *startRecord) {
	rec.outdated = true
	c.dirty.startRecords = true
}

// repetitionRecorded reports whether the store says that the start of a run may be sent again, and else has that stored.
func (c *Controller) repetitionRecorded(r *run) bool {
	if !c.tracksStart(r.task, "") {
		return true
	}
	s := c.recordStart(r)
	if !s.repeated {
		s.repeated = true
		c.storeStartRecord(c.startRecords[r.worker.info.ID])
	}
	return s.repetitionStored
}

// startsStored processes the starts of a batch that was stored.
func (c *Controller) startsStored(starts []batchedStart) {
	for _, b := range starts {
		b.start.repetitionStored = b.start.repetitionStored || b.repeated
		if r := b.start.run; r != nil && r.awaitsRecord && !r.recorded {
			r.recorded = true
			c.recordedRuns = append(c.recordedRuns, r)
		}
	}
}

// withdrawStalledStarts withdraws all starts that wait for their record once one has waited for maxRecordWait. No other is
// placed until a batch is stored.
func (c *Controller) withdrawStalledStarts(now time.Time) {
	waiting := slices.DeleteFunc(c.awaitingRecord, func(r *run) bool { return !r.awaitsRecord || r.recorded })
	c.awaitingRecord = waiting
	if len(waiting) == 0 || now.Sub(waiting[0].recordRequested) < maxRecordWait {
		return
	}
	c.recordsStalled = true
	c.awaitingRecord = nil
	for _, r := range waiting {
		if r.awaitsRecord {
			c.withdrawStart(r, now)
		}
	}
}

// sendRecordedStarts sends the starts that are recorded in the store, and withdraws those that may not be sent now. With
// one member of a gang all are withdrawn, so none is sent before.
func (c *Controller) sendRecordedStarts(now time.Time) {
	runs := c.recordedRuns
	c.recordedRuns = nil
	for _, r := range runs {
		if r.awaitsRecord && !(c.HasLeaderLease(now) && r.worker.takesRun(r, now)) {
			c.withdrawStart(r, now)
		}
	}
	for _, r := range runs {
		switch {
		case !r.awaitsRecord:
		case !r.worker.acksAllowStart(now):
			c.recordedRuns = append(c.recordedRuns, r)
			c.wakeups.add(now.Add(orderRetryPause))
		default:
			c.sendRecordedStart(r, now)
		}
	}
}

// sendRecordedStart sends the first start order for a run that is recorded in the store.
func (c *Controller) sendRecordedStart(r *run, now time.Time) {
	r.awaitsRecord = false
	if g := r.task.step.gang; g != nil && r.number == g.attempt {
		// The members wait for one another from now on.
		g.startedAt = now
	}
	c.sendStart(r, "", now)
}

// takesRun reports whether a run that was placed on the worker may be started there now.
func (w *worker) takesRun(r *run, now time.Time) bool {
	s := r.task.step
	return !s.job().ended() && w.usable(now) && s.matchesWorker(w) && !w.free().HasNegative()
}

// withdrawStart removes a run whose start order was not sent.
func (c *Controller) withdrawStart(r *run, now time.Time) {
	c.recordRun(event.TaskRefused, r, NotDelivered.String())
	c.removeRun(r)
	s := r.task.step
	if g := s.gang; g != nil && r.number == g.attempt && !g.aborting && !s.job().ended() {
		c.abortGang(s, now)
	}
	c.finishGangAbort(s)
	c.requestPlacement(now)
}

// withdrawStarts removes the runs on a worker whose start orders were not sent.
func (c *Controller) withdrawStarts(w *worker, now time.Time) {
	for _, r := range w.runsByStart() {
		if r.awaitsRecord {
			c.withdrawStart(r, now)
		}
	}
}

// takesRecord reports whether the start of a task of a step without a ticket can be recorded for a worker.
func (c *Controller) takesRecord(s *step, w *worker, now time.Time) bool {
	return s.def.AllowCopies || !c.recordsStalled && !c.recordFull(w, now)
}

// recordFull reports whether the record of a worker takes no further starts.
func (c *Controller) recordFull(w *worker, now time.Time) bool {
	rec := c.startRecords[w.info.ID]
	if rec == nil || len(rec.starts) < maxRecordedStarts {
		return false
	}
	rec.prune(now)
	return len(rec.starts) >= maxRecordedStarts
}

// prune removes the starts that can't be carried out any more.
func (rec *startRecord) prune(now time.Time) {
	for id, s := range rec.starts {
		if !s.mayBeUnderWay(id.Number, now) {
			delete(rec.starts, id)
			rec.outdated = true
		}
	}
}

// mayBeUnderWay reports whether the start is about to be sent or may still give its task a run.
func (s *recordedStart) mayBeUnderWay(number int64, now time.Time) bool {
	if s.run != nil && s.run.awaitsRecord {
		return true
	}
	return slices.ContainsFunc(s.task.unansweredStarts, func(u *unansweredStart) bool {
		return u.number == number && u.mayHaveUnseenRun(now)
	})
}

// refreshStartRecords has the records stored again, at each startRecordPeriod, that name starts which can't be carried out
// any more.
func (c *Controller) refreshStartRecords(now time.Time) {
	if len(c.startRecords) == 0 || now.Before(c.startRecordsDue) {
		return
	}
	c.startRecordsDue = now.Add(startRecordPeriod)
	c.wakeups.add(c.startRecordsDue)
	for _, rec := range c.startRecords {
		rec.prune(now)
		c.dirty.startRecords = c.dirty.startRecords || rec.outdated
	}
}

// addStartRecords adds the outdated records of starts to a batch until it is full. Between two calls of
// refreshStartRecords, they are no reason for a batch without a new start.
func (c *Controller) addStartRecords(b *Batch, add func(key string, value []byte), full func() bool) {
	if !c.dirty.startRecords && len(b.Records) == 0 {
		return
	}
	c.dirty.startRecords = false
	for worker, rec := range c.startRecords {
		rec.prune(c.tickedAt)
		switch {
		case !rec.outdated:
		case full():
			c.dirty.startRecords = true
			return
		case len(rec.starts) == 0:
			delete(c.startRecords, worker)
			add(startRecordPrefix+worker, nil)
		default:
			rec.outdated = false
			rec.addTo(b, startRecordPrefix+worker, add)
		}
	}
}

// addTo adds the record to a batch.
func (rec *startRecord) addTo(b *Batch, key string, add func(key string, value []byte)) {
	add(key, rec.encode())
	for _, s := range rec.starts {
		b.starts = append(b.starts, batchedStart{start: s, repeated: s.repeated})
	}
}

// encode returns the stored form of the record.
func (rec *startRecord) encode() []byte {
	stored := make([]storedStart, 0, len(rec.starts))
	for id, s := range rec.starts {
		stored = append(stored, storedStart{Task: id.Task.String(), Run: id.Number, Repeated: s.repeated})
	}
	return mustJSON(stored)
}

// loadStartRecord restores the starts to a worker that earlier controllers may have sent. Those that can't be read are
// recorded as an alarm.
func (c *Controller) loadStartRecord(worker string, value []byte, now time.Time) {
	var stored []storedStart
	if err := json.Unmarshal(value, &stored); err != nil {
		c.recordUnreadable(startRecordPrefix+worker, err)
		return
	}
	rec := &startRecord{starts: map[workload.Run]*recordedStart{}}
	c.startRecords[worker] = rec
	for _, s := range stored {
		id, err := workload.ParseTaskID(s.Task)
		if err != nil {
			c.recordUnreadable(startRecordPrefix+worker, err)
			continue
		}
		c.inheritStart(rec, worker, workload.Run{Task: id, Number: s.Run}, s.Repeated, now)
	}
}

// inheritStart notes that a start which an earlier controller may have sent to a worker may still be carried out.
func (c *Controller) inheritStart(rec *startRecord, worker string, id workload.Run, repeated bool, now time.Time) {
	if c.isLongRunning(id.Task) && c.jobs[id.Task.Job].ended() {
		return
	}
	t := c.inheritedTask(id.Task, now)
	w := c.workers[worker]
	if w == nil {
		w = newWorker(workload.Worker{ID: worker}, c.epoch)
	}
	s := &unansweredStart{task: t, worker: w, number: id.Number, inherited: true}
	c.boundInheritedStart(s, now)
	t.unansweredStarts = append(t.unansweredStarts, s)
	w.acks.inheritedStarts = append(w.acks.inheritedStarts, s)
	c.inheritedStarts = append(c.inheritedStarts, s)
	rec.starts[id] = &recordedStart{task: t, repeated: repeated, repetitionStored: repeated}
}

// isLongRunning reports whether a task is known to be long-running.
func (c *Controller) isLongRunning(id workload.TaskID) bool {
	j := c.jobs[id.Job]
	return j != nil && id.Step < len(j.spec.Steps) && j.spec.Steps[id.Step].LongRunning
}

// inheritedTask returns the task of an earlier controller's start. For one that is not open any more it is a stand-in, for
// which ends are held.
func (c *Controller) inheritedTask(id workload.TaskID, now time.Time) *task {
	if t := c.findShownTask(id, now); t != nil {
		return t
	}
	t := c.closedTasks[id]
	if t == nil {
		t = &task{index: id.Index}
		c.closedTasks[id] = t
	}
	return t
}

// boundInheritedStarts applies boundInheritedStart to all starts of earlier controllers.
func (c *Controller) boundInheritedStarts(at time.Time) {
	for _, s := range c.inheritedStarts {
		c.boundInheritedStart(s, at)
	}
}

// boundInheritedStart records that no earlier controller has sent a start after a time.
func (c *Controller) boundInheritedStart(s *unansweredStart, sentUntil time.Time) {
	s.sentUntil = sentUntil
	s.lateTime = c.timing.LateStartTime + c.orderDelay
	s.lease = c.longestLease()
	s.arrivesUntil = sentUntil.Add(s.lateTime)
	s.worker.lateStartsUntil = s.arrivesUntil
}

// noteInheritedRun notes that a worker lists a run. If its start was sent once, by an earlier controller, it is carried out
// and can't arrive again.
func (c *Controller) noteInheritedRun(w *worker, id workload.Run) {
	rec := c.startRecords[w.info.ID]
	if rec == nil {
		return
	}
	s := rec.starts[id]
	if s == nil || s.run != nil || s.repeated {
		return
	}
	carriedOut := func(u *unansweredStart) bool { return u.inherited && u.task == s.task && u.number == id.Number }
	s.task.unansweredStarts = slices.DeleteFunc(s.task.unansweredStarts, carriedOut)
	w.acks.inheritedStarts = slices.DeleteFunc(w.acks.inheritedStarts, carriedOut)
}
