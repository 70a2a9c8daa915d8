package advisorqueue

import (
	"testing"
	"time"
)

// selected returns how many equal workers a call asks about.
func selected(tasks int, perWorker, anotherCall time.Duration, fit int, probability float64) int {
	s := NewSelection(tasks, perWorker, anotherCall)
	for i := range 400 {
		if !s.WorthAdding(fit, probability) {
			return i
		}
		s.Add(fit, probability)
	}
	return 400
}

// TestSelection checks that a call asks about more workers where each costs little time, is seldom free or seldom
// allowed. It guards against urgent calls about so few workers that a second one is needed.
func TestSelection(t *testing.T) {
	const perUrgent, perBatch = 160 * time.Microsecond, 1800 * time.Microsecond
	urgent := selected(3, perUrgent, 80*time.Millisecond, 2, 0.6)
	if urgent < 5 || urgent > 12 {
		t.Errorf("an urgent call for 3 tasks asks about %d workers", urgent)
	}
	if rare := selected(3, perUrgent, 80*time.Millisecond, 2, 0.2); rare <= 2*urgent {
		t.Errorf("an urgent call asks about %d workers that are seldom free, %d that mostly are", rare, urgent)
	}
	if costly := selected(3, 20*perUrgent, 80*time.Millisecond, 2, 0.6); costly >= urgent {
		t.Errorf("a call asks about %d workers at 20 times the cost, %d otherwise", costly, urgent)
	}
	batch := selected(25, perBatch, 200*time.Millisecond, 4, 0.4)
	if batch < 16 || batch > 32 {
		t.Errorf("a batch call for 25 tasks asks about %d workers", batch)
	}
	// With little hope that all tasks fit, some can still be started.
	if few := selected(200, perBatch, 200*time.Millisecond, 4, 0.4); few < 50 {
		t.Errorf("a call for 200 tasks asks about %d workers", few)
	}
}
