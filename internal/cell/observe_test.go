package cell

import (
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// TestLinesAndMetricsOfAJob follows one job from its acceptance to its end, in order, and
// finds it in the histograms of its class.
func TestLinesAndMetricsOfAJob(t *testing.T) {
	c := newTestCell(t, 2)
	lead := c.leader(10 * time.Second)
	var lines []event.Event
	lead.opts.Events.OnEvent(func(e event.Event) {
		if e.Job == "j1" {
			lines = append(lines, e)
		}
	})
	c.submit(c.other(lead), "j1")
	c.completes(c.other(lead), "j1")
	want := []event.Type{event.JobAccepted, event.TaskPlaced, event.JobStarted, event.TaskEndObserved, event.JobEnded}
	for _, e := range lines {
		if len(want) > 0 && e.Type == want[0] {
			want = want[1:]
		}
	}
	if len(want) > 0 {
		t.Errorf("no line of type %s in its order: %v", want[0], lines)
	}
	var text strings.Builder
	lead.stats.set.WritePrometheus(&text)
	for _, series := range []string{
		`hitch_cell_accept_seconds_count{class="batch"} 1`,
		`hitch_cell_first_start_seconds_count{class="batch"} 1`,
		`hitch_cell_completed_seconds_count{class="batch"} 1`,
		`hitch_cell_jobs_waiting{class="batch"} 0`,
		`hitch_cell_authority_left_seconds `,
	} {
		if !strings.Contains(text.String(), series) {
			t.Errorf("the metrics lack %s", series)
		}
	}
}

// TestRefusalTellsWhatWasKnown refuses a request and finds what the member knew then.
func TestRefusalTellsWhatWasKnown(t *testing.T) {
	c := newTestCell(t, 2)
	lead := c.leader(10 * time.Second)
	n := c.other(lead)
	c.submit(n, "j1")
	var got event.Event
	n.opts.Events.OnEvent(func(e event.Event) {
		if e.Type == event.RequestRefused {
			got = e
		}
	})
	n.RecordRefusal("j2", "batch", "POST", 70*time.Millisecond, structs.NewError(structs.CodeUnavailable, "no controller"))
	if got.Request != "j2" || got.Member != lead.self.Node || got.Epoch == 0 || got.Version != 1 || got.Count != 70 {
		t.Errorf("%+v", got)
	}
}

// TestTimeTravelsBetweenMembers submits through a member whose clock is ahead: what the
// controller does about it stands after that in the time line.
func TestTimeTravelsBetweenMembers(t *testing.T) {
	c := newTestCell(t, 2)
	lead := c.leader(10 * time.Second)
	n := c.other(lead)
	ahead := event.Time{Micros: time.Now().Add(time.Hour).UnixMicro()}
	n.opts.Clock.Observe(ahead)
	c.submit(n, "j1")
	if got := lead.opts.Clock.Now(); got.Micros < ahead.Micros {
		t.Errorf("the controller's clock reads %v, want at least %v", got, ahead)
	}
}
