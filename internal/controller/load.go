package controller

import (
	"encoding/json"
	"strings"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/leaderlease"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// The functions below restore the state of the earlier controllers from the store.

// Load restores the state from all records of the store. It is called once, before the first
// order is issued. A record that can't be read is recorded as an alarm and left as it is; the
// others are loaded.
func (c *Controller) Load(records []Record, now time.Time) {
	specs := map[string]*workload.Job{}
	progress := map[string]*workload.Progress{}
	var elapsedMs int64
	startRecords := map[string][]byte{}
	for _, r := range records {
		switch {
		case strings.HasPrefix(r.Key, jobPrefix):
			id := strings.TrimPrefix(r.Key, jobPrefix)
			spec := &workload.Job{}
			if err := decodeJob(r.Value, id, spec); err != nil {
				c.markUnreadable(id, r.Key, err)
				continue
			}
			specs[id] = spec
		case strings.HasPrefix(r.Key, progressPrefix):
			id := strings.TrimPrefix(r.Key, progressPrefix)
			p := &workload.Progress{}
			if err := json.Unmarshal(r.Value, p); err != nil {
				c.markUnreadable(id, r.Key, err)
				continue
			}
			progress[id] = p
		case strings.HasPrefix(r.Key, workerPrefix):
			c.loadWorker(strings.TrimPrefix(r.Key, workerPrefix), r.Value, now)
		case strings.HasPrefix(r.Key, startRecordPrefix):
			startRecords[strings.TrimPrefix(r.Key, startRecordPrefix)] = r.Value
		case r.Key == predecessorsEndedKey:
			if err := json.Unmarshal(r.Value, &c.predecessorsEndedBefore); err != nil {
				c.predecessorsEndedBefore = 0
				c.recordUnreadable(r.Key, err)
			}
		case r.Key == elapsedRecordKey:
			if err := json.Unmarshal(r.Value, &elapsedMs); err != nil {
				elapsedMs = 0
				c.recordUnreadable(r.Key, err)
			}
		case r.Key == leaseRecordKey:
			if err := json.Unmarshal(r.Value, &c.leaseRecord); err != nil {
				c.leaseRecord = leaderlease.Record{}
				c.recordUnreadable(r.Key, err)
			}
		}
	}
	for id := range c.unreadable {
		delete(specs, id)
		delete(progress, id)
	}
	c.loadedAt = now
	c.elapsed.startAt(now, highestElapsed(elapsedMs, specs, progress))
	c.elapsedRecordDue = now.Add(elapsedRecordPeriod)
	for id, spec := range specs {
		c.loadJob(spec, progress[id], now)
		delete(progress, id)
	}
	for id, p := range progress {
		c.loadEnded(id, p)
	}
	for worker, value := range startRecords {
		c.loadStartRecord(worker, value, now)
	}
}

// decodeJob decodes the stored record of a job.
func decodeJob(value []byte, id string, spec *workload.Job) error {
	if err := json.Unmarshal(value, spec); err != nil {
		return err
	}
	if spec.ID != id {
		return structs.NewError(structs.CodeInternal, "the record is of job %q", spec.ID)
	}
	return spec.Validate()
}

// markUnreadable keeps a job apart whose stored record or progress can't be read: what has run of
// it is not known, so nothing is started or stored for it.
func (c *Controller) markUnreadable(id, key string, err error) {
	c.unreadable[id] = struct{}{}
	c.recordUnreadable(key, err)
}

func (c *Controller) recordUnreadable(key string, err error) {
	c.record(event.Event{Type: event.Alarm, Epoch: c.epoch, Detail: "stored record " + key + ": " + err.Error()})
}

// Unreadable reports whether a job is stored whose record can't be read.
func (c *Controller) Unreadable(id string) bool {
	_, unreadable := c.unreadable[id]
	return unreadable
}

// loadWorker restores a worker that may be in use. One whose record can't be read has no address;
// its runs count until every lease of an earlier controller has ended.
func (c *Controller) loadWorker(id string, value []byte, now time.Time) {
	var reg workerRecord
	if err := json.Unmarshal(value, &reg); err != nil {
		reg = workerRecord{}
		c.recordUnreadable(workerPrefix+id, err)
	}
	w := c.newWorker(workload.Worker{ID: id, Addr: reg.Addr, Capacity: reg.Capacity}, now)
	w.registered = true
	w.storedAddr = reg.Addr
	w.storedCapacity = reg.Capacity
	w.nextPoll = now
	c.workers[id] = w
}

// loadEnded restores a job of which only the final state is stored.
func (c *Controller) loadEnded(id string, p *workload.Progress) {
	j := &job{spec: &workload.Job{ID: id}, state: p.State, stored: true, endStored: true, retired: true}
	if !j.ended() {
		// Progress of a job that has not ended is useless without the job's own record.
		c.dirty.drop(id)
		return
	}
	j.endedAt = c.elapsed.timeOf(p.EndedElapsedMs)
	c.jobs[id] = j
	c.ended = append(c.ended, j)
}

// runNumberBits is the number of low bits of a run number that count the runs under one
// epoch. For a job that was accepted under an earlier epoch, the higher bits hold the current
// epoch.
const runNumberBits = 12

// loadJob restores a job.
func (c *Controller) loadJob(spec *workload.Job, p *workload.Progress, now time.Time) {
	j := &job{spec: spec, stored: true, runNumberBase: c.epoch << runNumberBits}
	j.acceptedAt = c.elapsed.timeOf(spec.AcceptedElapsedMs)
	c.jobs[spec.ID] = j
	c.inheritedJobs = append(c.inheritedJobs, j)
	if p != nil && p.State != "" {
		j.state = p.State
		j.endStored = true
		j.endedEarlier = true
		j.endedAt = c.elapsed.timeOf(p.EndedElapsedMs)
		c.ended = append(c.ended, j)
		c.unretiredJobs = append(c.unretiredJobs, j)
		return
	}
	c.activate(j)
	class := c.config.Classes[spec.Class]
	if class == nil {
		class = &spec.AcceptedClass
	}
	j.setClass(class)
	j.setTeam(c.config.Teams)
	c.loadProgress(j, p, now)
	c.waiting.update(j)
}

// loadProgress opens the occurrences of a job with their stored progress. Tasks that are not
// done may be running.
func (c *Controller) loadProgress(j *job, p *workload.Progress, now time.Time) {
	if p == nil {
		p = &workload.Progress{}
	}
	j.doneBelow = p.DoneBelow
	j.nextOccurrence = p.DoneBelow
	for _, k := range p.DoneOccurrences {
		j.markOccurrenceDone(k)
	}
	c.openOccurrences(j, now)
	for i := range p.Steps {
		c.openByEarlierController(j, p.Steps[i].Occurrence, now)
	}
	c.endIfComplete(j, now)
	byStep := map[[2]int]*workload.StepProgress{}
	for i := range p.Steps {
		byStep[[2]int{p.Steps[i].Occurrence, p.Steps[i].Step}] = &p.Steps[i]
	}
	for _, occ := range append([]*occurrence(nil), j.open...) {
		for _, s := range occ.steps {
			c.loadStep(s, byStep[[2]int{occ.number, s.index}], now)
		}
	}
}

func (c *Controller) loadStep(s *step, p *workload.StepProgress, now time.Time) {
	if p != nil {
		c.loadTasks(s, p)
	}
	for _, t := range s.tasks {
		t.mayBeRunning = !t.done
	}
	if p != nil && s.complete() {
		c.stepDone(s, now)
	}
	c.updateStepSets(s)
}

func (c *Controller) loadTasks(s *step, p *workload.StepProgress) {
	for i := range p.Tasks {
		tp := &p.Tasks[i]
		if tp.Index < 0 || tp.Index >= len(s.tasks) {
			continue
		}
		if tp.HasBegun() {
			s.job().started = true
		}
		t := s.tasks[tp.Index]
		t.load(tp)
		c.inheritTest(t)
	}
	for _, t := range s.tasks {
		if p.DoneTasks.Has(t.index) {
			c.markDone(t)
			s.job().started = true
		}
	}
}

// load restores the results of the task's earlier runs.
func (t *task) load(tp *workload.TaskProgress) {
	t.crashes = tp.Crashes
	t.test = tp.Test
	switch g := t.step.gang; {
	case g == nil:
		t.failedRuns, t.checkpoint = tp.FailedRuns, tp.Checkpoint
	case t.index == 0:
		g.failedRuns, g.checkpoint = tp.FailedRuns, tp.Checkpoint
	}
}
