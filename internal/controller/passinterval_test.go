package controller

import (
	"testing"
	"time"
)

// TestPlacementIntervalBySize guards against passes that follow one another so closely in a large cell that results and
// answers wait for processor time, and against urgent steps that wait for a pass in a small one.
func TestPlacementIntervalBySize(t *testing.T) {
	for _, c := range []struct {
		workers, steps int
		least, most    time.Duration
	}{
		{48, 10, 8 * time.Millisecond, 8 * time.Millisecond},
		{350, 20, 8 * time.Millisecond, 10 * time.Millisecond},
		{350, 1000, 25 * time.Millisecond, 35 * time.Millisecond},
		{1100, 50, 60 * time.Millisecond, 90 * time.Millisecond},
		{3000, 50, 200 * time.Millisecond, 250 * time.Millisecond},
	} {
		ctl := New(1, Timing{}, nil)
		for range c.workers {
			w := &worker{}
			ctl.workers[string(rune(0x10000+len(ctl.workers)))] = w
		}
		for range c.steps {
			ctl.readySteps[&step{}] = struct{}{}
		}
		if got := ctl.placementInterval(); got < c.least || got > c.most {
			t.Errorf("%d workers, %d steps: %v, want %v to %v", c.workers, c.steps, got, c.least, c.most)
		}
	}
}
