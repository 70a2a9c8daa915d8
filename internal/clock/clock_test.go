package clock

import (
	"testing"
	"time"
)

// fakeSystem tells the time of suspensions that a test sets.
type fakeSystem struct {
	suspended time.Duration
	reads     int
}

func (f *fakeSystem) readSuspended() time.Duration {
	f.reads++
	return f.suspended
}

// TestSuspensionCounts checks that the time of a suspension is counted although the monotonic
// clock stands still meanwhile.
func TestSuspensionCounts(t *testing.T) {
	f := &fakeSystem{}
	s := newSteady(time.Now, f.readSuspended)
	before := s.Now()
	f.suspended = 9 * time.Second
	s.resync(9 * time.Second) // the time of day moved with the suspension
	if passed := s.Now().Sub(before); passed < 9*time.Second || passed > 10*time.Second {
		t.Errorf("after a suspension of 9 s, %v have passed", passed)
	}
}

// TestStepOfTimeOfDay checks that a step of the time of day, forward or backward, changes
// nothing, also if it is undone.
func TestStepOfTimeOfDay(t *testing.T) {
	f := &fakeSystem{}
	s := newSteady(time.Now, f.readSuspended)
	before := s.Now()
	for _, step := range []time.Duration{5 * time.Second, -5 * time.Second, 0} {
		s.resync(step)
		if passed := s.Now().Sub(before); passed < 0 || passed > time.Second {
			t.Errorf("after a step of %v, %v have passed", step, passed)
		}
	}
}

// TestSuspensionIsReadOnlyAfterDrift checks that a reading of the clock costs no call to the
// system unless the time of day has moved.
func TestSuspensionIsReadOnlyAfterDrift(t *testing.T) {
	f := &fakeSystem{}
	s := newSteady(time.Now, f.readSuspended)
	for range 1000 {
		s.Now()
	}
	if f.reads != 1 {
		t.Errorf("the time of suspensions was read %d times, want once", f.reads)
	}
	s.wallOffset.Store(int64(time.Hour))
	s.Now()
	if f.reads != 2 {
		t.Errorf("after a drift the time of suspensions was read %d times, want twice", f.reads)
	}
}
