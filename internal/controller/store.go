package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"dotterelhitch/internal/workload"
)

// Record is one keyed record of the cell's store.
type Record struct {
	Key string
	// Value is empty to drop the key.
	Value []byte
}

// Prefixes of the keys: a job, its progress, a worker of the registry.
const (
	jobPrefix      = "j/"
	progressPrefix = "p/"
	workerPrefix   = "w/"
	// predecessorsEndedKey holds the newest epoch of which it is known that no controller of an
	// earlier one orders any more.
	predecessorsEndedKey = "m/ended"
)

// Batch is what has to be stored next, in one append.
type Batch struct {
	Records []Record
	// Accepted and Ended are the jobs whose acceptance, or whose final state, the batch
	// stores.
	Accepted []string
	Ended    []string

	jobs       []batchJob
	acks       []endAck
	registered []*worker
}

// batchJob is a job of which a batch holds something, with the number of its changes that
// the batch holds.
type batchJob struct {
	job             *job
	progressVersion int
}

// Bounds on a batch.
const (
	maxBatchBytes   = 1 << 20
	maxBatchRecords = 2000
)

// dirtySet is what has changed and is not stored.
type dirtySet struct {
	accepted     map[*job]struct{}
	changed      map[*job]struct{}
	retired      map[*job]struct{}
	dropped      map[string]struct{}
	registered   map[*worker]struct{}
	unregistered map[string]struct{}
	// predecessorsEnded says that the end of all former controllers is to be stored.
	predecessorsEnded bool
}

func newDirtySet() dirtySet {
	return dirtySet{
		accepted:     map[*job]struct{}{},
		changed:      map[*job]struct{}{},
		retired:      map[*job]struct{}{},
		dropped:      map[string]struct{}{},
		registered:   map[*worker]struct{}{},
		unregistered: map[string]struct{}{},
	}
}

func (d *dirtySet) accept(j *job)   { d.accepted[j] = struct{}{} }
func (d *dirtySet) progress(j *job) { d.changed[j] = struct{}{} }
func (d *dirtySet) retire(j *job)   { d.retired[j] = struct{}{} }
func (d *dirtySet) drop(id string)  { d.dropped[id] = struct{}{} }

// register has a worker stored as possibly in use.
func (d *dirtySet) register(w *worker) {
	d.registered[w] = struct{}{}
	delete(d.unregistered, w.info.ID)
}

// unregister has a worker dropped from the registry.
func (d *dirtySet) unregister(id string) {
	d.unregistered[id] = struct{}{}
	for w := range d.registered {
		if w.info.ID == id {
			delete(d.registered, w)
		}
	}
}

func (d *dirtySet) empty() bool {
	n := len(d.accepted) + len(d.changed) + len(d.retired) + len(d.dropped) + len(d.registered) + len(d.unregistered)
	return n == 0 && !d.predecessorsEnded
}

// markProgressDirty marks the progress of a job as not stored.
func (c *Controller) markProgressDirty(j *job) {
	j.progressVersion++
	c.dirty.progress(j)
}

// hasUnstoredProgress reports whether the job's progress has changed since it was last stored.
func (j *job) hasUnstoredProgress() bool { return j.progressVersion != j.storedProgressVersion }

// HasUnstoredChanges reports whether something waits to be stored.
func (c *Controller) HasUnstoredChanges() bool { return !c.dirty.empty() }

// DropUnbatchedSubmissions takes back the submissions that no batch holds, so that they certainly
// never run, and returns their IDs.
func (c *Controller) DropUnbatchedSubmissions() []string {
	var ids []string
	for j := range c.dirty.accepted {
		ids = append(ids, j.spec.ID)
		c.forgetUnstored(j)
	}
	return ids
}

// WithdrawSubmissions takes the submissions out of a batch of which nothing is stored, so that they
// certainly never run, and returns their IDs.
func (c *Controller) WithdrawSubmissions(b *Batch) []string {
	ids := b.Accepted
	withdrawn := map[string]bool{}
	for _, id := range ids {
		withdrawn[id] = true
		c.forgetUnstored(c.jobs[id])
	}
	b.Accepted = nil
	b.Ended = slices.DeleteFunc(b.Ended, func(id string) bool { return withdrawn[id] })
	b.Records = slices.DeleteFunc(b.Records, func(r Record) bool {
		id, isJob := strings.CutPrefix(r.Key, jobPrefix)
		if !isJob {
			id, _ = strings.CutPrefix(r.Key, progressPrefix)
		}
		return withdrawn[id]
	})
	b.jobs = slices.DeleteFunc(b.jobs, func(bj batchJob) bool { return withdrawn[bj.job.spec.ID] })
	return ids
}

// forgetUnstored forgets a job that is not in the store.
func (c *Controller) forgetUnstored(j *job) {
	delete(c.jobs, j.spec.ID)
	c.deactivate(j)
	delete(c.dirty.accepted, j)
	delete(c.dirty.changed, j)
	delete(c.dirty.retired, j)
	for _, occ := range j.open {
		for _, s := range occ.steps {
			delete(c.stepsAwaitingStore, s)
		}
	}
}

// NextBatch returns what has to be stored, nil if nothing has. What does not fit is
// left for the next batch.
func (c *Controller) NextBatch() *Batch {
	if c.dirty.empty() {
		return nil
	}
	b := &Batch{}
	size := 0
	add := func(key string, value []byte) {
		b.Records = append(b.Records, Record{Key: key, Value: value})
		size += len(key) + len(value)
	}
	full := func() bool { return size > maxBatchBytes || len(b.Records) > maxBatchRecords }
	if c.dirty.predecessorsEnded {
		c.dirty.predecessorsEnded = false
		add(predecessorsEndedKey, mustJSON(c.epoch))
	}
	for w := range c.dirty.registered {
		delete(c.dirty.registered, w)
		add(workerPrefix+w.info.ID, mustJSON(workerRecord{Addr: w.info.Addr}))
		b.registered = append(b.registered, w)
	}
	for id := range c.dirty.unregistered {
		delete(c.dirty.unregistered, id)
		add(workerPrefix+id, nil)
	}
	for j := range c.dirty.accepted {
		if full() {
			break
		}
		delete(c.dirty.accepted, j)
		add(jobPrefix+j.spec.ID, mustJSON(j.spec))
		b.Accepted = append(b.Accepted, j.spec.ID)
		b.jobs = append(b.jobs, batchJob{job: j})
	}
	for j := range c.dirty.changed {
		if _, waits := c.dirty.accepted[j]; waits || full() {
			continue
		}
		delete(c.dirty.changed, j)
		add(progressPrefix+j.spec.ID, mustJSON(j.progress()))
		b.acks = append(b.acks, j.pendingAcks...)
		j.pendingAcks = nil
		if j.ended() && !j.endStored {
			b.Ended = append(b.Ended, j.spec.ID)
		}
		b.jobs = append(b.jobs, batchJob{job: j, progressVersion: j.progressVersion})
	}
	for j := range c.dirty.retired {
		if _, waits := c.dirty.changed[j]; waits || !j.endStored || full() {
			continue
		}
		delete(c.dirty.retired, j)
		add(jobPrefix+j.spec.ID, nil)
	}
	for id := range c.dirty.dropped {
		if full() {
			break
		}
		delete(c.dirty.dropped, id)
		add(progressPrefix+id, nil)
	}
	if len(b.Records) == 0 {
		return nil
	}
	return b
}

// BatchStored notes that a batch is in the store.
func (c *Controller) BatchStored(b *Batch, now time.Time) {
	for _, bj := range b.jobs {
		bj.job.storedProgressVersion = max(bj.job.storedProgressVersion, bj.progressVersion)
		c.jobStored(bj.job, now)
	}
	for _, id := range b.Ended {
		if j := c.jobs[id]; j != nil {
			c.endStored(j, now)
		}
	}
	for _, n := range b.acks {
		c.ackEnd(n)
	}
	for _, w := range b.registered {
		w.registered = true
	}
	c.requestPlacement(now)
}

// jobStored lets the tasks of an accepted job be started.
func (c *Controller) jobStored(j *job, now time.Time) {
	if j.stored {
		return
	}
	j.stored = true
	c.waiting.update(j)
	c.recordAccepted(j, now)
	for _, occ := range j.open {
		for _, s := range occ.steps {
			c.updateStepSets(s)
		}
	}
}

// endStored lets a final state be shown.
func (c *Controller) endStored(j *job, now time.Time) {
	if j.endStored {
		return
	}
	j.endStored = true
	c.ended = append(c.ended, j)
	c.stopRuns(j, now)
	if j.runCount == 0 {
		c.dirty.retire(j)
	}
}

// progress returns what is stored of a job's way.
func (j *job) progress() *workload.Progress {
	p := &workload.Progress{State: j.state, DoneBelow: j.doneBelow}
	if j.ended() {
		p.EndedMs = j.endedAt.UnixMilli()
		return p
	}
	p.DoneOccurrences = slices.Sorted(maps.Keys(j.doneOccurrences))
	for _, occ := range j.open {
		for _, s := range occ.steps {
			if sp, any := s.progress(); any {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

func (s *step) progress() (workload.StepProgress, bool) {
	p := workload.StepProgress{Occurrence: s.occ.number, Step: s.index}
	if s.gang != nil && (len(s.gang.failedRuns) > 0 || s.gang.checkpoint != "") && !s.complete() {
		p.Tasks = append(p.Tasks, workload.TaskProgress{FailedRuns: s.gang.failedRuns, Checkpoint: s.gang.checkpoint})
	}
	for _, t := range s.tasks {
		if t.done {
			p.DoneTasks.Set(t.index)
			continue
		}
		if s.gang == nil && (len(t.failedRuns) > 0 || t.checkpoint != "") {
			p.Tasks = append(p.Tasks, workload.TaskProgress{Index: t.index, FailedRuns: t.failedRuns, Checkpoint: t.checkpoint})
		}
	}
	return p, len(p.DoneTasks) > 0 || len(p.Tasks) > 0
}

// mustJSON encodes the controller's own types, which can't fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
