package sizing

import "math"

// windowSamples is the number of samples after which the previous window is discarded.
const windowSamples = 1000

// Moments are statistics of a set of samples.
type Moments struct {
	Count  int64
	Mean   float64
	StdDev float64
	Max    int64
}

// merge returns the moments of the union of both sets.
func (m Moments) merge(o Moments) Moments {
	count := m.Count + o.Count
	if count == 0 {
		return Moments{}
	}
	n, p := float64(m.Count), float64(o.Count)
	mean := (n*m.Mean + p*o.Mean) / (n + p)
	second := (n*m.meanSquare() + p*o.meanSquare()) / (n + p)
	return Moments{
		Count:  count,
		Mean:   mean,
		StdDev: math.Sqrt(max(second-mean*mean, 0)),
		Max:    max(m.Max, o.Max),
	}
}

// meanSquare returns the mean of the squares of the samples.
func (m Moments) meanSquare() float64 { return m.Mean*m.Mean + m.StdDev*m.StdDev }

// grant returns the mean plus one task's part of stdDevs standard deviations of the sum
// over a worker of size workerSize. The result is at least minGrant, at most
// workerSize, and not above the maximum sample unless minGrant is.
func (m Moments) grant(stdDevs float64, minGrant, workerSize int64) int64 {
	tasks := max(float64(workerSize)/max(m.Mean, 1), 1)
	v := m.Mean + stdDevs*m.StdDev/math.Sqrt(tasks)
	return min(max(int64(math.Ceil(min(v, float64(m.Max)))), minGrant), max(workerSize, minGrant))
}

// sampleWindow summarises between windowSamples and twice as many of the latest
// samples.
type sampleWindow struct {
	current, previous runningSum
}

// runningSum accumulates samples.
type runningSum struct {
	count             int64
	sum, sumOfSquares float64
	max               int64
}

func (t *runningSum) add(v int64) {
	t.count++
	t.sum += float64(v)
	t.sumOfSquares += float64(v) * float64(v)
	t.max = max(t.max, v)
}

func (t *runningSum) moments() Moments {
	if t.count == 0 {
		return Moments{}
	}
	n := float64(t.count)
	mean := t.sum / n
	return Moments{
		Count:  t.count,
		Mean:   mean,
		StdDev: math.Sqrt(max(t.sumOfSquares/n-mean*mean, 0)),
		Max:    t.max,
	}
}

// record adds a sample.
func (w *sampleWindow) record(v int64) {
	w.current.add(v)
	if w.current.count >= windowSamples {
		w.current, w.previous = runningSum{}, w.current
	}
}

// moments returns the moments of both windows combined.
func (w *sampleWindow) moments() Moments { return w.current.moments().merge(w.previous.moments()) }
