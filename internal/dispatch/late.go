package dispatch

import (
	"dotterelhitch/internal/endpoint"
	"dotterelhitch/internal/event"
)

// RecordLateAnswers returns a function for endpoint.Options.OnLate that records dropped
// answers as events.
func RecordLateAnswers(rec *event.Recorder) func(endpoint.LateAnswer) {
	return func(l endpoint.LateAnswer) {
		rec.Record(event.Event{Type: event.LateAnswer, Request: l.Request, Worker: l.Worker, Bytes: l.Bytes})
	}
}
