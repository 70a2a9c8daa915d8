package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// speedBook holds the learnt speeds of workers: the estimated run time of tasks over
// the real one, against the mean of all.
type speedBook struct {
	workers map[string]*speed
	all     speed
}

type speed struct {
	ratio float64
	n     int
}

// speedGain is the weight of a new reading.
const speedGain = 0.2

func newSpeedBook() speedBook { return speedBook{workers: map[string]*speed{}} }

func (s *speed) add(ratio float64) {
	s.n++
	gain := max(speedGain, 1/float64(s.n))
	s.ratio += gain * (ratio - s.ratio)
}

// add takes the estimated and the real run time of a task.
func (b *speedBook) add(id string, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	ratio := float64(estimate) / float64(took)
	s := b.workers[id]
	if s == nil {
		s = &speed{}
		b.workers[id] = s
	}
	s.add(ratio)
	b.all.add(ratio)
}

// speedLeast is the number of readings below which a worker counts as an average one.
const speedLeast = 2

// of returns the speed of a worker, 1 for an average one.
func (b *speedBook) of(w *worker) float64 {
	s := b.workers[w.info.ID]
	if s == nil || s.n < speedLeast || b.all.ratio <= 0 {
		return 1
	}
	return min(max(s.ratio/b.all.ratio, 0.1), 3)
}

func (b *speedBook) forget(id string) { delete(b.workers, id) }

// healthBook tells workers that fail what succeeds elsewhere.
type healthBook struct {
	workers map[*worker]*healthRecord
	// many says that so many workers seem bad that the fault lies elsewhere: none is
	// avoided then.
	many bool
}

type healthRecord struct {
	boot    int64
	streak  int // failures in a row
	avoidTo time.Time
}

func newHealthBook() *healthBook { return &healthBook{workers: map[*worker]*healthRecord{}} }

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

// limit takes in how many of the usable workers seem bad.
func (h *healthBook) limit(pool []*worker, now time.Time) {
	bad := 0
	for _, w := range pool {
		if h.suspect(w, now) {
			bad++
		}
	}
	h.many = float64(bad) > mostAvoided*float64(len(pool))
}

// bad reports whether a worker is avoided.
func (h *healthBook) bad(w *worker, now time.Time) bool {
	return !h.many && h.suspect(w, now)
}

// suspect reports whether a worker has failed what it was given lately.
func (h *healthBook) suspect(w *worker, now time.Time) bool {
	r := h.workers[w]
	return r != nil && r.boot == w.boot && now.Before(r.avoidTo)
}

func (h *healthBook) record(w *worker) *healthRecord {
	r := h.workers[w]
	if r == nil || r.boot != w.boot {
		r = &healthRecord{boot: w.boot}
		h.workers[w] = r
	}
	return r
}

func (h *healthBook) succeeded(w *worker) {
	r := h.record(w)
	r.streak = 0
	r.avoidTo = time.Time{}
}

func (h *healthBook) failed(w *worker, now time.Time) {
	r := h.record(w)
	r.streak++
	if r.streak >= badStreak {
		r.avoidTo = now.Add(min(avoidLeast<<min(r.streak-badStreak, 8), avoidMost))
	}
}

// stuckFor is how long a worker on which runs stand still is avoided after the last sight
// of that.
const stuckFor = 1500 * time.Millisecond

// stuck notes that runs stand still on a worker.
func (h *healthBook) stuck(w *worker, now time.Time) {
	r := h.record(w)
	if to := now.Add(stuckFor); to.After(r.avoidTo) {
		r.avoidTo = to
	}
}

// learn takes what the end of a run tells about its worker.
func (c *Controller) learn(t *task, r *run, e *workload.EndedTask, now time.Time) {
	if r == nil {
		return
	}
	switch e.How {
	case workload.EndDone:
		c.health.succeeded(r.w)
		if !r.resumed && !r.confirmed.IsZero() && t.step.gang == nil {
			c.speeds.add(r.w.info.ID, t.step.def.Estimate(), now.Sub(r.confirmed))
		}
	case workload.EndFailed:
		c.health.failed(r.w, now)
	}
}
