package dispatch

import (
	"dotterelhitch/internal/endpoint"
	"dotterelhitch/internal/event"
)

// RecordLateAnswers returns what endpoint.Options.OnLate needs to put dropped answers
// on the time line.
func RecordLateAnswers(rec *event.Recorder) func(endpoint.LateAnswer) {
	return func(l endpoint.LateAnswer) {
		rec.Record(event.Event{Type: event.LateAnswer, Request: l.Request, Worker: l.Worker, Bytes: l.Bytes})
	}
}
