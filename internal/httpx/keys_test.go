package httpx

import (
	"net/http"
	"testing"
)

// TestKeyRotationHasNoGap walks through a rotation, one process at a time: at each
// step processes of this step and of the next call each other.
func TestKeyRotationHasNoGap(t *testing.T) {
	steps := []Keys{{"old"}, {"old", "new"}, {"new", "old"}, {"new"}}
	passes := func(client, server Keys) bool {
		h := http.Header{}
		client.Sign(h)
		return server.Check(h) == nil
	}
	for i := range len(steps) - 1 {
		if !passes(steps[i], steps[i+1]) || !passes(steps[i+1], steps[i]) {
			t.Errorf("a gap between steps %d and %d", i, i+1)
		}
	}
	if passes(steps[0], steps[3]) || passes(nil, steps[0]) {
		t.Error("an old key or none passes after the rotation")
	}
}
