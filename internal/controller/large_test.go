package controller

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// newLargeMix returns the load of a large cell: hundreds of workers, and over a hundred short
// jobs per second beside gangs with many tasks.
func newLargeMix(t testing.TB) *mix {
	m := newMix(t, 1, 350, 1)
	gangs, batch, tight := &m.classes[0], &m.classes[1], &m.classes[2]
	gangs.jobsPerSecond, gangs.meanTasks, gangs.maxTasks = 4.32, 16, 80
	batch.jobsPerSecond, batch.meanTasks, batch.maxTasks = 7.17, 25, 150
	batch.meanCPU, batch.maxCPU, batch.meanMemory, batch.maxMemory = 3500, 10000, 10000, 30000
	batch.meanRunTime = 3400 * time.Millisecond
	tight.jobsPerSecond, tight.meanTasks, tight.maxTasks = 125, 3.2, 19
	tight.meanCPU, tight.maxCPU, tight.meanMemory, tight.maxMemory = 5000, 15000, 10000, 30000
	tight.meanRunTime = 640 * time.Millisecond
	m.advisorEntries = nil
	for i := range 32 {
		m.advisorEntries = append(m.advisorEntries, string(rune('a'+i/26))+string(rune('a'+i%26)))
	}
	m.ctl.SetAdvisorEntries(m.advisorEntries)
	return m
}

// BenchmarkLargeCell simulates one second of a large cell's load.
func BenchmarkLargeCell(b *testing.B) {
	m := newLargeMix(b)
	m.playArrivals(5 * time.Second)
	for b.Loop() {
		m.playArrivals(time.Second)
	}
}

// BenchmarkLargeCellWithBacklog does the same after a burst that left a backlog in the
// classes of lower priority.
func BenchmarkLargeCellWithBacklog(b *testing.B) {
	m := newLargeMix(b)
	m.classes[0].jobsPerSecond *= 2
	m.classes[1].jobsPerSecond *= 3
	m.playArrivals(12 * time.Second)
	m.classes[0].jobsPerSecond /= 2
	m.classes[1].jobsPerSecond /= 3
	b.ReportMetric(float64(len(m.ctl.readySteps)), "steps")
	for b.Loop() {
		m.playArrivals(time.Second)
	}
}

// newWideMix returns the load of a cell with over a thousand workers, four fifths of whose
// processor time is in use: wide gangs, wide batch jobs and over a hundred short jobs per second.
func newWideMix(t testing.TB, seed uint64) *mix {
	m := newMixOf(t, seed, 1100, 16000, wideMixClasses())
	m.speeds = []float64{1}
	m.advisorEntries = nil
	for i := range 147 {
		m.advisorEntries = append(m.advisorEntries, fmt.Sprintf("entry-%03d", i))
	}
	m.ctl.SetAdvisorEntries(m.advisorEntries)
	return m
}

// wideMixClasses are the classes of newWideMix.
func wideMixClasses() []mixClass {
	classes := mixClasses()
	gangs, batch, tight := &classes[0], &classes[1], &classes[2]
	gangs.class.Advisor = &workload.AdvisorTiming{DecisionTime: 390 * time.Millisecond, TimePerWorker: 5600 * time.Microsecond, TicketValidity: 2500 * time.Millisecond}
	batch.class.Advisor = &workload.AdvisorTiming{DecisionTime: 140 * time.Millisecond, TimePerWorker: 2 * time.Millisecond, TicketValidity: 2500 * time.Millisecond}
	gangs.jobsPerSecond, gangs.meanTasks, gangs.maxTasks = 8.3, 32, 160
	gangs.meanCPU, gangs.maxCPU, gangs.meanMemory, gangs.maxMemory = 4500, 7600, 8600, 17000
	gangs.meanRunTime = 5 * time.Second
	batch.jobsPerSecond, batch.meanTasks, batch.maxTasks = 11.2, 32, 160
	batch.meanCPU, batch.maxCPU, batch.meanMemory, batch.maxMemory = 2700, 8200, 2800, 8400
	batch.meanRunTime = 3400 * time.Millisecond
	tight.jobsPerSecond, tight.meanTasks, tight.maxTasks = 114, 4, 24
	tight.meanCPU, tight.maxCPU, tight.meanMemory, tight.maxMemory = 3900, 12000, 5600, 17000
	tight.meanRunTime = time.Second
	return classes
}

// BenchmarkWideCell simulates one second of the load of newWideMix.
func BenchmarkWideCell(b *testing.B) {
	m := newWideMix(b, 1)
	m.playArrivals(6 * time.Second)
	for b.Loop() {
		m.playArrivals(time.Second)
	}
}

// BenchmarkWideMix plays bursts of short jobs and of gangs at 1.2 times the load of newWideMix and
// reports the value of each class as a share of what it could be.
func BenchmarkWideMix(b *testing.B) {
	for b.Loop() {
		m := newWideMix(b, 1)
		m.loadFactor = 1.2
		gangs, tight := &m.classes[0], &m.classes[2]
		m.playArrivals(4 * time.Second)
		tight.jobsPerSecond *= 2.1
		m.playArrivals(4 * time.Second)
		tight.jobsPerSecond /= 2.1
		m.playArrivals(8 * time.Second)
		gangs.jobsPerSecond *= 1.6
		m.playArrivals(4 * time.Second)
		gangs.jobsPerSecond /= 1.6
		m.playArrivals(8 * time.Second)
		m.advanceAndWatch(8 * time.Second)
		for i, r := range m.results() {
			b.ReportMetric(r.value/r.maxValue, m.classes[i].name+"-value")
		}
	}
}
