package cell

import (
	"strings"
	"testing"
	"time"
)

// TestLearnedRunTimesAreMetrics guards against a controller that does not show what it has learned of run times.
func TestLearnedRunTimesAreMetrics(t *testing.T) {
	c := newTestCell(t, 2)
	leader := c.awaitLeader(10 * time.Second)
	c.submit(leader, "j1")
	c.awaitCompleted(leader, "j1")
	var text strings.Builder
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		text.Reset()
		leader.stats.set.WritePrometheus(&text)
		if strings.Contains(text.String(), `hitch_cell_run_time_samples{class="batch"} 2`) {
			break
		}
	}
	for _, series := range []string{
		`hitch_cell_run_time_samples{class="batch"} 2`,
		`hitch_cell_run_time_ratio_median{class="batch"} `,
		`hitch_cell_run_time_ratio_p90{class="batch"} `,
	} {
		if !strings.Contains(text.String(), series) {
			t.Errorf("the metrics lack %s", series)
		}
	}
	if got := c.otherThan(leader).learnedRunTimes("batch").Samples; got != 0 {
		t.Errorf("another member shows %d samples, want 0", got)
	}
}
