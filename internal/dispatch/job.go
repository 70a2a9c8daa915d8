package dispatch

import (
	"context"
	"fmt"
	"time"

	"dotterelhitch/internal/scheduler/admission"
	"dotterelhitch/internal/structs"
)

// inboundRequest is a request of a caller or a peer that the dispatcher handles. It
// does not change once attempts have started.
type inboundRequest struct {
	req      structs.Request
	deadline time.Time
	// targetTime is when the class wants the answer, but not after the deadline;
	// targetDuration is the class's target.
	targetTime     time.Time
	targetDuration time.Duration
	// forwarded is true for a request forwarded by a peer; it is not forwarded again.
	forwarded bool
}

// slack returns the time until the target, negative if it has passed.
func (in *inboundRequest) slack() time.Duration { return time.Until(in.targetTime) }

// remaining returns the time until the deadline.
func (in *inboundRequest) remaining() time.Duration { return time.Until(in.deadline) }

// recipient is the own worker or the peer that an attempt is sent to.
type recipient struct {
	worker string
	peer   string
}

// attempt is one attempt at a request. It is immutable.
type attempt struct {
	*inboundRequest
	// number counts the attempts from 1.
	number int
	// avoidWorkers and avoidPeers were sent the request by earlier attempts.
	avoidWorkers []string
	avoidPeers   []string
	// onSent is called just before the request leaves the entry.
	onSent func(recipient)
}

// admissionRequest returns the request to the admission controller. A request that
// arrives too late to meet its target is due at its deadline instead: it runs only if
// that delays no other request.
func (a *attempt) admissionRequest(typical time.Duration) admission.Request {
	due := a.targetTime
	if a.slack() < typical {
		due = a.deadline
	}
	return admission.Request{
		ID:       fmt.Sprintf("%s/%d", a.req.ID, a.number),
		Class:    a.req.Class,
		Deadline: due,
		Target:   a.targetDuration,
	}
}

// newInboundRequest checks the class and determines the deadline and the target.
func (d *Dispatcher) newInboundRequest(ctx context.Context, r structs.Request) (*inboundRequest, error) {
	class, err := d.opts.Classes.Class(r.Class)
	if err != nil {
		return nil, err
	}
	if class.Kind != structs.KindService {
		return nil, structs.NewError(structs.CodeInvalid, "class %q is of kind %s: it accepts jobs, not requests", r.Class, class.Kind)
	}
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultDeadline)
	}
	in := &inboundRequest{req: r, deadline: deadline, targetTime: deadline, targetDuration: class.Target.AnswerWithin.AsDuration()}
	if due := now.Add(in.targetDuration); in.targetDuration > 0 && due.Before(deadline) {
		in.targetTime = due
	}
	return in, nil
}
