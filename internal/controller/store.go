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
	// endedKey holds the newest epoch of which it is known that no controller of an
	// earlier one orders any more.
	endedKey = "m/ended"
)

// Batch is what has to be stored next, in one append.
type Batch struct {
	Records []Record
	// Accepted and Ended are the jobs whose acceptance, or whose final state, the batch
	// stores.
	Accepted []string
	Ended    []string

	jobs    []batchJob
	notes   []note
	workers []*worker
}

// batchJob is a job of which a batch holds something, with the number of its changes that
// the batch holds.
type batchJob struct {
	job     *job
	changes int
}

// Bounds on a batch.
const (
	maxBatchBytes   = 1 << 20
	maxBatchRecords = 2000
)

// dirtySet is what has changed and is not stored.
type dirtySet struct {
	accepted  map[*job]struct{}
	changed   map[*job]struct{}
	retired   map[*job]struct{}
	dropped   map[string]struct{}
	workers   map[*worker]struct{}
	forgotten map[string]struct{}
	// formersEnded says that the end of all former controllers is to be stored.
	formersEnded bool
}

func newDirtySet() dirtySet {
	return dirtySet{
		accepted:  map[*job]struct{}{},
		changed:   map[*job]struct{}{},
		retired:   map[*job]struct{}{},
		dropped:   map[string]struct{}{},
		workers:   map[*worker]struct{}{},
		forgotten: map[string]struct{}{},
	}
}

func (d *dirtySet) accept(j *job)   { d.accepted[j] = struct{}{} }
func (d *dirtySet) progress(j *job) { d.changed[j] = struct{}{} }
func (d *dirtySet) retire(j *job)   { d.retired[j] = struct{}{} }
func (d *dirtySet) drop(id string)  { d.dropped[id] = struct{}{} }

// register has a worker stored as possibly in use.
func (d *dirtySet) register(w *worker) {
	d.workers[w] = struct{}{}
	delete(d.forgotten, w.info.ID)
}

// unregister has a worker dropped from the registry.
func (d *dirtySet) unregister(id string) {
	d.forgotten[id] = struct{}{}
	for w := range d.workers {
		if w.info.ID == id {
			delete(d.workers, w)
		}
	}
}

func (d *dirtySet) empty() bool {
	n := len(d.accepted) + len(d.changed) + len(d.retired) + len(d.dropped) + len(d.workers) + len(d.forgotten)
	return n == 0 && !d.formersEnded
}

// change marks the progress of a job as not stored.
func (c *Controller) change(j *job) {
	j.changes++
	c.dirty.progress(j)
}

// unstored reports whether the job's progress has changed since it was last stored.
func (j *job) unstored() bool { return j.changes != j.storedChanges }

// HasUnstoredChanges reports whether something waits to be stored.
func (c *Controller) HasUnstoredChanges() bool { return !c.dirty.empty() }

// DropUnbatchedSubmissions takes back the submissions that no batch holds, so that they certainly
// never run, and returns their IDs.
func (c *Controller) DropUnbatchedSubmissions() []string {
	var ids []string
	for j := range c.dirty.accepted {
		ids = append(ids, j.spec.ID)
		c.dropUnstored(j)
	}
	return ids
}

// WithdrawSubmissions takes the submissions out of a batch of which nothing is stored, so that they
// certainly never run, and returns their IDs.
func (c *Controller) WithdrawSubmissions(b *Batch) []string {
	ids := b.Accepted
	gone := map[string]bool{}
	for _, id := range ids {
		gone[id] = true
		c.dropUnstored(c.jobs[id])
	}
	b.Accepted = nil
	b.Ended = slices.DeleteFunc(b.Ended, func(id string) bool { return gone[id] })
	b.Records = slices.DeleteFunc(b.Records, func(r Record) bool {
		id, isJob := strings.CutPrefix(r.Key, jobPrefix)
		if !isJob {
			id, _ = strings.CutPrefix(r.Key, progressPrefix)
		}
		return gone[id]
	})
	b.jobs = slices.DeleteFunc(b.jobs, func(bj batchJob) bool { return gone[bj.job.spec.ID] })
	return ids
}

// dropUnstored forgets a job that is not in the store.
func (c *Controller) dropUnstored(j *job) {
	delete(c.jobs, j.spec.ID)
	c.deactivate(j)
	delete(c.dirty.accepted, j)
	delete(c.dirty.changed, j)
	delete(c.dirty.retired, j)
	for _, occ := range j.open {
		for _, s := range occ.steps {
			delete(c.coming, s)
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
	if c.dirty.formersEnded {
		c.dirty.formersEnded = false
		add(endedKey, mustJSON(c.epoch))
	}
	for w := range c.dirty.workers {
		delete(c.dirty.workers, w)
		add(workerPrefix+w.info.ID, mustJSON(registered{Addr: w.info.Addr}))
		b.workers = append(b.workers, w)
	}
	for id := range c.dirty.forgotten {
		delete(c.dirty.forgotten, id)
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
		b.notes = append(b.notes, j.notes...)
		j.notes = nil
		if j.over() && !j.shown {
			b.Ended = append(b.Ended, j.spec.ID)
		}
		b.jobs = append(b.jobs, batchJob{job: j, changes: j.changes})
	}
	for j := range c.dirty.retired {
		if _, waits := c.dirty.changed[j]; waits || !j.shown || full() {
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
		bj.job.storedChanges = max(bj.job.storedChanges, bj.changes)
		c.jobStored(bj.job, now)
	}
	for _, id := range b.Ended {
		if j := c.jobs[id]; j != nil {
			c.endStored(j, now)
		}
	}
	for _, n := range b.notes {
		c.noteEnd(n)
	}
	for _, w := range b.workers {
		w.registered = true
	}
	c.needPlan(now)
}

// jobStored lets the tasks of an accepted job be started.
func (c *Controller) jobStored(j *job, now time.Time) {
	if j.stored {
		return
	}
	j.stored = true
	c.waiting.count(j)
	c.recordAccepted(j, now)
	for _, occ := range j.open {
		for _, s := range occ.steps {
			c.sortStep(s)
		}
	}
}

// endStored lets a final state be shown.
func (c *Controller) endStored(j *job, now time.Time) {
	if j.shown {
		return
	}
	j.shown = true
	c.ended = append(c.ended, j)
	c.stopRuns(j, now)
	if j.runs == 0 {
		c.dirty.retire(j)
	}
}

// progress returns what is stored of a job's way.
func (j *job) progress() *workload.Progress {
	p := &workload.Progress{State: j.state, DoneBelow: j.doneBelow}
	if j.over() {
		p.EndedMs = j.endedAt.UnixMilli()
		return p
	}
	p.DoneOccurrences = slices.Sorted(maps.Keys(j.closed))
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
	p := workload.StepProgress{Occurrence: s.occ.k, Step: s.index}
	if s.gang != nil && (len(s.gang.failed) > 0 || s.gang.saved != "") && !s.complete() {
		p.Tasks = append(p.Tasks, workload.TaskProgress{FailedRuns: s.gang.failed, Checkpoint: s.gang.saved})
	}
	for _, t := range s.tasks {
		if t.done {
			p.DoneTasks.Set(t.index)
			continue
		}
		if s.gang == nil && (len(t.failed) > 0 || t.saved != "") {
			p.Tasks = append(p.Tasks, workload.TaskProgress{Index: t.index, FailedRuns: t.failed, Checkpoint: t.saved})
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
