// Package runtimes learns from finished runs how long tasks take compared with their stated run times. It keeps the
// distribution of the ratio of actual to stated run time for each class and shape of a step, and uses the runs of a
// step to predict the others of the same step, since most of the error of a stated run time is common to them. It has
// no I/O and no clock, and its memory is bounded.
package runtimes

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Key identifies the steps whose run times are learned together. The zero value of a field other than Class and Gang
// stands for any value.
type Key struct {
	Class string
	Gang  bool
	// Stated, Size and Width are logarithmic buckets of the stated run time, the processor time and the number of
	// tasks.
	Stated, Size, Width int8
}

// KeyOf returns the key of a step.
func KeyOf(class string, gang bool, stated time.Duration, cpuMilli int64, width int) Key {
	return Key{
		Class:  class,
		Gang:   gang,
		Stated: logBucket(stated.Milliseconds()),
		Size:   logBucket(cpuMilli),
		Width:  logBucket(int64(width)),
	}
}

// logBucket returns the bucket of a value, by powers of two. It is not zero.
func logBucket(v int64) int8 { return int8(1 + bits.Len64(uint64(max(v, 0)))) }

// levels returns the keys under which a run is counted, the coarsest first.
func (k Key) levels() [3]Key {
	return [3]Key{{Class: k.Class}, {Class: k.Class, Gang: k.Gang, Stated: k.Stated}, k}
}

// Expectation is the expected run time of a task.
type Expectation struct {
	Median, P90 time.Duration
	// Samples is the number of runs on which it is based: those of the class, or with Step those of the step in
	// addition.
	Samples int
}

const (
	// logStep is the width of a bucket of ratios, as a natural logarithm; 7% is finer than run times can be predicted.
	logStep = 0.07
	// halfBuckets is the number of buckets on either side of the ratio 1. They reach to the ratios 1/29 and 29.
	halfBuckets = 48
	bucketCount = 2*halfBuckets + 1
	// parentWeight is the weight of the coarser distribution in a finer one, as a number of steps. At the
	// coarsest level it is the weight of the stated run time.
	parentWeight = 4.0
	// decaySteps is the number of later steps after which the weight of a step has fallen to 1/e.
	decaySteps = 150.0
	// maxDistributions bounds the memory that distributions take up to about 0.25 MB. Beyond it the least recently used
	// one is dropped.
	maxDistributions = 512
	// maxClassSpreads bounds the number of classes with a spread within steps.
	maxClassSpreads = 128
)

// distribution is a histogram of the logarithm of ratios, in which older samples weigh less.
type distribution struct {
	weights [bucketCount]float32
	total   float64
	runs    int
	usedAt  uint64
}

// bucketOf returns the bucket of a ratio that is given as its logarithm.
func bucketOf(logRatio float64) int {
	return min(max(int(math.Round(logRatio/logStep)), -halfBuckets), halfBuckets) + halfBuckets
}

// decay reduces the weights of all samples before one of the given weight is added.
func (d *distribution) decay(weight float64) {
	keep := float32(1 - weight/decaySteps)
	for i := range d.weights {
		d.weights[i] *= keep
	}
	d.total *= float64(keep)
}

// probabilities are the probabilities of the buckets, with sum 1.
type probabilities [bucketCount]float64

// blend turns the probabilities of a coarser distribution into those of a finer one, in which the coarser one has the
// weight parentWeight.
func (p *probabilities) blend(d *distribution) {
	sum := d.total + parentWeight
	for i := range p {
		p[i] = (float64(d.weights[i]) + parentWeight*p[i]) / sum
	}
}

// quantile returns the logarithm of the ratio below which a share of the runs lies.
func (p *probabilities) quantile(q float64) float64 {
	below := 0.0
	for i, share := range p {
		if below+share >= q && share > 0 {
			return (float64(i-halfBuckets) - 0.5 + (q-below)/share) * logStep
		}
		below += share
	}
	return halfBuckets * logStep
}

// spread holds the mean variance of the logarithm of the ratios within the steps of a class.
type spread struct {
	variance float64
	steps    float64 // that the mean is based on, at most decaySteps
}

// Estimator learns run times. It is not safe for concurrent use.
type Estimator struct {
	distributions map[Key]*distribution
	spreads       map[string]*spread
	uses          uint64
}

// NewEstimator returns an estimator that has learned nothing.
func NewEstimator() *Estimator {
	return &Estimator{distributions: map[Key]*distribution{}, spreads: map[string]*spread{}}
}

// Add adds a run of a step of one task. A censored run was ended before its task was done, so that it would
// have taken longer.
func (e *Estimator) Add(key Key, stated, actual time.Duration, censored bool) {
	e.add(key, stated, actual, censored, 1)
}

func (e *Estimator) add(key Key, stated, actual time.Duration, censored bool, weight float64) {
	if stated <= 0 || actual <= 0 {
		return
	}
	bucket := bucketOf(math.Log(float64(actual) / float64(stated)))
	var p probabilities
	if censored {
		p = e.probabilities(key)
	}
	for _, k := range key.levels() {
		d := e.distribution(k)
		d.decay(weight)
		d.total += weight
		d.runs++
		if censored {
			d.addAbove(&p, bucket, weight)
		} else {
			d.weights[bucket] += float32(weight)
		}
	}
}

// addAbove distributes a weight over the buckets from one on, in proportion to their expected probabilities.
func (d *distribution) addAbove(p *probabilities, from int, weight float64) {
	sum := 0.0
	for _, probability := range p[from:] {
		sum += probability
	}
	if sum <= 0 {
		d.weights[from] += float32(weight)
		return
	}
	for i := from; i < bucketCount; i++ {
		d.weights[i] += float32(weight * p[i] / sum)
	}
}

// distribution returns the distribution of a key for an update. It drops the least recently used one if there are too
// many.
func (e *Estimator) distribution(key Key) *distribution {
	e.uses++
	d := e.distributions[key]
	if d == nil {
		if len(e.distributions) >= maxDistributions {
			e.dropOldest()
		}
		d = &distribution{}
		e.distributions[key] = d
	}
	d.usedAt = e.uses
	return d
}

// dropOldest drops the least recently used distribution.
func (e *Estimator) dropOldest() {
	var oldest Key
	usedAt := uint64(math.MaxUint64)
	for k, d := range e.distributions {
		if d.usedAt < usedAt {
			oldest, usedAt = k, d.usedAt
		}
	}
	delete(e.distributions, oldest)
}

// probabilities returns the distribution of a key's ratios, blended with those of the coarser keys.
func (e *Estimator) probabilities(key Key) probabilities {
	var p probabilities
	p[halfBuckets] = 1
	for _, k := range key.levels() {
		if d := e.distributions[k]; d != nil {
			p.blend(d)
		}
	}
	return p
}

// Expect returns the expected run time of a task of a step that has no finished or running tasks. Without any sample of
// the class it is the stated one.
func (e *Estimator) Expect(key Key, stated time.Duration) Expectation {
	d := e.distributions[Key{Class: key.Class}]
	if d == nil {
		return Expectation{Median: stated, P90: stated}
	}
	p := e.probabilities(key)
	return Expectation{Median: scale(stated, p.quantile(0.5)), P90: scale(stated, p.quantile(0.9)), Samples: d.runs}
}

// maxRunTime bounds expected run times, about 9 years, so that sums with them do not overflow.
const maxRunTime = time.Duration(1) << 58

// scale multiplies a duration by a ratio that is given as its logarithm.
func scale(d time.Duration, logRatio float64) time.Duration {
	return bounded(float64(d) * math.Exp(logRatio))
}

// bounded converts a number of nanoseconds to a duration of at most maxRunTime.
func bounded(d float64) time.Duration { return time.Duration(min(d, float64(maxRunTime))) }

// Summary says what was learned of a class.
type Summary struct {
	Class string
	// Median and P90 are quantiles of the ratio of actual to stated run time.
	Median, P90 float64
	// Samples is the number of runs on which they are based.
	Samples int
}

// Summaries returns what was learned of each class, by name.
func (e *Estimator) Summaries() []Summary {
	var out []Summary
	for k, d := range e.distributions {
		if k == (Key{Class: k.Class}) {
			var p probabilities
			p[halfBuckets] = 1
			p.blend(d)
			out = append(out, Summary{Class: k.Class, Median: math.Exp(p.quantile(0.5)), P90: math.Exp(p.quantile(0.9)), Samples: d.runs})
		}
	}
	slices.SortFunc(out, func(a, b Summary) int { return cmp.Compare(a.Class, b.Class) })
	return out
}
