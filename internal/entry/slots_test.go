package entry

import (
	"testing"
	"time"

	"dotterelhitch/internal/dispatch"
	"dotterelhitch/internal/scheduler/admission"
	"dotterelhitch/internal/structs"
)

// TestHoldFor checks that a slot is not counted as free while the endpoint may still be
// busy with the attempt, or has said itself that it is full.
func TestHoldFor(t *testing.T) {
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
		if got := holdFor(c.usage, expected); got != c.want {
			t.Errorf("%s: held for %v, want %v", name, got, c.want)
		}
	}
}
