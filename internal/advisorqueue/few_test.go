package advisorqueue

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestLongCallsWithOneOfTwoEntriesFailing guards against long calls that are never made through the only entry that works.
func TestLongCallsWithOneOfTwoEntriesFailing(t *testing.T) {
	q := New()
	q.SetEntries([]string{"a", "b"})
	now := time.Unix(1000, 0)
	answered, failed := 0, 0
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		c := q.Send(workload.StepID{}, "gang", Long, 500*time.Millisecond, now)
		if c == nil {
			continue
		}
		if c.Entry == "a" {
			q.Done(c.ID, Failed, now.Add(5*time.Millisecond))
			failed++
		} else {
			now = now.Add(560 * time.Millisecond)
			q.Done(c.ID, Answered, now)
			answered++
		}
	}
	if answered < 20 {
		t.Errorf("%d of the long calls of 30 s were answered, %d failed", answered, failed)
	}
}
