package cell

import (
	"slices"
	"testing"
	"time"

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

// TestSilentStoreIsLeftForOthers has the controller's own path to the store go silent: one
// call waits until another member has been asked besides, the next ones go there at once
// (tairi-bale-grown trouble-1: acceptance took 0.4 to 0.9 s until the path's timeout).
func TestSilentStoreIsLeftForOthers(t *testing.T) {
	c := newTestCell(t, 3)
	l := c.leader(5 * time.Second)
	l.cut.Store(true)
	defer l.cut.Store(false)
	c.submit(l, "j1")
	if !l.log.bad() {
		t.Error("the silent path still counts as good after another member was quicker")
	}
}

// TestRelaysAreStrong has members of unlike machines: the strongest that reach the store
// come first.
func TestRelaysAreStrong(t *testing.T) {
	n := New(Options{Self: Member{Node: "self"}})
	for _, m := range []Member{
		{Node: "weak", Cores: 0.2, ReachesStore: true},
		{Node: "cut", Cores: 4},
		{Node: "strong", Cores: 0.8, ReachesStore: true},
		{Node: "middle", Cores: 0.4, ReachesStore: true},
	} {
		n.view.met(m, true, time.Now())
	}
	var got []string
	for _, m := range n.relays() {
		got = append(got, m.Node)
	}
	if want := []string{"strong", "middle"}; !slices.Equal(got, want) {
		t.Errorf("relays %v, want %v", got, want)
	}
}
