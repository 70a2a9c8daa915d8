package cell

import (
	"testing"

	"dotterelhitch/internal/structs"
)

// TestTriesLeaveTheOutcomeOpen joins the failures of two tries of one append: only if both
// were refused has it certainly not been done.
func TestTriesLeaveTheOutcomeOpen(t *testing.T) {
	refused := structs.NewError(structs.CodeUnavailable, "busy")
	silent := structs.NewError(structs.CodeUnknown, "no answer")
	for name, c := range map[string]struct {
		err, other, want error
	}{
		"both refused":           {refused, refused, refused},
		"one silent":             {refused, silent, silent},
		"the other silent":       {silent, refused, silent},
		"one try":                {refused, nil, refused},
		"answered in the end":    {nil, silent, nil},
		"fenced after a silence": {structs.NewError(structs.CodeStaleEpoch, "fenced"), silent, structs.NewError(structs.CodeStaleEpoch, "fenced")},
	} {
		if got := openOf(c.err, c.other); structs.CodeOf(got) != structs.CodeOf(c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
