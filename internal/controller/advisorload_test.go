package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// contendedMix is a mix in which all classes need the advisor, with the time that calls spend outside it.
type contendedMix struct {
	*mix
	firstStarts  map[string][]time.Duration // by class: from a job's acceptance to its first run
	advisorCalls int
}

// newContendedMix returns the load of a cell of 350 workers near its capacity.
func newContendedMix(t testing.TB, seed uint64, entries int) *contendedMix {
	classes := mixClasses()
	gangs, batch, tight := &classes[0], &classes[1], &classes[2]
	timing := func(decision, perWorker time.Duration) *workload.AdvisorTiming {
		return &workload.AdvisorTiming{DecisionTime: decision, TimePerWorker: perWorker, TicketValidity: 2500 * time.Millisecond}
	}
	gangs.class.Advisor = timing(430*time.Millisecond, 6200*time.Microsecond)
	gangs.jobsPerSecond, gangs.twoStepShare, gangs.meanTasks, gangs.maxTasks = 3.5, 0, 16, 80
	gangs.meanRunTime, gangs.estimateSpread = 5500*time.Millisecond, 0.2
	batch.class.Advisor = timing(120*time.Millisecond, 1800*time.Microsecond)
	batch.jobsPerSecond, batch.meanTasks, batch.maxTasks = 10, 25, 150
	batch.meanCPU, batch.maxCPU, batch.meanMemory, batch.maxMemory = 3500, 10000, 10000, 30000
	batch.meanRunTime = 2700 * time.Millisecond
	tight.class.Advisor = timing(11*time.Millisecond, 160*time.Microsecond)
	tight.class.Target = 350 * time.Millisecond
	tight.jobsPerSecond, tight.meanTasks, tight.maxTasks, tight.gangShare = 90, 3, 19, 0
	tight.meanCPU, tight.maxCPU, tight.meanMemory, tight.maxMemory = 5000, 15000, 10000, 30000
	tight.meanRunTime = 770 * time.Millisecond
	m := watchAdvisor(newMixOf(t, seed, 350, 32000, classes))
	m.setEntries(entries)
	return m
}

// watchAdvisor has calls to the advisor of a mix spend 40 ms outside it, and records first starts and calls.
func watchAdvisor(inner *mix) *contendedMix {
	m := &contendedMix{mix: inner, firstStarts: map[string][]time.Duration{}}
	m.advisorTransit = 40 * time.Millisecond
	record := m.ctl.record
	m.ctl.record = func(e event.Event) {
		switch e.Type {
		case event.JobStarted:
			m.firstStarts[e.Class] = append(m.firstStarts[e.Class], time.Duration(e.AgeMs)*time.Millisecond)
		case event.AdviceReceived, event.AdviceFailed:
			m.advisorCalls++
		}
		record(e)
	}
	return m
}

func (m *contendedMix) setEntries(n int) {
	m.advisorEntries = nil
	for i := range n {
		m.advisorEntries = append(m.advisorEntries, fmt.Sprintf("entry-%03d", i))
	}
	m.ctl.SetAdvisorEntries(m.advisorEntries)
}

// playBursts plays a burst of urgent jobs and one of gangs.
func (m *contendedMix) playBursts() {
	gangs, tight := &m.classes[0], &m.classes[2]
	m.playArrivals(6 * time.Second)
	tight.jobsPerSecond *= 2.2
	m.playArrivals(5 * time.Second)
	tight.jobsPerSecond /= 2.2
	m.playArrivals(6 * time.Second)
	gangs.jobsPerSecond *= 2
	m.playArrivals(5 * time.Second)
	gangs.jobsPerSecond /= 2
	m.playArrivals(8 * time.Second)
	m.advanceAndWatch(10 * time.Second)
}

// contendedResults sums the results of several plays.
type contendedResults struct {
	classes [3]mixResult
	starts  []time.Duration
	calls   int
}

func (r *contendedResults) add(m *contendedMix) {
	for i, o := range m.results() {
		r.classes[i].add(o)
	}
	r.starts = append(r.starts, m.firstStarts["tight"]...)
	r.calls += m.advisorCalls
}

// report reports the value of each class as a share of what it could be, when the first tasks of urgent jobs begin, and
// the number of calls to the advisor.
func (r *contendedResults) report(b *testing.B) {
	for i, c := range r.classes {
		b.ReportMetric(c.value/c.maxValue, mixClasses()[i].name+"-value")
	}
	slices.Sort(r.starts)
	if len(r.starts) > 0 {
		b.ReportMetric(float64(r.starts[len(r.starts)/2].Milliseconds()), "tight-start-median-ms")
		b.ReportMetric(float64(r.starts[len(r.starts)*95/100].Milliseconds()), "tight-start-95%-ms")
	}
	b.ReportMetric(float64(r.calls), "advisor-calls")
}

// BenchmarkContendedMix plays bursts on 350 workers with the advisor called through 36 entries.
func BenchmarkContendedMix(b *testing.B) {
	for _, load := range []float64{1, 1.2} {
		b.Run(fmt.Sprintf("load=%.1f", load), func(b *testing.B) {
			for b.Loop() {
				r := &contendedResults{}
				for seed := range uint64(3) {
					m := newContendedMix(b, seed, 36)
					m.loadFactor = load
					m.playBursts()
					r.add(m)
				}
				r.report(b)
			}
		})
	}
}

// BenchmarkContendedMixHalfGone does the same while half of the entries do not answer for 6 s. The list of
// members says so after a second.
func BenchmarkContendedMixHalfGone(b *testing.B) {
	for b.Loop() {
		r := &contendedResults{}
		for seed := range uint64(2) {
			m := newContendedMix(b, seed, 36)
			gone := func(entry string) bool { return entry < "entry-018" }
			m.at(m.now.Add(5*time.Second), func() { m.advisorLoses = gone })
			m.at(m.now.Add(6*time.Second), func() { m.ctl.SetAdvisorEntries(m.advisorEntries[18:]) })
			m.at(m.now.Add(11*time.Second), func() {
				m.advisorLoses = nil
				m.ctl.SetAdvisorEntries(m.advisorEntries)
			})
			m.playBursts()
			r.add(m)
		}
		r.report(b)
	}
}

// BenchmarkFewEntries plays the mix on 48 workers with few entries.
func BenchmarkFewEntries(b *testing.B) {
	for _, entries := range []int{6, 9} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for b.Loop() {
				r := &contendedResults{}
				for seed := range uint64(6) {
					m := watchAdvisor(newMix(b, seed, 48, 1.1))
					m.setEntries(entries)
					m.playLoad()
					r.add(m)
				}
				r.report(b)
			}
		})
	}
}
