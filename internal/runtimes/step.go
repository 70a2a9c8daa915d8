package runtimes

import (
	"math"
	"time"
)

// Step predicts the run times of the tasks of one step from the runs of that step and from what was learned of others.
//
// The logarithm of a task's ratio of actual to stated run time is modelled as the sum of an error that is common to the
// step and one of the task, both normally distributed. The spread of the first comes from the learned distribution,
// that of the second from the completed steps of the class.
type Step struct {
	estimator *Estimator
	key       Key
	stated    time.Duration
	width     int
	// finished, mean and squares describe the logarithms of the ratios of the finished runs: their number, their mean,
	// and the sum of their squared deviations from it.
	finished      int
	mean, squares float64
	// fit is that of the latest call of Expect.
	fit fit
}

// Running is a run of a step that has not ended.
type Running struct {
	// Elapsed is how long the run had lasted when Done was reported, or has lasted until now if Done is zero.
	Elapsed time.Duration
	// Done is the share of the work that is done, zero if that is not known.
	Done float64
}

const (
	// defaultSpread is the assumed spread within the steps of a class. It weighs as much as spreadWeight completed
	// steps. Spreads are standard deviations of the natural logarithm of ratios.
	defaultSpread = 0.3
	spreadWeight  = 3.0
	// minSpread and maxVariance bound the spread within steps, so that neither a few equal runs nor an outlier
	// decides alone.
	minSpread   = 0.05
	maxVariance = 1.0
	// minCommonSpread is the least assumed spread of the common error of a step, so that the step's own runs count even
	// if those of other steps were as stated.
	minCommonSpread = 0.25
	// outlierLimit is the number of standard deviations beyond which a deviation counts no further.
	outlierLimit = 3.0
	// minDone is the least share of the work from which the end of a run is extrapolated.
	minDone = 0.15
	// normalP90 is the 90th percentile of the standard normal distribution.
	normalP90 = 1.2816
	// refinements is the number of iterations in which the runs that have not ended are given their expected run times.
	// More of them change the result by less than a bucket.
	refinements = 4
)

// NewStep returns the state for a step with a number of tasks.
func (e *Estimator) NewStep(key Key, stated time.Duration, width int) *Step {
	return &Step{estimator: e, key: key, stated: stated, width: max(width, 1)}
}

// Finished adds a run whose task is done. All runs of a step together weigh as much as the run of a step of one task.
func (s *Step) Finished(actual time.Duration) {
	if s.stated <= 0 || actual <= 0 {
		return
	}
	s.estimator.add(s.key, s.stated, actual, false, 1/float64(s.width))
	s.observe(math.Log(float64(actual) / float64(s.stated)))
	if s.finished == s.width && s.width > 1 {
		s.estimator.addSpread(s.key.Class, s.squares/float64(s.width-1))
	}
}

// observe adds the logarithm of the ratio of a finished run to the mean and the squares (Welford's algorithm). Outliers
// are clipped.
func (s *Step) observe(x float64) {
	if s.finished >= 2 {
		limit := outlierLimit * s.estimator.spread(s.key.Class) * math.Sqrt(1+1/float64(s.finished))
		x = min(max(x, s.mean-limit), s.mean+limit)
	}
	s.finished++
	delta := x - s.mean
	s.mean += delta / float64(s.finished)
	s.squares += delta * (x - s.mean)
}

// addSpread adds the variance of the ratios within a completed step.
func (e *Estimator) addSpread(class string, variance float64) {
	sp := e.spreads[class]
	if sp == nil {
		if len(e.spreads) >= maxClassSpreads {
			return
		}
		sp = &spread{variance: defaultSpread * defaultSpread, steps: spreadWeight}
		e.spreads[class] = sp
	}
	sp.steps = min(sp.steps+1, decaySteps)
	sp.variance += (min(variance, maxVariance) - sp.variance) / sp.steps
}

// spread returns the standard deviation of the logarithm of the ratios within the steps of a class.
func (e *Estimator) spread(class string) float64 {
	if sp := e.spreads[class]; sp != nil {
		return max(math.Sqrt(sp.variance), minSpread)
	}
	return defaultSpread
}

// fit is what is known of the common error of a step: its distribution without the step's own runs, the spread of the
// tasks, and the sum and the number of the logarithms of the ratios of its runs.
type fit struct {
	stated                    time.Duration
	priorMean, common, within float64
	sum, n                    float64
	samples                   int
}

// Expect returns the expected run time of a task of the step that is not running yet, from the finished runs and those
// that go on.
func (s *Step) Expect(running []Running) Expectation {
	s.fit = fit{}
	prior := s.estimator.Expect(s.key, s.stated)
	if s.stated <= 0 {
		return prior
	}
	s.fit = s.fitFinished(prior)
	if s.finished == 0 && len(running) == 0 {
		return prior
	}
	f := &s.fit
	var bounds []float64
	for _, r := range running {
		switch {
		case r.Elapsed <= 0:
		case r.extrapolates():
			f.sum += r.logRatio(s.stated)
			f.n++
		default:
			bounds = append(bounds, math.Log(float64(r.Elapsed)/float64(s.stated)))
		}
	}
	return f.expectation(f.posteriorWithBounds(bounds))
}

// fitFinished returns the fit to the finished runs of the step, for the expectation without them.
func (s *Step) fitFinished(prior Expectation) fit {
	within := s.estimator.spread(s.key.Class)
	total := math.Log(float64(prior.P90)/float64(prior.Median)) / normalP90
	return fit{
		stated:    s.stated,
		priorMean: math.Log(float64(prior.Median) / float64(s.stated)),
		common:    math.Sqrt(max(total*total-within*within, minCommonSpread*minCommonSpread)),
		within:    within,
		sum:       s.mean * float64(s.finished),
		n:         float64(s.finished),
		samples:   prior.Samples,
	}
}

// posteriorWithBounds returns the mean and the variance of the common error of a step, given its runs and lower bounds
// of the logarithms of the ratios of others.
func (f *fit) posteriorWithBounds(bounds []float64) (mean, variance float64) {
	mean, variance = f.posterior(f.sum, f.n)
	if !informative(bounds, mean, math.Sqrt(variance+f.within*f.within)) {
		return mean, variance
	}
	for range refinements {
		sum := f.sum
		for _, bound := range bounds {
			sum += meanAbove(mean, f.within, bound)
		}
		// The bounds move the mean. They make it no more certain than it is without them.
		mean, _ = f.posterior(sum, f.n+float64(len(bounds)))
	}
	return mean, variance
}

// ExpectWithout returns the expected run time of a task from all runs that the latest call of Expect counted except
// one, so that the run time of that one can be compared with it.
func (s *Step) ExpectWithout(r Running) Expectation {
	f := s.fit
	if f.stated <= 0 {
		return s.estimator.Expect(s.key, s.stated)
	}
	if r.Elapsed > 0 && r.extrapolates() && f.n >= 1 {
		f.sum -= r.logRatio(f.stated)
		f.n--
	}
	return f.expectation(f.posterior(f.sum, f.n))
}

// extrapolates reports whether the run has gone far enough for its end to be extrapolated.
func (r Running) extrapolates() bool { return r.Done >= minDone }

// logRatio returns the logarithm of the ratio of the extrapolated run time to the stated one.
func (r Running) logRatio(stated time.Duration) float64 {
	return math.Log(float64(r.Elapsed) / r.Done / float64(stated))
}

// posterior returns the mean and the variance of the common error of a step after n observations with a sum.
func (f *fit) posterior(sum, n float64) (mean, variance float64) {
	priorWeight, weight := 1/(f.common*f.common), 1/(f.within*f.within)
	variance = 1 / (priorWeight + n*weight)
	return (f.priorMean*priorWeight + sum*weight) * variance, variance
}

// expectation returns the expected run time for a mean and a variance of the common error.
func (f *fit) expectation(mean, variance float64) Expectation {
	deviation := math.Sqrt(variance + f.within*f.within)
	return Expectation{
		Median:  scale(f.stated, mean),
		P90:     scale(f.stated, mean+normalP90*deviation),
		Samples: f.samples + int(f.n),
	}
}

// informative reports whether some run has lasted so long that it tells something: longer than most would.
func informative(bounds []float64, mean, deviation float64) bool {
	for _, bound := range bounds {
		if bound > mean-deviation {
			return true
		}
	}
	return false
}

// meanAbove returns the mean of a normal distribution above a bound.
func meanAbove(mean, deviation, bound float64) float64 {
	z := (bound - mean) / deviation
	if z > largeDeviation {
		return bound + deviation/z
	}
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return mean + deviation*density/upperTail(z)
}

// largeDeviation is the number of standard deviations beyond which the tail of the normal distribution is approximated
// by an exponential one, since its own value loses precision.
const largeDeviation = 5.0

// upperTail returns the share of the standard normal distribution above z.
func upperTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// After returns the expected run time of a run that has lasted for a time without any report of its progress. An
// expectation without a spread says nothing of longer runs and is returned as it is.
func (x Expectation) After(elapsed time.Duration) Expectation {
	if x.Median <= 0 || elapsed <= 0 || x.P90 <= x.Median {
		return x
	}
	deviation := max(math.Log(float64(x.P90)/float64(x.Median))/normalP90, minSpread)
	z := math.Log(float64(elapsed)/float64(x.Median)) / deviation
	at := func(share float64) time.Duration {
		d := scale(x.Median, deviation*quantileAbove(z, share))
		return max(d, elapsed)
	}
	return Expectation{Median: at(0.5), P90: at(0.9), Samples: x.Samples}
}

// quantileAbove returns the value below which a share of the standard normal distribution above z lies.
func quantileAbove(z, share float64) float64 {
	if z > largeDeviation {
		return z - math.Log(1-share)/z
	}
	return math.Sqrt2 * math.Erfcinv(2*(1-share)*upperTail(z))
}

// AtSpeed returns the expected run time on a worker of a speed, 1 for an average one.
func (x Expectation) AtSpeed(speed float64) Expectation {
	x.Median = bounded(float64(x.Median) / speed)
	x.P90 = bounded(float64(x.P90) / speed)
	return x
}
