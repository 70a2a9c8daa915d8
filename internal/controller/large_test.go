package controller

import (
	"testing"
	"time"
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
