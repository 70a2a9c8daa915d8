package controller

import (
	"testing"
	"time"
)

// largeMix is the load of a large cell: hundreds of workers, over a hundred short jobs a
// second beside wide gangs (the grown tairi-bale).
func largeMix(t testing.TB) *mix {
	m := newMix(t, 1, 350, 1)
	m.classes[0].perS = 4.32
	m.classes[0].width = 16
	m.classes[1].perS = 7.17
	m.classes[1].width = 25
	m.classes[2].perS = 125
	m.classes[2].width = 3
	m.lanes = nil
	for i := range 32 {
		m.lanes = append(m.lanes, string(rune('a'+i/26))+string(rune('a'+i%26)))
	}
	m.ctl.SetLanes(m.lanes)
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
