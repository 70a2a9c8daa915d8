package controller

import (
	"testing"
	"time"
)

// largeMix is the load of a large cell: hundreds of workers, over a hundred short jobs a
// second beside wide gangs (the grown tairi-bale).
func largeMix(t testing.TB) *mix {
	m := newMix(t, 1, 350, 1)
	gangs, batch, tight := &m.classes[0], &m.classes[1], &m.classes[2]
	gangs.perS, gangs.width, gangs.widest = 4.32, 16, 80
	batch.perS, batch.width, batch.widest = 7.17, 25, 150
	batch.cpu, batch.cpuMost, batch.mem, batch.memMost = 3500, 10000, 10000, 30000
	batch.work = 3400 * time.Millisecond
	tight.perS, tight.width, tight.widest = 125, 3.2, 19
	tight.cpu, tight.cpuMost, tight.mem, tight.memMost = 5000, 15000, 10000, 30000
	tight.work = 640 * time.Millisecond
	m.lanes = nil
	for i := range 32 {
		m.lanes = append(m.lanes, string(rune('a'+i/26))+string(rune('a'+i%26)))
	}
	m.ctl.SetAdvisorEntries(m.lanes)
	return m
}

// BenchmarkLargeCell plays one second of a large cell's load.
func BenchmarkLargeCell(b *testing.B) {
	m := largeMix(b)
	m.arrivals(5 * time.Second)
	for b.Loop() {
		m.arrivals(time.Second)
	}
}

// BenchmarkLargeCellBehind is the same after a burst that left work of the lower classes
// waiting.
func BenchmarkLargeCellBehind(b *testing.B) {
	m := largeMix(b)
	m.classes[0].perS *= 2
	m.classes[1].perS *= 3
	m.arrivals(12 * time.Second)
	m.classes[0].perS /= 2
	m.classes[1].perS /= 3
	b.ReportMetric(float64(len(m.ctl.ready)), "steps")
	for b.Loop() {
		m.arrivals(time.Second)
	}
}
