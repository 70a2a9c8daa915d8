package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/runtimes"
	"dotterelhitch/internal/workload"
)

// speedEstimator estimates the speed of workers: the expected run time of tasks divided by
// the actual one, relative to the median of all workers. The median is that of the workers and not of the samples,
// so that neither a few tasks with wrong estimates nor a few fast workers make the others count as slow.
type speedEstimator struct {
	median float64
	// samples counts all samples, sinceMedian those since the median was computed.
	samples, sinceMedian int
}

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

// add adds the expected and the actual run time of a task on one of the workers.
func (e *speedEstimator) add(w *worker, workers map[string]*worker, expected, actual time.Duration) {
	if expected <= 0 || actual <= 0 {
		return
	}
	w.speed.add(float64(expected) / float64(actual))
	e.samples++
	e.sinceMedian++
	// With about one sample per worker between two updates, the cost of a sample stays low.
	if e.sinceMedian >= min(len(workers), e.samples/2) {
		e.updateMedian(workers)
	}
}

// updateMedian computes the median speed of the workers with enough samples.
func (e *speedEstimator) updateMedian(workers map[string]*worker) {
	e.sinceMedian = 0
	ratios := make([]float64, 0, len(workers))
	for _, w := range workers {
		if w.speed.samples >= minSpeedSamples {
			ratios = append(ratios, w.speed.ratio)
		}
	}
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	e.median = (ratios[(len(ratios)-1)/2] + ratios[len(ratios)/2]) / 2
}

// minSpeedSamples is the number of samples below which a worker is assumed to have average
// speed.
const minSpeedSamples = 2

// relativeSpeed returns the speed of a worker relative to the median, 1 for an average worker.
func (e *speedEstimator) relativeSpeed(w *worker) float64 {
	if w.speed.samples < minSpeedSamples || e.median <= 0 {
		return 1
	}
	return min(max(w.speed.ratio/e.median, 0.1), 3)
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
		avoided := r.worker.shouldAvoid(now)
		r.worker.noteSuccess()
		if !r.resumed && !r.confirmedAt.IsZero() && t.step.gang == nil {
			c.speeds.add(r.worker, c.workers, c.runTimeForSpeed(r, now), now.Sub(r.confirmedAt))
		}
		if !avoided {
			c.learnRunTime(t, r, now)
		}
	case workload.EndFailed:
		r.worker.noteFailure(now)
	}
}

// LearnRunTimes makes the controller predict run times from finished runs instead of using the stated ones alone. It
// has to be called before the first job is added.
func (c *Controller) LearnRunTimes() { c.runTimes = runtimes.NewEstimator() }

// LearnedRunTimes returns what was learned of each class.
func (c *Controller) LearnedRunTimes() []runtimes.Summary {
	if c.runTimes == nil {
		return nil
	}
	return c.runTimes.Summaries()
}

const (
	// expectationPeriod is how long the expected run time of a step is used before it is computed again from the runs
	// that go on.
	expectationPeriod = 250 * time.Millisecond
	// maxStartUncertainty and maxEndUncertainty bound how far the start and the end of a run may be from when the
	// controller learned of them, beyond the time that a poll waits, for the run time to count.
	maxStartUncertainty = 200 * time.Millisecond
	maxEndUncertainty   = 300 * time.Millisecond
)

// learnRunTime adds the run time of a task that is done, if its start and its end are certain and nothing has slowed
// the run down. r is no longer among the task's runs.
func (c *Controller) learnRunTime(t *task, r *run, now time.Time) {
	s := t.step
	if c.runTimes == nil || t.done || s.def.LongRunning || s.def.EstimateMs == 0 || !c.undisturbed(r, now) {
		return
	}
	startedAt, speed := r.confirmedAt, c.speeds.relativeSpeed(r.worker)
	if s.gang != nil {
		// All members work from the start of the last one on, at the pace of the slowest.
		for _, member := range s.tasks {
			for _, other := range member.runs {
				if other.number != r.number || !c.undisturbed(other, now) {
					return
				}
				speed = min(speed, c.speeds.relativeSpeed(other.worker))
				if other.confirmedAt.After(startedAt) {
					startedAt = other.confirmedAt
				}
			}
		}
	}
	c.stepRunTimes(s).Finished(time.Duration(float64(now.Sub(startedAt)) * speed))
	s.expectedDue = time.Time{}
}

// undisturbed reports whether a run whose end is listed now tells how long its task takes.
func (c *Controller) undisturbed(r *run, now time.Time) bool {
	w, def := r.worker, r.task.step.def
	seen := r.confirmedAt
	if r.percentAt.After(seen) {
		seen = r.percentAt
	}
	switch {
	case r.resumed || r.copyMayArrive || r.confirmedAt.IsZero() || r.confirmedAt.Sub(r.startSent) > maxStartUncertainty:
		return false
	case now.Sub(seen) > c.timing.PollWait+maxEndUncertainty:
		return false
	case def.DataRack != "" && def.DataRack != w.info.Rack:
		return false
	}
	return !w.shouldAvoid(now) && c.speeds.relativeSpeed(w) > slowWorkerSpeed
}

// stepRunTimes returns the predictor of a step.
func (c *Controller) stepRunTimes(s *step) *runtimes.Step {
	if s.runTimes == nil {
		width := len(s.tasks)
		key := runtimes.KeyOf(s.job().spec.Class, s.gang != nil, s.def.Estimate(), s.def.Size.CPUMilli, width)
		if s.gang != nil {
			width = 1 // its members take equally long
		}
		s.runTimes = c.runTimes.NewStep(key, s.def.Estimate(), width)
	}
	return s.runTimes
}

// expectation returns the expected run time of a task of a step on a worker of average speed.
func (c *Controller) expectation(s *step, now time.Time) runtimes.Expectation {
	if c.runTimes == nil || s.def.EstimateMs == 0 {
		return runtimes.Expectation{Median: s.def.Estimate(), P90: s.def.Estimate()}
	}
	if s.expectedDue.IsZero() || !now.Before(s.expectedDue) {
		s.expectedVersion++
		s.expected = c.stepRunTimes(s).Expect(c.runningTimes(s, now))
		s.expectedDue = now.Add(expectationPeriod)
	}
	return s.expected
}

// runningTimes returns how long the runs of a step have lasted, converted to a worker of average speed. It leaves out
// runs that seem stalled, which say nothing about the others.
func (c *Controller) runningTimes(s *step, now time.Time) []runtimes.Running {
	if s.gang != nil {
		return nil
	}
	stallTime := max(minStallTime, time.Duration(stallTimeShare*float64(s.def.Estimate())))
	var out []runtimes.Running
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.state != runRunning || r.stopping || r.resumed || r.copyMayArrive || r.confirmedAt.IsZero() {
				continue
			}
			running := runtimes.Running{Elapsed: now.Sub(r.confirmedAt)}
			switch {
			case r.percent > 0:
				running = runtimes.Running{Elapsed: r.progressedAt.Sub(r.confirmedAt), Done: float64(r.percent) / 100}
			case now.Sub(r.progressedAt) > stallTime:
				continue
			}
			running.Elapsed = time.Duration(float64(running.Elapsed) * c.speeds.relativeSpeed(r.worker))
			r.counted, r.countedIn = running, s.expectedVersion
			out = append(out, running)
		}
	}
	return out
}

// runTimeForSpeed returns the run time with which the actual one of a run is compared to estimate the speed of its
// worker. It is the expected one, without the run itself, since an error of the stated one would count as speed.
func (c *Controller) runTimeForSpeed(r *run, now time.Time) time.Duration {
	s := r.task.step
	if c.runTimes == nil || s.def.EstimateMs == 0 {
		return s.def.Estimate()
	}
	c.expectation(s, now)
	if r.countedIn != s.expectedVersion {
		return s.expected.Median
	}
	return s.runTimes.ExpectWithout(r.counted).Median
}
