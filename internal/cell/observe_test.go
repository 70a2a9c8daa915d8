package cell

import (
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// TestEventsAndMetricsOfAJob checks that one job's events are recorded in order, from its
// acceptance to its end, and that the histograms of its class include the job.
func TestEventsAndMetricsOfAJob(t *testing.T) {
	c := newTestCell(t, 2)
	leader := c.awaitLeader(10 * time.Second)
	var events []event.Event
	leader.opts.Events.OnEvent(func(e event.Event) {
		if e.Job == "j1" {
			events = append(events, e)
		}
	})
	c.submit(c.otherThan(leader), "j1")
	c.awaitCompleted(c.otherThan(leader), "j1")
	want := []event.Type{event.JobAccepted, event.TaskPlaced, event.JobStarted, event.TaskEndObserved, event.JobEnded}
	for _, e := range events {
		if len(want) > 0 && e.Type == want[0] {
			want = want[1:]
		}
	}
	if len(want) > 0 {
		t.Errorf("no event of type %s in the expected order: %v", want[0], events)
	}
	var text strings.Builder
	leader.stats.set.WritePrometheus(&text)
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

// TestRefusalEventHasMemberState checks that the event of a refused request has the controller,
// the epoch and the configuration version that the member knew.
func TestRefusalEventHasMemberState(t *testing.T) {
	c := newTestCell(t, 2)
	leader := c.awaitLeader(10 * time.Second)
	n := c.otherThan(leader)
	c.submit(n, "j1")
	var got event.Event
	n.opts.Events.OnEvent(func(e event.Event) {
		if e.Type == event.RequestRefused {
			got = e
		}
	})
	n.RecordRefusal("j2", "batch", "POST", 70*time.Millisecond, structs.NewError(structs.CodeUnavailable, "no controller"))
	if got.Request != "j2" || got.Member != leader.self.Node || got.Epoch == 0 || got.Version != 1 || got.Count != 70 {
		t.Errorf("%+v", got)
	}
}

// TestClocksSynchronizeBetweenMembers submits through a member whose clock is ahead: the
// controller's clock advances, so that its events come after the submission in the timeline.
func TestClocksSynchronizeBetweenMembers(t *testing.T) {
	c := newTestCell(t, 2)
	leader := c.awaitLeader(10 * time.Second)
	n := c.otherThan(leader)
	ahead := event.Time{Micros: time.Now().Add(time.Hour).UnixMicro()}
	n.opts.Clock.Observe(ahead)
	c.submit(n, "j1")
	if got := leader.opts.Clock.Now(); got.Micros < ahead.Micros {
		t.Errorf("the controller's clock reads %v, want at least %v", got, ahead)
	}
}
