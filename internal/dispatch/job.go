package dispatch

import (
	"context"
	"fmt"
	"time"

	"dotterelhitch/internal/scheduler/admission"
	"dotterelhitch/internal/structs"
)

// job is one request on its way through the dispatcher. It does not change.
type job struct {
	req      structs.Request
	deadline time.Time
	// target is when the class wants the answer, at most the deadline; within is
	// the class's target.
	target time.Time
	within time.Duration
	// forwarded is true if a peer sent the request here: it stays here.
	forwarded bool
}

func (j *job) slack() time.Duration { return time.Until(j.target) }

func (j *job) left() time.Duration { return time.Until(j.deadline) }

// place is where an attempt goes: an own worker or a peer.
type place struct {
	worker string
	peer   string
}

// attempt is one try at a job. It does not change either.
type attempt struct {
	*job
	// number counts the attempts from 1.
	number int
	// avoidWorkers and avoidPeers have been tried.
	avoidWorkers []string
	avoidPeers   []string
	// sent is called when the request is about to leave the entry.
	sent func(place)
}

// offer is what admission needs to know. A request that comes late to the gate,
// for which nothing can meet the target any more, is due by its own deadline: it
// runs if that takes nothing from others.
func (a *attempt) offer(usual time.Duration) admission.Request {
	due := a.target
	if a.slack() < usual {
		due = a.deadline
	}
	return admission.Request{
		ID:       fmt.Sprintf("%s/%d", a.req.ID, a.number),
		Class:    a.req.Class,
		Deadline: due,
		Target:   a.within,
	}
}

// newJob checks the class and finds the deadline and the target.
func (d *Dispatcher) newJob(ctx context.Context, r structs.Request) (*job, error) {
	class, err := d.opts.Classes.Class(r.Class)
	if err != nil {
		return nil, err
	}
	if class.Kind != structs.KindService {
		return nil, structs.NewError(structs.CodeInvalid, "class %q is of kind %s: it takes jobs", r.Class, class.Kind)
	}
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultDeadline)
	}
	j := &job{req: r, deadline: deadline, target: deadline, within: class.Target.AnswerWithin.AsDuration()}
	if due := now.Add(j.within); j.within > 0 && due.Before(deadline) {
		j.target = due
	}
	return j, nil
}
