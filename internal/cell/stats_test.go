package cell

import (
	"strings"
	"testing"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// TestOddNamesInMetrics guards against a process that ends because the name of a class from the
// configuration, or a code from another member, does not fit into the name of a metric.
func TestOddNamesInMetrics(t *testing.T) {
	for _, name := range []string{`a"b`, `a\`, "a\nb", `"}`, "", "\x00", "\xff", strings.Repeat("x", 1<<16)} {
		s := newNodeStats(nil)
		s.countDecision(&event.Event{Type: event.JobAccepted, Class: name})
		s.countDecision(&event.Event{Type: event.JobEnded, Class: name, State: "completed"})
		s.countRefused(structs.Code(name))
		s.registerClassGauge("hitch_cell_jobs_waiting", name, func() float64 { return 1 })
		var text strings.Builder
		s.set.WritePrometheus(&text)
		for line := range strings.Lines(text.String()) {
			if !strings.HasPrefix(line, "hitch_cell_") {
				t.Errorf("class %.20q: line %.80q", name, line)
			}
		}
	}
}
