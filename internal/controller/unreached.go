package controller

import (
	"maps"
	"time"

	"dotterelhitch/internal/leaderlease"
)

// A controller stores which workers have not answered it yet, or do not answer for a while, and when every lease
// there has ended. The next controller need not begin that wait anew. Such a worker gets no lease before a
// record without it is stored.

// leaseRecordPeriod is the period at which the lease record is stored while workers of earlier
// controllers are not accounted for.
const leaseRecordPeriod = 500 * time.Millisecond

// minRecordedSilence is how long a worker has to be silent for the lease record to name it. Shorter silence is common,
// and the leases of a worker that is named can't be renewed while the store is away.
const minRecordedSilence = 2 * time.Second

// unreached reports whether the lease record has to name the worker: it has not answered this controller, or has been
// silent for a while, and gets no order that grants a lease.
func (w *worker) unreached(now time.Time) bool {
	return !w.accountedFor || w.bootAnswered && w.pollFailures > 0 && now.Sub(w.silentSince) >= minRecordedSilence
}

// loadUnreached restores when every lease has ended on the workers that the predecessor has not reached.
func (c *Controller) loadUnreached(now time.Time) {
	for id, left := range c.leaseRecord.UnreachedMs {
		if w := c.workers[id]; w != nil && !w.accountedFor {
			w.leasesEndBy = now.Add(time.Duration(left) * time.Millisecond)
		}
	}
}

// refreshLeaseRecord has the lease record stored again if it is due.
func (c *Controller) refreshLeaseRecord(now time.Time) {
	if c.predecessors == nil || now.Before(c.leaseRecordDue) {
		return
	}
	c.updateLeaseRecord(now)
	c.dirty.leaseRecord = c.dirty.leaseRecord || c.unreachedLeft
}

// updateLeaseRecord notes how long the leases on unreached workers last.
func (c *Controller) updateLeaseRecord(now time.Time) {
	c.leaseRecordDue = now.Add(leaseRecordPeriod)
	c.wakeups.add(c.leaseRecordDue)
	c.unreachedMs = map[string]int64{}
	c.unreachedLeft = false
	for id, w := range c.workers {
		if !w.unreached(now) {
			continue
		}
		left := max(c.latestLeaseEnd(w).Sub(now).Milliseconds()+1, 0)
		c.unreachedMs[id] = left
		w.unreachedGrant = w.lastGrant
		c.unreachedLeft = c.unreachedLeft || left > 0 || w.unreachedIn == 0
	}
}

// nextLeaseRecord returns the lease record to store next. Workers in it get no lease from now on.
func (c *Controller) nextLeaseRecord(witnesses *leaderlease.WitnessSet) leaderlease.Record {
	c.leaseRecordVersion++
	r := c.predecessors.Record(c.epoch, witnesses)
	r.UnreachedMs = map[string]int64{}
	for id, left := range c.unreachedMs {
		if w := c.workers[id]; w != nil && w.ungrantedSince() {
			r.UnreachedMs[id] = left
			w.unreachedIn = c.leaseRecordVersion
		}
	}
	return r
}

// ungrantedSince reports whether no order may have granted a lease on the unreached worker since updateLeaseRecord.
func (w *worker) ungrantedSince() bool {
	return (!w.accountedFor || w.pollFailures > 0) && w.lastGrant.Equal(w.unreachedGrant)
}

// leaseRecordStored lets the workers get leases that are neither in the version of the lease record that
// was stored nor in a later one.
func (c *Controller) leaseRecordStored(version int) {
	for _, w := range c.workers {
		if w.unreachedIn < version {
			w.unreachedIn = 0
		}
	}
	maps.DeleteFunc(c.retiredUnreachedIn, func(_ string, in int) bool { return in < version })
}

// requestLeaseRecord has the lease record stored without a worker that is accounted for now.
func (c *Controller) requestLeaseRecord(w *worker) {
	if w.accountedFor && w.unreachedIn > 0 {
		c.dirty.leaseRecord = true
	}
}

// takesLeases reports whether the worker may be granted a lease: no record in the store says that it has
// none.
func (w *worker) takesLeases() bool { return w.unreachedIn == 0 }
