package health

import (
	"cmp"
	"slices"
	"time"
)

const (
	// parkCredible is the number of different workers that otherwise succeed on
	// which a job must fail, without any success, before it is parked.
	parkCredible = 3
	// parkAny is the same number for workers of which nothing is known.
	parkAny = 8
	// parkFailures is the number of failures below which no job is parked.
	parkFailures = 3
	// avoidMost is the largest number of workers that a job avoids.
	avoidMost = 8
	// probationShare bounds the workers on probation to one in so many, so that a
	// fault that all of them share does not stop the cell.
	probationShare = 4
)

// StatusChange is a verdict that a result brought about.
type StatusChange struct {
	// Worker goes on probation, or comes off it.
	Worker    string
	Probation bool
	// Job is parked since it fails everywhere.
	Job string
}

// Tracker keeps the results of tasks by job and worker. A failure is a worker's
// fault if the same job succeeds elsewhere, be it before or after; a job that fails
// on several workers and succeeds on none is parked.
type Tracker struct {
	workers     map[string]*workerRecord
	jobs        map[string]*jobRecord
	total       int
	onProbation int
}

// NewTracker returns a tracker without results.
func NewTracker() *Tracker {
	return &Tracker{workers: make(map[string]*workerRecord), jobs: make(map[string]*jobRecord)}
}

// SetUsableWorkers sets the number of usable workers, those on probation included.
func (t *Tracker) SetUsableWorkers(n int) { t.total = n }

// RecordSuccess records that a task of a job ended well on a worker.
func (t *Tracker) RecordSuccess(now time.Time, job, worker string) []StatusChange {
	j := t.job(job)
	w := t.worker(worker)
	j.ok[worker]++
	delete(j.open, worker)
	w.succeed()
	changes := t.probePassed(worker, w)
	return append(changes, t.explain(now, j, worker)...)
}

// explain blames the workers on which the job had failed before it succeeded here.
func (t *Tracker) explain(now time.Time, j *jobRecord, here string) []StatusChange {
	var changes []StatusChange
	for _, worker := range sortedKeys(j.open) {
		if worker == here {
			continue
		}
		w := t.worker(worker)
		for range j.open[worker] {
			w.count(1)
		}
		delete(j.open, worker)
		changes = append(changes, t.judge(now, worker, w)...)
	}
	return changes
}

// RecordFailure records that a task of a job ended badly on a worker.
func (t *Tracker) RecordFailure(now time.Time, job, worker string) []StatusChange {
	j := t.job(job)
	w := t.worker(worker)
	j.failed[worker]++
	w.fail(job)
	if j.succeedsElsewhere(worker) {
		w.count(1)
	} else {
		j.open[worker]++
	}
	if w.probation {
		w.probeFailed(now)
		return nil
	}
	return append(t.judge(now, worker, w), t.judgeJob(job, j)...)
}

// judge puts a bad worker on probation if the bound allows it.
func (t *Tracker) judge(now time.Time, worker string, w *workerRecord) []StatusChange {
	if w.probation || !w.bad() {
		return nil
	}
	if (t.onProbation+1)*probationShare > max(t.total, probationShare) {
		return nil
	}
	t.onProbation++
	w.probation = true
	w.passed = 0
	w.backoff = backoff{}
	w.backoff.fail(now, probeLeast, probeMost)
	return []StatusChange{{Worker: worker, Probation: true}}
}

// judgeJob parks a job that fails everywhere. Workers on probation tell nothing.
func (t *Tracker) judgeJob(job string, j *jobRecord) []StatusChange {
	if j.parked || len(j.ok) > 0 {
		return nil
	}
	failures, credible, any := 0, 0, 0
	for worker, failed := range j.failed {
		w := t.worker(worker)
		if w.probation {
			continue
		}
		failures += failed
		any++
		if w.credible(job) {
			credible++
		}
	}
	usable := max(t.total-t.onProbation, 1)
	everywhere := credible >= min(parkCredible, usable) || any >= min(parkAny, usable)
	if failures < parkFailures || !everywhere {
		return nil
	}
	j.parked = true
	return []StatusChange{{Job: job}}
}

// probePassed counts a successful probe. A task that was started before the
// probation is none.
func (t *Tracker) probePassed(worker string, w *workerRecord) []StatusChange {
	if !w.probing {
		return nil
	}
	w.probing = false
	w.passed++
	if w.passed < probeSuccesses {
		w.backoff.due = time.Time{}
		return nil
	}
	t.onProbation--
	t.workers[worker] = &workerRecord{succeeded: true}
	return []StatusChange{{Worker: worker}}
}

// probeFailed doubles the wait for the next probe. A task that was started before the
// probation is none.
func (w *workerRecord) probeFailed(now time.Time) {
	if !w.probing {
		return
	}
	w.passed = 0
	w.probing = false
	w.backoff.fail(now, probeLeast, probeMost)
}

// ProbesDue returns the workers on probation that may get one task now, by name.
func (t *Tracker) ProbesDue(now time.Time) []string {
	var due []string
	for worker, w := range t.workers {
		if w.probation && !w.probing && !now.Before(w.backoff.due) {
			due = append(due, worker)
		}
	}
	slices.Sort(due)
	return due
}

// RecordProbeSent tells that a worker on probation got a task.
func (t *Tracker) RecordProbeSent(worker string) {
	if w := t.workers[worker]; w != nil {
		w.probing = w.probation
	}
}

// RecordProbeLost tells that a probe ended without a result, such as by a cancellation.
func (t *Tracker) RecordProbeLost(worker string) {
	if w := t.workers[worker]; w != nil {
		w.probing = false
	}
}

// OnProbation reports whether a worker is on probation.
func (t *Tracker) OnProbation(worker string) bool {
	w := t.workers[worker]
	return w != nil && w.probation
}

// JobParked reports whether a job fails everywhere.
func (t *Tracker) JobParked(job string) bool {
	j := t.jobs[job]
	return j != nil && j.parked
}

// WorkersToAvoid returns workers on which a job fails more often than it succeeds, the worst
// first. It never names more than half of the workers.
func (t *Tracker) WorkersToAvoid(job string) []string {
	j := t.jobs[job]
	if j == nil {
		return nil
	}
	var avoid []string
	for _, worker := range sortedKeys(j.failed) {
		if j.failed[worker] > j.ok[worker] {
			avoid = append(avoid, worker)
		}
	}
	slices.SortStableFunc(avoid, func(a, b string) int {
		return cmp.Compare(j.failed[b]-j.ok[b], j.failed[a]-j.ok[a])
	})
	return avoid[:min(len(avoid), avoidMost, t.total/2)]
}

// ForgetJob drops the record of a job that has ended.
func (t *Tracker) ForgetJob(job string) { delete(t.jobs, job) }

// ForgetWorker drops the record of a worker that is gone or was restarted.
func (t *Tracker) ForgetWorker(worker string) {
	if t.OnProbation(worker) {
		t.onProbation--
	}
	delete(t.workers, worker)
}

// job returns the record of a job.
func (t *Tracker) job(job string) *jobRecord {
	j := t.jobs[job]
	if j == nil {
		j = newJobRecord()
		t.jobs[job] = j
	}
	return j
}

// worker returns the record of a worker.
func (t *Tracker) worker(worker string) *workerRecord {
	w := t.workers[worker]
	if w == nil {
		w = &workerRecord{}
		t.workers[worker] = w
	}
	return w
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
