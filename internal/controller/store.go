package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"dotterelhitch/internal/leaderlease"
	"dotterelhitch/internal/workload"
)

// Record is one keyed record of the cell's store.
type Record struct {
	Key string
	// Value is the encoded value. An empty value deletes the key.
	Value []byte
}

// Prefixes of the keys of jobs, of their progress and of workers that may be in use.
const (
	jobPrefix      = "j/"
	progressPrefix = "p/"
	workerPrefix   = "w/"
	// predecessorsEndedKey holds the newest epoch for which it is known that no controller of
	// an earlier epoch issues orders any more.
	predecessorsEndedKey = "m/ended"
	// leaseRecordKey holds a leaderlease.Record.
	leaseRecordKey = "m/leases"
)

// Batch is a set of changes to be stored in one append.
type Batch struct {
	Records []Record
	// Accepted are the IDs of the jobs that the batch stores for the first time, Ended those
	// whose final state it stores.
	Accepted []string
	Ended    []string

	jobs       []batchJob
	acks       []endAck
	registered []registration
	starts     []batchedStart
	// witnesses are those of the controller's leader lease, nil if the batch holds none.
	witnesses *leaderlease.WitnessSet
	// leaseRecordVersion is that of the lease record in the batch, zero if there is none.
	leaseRecordVersion int
}

// registration is the record of a worker that may be in use, in a batch.
type registration struct {
	worker *worker
	record workerRecord
}

// batchJob is a job in a batch, with the version of its progress that the batch holds.
type batchJob struct {
	job             *job
	progressVersion int
}

// Soft limits of a batch.
const (
	maxBatchBytes   = 1 << 20
	maxBatchRecords = 2000
)

// dirtySet holds the changes that are in no batch yet: accepted jobs and registered workers to
// be stored, and the new progress of changed jobs. The records of retired jobs and
// unregistered workers, and the progress of dropped jobs, are to be deleted.
type dirtySet struct {
	accepted     map[*job]struct{}
	changed      map[*job]struct{}
	retired      map[*job]struct{}
	dropped      map[string]struct{}
	registered   map[*worker]struct{}
	unregistered map[string]struct{}
	// predecessorsEnded says that the end of all earlier controllers is to be stored.
	predecessorsEnded bool
	// leaseRecord says that the leaderlease.Record is to be stored.
	leaseRecord bool
	// elapsedMs is the reading of the elapsed time to store, zero if there is none.
	elapsedMs int64
	// startRecords says that a startRecord has a start to store.
	startRecords bool
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

func (d *dirtySet) accept(j *job)  { d.accepted[j] = struct{}{} }
func (d *dirtySet) change(j *job)  { d.changed[j] = struct{}{} }
func (d *dirtySet) retire(j *job)  { d.retired[j] = struct{}{} }
func (d *dirtySet) drop(id string) { d.dropped[id] = struct{}{} }

// register adds the record that a worker may be in use.
func (d *dirtySet) register(w *worker) {
	d.registered[w] = struct{}{}
	delete(d.unregistered, w.info.ID)
}

// unregister adds the deletion of a worker's record.
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
	return n == 0 && !d.predecessorsEnded && !d.leaseRecord && d.elapsedMs == 0 && !d.startRecords
}

// markProgressDirty records that the progress of a job has changed. While the acceptance of the job is in a batch that is
// in flight, the progress waits until that is stored: the acceptance may still be withdrawn, and the progress would then
// count for a later submission of the same ID.
func (c *Controller) markProgressDirty(j *job) {
	j.progressVersion++
	if _, unbatched := c.dirty.accepted[j]; !j.stored && !unbatched {
		return
	}
	c.dirty.change(j)
}

// hasUnstoredProgress reports whether the job's progress has changed since it was last
// stored.
func (j *job) hasUnstoredProgress() bool { return j.progressVersion != j.storedProgressVersion }

// HasUnstoredChanges reports whether there are changes for the next batch.
func (c *Controller) HasUnstoredChanges() bool { return !c.dirty.empty() }

// DropUnbatchedSubmissions drops the submitted jobs that are in no batch and returns their
// IDs. They certainly never run.
func (c *Controller) DropUnbatchedSubmissions() []string {
	var ids []string
	for j := range c.dirty.accepted {
		ids = append(ids, j.spec.ID)
		c.forgetUnstored(j)
	}
	return ids
}

// WithdrawSubmissions removes the submitted jobs from a batch of which nothing is stored,
// drops them and returns their IDs. They certainly never run.
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

// forgetUnstored drops a job that is not in the store.
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

// NextBatch returns the changes to store next, or nil if there are none. Changes beyond the
// size limits are left for the following batch.
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
	if c.dirty.leaseRecord {
		c.dirty.leaseRecord = false
		b.witnesses = c.lease.Proposed()
		if b.witnesses != nil {
			c.lease.Storing(b.witnesses)
		}
		add(leaseRecordKey, mustJSON(c.nextLeaseRecord(b.witnesses)))
		b.leaseRecordVersion = c.leaseRecordVersion
	}
	if c.dirty.elapsedMs > 0 {
		add(elapsedRecordKey, mustJSON(c.dirty.elapsedMs))
		c.dirty.elapsedMs = 0
	}
	for w := range c.dirty.registered {
		delete(c.dirty.registered, w)
		record := workerRecord{Addr: w.info.Addr, Capacity: w.info.Capacity}
		add(workerPrefix+w.info.ID, mustJSON(record))
		b.registered = append(b.registered, registration{worker: w, record: record})
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
		add(progressPrefix+j.spec.ID, mustJSON(j.progress(&c.elapsed)))
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
		if later := c.jobs[j.spec.ID]; later != nil && later != j {
			// The record is that of a job which was accepted since.
			continue
		}
		add(jobPrefix+j.spec.ID, nil)
	}
	for id := range c.dirty.dropped {
		if full() {
			break
		}
		delete(c.dirty.dropped, id)
		add(progressPrefix+id, nil)
	}
	c.addStartRecords(b, add, full)
	if len(b.Records) == 0 {
		return nil
	}
	return b
}

// BatchStored records that a batch was stored.
func (c *Controller) BatchStored(b *Batch, now time.Time) {
	for _, bj := range b.jobs {
		bj.job.storedProgressVersion = max(bj.job.storedProgressVersion, bj.progressVersion)
	}
	for _, bj := range b.jobs {
		c.jobStored(bj.job, now)
	}
	for _, id := range b.Ended {
		if j := c.jobs[id]; j != nil {
			c.endStored(j, now)
		}
	}
	for _, ack := range b.acks {
		c.ackEnd(ack, now)
	}
	if b.leaseRecordVersion > 0 {
		c.leaseRecordStored(b.leaseRecordVersion)
	}
	if b.witnesses != nil {
		c.lease.Stored(b.witnesses)
	}
	for _, reg := range b.registered {
		reg.worker.storedAddr = reg.record.Addr
		reg.worker.storedCapacity = reg.record.Capacity
		reg.worker.registered = reg.worker.describedBy(&reg.record)
	}
	c.recordsStalled = false
	c.startsStored(b.starts)
	c.requestPlacement(now)
}

// jobStored makes the tasks of a newly stored job startable.
func (c *Controller) jobStored(j *job, now time.Time) {
	if j.stored {
		return
	}
	j.stored = true
	if j.hasUnstoredProgress() {
		c.dirty.change(j)
	}
	c.waiting.update(j)
	c.recordAccepted(j, now)
	for _, occ := range j.open {
		for _, s := range occ.steps {
			c.updateStepSets(s)
		}
	}
}

// endStored records that the final state of a job is stored, and stops the runs that are
// left.
func (c *Controller) endStored(j *job, now time.Time) {
	if j.endStored {
		return
	}
	j.endStored = true
	c.ended = append(c.ended, j)
	c.stopRuns(j, now)
	if j.runCount == 0 {
		c.retire(j)
	}
}

// retire has the record of an ended job deleted. While runs of it that are not known may go on, its team and the size
// of its tasks are needed.
func (c *Controller) retire(j *job) {
	if !c.takeoverComplete && j.runNumberBase > 0 {
		c.unretiredJobs = append(c.unretiredJobs, j)
		return
	}
	c.deleteRecord(j)
}

// deleteRecord has the record of an ended job deleted, unless that was done before.
func (c *Controller) deleteRecord(j *job) {
	if !j.retired {
		j.retired = true
		c.dirty.retire(j)
	}
}

// progress returns the job's progress as it is stored.
func (j *job) progress(elapsed *elapsedTime) *workload.Progress {
	p := &workload.Progress{State: j.state, DoneBelow: j.doneBelow}
	if j.ended() {
		p.EndedMs = j.endedAt.UnixMilli()
		p.EndedElapsedMs = elapsed.readingAt(j.endedAt)
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
	for _, t := range s.tasks {
		if t.done {
			p.DoneTasks.Set(t.index)
			continue
		}
		if tp, any := t.progress(); any {
			p.Tasks = append(p.Tasks, tp)
		}
	}
	return p, len(p.DoneTasks) > 0 || len(p.Tasks) > 0
}

// progress returns the results of a task's earlier runs, and false if there are none. The first
// task of a gang has those of the gang.
func (t *task) progress() (workload.TaskProgress, bool) {
	tp := workload.TaskProgress{Index: t.index, Crashes: t.crashes, Test: t.test}
	switch g := t.step.gang; {
	case g == nil:
		tp.FailedRuns, tp.Checkpoint = t.failedRuns, t.checkpoint
	case t.index == 0:
		tp.FailedRuns, tp.Checkpoint = g.failedRuns, g.checkpoint
	}
	return tp, len(tp.FailedRuns) > 0 || tp.Checkpoint != "" || len(tp.Crashes) > 0 || tp.Test != nil
}

// mustJSON encodes a value of the controller's own types, for which encoding can't fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
