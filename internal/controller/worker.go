package controller

import (
	"time"

	"dotterelhitch/internal/runtimes"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/usage"
	"dotterelhitch/internal/workload"
)

// worker is a worker known from the platform's list or from the cell's store.
type worker struct {
	info workload.Worker
	// listed says that the worker is in the platform's list.
	listed bool
	// registered says that the store records the worker as possibly in use.
	registered bool
	// storedAddr is the address in that record. Until the record has the current address, nothing is
	// started there: the next controller asks at the stored one.
	storedAddr string
	// storedCapacity is the capacity in that record. It bounds what the next controller counts as running there.
	storedCapacity structs.Resources
	// fencingToken is that of the orders to the worker since tokenSince. unfenceable says that the epoch has no
	// token left that the boot would refuse earlier orders for.
	fencingToken int64
	tokenSince   time.Time
	unfenceable  bool
	// boot is the start time of the worker's process as last reported, in Unix milliseconds.
	boot int64
	// leaving says that this boot was listed as draining, so that its end is no crash.
	leaving bool
	// bootSeenAt is when the controller learned of this boot.
	bootSeenAt time.Time
	// otherBootAnswered says that by the clock in its response another boot has answered an order. No poll that was sent
	// after otherBootSeenAt has been answered since.
	otherBootAnswered bool
	otherBootSeenAt   time.Time
	// bootAnswered says that this boot has answered a poll under the current epoch.
	bootAnswered bool
	// accountedFor says that no run of an earlier controller can be in progress there without being
	// known. endLists tells whether one may have ended there without that being known.
	accountedFor bool
	endLists     endLists

	// leasesEndBy is the time by which every lease of earlier controllers has ended, zero if it follows
	// from Controller.predecessorsExpiry alone. unreachedIn is the latest version of the lease record
	// that says that this controller has granted none, zero if the store has no such record.
	leasesEndBy time.Time
	unreachedIn int

	// clockMs is the worker's clock in its latest response, which arrived at clockAt.
	clockMs int64
	clockAt time.Time
	// maxLeaseDeadlineMs is the latest lease deadline sent to this boot, by the worker's
	// clock.
	maxLeaseDeadlineMs int64

	// lastGrant is when the latest order was sent that may extend a lease, a start or a poll with a deadline.
	lastGrant time.Time
	// ticketedStartsUntil is when the tickets of the starts without an answer have expired, so that no boot carries these
	// starts out any more.
	ticketedStartsUntil time.Time
	// unreachedGrant is lastGrant as of the latest updateLeaseRecord that found the worker unreached.
	unreachedGrant time.Time

	// polledDeadlineMs is the lease deadline in the latest poll, heldDeadlineMs the latest one that this
	// boot has certainly received. clockStart is the earliest time at which the boot's clock may have
	// started, zero before the first reading.
	polledDeadlineMs, heldDeadlineMs int64
	clockStart                       time.Time

	// runsListedAt is a time after which the worker has read the latest list of all its runs. lateStartsUntil is until
	// when starts without an answer may arrive.
	runsListedAt     time.Time
	lateStartsUntil  time.Time
	lastAnsweredCall time.Time // start of the latest poll or order that got a response
	polling          bool
	pollSent         time.Time
	nextPoll         time.Time
	pollFailures     int // consecutive failed polls
	route            Route
	// polledAddr is the address of the latest poll, answeredAddr that at which the boot has
	// answered.
	polledAddr, answeredAddr string
	// The worker fell silent between silentAfter and silentSince, when the first of the failed polls
	// failed. These are the same if the connection of that poll broke.
	silentAfter, silentSince time.Time
	// brokeOff says that the silence began with a broken connection: a poll waited at the worker until
	// then, which would have told of an end at once.
	brokeOff bool
	// lapsedRuns holds the runs that were lost at lapsedAt with the lease of a silent worker shortly after
	// their start, until the worker or its successor answers.
	lapsedRuns []*run
	lapsedAt   time.Time
	// refusesConnections says that the latest order was not delivered. Until another one is, only
	// one order is sent again at a time, not before nextRetry.
	refusesConnections bool
	nextRetry          time.Time
	leaseExpired       bool
	noStartsUntil      time.Time

	speed  speedEstimate
	health healthRecord
	// avoided says that the current placement pass starts nothing on the worker.
	avoided bool
	// lastPass is the latest placement pass in which the worker was usable. order is its place among the usable
	// workers of that pass; it orders equally good candidates.
	lastPass, order int
	// suspectRuns counts the runs of suspects of which the worker has not outlived the start.
	// Nothing else is started on it meanwhile.
	suspectRuns int

	used    structs.Resources
	runs    map[workload.Run]*run
	orphans map[workload.Run]*orphanRun

	// storedEnds are the ends above ackedSeq that are stored, processedEnds those that were
	// processed.
	ackedSeq      int64
	storedEnds    map[int64]bool
	processedEnds map[int64]bool
	acks          acknowledgments
}

// workerRecord is the stored record of a worker that may be in use.
type workerRecord struct {
	Addr string `json:"addr"`
	// Capacity is zero in the records of earlier programs.
	Capacity structs.Resources `json:"capacity,omitzero"`
}

// describedBy reports whether a record has the worker's address, and a capacity of at least the worker's. A record of
// an earlier program has no capacity, which is accepted.
func (w *worker) describedBy(r *workerRecord) bool {
	return r.Addr == w.info.Addr && (r.Capacity.IsZero() || w.info.Capacity.Fits(r.Capacity))
}

// runState is the state of a run as far as the controller knows it.
type runState uint8

const (
	runStarting     runState = iota // the start order is in flight
	runStartUnknown                 // the start order got no response
	runRunning
	runStopping // the stop is in force on the worker; the end is not listed yet
)

// run is a run of a task that may be present on a worker.
type run struct {
	task   *task
	number int64
	worker *worker
	size   structs.Resources
	state  runState

	startSent time.Time // when the start order was first sent
	// fencingToken is that of the latest start order.
	fencingToken int64
	// ticketUntil is when the ticket of the latest start order expires, zero if it has none.
	ticketUntil time.Time
	// startDeadlineMs is the lease deadline in the first start order.
	startDeadlineMs int64
	confirmedAt     time.Time // when the worker confirmed the run
	stopSent        time.Time // when the stop order was last sent
	stopAcked       time.Time // when the worker last said that the run is stopped or has ended
	stopping        bool      // the stop was requested
	awaitsRecord    bool      // the start order is sent once it is recorded in the store
	recordRequested time.Time // when the record was requested
	recorded        bool      // the store has the start order
	retryAt         time.Time
	inFlight        bool // a start or stop order is in flight
	copyMayArrive   bool // some start order got no response, so that a copy may still arrive
	reached         bool // the connection broke while the worker had a start order
	outlived        bool // the worker has outlived the run's start by crashWindow
	testsSuspect    bool // counted in suspectRuns of its worker
	listedByWorker  bool // in its response to a poll, under the current boot
	acceptedByBoot  bool // the current boot has answered the start order

	percent      int
	percentAt    time.Time
	progressedAt time.Time // when percent last rose
	resumed      bool      // the progress may include work that was done before confirmedAt
	// counted is how the run counted in the prediction of its step's run times with the version countedIn.
	counted   runtimes.Running
	countedIn int
}

// onlyOnKnownBoot reports whether no later boot of the worker can have the run: the known boot lists it, and no
// other start order may still arrive. The answer to a start does not say which boot has given it.
func (r *run) onlyOnKnownBoot() bool { return r.listedByWorker && !r.copyMayArrive }

func (r *run) id() workload.Run { return workload.Run{Task: r.task.id(), Number: r.number} }

// forgetBoot drops what is known of the run on an earlier boot of its worker: whether that boot had or has stopped
// it, and a lease deadline by that boot's clock.
func (r *run) forgetBoot() {
	r.listedByWorker = false
	r.acceptedByBoot = false
	r.reached = false
	r.startDeadlineMs = 0
	r.confirmedAt = time.Time{}
	r.stopAcked = time.Time{}
}

func newWorker(info workload.Worker, fencingToken int64) *worker {
	return &worker{
		info:          info,
		fencingToken:  fencingToken,
		runs:          map[workload.Run]*run{},
		orphans:       map[workload.Run]*orphanRun{},
		storedEnds:    map[int64]bool{},
		processedEnds: map[int64]bool{},
	}
}

// stopOrder returns the order to stop a run on the worker.
func (w *worker) stopOrder(run workload.Run) Stop {
	return Stop{Worker: w.info.ID, Addr: w.info.Addr, Run: run, Route: w.route}
}

// occupy adds a run to the used capacity of a worker and to the usage of its owner.
func (c *Controller) occupy(w *worker, o usage.Owner, size structs.Resources) {
	w.used = w.used.Add(size)
	c.usage.Add(o, size)
}

// release undoes occupy.
func (c *Controller) release(w *worker, o usage.Owner, size structs.Resources) {
	w.used = w.used.Sub(size)
	c.usage.Remove(o, size)
}

// free returns the capacity that is not in use.
func (w *worker) free() structs.Resources {
	return w.info.Capacity.Sub(w.used)
}

// noteDraining records whether the worker's boot drains, from its entry. The entry of another boot says nothing
// of this one.
func (w *worker) noteDraining() {
	if w.info.BootMs == w.boot || w.boot == 0 {
		w.leaving = w.info.Draining
	}
}

// reachable reports whether the worker answers polls.
func (w *worker) reachable(now time.Time) bool {
	if w.pollFailures > 0 {
		return false
	}
	return !w.polling || now.Sub(w.pollSent) < pollTimeout
}

// noteSilence records the first failed poll of the worker. The poll was sent at pollSent and waited for
// up to pollWait.
func (w *worker) noteSilence(result OrderResult, pollWait time.Duration, now time.Time) {
	w.silentSince = now
	w.silentAfter = now
	w.brokeOff = result == ConnectionBroken
	if now.Sub(w.pollSent) > pollWait {
		w.silentAfter = w.lastAnsweredCall
	}
}

// lastHeard returns a time at which the worker was certainly not silent yet.
func (w *worker) lastHeard() time.Time {
	if w.pollFailures > 0 {
		return w.silentAfter
	}
	return w.lastAnsweredCall
}

// takesRetry reports whether an order may be sent to the worker again now. A worker that does not
// answer polls would not answer the order either.
func (w *worker) takesRetry(now time.Time) bool {
	if w.pollFailures > 0 || w.refusesConnections && now.Before(w.nextRetry) {
		return false
	}
	w.nextRetry = now.Add(pollRetryPause)
	return true
}

// pollTimeout is how long a poll may be in flight before the worker counts as unreachable. It
// covers Timing.PollWait and a slow round trip.
const pollTimeout = 2500 * time.Millisecond

// describesBoot reports whether the worker's entry in the platform's list is of the boot that answers polls.
// The entry of another boot says nothing of its service, labels and capacity.
func (w *worker) describesBoot() bool { return w.info.BootMs == w.boot }

// takesStarts reports whether starts may be sent: the boot that is known has answered a poll, no answer shows another
// one since, and leases may be granted.
func (w *worker) takesStarts() bool { return w.bootAnswered && !w.otherBootAnswered && w.takesLeases() }

// usable reports whether tasks may be started on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.takesStarts() && w.describesBoot() && w.registered && !w.info.Draining && !w.leaseExpired &&
		w.reachable(now) && !now.Before(w.noStartsUntil) && !w.hasUnknownUsage() && !w.endLists.truncated
}

// leaseDeadlineMs returns the end of a lease granted at now, in milliseconds on the worker's
// clock.
func (w *worker) leaseDeadlineMs(now time.Time, lease time.Duration) int64 {
	return w.clockMs + now.Sub(w.clockAt).Milliseconds() + lease.Milliseconds()
}

// leaseReceived records that this boot has received a lease deadline.
func (w *worker) leaseReceived(deadlineMs int64) {
	w.heldDeadlineMs = max(w.heldDeadlineMs, deadlineMs)
}

// noteClockStart narrows the time at which the worker's clock started, from a reading in the response to a
// poll that was sent at sent. Responses to orders do not say which boot's clock they have read. The worker may
// have read its clock as early as the poll was sent. A slow clock makes it seem to have started later.
func (w *worker) noteClockStart(clockMs int64, sent time.Time) {
	start := sent.Add(-time.Duration(clockMs) * time.Millisecond)
	if start.After(w.clockStart) {
		w.clockStart = start
	}
}

// clockMatches reports whether a reading of the clock in the response to a call that was sent at sent and answered at
// now can be of the boot that is known. The clock of a later boot starts at any reading.
func (w *worker) clockMatches(clockMs int64, sent, now time.Time) bool {
	if w.clockAt.IsZero() || clockMs <= 0 {
		return false
	}
	reading := time.Duration(clockMs) * time.Millisecond
	earliestStart, latestStart := sent.Add(-reading), now.Add(-reading)
	drift := time.Duration(maxClockSlowness*float64(max(sent.Sub(w.clockAt), 0))) + time.Millisecond
	latestKnown := w.clockAt.Add(-time.Duration(w.clockMs) * time.Millisecond)
	return !earliestStart.After(latestKnown.Add(drift)) && !latestStart.Before(w.clockStart.Add(-drift))
}

// noteUnansweredTicket records that a start whose ticket expires at a time got no answer.
func (w *worker) noteUnansweredTicket(expiresAt time.Time) {
	if expiresAt.After(w.ticketedStartsUntil) {
		w.ticketedStartsUntil = expiresAt
	}
}

// holdsLease reports whether the lease of a run that is on the worker is certainly in force. A worker that
// has the run has received the deadline in its start order.
func (w *worker) holdsLease(r *run, now time.Time) bool {
	deadline := max(w.heldDeadlineMs, r.startDeadlineMs)
	return now.Before(w.clockStart.Add(time.Duration(deadline) * time.Millisecond))
}

// leaseEnd returns the time by which every lease granted to the current boot has ended.
func (w *worker) leaseEnd() time.Time {
	remaining := time.Duration(w.maxLeaseDeadlineMs-w.clockMs) * time.Millisecond
	if remaining <= 0 {
		return w.clockAt
	}
	return w.clockAt.Add(time.Duration(float64(remaining)/(1-maxClockSlowness)) + leaseEndMargin)
}
