package load

import (
	"context"
	"fmt"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

func (r *runner) newRequestStream(s RequestStream) *stream {
	stats := newStats()
	return &stream{
		name:   s.Name,
		kind:   "requests",
		window: s.Window,
		within: s.LatencyTarget.AsDuration(),
		stats:  stats,
		send: func(ctx context.Context, a arrival) {
			r.sendRequest(ctx, s, a, stats)
		},
	}
}

// sendRequest sends one request and, if the stream says so, sends it again after
// an unknown outcome.
func (r *runner) sendRequest(ctx context.Context, s RequestStream, a arrival, stats *stats) {
	body := s.body(a)
	call := caller.Call{
		Class:      s.Class,
		Idempotent: s.Idempotent,
		Body:       body,
		Deadline:   s.Deadline.AsDuration(),
	}
	name := fmt.Sprintf("%s-%s-%d", r.id, s.Name, a.number)
	if s.Keyed {
		call.Key = name
	}
	expect := event.Digest(workersvc.Answer(body))
	var answer structs.Answer
	for attempt := 0; attempt <= s.Retries; attempt++ {
		if attempt > 0 {
			stats.retry()
		}
		call.ClientID = fmt.Sprintf("%s.%d", name, attempt)
		answer = r.attempt(ctx, call, a, attempt, expect, stats)
		if answer.Outcome != structs.OutcomeUnknown {
			break
		}
	}
	stats.done(requestResult(s, r, a, answer, expect))
}

func requestResult(s RequestStream, r *runner, a arrival, answer structs.Answer, expect string) result {
	out := result{
		after:   a.after,
		wait:    r.waited(a),
		outcome: string(answer.Outcome),
		within:  s.LatencyTarget.AsDuration(),
	}
	if answer.Err != nil {
		out.code = answer.Err.Code
	}
	out.wrong = answer.Outcome == structs.OutcomeAnswered && event.Digest(answer.Body) != expect
	return out
}

// attempt sends a request once, with its record. Where no connection to an
// entry could be made it takes the next entry, as a balancer would.
func (r *runner) attempt(ctx context.Context, call caller.Call, a arrival, attempt int, expect string, stats *stats) structs.Answer {
	r.options.Events.Record(event.Event{
		Type:       event.CallerRequestSent,
		Request:    call.ClientID,
		Key:        call.Key,
		Class:      call.Class,
		Idempotent: call.Idempotent,
	})
	var answer structs.Answer
	for i := range r.targets {
		if i > 0 {
			stats.move()
		}
		answer = r.target(a, attempt+i).Do(ctx, call)
		if !neverReached(answer) {
			break
		}
	}
	r.recordGot(call, answer, expect)
	return answer
}

// neverReached reports whether no entry took the request.
func neverReached(a structs.Answer) bool {
	return a.Outcome == structs.OutcomeNotRun && a.RequestID == "" &&
		a.Err != nil && a.Err.Code == structs.CodeUnavailable
}

func (r *runner) recordGot(call caller.Call, answer structs.Answer, expect string) {
	got := event.Event{
		Type:    event.CallerRequestEnded,
		Request: call.ClientID,
		Key:     call.Key,
		Class:   call.Class,
		Outcome: answer.Outcome,
		Worker:  answer.Worker,
		Detail:  answer.RequestID,
	}
	if answer.Err != nil {
		got.Code = answer.Err.Code
	}
	if answer.Outcome == structs.OutcomeAnswered {
		got.Digest = event.Digest(answer.Body)
		got.ExpectedDigest = expect
		got.Bytes = len(answer.Body)
	}
	r.options.Events.Record(got)
}
