package entry

import (
	"testing"
	"time"

	"dotterelhitch/internal/dispatch"
	"dotterelhitch/internal/scheduler/admission"
	"dotterelhitch/internal/structs"
)

// TestRemainingBusyTime checks that a slot does not count as free while its endpoint may
// still be busy with the attempt, or has refused the request because it is full.
func TestRemainingBusyTime(t *testing.T) {
	const usual = 400 * time.Millisecond
	expected := admission.NewServiceTime()
	expected.Record(usual)
	for name, c := range map[string]struct {
		usage dispatch.AttemptReport
		want  time.Duration
	}{
		"answered":      {dispatch.AttemptReport{Outcome: structs.OutcomeAnswered, Duration: usual / 4}, 0},
		"given up":      {dispatch.AttemptReport{Outcome: structs.OutcomeUnknown, Abandoned: true, Duration: usual / 4}, usual - usual/4},
		"unknown":       {dispatch.AttemptReport{Outcome: structs.OutcomeUnknown, Duration: usual / 4}, usual - usual/4},
		"endpoint full": {dispatch.AttemptReport{Outcome: structs.OutcomeNotRun, Code: structs.CodeOverload}, usual},
		"never sent":    {dispatch.AttemptReport{Outcome: structs.OutcomeNotRun, Code: structs.CodeOverload, Unsent: true}, 0},
		"draining":      {dispatch.AttemptReport{Outcome: structs.OutcomeNotRun, Code: structs.CodeDraining}, 0},
	} {
		if got := remainingBusyTime(c.usage, expected); got != c.want {
			t.Errorf("%s: busy for %v, want %v", name, got, c.want)
		}
	}
}
