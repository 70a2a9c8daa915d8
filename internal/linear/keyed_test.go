package linear

import (
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

func sent(request string) event.Event {
	return event.Event{Proc: "load", Type: event.CallerRequestSent, Request: request, Key: "k"}
}

func got(request string, outcome structs.Outcome, digest string) event.Event {
	return event.Event{Proc: "load", Type: event.CallerRequestEnded, Request: request, Outcome: outcome, Digest: digest}
}

func ran(request string) event.Event {
	return event.Event{Proc: "w-1", Type: event.RequestRun, Request: request, Key: "k"}
}

func TestCheckKeyed(t *testing.T) {
	answered, notRun, unknown := structs.OutcomeAnswered, structs.OutcomeNotRun, structs.OutcomeUnknown
	for _, c := range []struct {
		name   string
		events []event.Event
		ok     bool
	}{
		{"one run, two answers", []event.Event{sent("1"), ran("r1"), got("1", answered, "d"), sent("2"), got("2", answered, "d")}, true},
		{"not run, then a run", []event.Event{sent("1"), got("1", notRun, ""), sent("2"), ran("r2"), got("2", answered, "d")}, true},
		{"unknown, then its late run", []event.Event{sent("1"), got("1", unknown, ""), ran("r1")}, true},
		{"a call without an end", []event.Event{sent("1"), ran("r1")}, true},
		{"overlapping calls", []event.Event{sent("1"), sent("2"), ran("r1"), got("2", answered, "d"), got("1", answered, "d")}, true},
		{"a second run", []event.Event{sent("1"), ran("r1"), got("1", unknown, ""), sent("2"), ran("r2"), got("2", answered, "d")}, false},
		{"an answer before any run", []event.Event{sent("1"), got("1", answered, "d"), ran("r1")}, false},
		{"two answers that differ", []event.Event{sent("1"), ran("r1"), got("1", answered, "d"), sent("2"), got("2", answered, "e")}, false},
	} {
		r := CheckKeyed(KeyedOperations(c.events), time.Minute)
		if r.OK() != c.ok || len(r.UndecidedKeys) > 0 {
			t.Errorf("%s: %+v, want ok %v", c.name, r, c.ok)
		}
	}
}
