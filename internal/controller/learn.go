package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// speedEstimator compares the learnt speeds of workers: the estimated run time of tasks over
// the real one, against the mean of all.
type speedEstimator struct{ all speedEstimate }

type speedEstimate struct {
	ratio   float64
	samples int
}

// speedSmoothing is the weight of a new reading.
const speedSmoothing = 0.2

func (s *speedEstimate) add(ratio float64) {
	s.samples++
	gain := max(speedSmoothing, 1/float64(s.samples))
	s.ratio += gain * (ratio - s.ratio)
}

// add takes the estimated and the real run time of a task.
func (b *speedEstimator) add(w *worker, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := float64(estimate) / float64(took)
	w.speed.add(ratio)
	b.all.add(ratio)
}

// minSpeedSamples is the number of readings below which a worker counts as an average one.
const minSpeedSamples = 2

// relativeSpeed returns the speed of a worker, 1 for an average one.
func (b *speedEstimator) relativeSpeed(w *worker) float64 {
	if w.speed.samples < minSpeedSamples || b.all.ratio <= 0 {
		return 1
	}
	return min(max(w.speed.ratio/b.all.ratio, 0.1), 3)
}

// healthRecord is how one boot of a worker has done lately.
type healthRecord struct {
	boot                int64
	consecutiveFailures int // failures in a row
	avoidUntil          time.Time
}

const (
	// failuresToAvoid is the number of failures in a row after which a worker is avoided.
	failuresToAvoid = 2
	// minAvoidTime and maxAvoidTime bound the time for which it is.
	minAvoidTime = time.Second
	maxAvoidTime = 8 * time.Second
)

// maxAvoidedShare is the largest share of the workers that is avoided: beyond it the tasks, or
// something that all workers share, are more likely at fault.
const maxAvoidedShare = 0.34

// markAvoided marks those of the usable workers that are avoided in a pass of placement.
// Where too many seem bad none is.
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

// shouldAvoid reports whether a worker has failed what it was given lately.
func (w *worker) shouldAvoid(now time.Time) bool {
	return w.health.boot == w.boot && now.Before(w.health.avoidUntil)
}

// currentHealth returns how the present boot of a worker has done.
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

// stalledAvoidTime is how long a worker on which runs stand still is avoided after the last sight
// of that.
const stalledAvoidTime = 1500 * time.Millisecond

// noteStalled notes that runs stand still on a worker.
func (w *worker) noteStalled(now time.Time) {
	r := w.currentHealth()
	if to := now.Add(stalledAvoidTime); to.After(r.avoidUntil) {
		r.avoidUntil = to
	}
}

// updateWorkerStats takes what the end of a run tells about its worker.
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
