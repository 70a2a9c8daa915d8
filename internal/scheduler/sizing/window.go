package sizing

import "math"

// windowTasks is the number of tasks after which the older window is dropped.
const windowTasks = 1000

// Moments are the moments of a set of samples.
type Moments struct {
	Count  int64
	Mean   float64
	StdDev float64
	Max    int64
}

// merge returns the moments of both sets together.
func (m Moments) merge(o Moments) Moments {
	count := m.Count + o.Count
	if count == 0 {
		return Moments{}
	}
	n, p := float64(m.Count), float64(o.Count)
	mean := (n*m.Mean + p*o.Mean) / (n + p)
	second := (n*m.square() + p*o.square()) / (n + p)
	return Moments{
		Count:  count,
		Mean:   mean,
		StdDev: math.Sqrt(max(second-mean*mean, 0)),
		Max:    max(m.Max, o.Max),
	}
}

// square is the mean of the squares.
func (m Moments) square() float64 { return m.Mean*m.Mean + m.StdDev*m.StdDev }

// grant returns the mean plus the task's part of the deviations of the sum over a
// worker of size most, within bounds. No more is granted than was seen.
func (m Moments) grant(deviations float64, least, most int64) int64 {
	tasks := max(float64(most)/max(m.Mean, 1), 1)
	v := m.Mean + deviations*m.StdDev/math.Sqrt(tasks)
	return min(max(int64(math.Ceil(min(v, float64(m.Max)))), least), max(most, least))
}

// window keeps the last windowTasks to twice as many samples.
type window struct {
	now, old tally
}

// tally is a running sum of samples.
type tally struct {
	count       int64
	sum, square float64
	most        int64
}

func (t *tally) add(v int64) {
	t.count++
	t.sum += float64(v)
	t.square += float64(v) * float64(v)
	t.most = max(t.most, v)
}

func (t *tally) moments() Moments {
	if t.count == 0 {
		return Moments{}
	}
	n := float64(t.count)
	mean := t.sum / n
	return Moments{
		Count:  t.count,
		Mean:   mean,
		StdDev: math.Sqrt(max(t.square/n-mean*mean, 0)),
		Max:    t.most,
	}
}

// record adds a sample.
func (w *window) record(v int64) {
	w.now.add(v)
	if w.now.count >= windowTasks {
		w.now, w.old = tally{}, w.now
	}
}

// moments returns those of both windows together.
func (w *window) moments() Moments { return w.now.moments().merge(w.old.moments()) }
