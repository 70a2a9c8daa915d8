package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// speedEstimator estimates the speed of workers: the estimated run time of tasks divided by
// the actual one, relative to the mean of all workers.
type speedEstimator struct{ all speedEstimate }

type speedEstimate struct {
	ratio   float64
	samples int
}

// speedSmoothing is the weight of a new sample in the moving average.
const speedSmoothing = 0.2

func (s *speedEstimate) add(ratio float64) {
	s.samples++
	gain := max(speedSmoothing, 1/float64(s.samples))
	s.ratio += gain * (ratio - s.ratio)
}

// add adds the estimated and the actual run time of a task on a worker.
func (e *speedEstimator) add(w *worker, estimate, actual time.Duration) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	ratio := float64(estimate) / float64(actual)
	w.speed.add(ratio)
	e.all.add(ratio)
}

// minSpeedSamples is the number of samples below which a worker is assumed to have average
// speed.
const minSpeedSamples = 2

// relativeSpeed returns the speed of a worker relative to the mean, 1 for an average worker.
func (e *speedEstimator) relativeSpeed(w *worker) float64 {
	if w.speed.samples < minSpeedSamples || e.all.ratio <= 0 {
		return 1
	}
	return min(max(w.speed.ratio/e.all.ratio, 0.1), 3)
}

// healthRecord holds the recent failures on one boot of a worker.
type healthRecord struct {
	boot                int64
	consecutiveFailures int
	avoidUntil          time.Time
}

const (
	// failuresToAvoid is the number of consecutive failures after which a worker is avoided.
	failuresToAvoid = 2
	// minAvoidTime and maxAvoidTime bound the time for which a worker is avoided.
	minAvoidTime = time.Second
	maxAvoidTime = 8 * time.Second
)

// maxAvoidedShare is the largest share of the workers that is avoided. If more seem bad, the
// cause is more likely in the tasks or in something that all workers share.
const maxAvoidedShare = 0.34

// markAvoided marks the usable workers that a placement pass avoids. It marks none if more
// than maxAvoidedShare of them would be avoided.
func markAvoided(pool []*worker, now time.Time) {
	bad := 0
	for _, w := range pool {
		w.avoided = w.shouldAvoid(now)
		if w.avoided {
			bad++
		}
	}
	if float64(bad) <= maxAvoidedShare*float64(len(pool)) {
		return
	}
	for _, w := range pool {
		w.avoided = false
	}
}

// shouldAvoid reports whether runs have recently failed or stalled on the worker.
func (w *worker) shouldAvoid(now time.Time) bool {
	return w.health.boot == w.boot && now.Before(w.health.avoidUntil)
}

// currentHealth returns the health record of the worker's current boot.
func (w *worker) currentHealth() *healthRecord {
	if w.health.boot != w.boot {
		w.health = healthRecord{boot: w.boot}
	}
	return &w.health
}

func (w *worker) noteSuccess() {
	r := w.currentHealth()
	r.consecutiveFailures = 0
	r.avoidUntil = time.Time{}
}

func (w *worker) noteFailure(now time.Time) {
	r := w.currentHealth()
	r.consecutiveFailures++
	if r.consecutiveFailures >= failuresToAvoid {
		r.avoidUntil = now.Add(min(minAvoidTime<<min(r.consecutiveFailures-failuresToAvoid, 8), maxAvoidTime))
	}
}

// stalledAvoidTime is how long a worker with stalled runs is avoided after the last poll that
// showed them.
const stalledAvoidTime = 1500 * time.Millisecond

// noteStalled records that runs are stalled on the worker.
func (w *worker) noteStalled(now time.Time) {
	r := w.currentHealth()
	if until := now.Add(stalledAvoidTime); until.After(r.avoidUntil) {
		r.avoidUntil = until
	}
}

// updateWorkerStats updates the health and the speed of a worker from the end of a run.
func (c *Controller) updateWorkerStats(t *task, r *run, e *workload.EndedTask, now time.Time) {
	if r == nil {
		return
	}
	switch e.Reason {
	case workload.EndDone:
		r.worker.noteSuccess()
		if !r.resumed && !r.confirmedAt.IsZero() && t.step.gang == nil {
			c.speeds.add(r.worker, t.step.def.Estimate(), now.Sub(r.confirmedAt))
		}
	case workload.EndFailed:
		r.worker.noteFailure(now)
	}
}
