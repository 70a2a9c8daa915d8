package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/workload"
)

// A restarted worker numbers its ends from 1 again. If its new boot carries out a start and then an acknowledgment for
// the former boot, it drops the end of that start before the controller has seen it, and the task runs again. The start
// may be late and without a ticket, or bear a ticket for the new boot: the advisor may know of that boot before the
// controller does. A start with a ticket for the former boot can't be carried out there.
//
// A poll that acknowledges ends and a start that a later boot than the known one may carry out are therefore never under
// way to one worker at once, unless the start has the higher fencing token: the boot that has carried it out refuses the
// poll. Polls that acknowledge do not wait for an end, since starts wait for their response. Polls that wait acknowledge
// nothing; the worker has dropped the ends already.

// maxAckDelay is how long starts may put off an acknowledgment that is due. After it they wait for the acknowledgment.
const maxAckDelay = 200 * time.Millisecond

// maxUnacknowledgedEnds is the number of listed ends above which starts wait for an acknowledgment that has to wait for
// late starts. A worker lists maxEndsListed at most.
const maxUnacknowledgedEnds = maxEndsListed / 2

// acknowledgments is what may be under way to a worker of acknowledgments and of starts that a later boot than the known
// one may carry out.
type acknowledgments struct {
	// lowestListedEnd is the number of the first end in the latest response to a poll, zero if there was none.
	// listedEnds is the number of ends there.
	lowestListedEnd int64
	listedEnds      int
	// inPoll says that the latest poll acknowledges ends.
	inPoll bool
	// lateToken is the highest fencing token of the polls without a response that acknowledge ends. The latest of
	// them arrives by lateUntil.
	lateToken int64
	lateUntil time.Time
	// delayedSince is when an acknowledgment that is due was first put off for which starts have to pause, zero if there is
	// none.
	delayedSince time.Time
	// starts are the starts without a ticket that are in flight, and whether an earlier copy was sent. Those that got
	// no response arrive by startArrivesUntil.
	starts            map[workload.Run]bool
	startArrivesUntil time.Time
	// inheritedStarts are the starts of earlier controllers that may still arrive.
	inheritedStarts []*unansweredStart
	// confirmedAt is when the latest poll was sent that the known boot has answered.
	confirmedAt time.Time
	// unconfirmed are the starts that a later boot may have carried out unseen, or may yet carry out by their ticket.
	unconfirmed map[workload.Run]unconfirmedStart
}

// unconfirmedStart is a start of which a later boot than the known one may have the run, unless the known boot has
// answered a poll that was sent after a time: the advisor issues no ticket for a boot before it has begun, and a start
// without a ticket that was answered before that time was carried out by the known boot or an earlier one.
type unconfirmedStart struct {
	since time.Time
	// repeated says that the run has had other copies of its start. That the known boot lists the run shows by which
	// boot a start was carried out only if there are none.
	repeated bool
}

// setAcknowledgment sets the ends that a poll acknowledges, and that it does not wait if it does.
func (c *Controller) setAcknowledgment(w *worker, poll *Poll, now time.Time) {
	a := &w.acks
	delayed := poll.AckedSeq > 0 && a.deferAcknowledgment(poll, c.predecessorsExpiry, w.endLists.unread, now)
	switch {
	case !delayed:
		a.delayedSince = time.Time{}
	case a.delayedSince.IsZero():
		a.delayedSince = now
	}
	a.inPoll = poll.AckedSeq > 0
}

// deferAcknowledgment has a poll acknowledge ends only if the worker still lists them and no later boot may carry out a
// start. It reports whether an acknowledgment is due and starts must not put it off for long. Earlier controllers may have
// sent starts until predecessorsExpiry. What they sent puts nothing off while the takeover waits for unread ends, which the
// worker lists only after an acknowledgment.
func (a *acknowledgments) deferAcknowledgment(poll *Poll, predecessorsExpiry time.Time, unread bool, now time.Time) bool {
	due := a.lowestListedEnd > 0 && a.lowestListedEnd <= poll.AckedSeq
	if due {
		poll.Wait = 0
	}
	inherited := a.confirmedAt.Before(predecessorsExpiry)
	delayed := due && (inherited || a.startMayReachLaterBoot(now) || !unread && a.inheritedStartMayArrive(now))
	if !due || delayed {
		poll.AckedSeq = 0
	}
	return delayed && !inherited && a.startsMustPause(now)
}

// startsMustPause reports whether starts have to wait for an acknowledgment that they put off for long. One that waits for
// a late start to arrive does not gain by that unless the ends are so many that the list may get too long for the worker.
func (a *acknowledgments) startsMustPause(now time.Time) bool {
	lateStartMayArrive := now.Before(a.startArrivesUntil) || a.inheritedStartMayArrive(now)
	return !lateStartMayArrive || a.listedEnds >= maxUnacknowledgedEnds
}

// startMayReachLaterBoot reports whether a later boot than the known one may carry out a start of this controller, or have
// carried it out unseen.
func (a *acknowledgments) startMayReachLaterBoot(now time.Time) bool {
	return len(a.starts) > 0 || len(a.unconfirmed) > 0 || now.Before(a.startArrivesUntil)
}

// inheritedStartMayArrive reports whether a start of an earlier controller may still arrive.
func (a *acknowledgments) inheritedStartMayArrive(now time.Time) bool {
	if slices.ContainsFunc(a.inheritedStarts, func(s *unansweredStart) bool { return s.mayArrive(now) }) {
		return true
	}
	a.inheritedStarts = nil
	return false
}

// ackUnanswered records that the latest poll got no response. If it acknowledges ends, later starts get a higher fencing
// token.
func (c *Controller) ackUnanswered(w *worker, result OrderResult, now time.Time) {
	a := &w.acks
	if !a.inPoll || result.Effect() != EffectUnknown {
		return
	}
	c.recordAckUnanswered(w, result)
	a.lateToken = w.fencingToken
	a.lateUntil = w.pollSent.Add(c.lateOrderTime())
	if w.fencingToken < c.lastTokenForAcks() {
		c.raiseToken(w, w.fencingToken, now)
		return
	}
	// Until the next epoch starts wait for LateStartTime after each such poll.
	c.tokensUsedUp = true
}

// lastTokenForAcks returns the highest fencing token that an unanswered acknowledgment leads to. The others are kept
// for later boots of the worker.
func (c *Controller) lastTokenForAcks() int64 { return c.epoch + FencingTokensPerEpoch/2 }

// lateOrderTime is how long after its sending an order without a response may still be carried out.
func (c *Controller) lateOrderTime() time.Duration {
	return max(c.timing.DeliveryTime, c.timing.LateStartTime) + c.orderDelay
}

// acksAllowStart reports whether a start may be sent as far as acknowledgments go.
func (w *worker) acksAllowStart(now time.Time) bool {
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

// noteStart records that a start order is sent. repeated says that another copy of it was sent before.
func (a *acknowledgments) noteStart(run workload.Run, ticket string, repeated bool, now time.Time) {
	if ticket != "" {
		a.addUnconfirmed(run, unconfirmedStart{since: now, repeated: repeated})
		return
	}
	if a.starts == nil {
		a.starts = map[workload.Run]bool{}
	}
	a.starts[run] = repeated
}

func (a *acknowledgments) addUnconfirmed(run workload.Run, start unconfirmedStart) {
	if a.unconfirmed == nil {
		a.unconfirmed = map[workload.Run]unconfirmedStart{}
	}
	a.unconfirmed[run] = start
}

// noteStartResult records the result of a start order that was sent at sent.
func (c *Controller) noteStartResult(w *worker, run workload.Run, result OrderResult, sent, now time.Time) {
	a := &w.acks
	if start, ok := a.unconfirmed[run]; ok && !start.repeated && result.Effect() == EffectNone {
		delete(a.unconfirmed, run)
	}
	repeated, ok := a.starts[run]
	if !ok {
		return
	}
	delete(a.starts, run)
	switch result.Effect() {
	case EffectDone:
		a.addUnconfirmed(run, unconfirmedStart{since: now, repeated: repeated})
	case EffectUnknown:
		if until := sent.Add(c.lateOrderTime()); until.After(a.startArrivesUntil) {
			a.startArrivesUntil = until
		}
	}
}

// confirmStarts drops the starts that no later boot can carry out, or has carried out, by a response of the known boot to
// a poll that was sent at sent.
func (a *acknowledgments) confirmStarts(result *workload.PollResult, sent time.Time) {
	if sent.After(a.confirmedAt) {
		a.confirmedAt = sent
	}
	if len(a.unconfirmed) == 0 {
		return
	}
	for i := range result.Running {
		a.confirmListed(result.Running[i].Run)
	}
	for i := range result.Ended {
		a.confirmListed(result.Ended[i].Run)
	}
	for run, start := range a.unconfirmed {
		if start.since.Before(sent) {
			delete(a.unconfirmed, run)
		}
	}
}

// confirmListed drops the start of a run that the known boot lists: it has carried out the only copy.
func (a *acknowledgments) confirmListed(run workload.Run) {
	if start, ok := a.unconfirmed[run]; ok && !start.repeated {
		delete(a.unconfirmed, run)
	}
}
