// Package timeline merges the event logs of all processes of a run into one
// order and selects from it. The order is that of the hybrid logical clock that
// travels on every message, so it holds whatever the processes' own clocks say.
package timeline

import (
	"bytes"
	"encoding/json"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Decode reads one line of an event log. A line that is no event gives a
// *structs.Error of CodeInvalid. Members that this version doesn't know are
// skipped.
func Decode(line []byte) (event.Event, error) {
	var e event.Event
	dec := json.NewDecoder(bytes.NewReader(line))
	if err := dec.Decode(&e); err != nil {
		return event.Event{}, structs.NewError(structs.CodeInvalid, "not an event: %v", err)
	}
	if dec.More() {
		return event.Event{}, structs.NewError(structs.CodeInvalid, "not an event: data after the JSON value")
	}
	if e.Type == "" || e.Proc == "" {
		return event.Event{}, structs.NewError(structs.CodeInvalid, "not an event: type or proc is missing")
	}
	if e.Time.Micros < 0 {
		return event.Event{}, structs.NewError(structs.CodeInvalid, "not an event: its time is negative")
	}
	return e, nil
}
