package health

import (
	"cmp"
	"slices"
	"time"
)

const (
	// parkCredibleWorkers is the number of different workers, all of them succeeding
	// with other jobs, on which a job must fail without any success before it is
	// parked.
	parkCredibleWorkers = 3
	// parkAnyWorkers is the same number for any workers, including those without a
	// known success.
	parkAnyWorkers = 8
	// minParkFailures is the minimum number of failures before a job is parked.
	minParkFailures = 3
	// maxAvoidedWorkers is the maximum number of workers that a job avoids.
	maxAvoidedWorkers = 8
	// maxProbationDivisor bounds the share of workers on probation to
	// 1/maxProbationDivisor, so that a fault common to all workers does not stop the
	// cell.
	maxProbationDivisor = 4
)

// StatusChange is a change of status caused by a task result.
type StatusChange struct {
	// Worker is put on probation, or its probation ends, as given by Probation.
	Worker    string
	Probation bool
	// Job is parked because it fails everywhere.
	Job string
}

// Tracker records the results of tasks by job and worker. A failure is attributed to
// the worker if the same job succeeds on another one, before or after the failure. A
// job that fails on several workers and succeeds on none is parked.
type Tracker struct {
	workers        map[string]*workerRecord
	jobs           map[string]*jobRecord
	usableWorkers  int
	probationCount int
}

// NewTracker returns a tracker without results.
func NewTracker() *Tracker {
	return &Tracker{workers: make(map[string]*workerRecord), jobs: make(map[string]*jobRecord)}
}

// SetUsableWorkers sets the number of usable workers, including those on probation.
func (t *Tracker) SetUsableWorkers(n int) { t.usableWorkers = n }

// RecordSuccess records that a task of a job succeeded on a worker.
func (t *Tracker) RecordSuccess(now time.Time, job, worker string) []StatusChange {
	j := t.jobRecord(job)
	w := t.workerRecord(worker)
	j.succeeded[worker]++
	delete(j.unexplained, worker)
	w.recordSuccess()
	changes := t.recordProbeSuccess(worker, w)
	return append(changes, t.blameEarlierFailures(now, j, worker)...)
}

// blameEarlierFailures attributes the job's earlier failures on other workers to those
// workers, now that the job has succeeded on one.
func (t *Tracker) blameEarlierFailures(now time.Time, j *jobRecord, succeededOn string) []StatusChange {
	var changes []StatusChange
	for _, worker := range sortedKeys(j.unexplained) {
		if worker == succeededOn {
			continue
		}
		w := t.workerRecord(worker)
		for range j.unexplained[worker] {
			w.recordBlame(1)
		}
		delete(j.unexplained, worker)
		changes = append(changes, t.updateProbation(now, worker, w)...)
	}
	return changes
}

// RecordFailure records that a task of a job failed on a worker.
func (t *Tracker) RecordFailure(now time.Time, job, worker string) []StatusChange {
	j := t.jobRecord(job)
	w := t.workerRecord(worker)
	j.failed[worker]++
	w.recordFailure(job)
	if j.succeededElsewhere(worker) {
		w.recordBlame(1)
	} else {
		j.unexplained[worker]++
	}
	if w.probation {
		w.recordProbeFailure(now)
		return nil
	}
	return append(t.updateProbation(now, worker, w), t.updateParked(job, j)...)
}

// updateProbation puts a worker on probation if its results require that and the bound
// on the share of such workers permits it.
func (t *Tracker) updateProbation(now time.Time, worker string, w *workerRecord) []StatusChange {
	if w.probation || !w.needsProbation() {
		return nil
	}
	if (t.probationCount+1)*maxProbationDivisor > max(t.usableWorkers, maxProbationDivisor) {
		return nil
	}
	t.probationCount++
	w.probation = true
	w.probesPassed = 0
	w.backoff = backoff{}
	w.backoff.increase(now, minProbeWait, maxProbeWait)
	return []StatusChange{{Worker: worker, Probation: true}}
}

// updateParked parks a job that fails everywhere. Failures on workers on probation do
// not count.
func (t *Tracker) updateParked(job string, j *jobRecord) []StatusChange {
	if j.parked || len(j.succeeded) > 0 {
		return nil
	}
	failures, credibleWorkers, failedWorkers := 0, 0, 0
	for worker, failed := range j.failed {
		w := t.workerRecord(worker)
		if w.probation {
			continue
		}
		failures += failed
		failedWorkers++
		if w.isCredible(job) {
			credibleWorkers++
		}
	}
	usable := max(t.usableWorkers-t.probationCount, 1)
	everywhere := credibleWorkers >= min(parkCredibleWorkers, usable) || failedWorkers >= min(parkAnyWorkers, usable)
	if failures < minParkFailures || !everywhere {
		return nil
	}
	j.parked = true
	return []StatusChange{{Job: job}}
}

// recordProbeSuccess counts a successful probe. A task that was started before the
// probation is not a probe.
func (t *Tracker) recordProbeSuccess(worker string, w *workerRecord) []StatusChange {
	if !w.probing {
		return nil
	}
	w.probing = false
	w.probesPassed++
	if w.probesPassed < requiredProbeSuccesses {
		w.backoff.nextAttempt = time.Time{}
		return nil
	}
	t.probationCount--
	t.workers[worker] = &workerRecord{succeeded: true}
	return []StatusChange{{Worker: worker}}
}

// recordProbeFailure doubles the wait before the next probe. A task that was started
// before the probation is not a probe.
func (w *workerRecord) recordProbeFailure(now time.Time) {
	if !w.probing {
		return
	}
	w.probesPassed = 0
	w.probing = false
	w.backoff.increase(now, minProbeWait, maxProbeWait)
}

// ProbesDue returns, in order, the IDs of the workers on probation that may be given
// one task now.
func (t *Tracker) ProbesDue(now time.Time) []string {
	var due []string
	for worker, w := range t.workers {
		if w.probation && !w.probing && !now.Before(w.backoff.nextAttempt) {
			due = append(due, worker)
		}
	}
	slices.Sort(due)
	return due
}

// RecordProbeSent records that a worker on probation was given a task.
func (t *Tracker) RecordProbeSent(worker string) {
	if w := t.workers[worker]; w != nil {
		w.probing = w.probation
	}
}

// RecordProbeLost records that a probe ended without a result, for example because it
// was cancelled.
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

// JobParked reports whether a job is parked because it fails everywhere.
func (t *Tracker) JobParked(job string) bool {
	j := t.jobs[job]
	return j != nil && j.parked
}

// WorkersToAvoid returns the workers on which a job fails more often than it succeeds,
// the largest surplus of failures first. It returns at most maxAvoidedWorkers and at
// most half of the workers.
func (t *Tracker) WorkersToAvoid(job string) []string {
	j := t.jobs[job]
	if j == nil {
		return nil
	}
	var avoid []string
	for _, worker := range sortedKeys(j.failed) {
		if j.failed[worker] > j.succeeded[worker] {
			avoid = append(avoid, worker)
		}
	}
	slices.SortStableFunc(avoid, func(a, b string) int {
		return cmp.Compare(j.failed[b]-j.succeeded[b], j.failed[a]-j.succeeded[a])
	})
	return avoid[:min(len(avoid), maxAvoidedWorkers, t.usableWorkers/2)]
}

// ForgetJob deletes the record of a job that has ended.
func (t *Tracker) ForgetJob(job string) { delete(t.jobs, job) }

// ForgetWorker deletes the record of a worker that was removed or restarted.
func (t *Tracker) ForgetWorker(worker string) {
	if t.OnProbation(worker) {
		t.probationCount--
	}
	delete(t.workers, worker)
}

// jobRecord returns the record of a job and creates it if needed.
func (t *Tracker) jobRecord(job string) *jobRecord {
	j := t.jobs[job]
	if j == nil {
		j = newJobRecord()
		t.jobs[job] = j
	}
	return j
}

// workerRecord returns the record of a worker and creates it if needed.
func (t *Tracker) workerRecord(worker string) *workerRecord {
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
