// Package timeline merges the event logs of all processes of a run into one
// order and selects events from it. The order is that of the hybrid logical clock that
// every message carries, so it is correct even if the processes' own clocks disagree.
package timeline

import (
	"bytes"
	"encoding/json"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Decode reads one line of an event log. For a line that is not an event it returns a
// *structs.Error with CodeInvalid. JSON members that this version doesn't know are
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
