package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// speedBook compares the learnt speeds of workers: the estimated run time of tasks over
// the real one, against the mean of all.
type speedBook struct{ all speed }

type speed struct {
	ratio float64
	n     int
}

// speedGain is the weight of a new reading.
const speedGain = 0.2

func (s *speed) add(ratio float64) {
	s.n++
	gain := max(speedGain, 1/float64(s.n))
	s.ratio += gain * (ratio - s.ratio)
}

// add takes the estimated and the real run time of a task.
func (b *speedBook) add(w *worker, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := float64(estimate) / float64(took)
	w.speed.add(ratio)
	b.all.add(ratio)
}

// speedLeast is the number of readings below which a worker counts as an average one.
const speedLeast = 2

// of returns the speed of a worker, 1 for an average one.
func (b *speedBook) of(w *worker) float64 {
	if w.speed.n < speedLeast || b.all.ratio <= 0 {
		return 1
	}
	return min(max(w.speed.ratio/b.all.ratio, 0.1), 3)
}

// healthRecord is how one boot of a worker has done lately.
type healthRecord struct {
	boot    int64
	streak  int // failures in a row
	avoidTo time.Time
}

const (
	// badStreak is the number of failures in a row after which a worker is avoided.
	badStreak = 2
	// avoidLeast and avoidMost bound the time for which it is.
	avoidLeast = time.Second
	avoidMost  = 8 * time.Second
)

// mostAvoided is the largest share of the workers that is avoided: beyond it the tasks, or
// something that all workers share, are more likely at fault.
const mostAvoided = 0.34

// markAvoided marks those of the usable workers that are avoided in a pass of placement.
// Where too many seem bad none is.
func markAvoided(pool []*worker, now time.Time) {
	bad := 0
	for _, w := range pool {
		w.avoided = w.suspect(now)
		if w.avoided {
			bad++
		}
	}
	if float64(bad) <= mostAvoided*float64(len(pool)) {
		return
	}
	for _, w := range pool {
		w.avoided = false
	}
}

// suspect reports whether a worker has failed what it was given lately.
func (w *worker) suspect(now time.Time) bool {
	return w.health.boot == w.boot && now.Before(w.health.avoidTo)
}

// record returns how the present boot of a worker has done.
func (w *worker) record() *healthRecord {
	if w.health.boot != w.boot {
		w.health = healthRecord{boot: w.boot}
	}
	return &w.health
}

func (w *worker) succeeded() {
	r := w.record()
	r.streak = 0
	r.avoidTo = time.Time{}
}

func (w *worker) failed(now time.Time) {
	r := w.record()
	r.streak++
	if r.streak >= badStreak {
		r.avoidTo = now.Add(min(avoidLeast<<min(r.streak-badStreak, 8), avoidMost))
	}
}

// stuckFor is how long a worker on which runs stand still is avoided after the last sight
// of that.
const stuckFor = 1500 * time.Millisecond

// stuck notes that runs stand still on a worker.
func (w *worker) stuck(now time.Time) {
	r := w.record()
	if to := now.Add(stuckFor); to.After(r.avoidTo) {
		r.avoidTo = to
	}
}

// learn takes what the end of a run tells about its worker.
func (c *Controller) learn(t *task, r *run, e *workload.EndedTask, now time.Time) {
	if r == nil {
		return
	}
	switch e.Reason {
	case workload.EndDone:
		r.w.succeeded()
		if !r.resumed && !r.confirmed.IsZero() && t.step.gang == nil {
			c.speeds.add(r.w, t.step.def.Estimate(), now.Sub(r.confirmed))
		}
	case workload.EndFailed:
		r.w.failed(now)
	}
}
