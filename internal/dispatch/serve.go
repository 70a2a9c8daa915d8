package dispatch

import (
	"context"
	"time"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// ServeForwarded runs a request that a peer has forwarded, on own workers only. It makes
// no second attempt after an unknown outcome: that is the peer's decision, which
// also has the key's leave.
func (d *Dispatcher) ServeForwarded(ctx context.Context, r *peerv1.DispatchRequest) *peerv1.DispatchResponse {
	res := d.serve(ctx, r)
	out := &peerv1.DispatchResponse{Id: r.GetId(), Outcome: string(res.Outcome), Worker: res.Worker}
	if res.Outcome == structs.OutcomeAnswered {
		out.Body = res.Body
		return out
	}
	out.Error = toPeerError(res.Err)
	return out
}

func (d *Dispatcher) serve(ctx context.Context, r *peerv1.DispatchRequest) Result {
	if err := checkForwarded(r); err != nil {
		return notRun(err)
	}
	deadline := time.Now().Add(time.Duration(r.GetDeadlineMs()) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	j, err := d.newJob(ctx, structs.Request{
		ID: r.GetId(), Class: r.GetClass(), Key: r.GetKey(), Idempotent: r.GetIdempotent(), Body: r.GetBody(),
	})
	if structs.CodeOf(err) == structs.CodeNotFound {
		// The peer knows the class: this entry has not read that far.
		return notRun(structs.NewError(structs.CodeBehind, "%v", err))
	}
	if err != nil {
		return notRun(err)
	}
	j.forwarded = true
	d.counts.served.Inc()
	return d.run(ctx, j)
}

// maxForwardedDeadline bounds the deadline that a peer may name.
const maxForwardedDeadline = 2 * time.Minute

func checkForwarded(r *peerv1.DispatchRequest) error {
	if r.GetId() == "" || len(r.GetKey()) > structs.MaxKeyBytes || !structs.ValidName(r.GetClass()) {
		return structs.NewError(structs.CodeInvalid, "forwarded request: want an ID, a class and a key of at most %d bytes", structs.MaxKeyBytes)
	}
	if len(r.GetBody()) > structs.MaxRequestBytes {
		return structs.NewError(structs.CodeTooLarge, "forwarded request of %d bytes: at most %d", len(r.GetBody()), structs.MaxRequestBytes)
	}
	if r.GetDeadlineMs() <= 0 || r.GetDeadlineMs() > maxForwardedDeadline.Milliseconds() {
		return structs.NewError(structs.CodeDeadline, "forwarded request with a deadline of %d ms", r.GetDeadlineMs())
	}
	return nil
}

func toPeerError(e *structs.Error) *peerv1.Error {
	if e == nil {
		return nil
	}
	return &peerv1.Error{Code: string(e.Code), Message: e.Message, RetryAfterMs: e.RetryAfterMs}
}
