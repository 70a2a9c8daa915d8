package cell

import (
	"strings"
	"testing"

	"dotterelhitch/internal/controller"
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

// TestStepWaitsAreCountedByReason guards against steps that wait for the quota of their team without a metric that
// says so.
func TestStepWaitsAreCountedByReason(t *testing.T) {
	s := newNodeStats(nil)
	for range 3 {
		s.countDecision(&event.Event{Type: event.StepWaiting, State: controller.WaitQuota.Name()})
	}
	var text strings.Builder
	s.set.WritePrometheus(&text)
	if want := `hitch_cell_step_waits{reason="quota"} 3`; !strings.Contains(text.String(), want) {
		t.Errorf("no %q in %s", want, text.String())
	}
}
