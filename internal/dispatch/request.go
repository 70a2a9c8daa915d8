package dispatch

import (
	"context"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// HandleRequest runs a caller's request and returns its outcome. ctx carries the
// deadline.
func (d *Dispatcher) HandleRequest(ctx context.Context, r structs.Request) structs.Answer {
	d.opts.Events.Record(event.Event{
		Type: event.RequestReceived, Request: r.ID, Key: r.Key, Class: r.Class, Idempotent: r.Idempotent,
	})
	a := d.request(ctx, r)
	a.RequestID = r.ID
	d.counts.outcome(a)
	d.opts.Events.Record(event.Event{
		Type: event.RequestAnswered, Request: r.ID, Key: r.Key, Class: r.Class,
		Outcome: a.Outcome, Code: codeOf(a.Err), Worker: a.Worker,
	})
	return a
}

func (d *Dispatcher) request(ctx context.Context, r structs.Request) structs.Answer {
	j, err := d.newJob(ctx, r)
	if err != nil {
		return notRunAnswer(err)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if r.Key == "" {
		return d.run(ctx, j).answer()
	}
	return d.keyed(ctx, j)
}
