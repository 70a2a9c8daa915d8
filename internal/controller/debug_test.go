package controller

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"dotterelhitch/internal/event"
)

// traceRecorder returns a recorder that logs the events whose text contains the environment
// variable TRACE, to examine a seed by hand.
func traceRecorder(t testing.TB, sim *simulation) func(event.Event) {
	want := os.Getenv("TRACE")
	if want == "" {
		return func(event.Event) {}
	}
	return func(e event.Event) {
		line := fmt.Sprintf("%v %s job=%s task=%s/%d worker=%s epoch=%d state=%s count=%d %s",
			sim.now.Sub(simulationStart), e.Type, e.Job, e.Task, e.Attempt, e.Worker, e.Epoch, e.State, e.Count, e.Detail)
		if strings.Contains(line, want) || e.Task == "" && e.Job == "" {
			t.Log(line)
		}
	}
}
