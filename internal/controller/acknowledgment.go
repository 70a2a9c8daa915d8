package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// A restarted worker numbers its ends from 1 again. If its new boot carries out a late start and then a late
// acknowledgment for the former boot, it drops the end of that start before the controller has seen it, and the task
// runs again. A start with a ticket for the former boot can't be carried out there. One with a ticket for the next boot,
// sent before the controller knows of that boot, can, and is not kept apart (TestPollForFormerBootDropsNoEndOfATicketedStart).
//
// A poll that acknowledges ends and a start without a ticket are therefore never under way to one worker at once,
// unless the start has the higher fencing token: the boot that has carried it out refuses the poll. On workers that
// may get such starts, a poll that acknowledges does not wait for an end, since starts wait for its response. Other
// polls acknowledge nothing there; the worker has dropped the ends already.

// maxAckDelay is how long starts without a ticket may put off an acknowledgment that is due. After it they wait for
// the acknowledgment.
const maxAckDelay = 200 * time.Millisecond

// acknowledgments is what may be under way to a worker of acknowledgments and of starts without a ticket.
type acknowledgments struct {
	// lowestListedEnd is the number of the first end in the latest response to a poll, zero if there was none.
	lowestListedEnd int64
	// inPoll says that the latest poll acknowledges ends.
	inPoll bool
	// lateToken is the highest fencing token of the polls without a response that acknowledge ends. The latest of
	// them arrives by lateUntil.
	lateToken int64
	lateUntil time.Time
	// delayedSince is when starts first put off an acknowledgment that is due, zero if they do not.
	delayedSince time.Time
	// starts are the starts without a ticket that are in flight. Those that got no response arrive by
	// startArrivesUntil.
	starts            map[workload.Run]struct{}
	startArrivesUntil time.Time
}

// servicesWithoutAdvisor returns the services of the classes whose starts bear no ticket. One such class changes the polls
// of all workers of its service. A job whose class was removed from the configuration may have other services; its
// starts wait longer for acknowledgments.
func servicesWithoutAdvisor(cfg *workload.Config) map[string]bool {
	services := map[string]bool{}
	for _, class := range cfg.Classes {
		if class.Advisor == nil {
			services[class.Service] = true
		}
	}
	return services
}

// setAcknowledgment sets the ends that a poll acknowledges, and that it does not wait if it does. It leaves the polls
// of workers whose starts all bear tickets as they are.
func (c *Controller) setAcknowledgment(w *worker, poll *Poll, now time.Time) {
	a := &w.acks
	delayed := false
	if poll.AckedSeq > 0 && c.servicesWithoutAdvisor[w.info.Service] {
		delayed = a.deferAcknowledgment(poll, now)
	}
	switch {
	case !delayed:
		a.delayedSince = time.Time{}
	case a.delayedSince.IsZero():
		a.delayedSince = now
	}
	a.inPoll = poll.AckedSeq > 0
}

// deferAcknowledgment has a poll acknowledge ends only if the worker still lists them and no start without a ticket may arrive.
// It reports whether an acknowledgment is due and such a start puts it off.
func (a *acknowledgments) deferAcknowledgment(poll *Poll, now time.Time) bool {
	due := a.lowestListedEnd > 0 && a.lowestListedEnd <= poll.AckedSeq
	if due {
		poll.Wait = 0
	}
	delayed := due && (len(a.starts) > 0 || now.Before(a.startArrivesUntil))
	if !due || delayed {
		poll.AckedSeq = 0
	}
	return delayed
}

// ackUnanswered records that the latest poll got no response. If it acknowledges ends, later starts without a ticket
// get a higher fencing token.
func (c *Controller) ackUnanswered(w *worker, result OrderResult, now time.Time) {
	a := &w.acks
	if !a.inPoll || result.Effect() != EffectUnknown {
		return
	}
	c.recordAckUnanswered(w, result)
	a.lateToken = w.fencingToken
	a.lateUntil = w.pollSent.Add(c.deliveryTime())
	if c.servicesWithoutAdvisor[w.info.Service] && w.fencingToken < c.lastTokenForAcks() {
		c.raiseToken(w, w.fencingToken, now)
	}
}

// lastTokenForAcks returns the highest fencing token that an unanswered acknowledgment leads to. The others are kept
// for later boots of the worker.
func (c *Controller) lastTokenForAcks() int64 { return c.epoch + FencingTokensPerEpoch/2 }

// deliveryTime is Timing.DeliveryTime for orders that may be delayed.
func (c *Controller) deliveryTime() time.Duration { return c.timing.DeliveryTime + c.orderDelay }

// takesStartWithoutTicket reports whether a start without a ticket may be sent as far as acknowledgments go.
func (w *worker) takesStartWithoutTicket(now time.Time) bool {
	a := &w.acks
	switch {
	case w.polling && a.inPoll:
		return false
	case now.Before(a.lateUntil) && w.fencingToken <= a.lateToken:
		return false
	default:
		return a.delayedSince.IsZero() || now.Sub(a.delayedSince) < maxAckDelay
	}
}

// noteStart records that a start order is sent.
func (a *acknowledgments) noteStart(run workload.Run, ticket string) {
	if ticket != "" {
		return
	}
	if a.starts == nil {
		a.starts = map[workload.Run]struct{}{}
	}
	a.starts[run] = struct{}{}
}

// noteStartResult records the result of a start order that was sent at sent.
func (c *Controller) noteStartResult(w *worker, run workload.Run, result OrderResult, sent time.Time) {
	a := &w.acks
	if _, ok := a.starts[run]; !ok {
		return
	}
	delete(a.starts, run)
	if until := sent.Add(c.deliveryTime()); result.Effect() == EffectUnknown && until.After(a.startArrivesUntil) {
		a.startArrivesUntil = until
	}
}
