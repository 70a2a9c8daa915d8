package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// A worker that is restarted keeps its ID, and its new boot carries out orders that were meant for the former one:
// late starts, acknowledgments of ends by the former numbers, lease deadlines by the former clock. A new boot
// knows no fencing token, so the controller raises that of the worker when another boot answers. Once the new
// boot has answered a poll under the raised token, it refuses all earlier orders, and the runs that it does not
// list are not there.

// FencingTokensPerEpoch is the number of fencing tokens of an epoch: the epoch itself and those that follow it. The
// next epoch lies above them all.
const FencingTokensPerEpoch = 256

// newWorker returns a worker that the list or the store names. One that was known before gets the next fencing
// token: orders from then may still arrive.
func (c *Controller) newWorker(info workload.Worker, now time.Time) *worker {
	w := newWorker(info, c.epoch)
	if former, ok := c.retiredTokens[info.ID]; ok {
		delete(c.retiredTokens, info.ID)
		c.raiseToken(w, former, now)
	}
	w.unreachedIn = c.retiredUnreachedIn[info.ID]
	delete(c.retiredUnreachedIn, info.ID)
	return w
}

// fenceEarlierOrders raises the fencing token of a worker and has it polled. From its answer on it refuses the orders
// that were sent before.
func (c *Controller) fenceEarlierOrders(w *worker, now time.Time) {
	c.raiseToken(w, w.fencingToken, now)
	w.nextPoll = now
}

// fenceLateStarts has a worker that refuses the stop of a run refuse the copies of its start that may still arrive.
func (c *Controller) fenceLateStarts(r *run, now time.Time) {
	if r.copyMayArrive && !r.fenced() && r.worker.fencingToken < c.lastToken() {
		c.fenceEarlierOrders(r.worker, now)
	}
}

// raiseToken gives a worker the fencing token that follows another one. Without one the worker is not used until
// the next epoch.
func (c *Controller) raiseToken(w *worker, former int64, now time.Time) {
	w.tokenSince = now
	w.fencingToken = min(former+1, c.lastToken())
	w.unfenceable = w.fencingToken == former
	c.tokensUsedUp = c.tokensUsedUp || w.unfenceable
}

// lastToken returns the last fencing token of the epoch.
func (c *Controller) lastToken() int64 { return c.epoch + FencingTokensPerEpoch - 1 }

// setStopTokens sets the fencing tokens of stops that are about to be sent. The token may have been raised since
// they were decided on; polls and starts are sent at once.
func (c *Controller) setStopTokens(stops []Stop) {
	for i := range stops {
		if w := c.workers[stops[i].Worker]; w != nil {
			stops[i].FencingToken = w.fencingToken
		}
	}
}

// NeedsNewEpoch reports whether the fencing tokens of the epoch are used up for some worker, so that no later boot
// of it can be used under this epoch.
func (c *Controller) NeedsNewEpoch() bool { return c.tokensUsedUp }

// retireWorker forgets a worker, but not its fencing token, since late orders may still arrive there, nor that a record
// in the store may say that it has no lease.
func (c *Controller) retireWorker(w *worker) {
	c.retiredTokens[w.info.ID] = w.fencingToken
	if w.unreachedIn > 0 {
		c.retiredUnreachedIn[w.info.ID] = w.unreachedIn
	}
	delete(c.workers, w.info.ID)
}

// fenced reports whether the boot that answers refuses the start orders of the run, so that it has no other run
// of them than it lists.
func (r *run) fenced() bool { return r.fencingToken < r.worker.fencingToken }

// awaitsFence reports whether the boot that is known has not answered under a fencing token of its own, so that it takes
// the orders that were meant for the former one.
func (w *worker) awaitsFence() bool { return w.boot != 0 && !w.bootAnswered }
