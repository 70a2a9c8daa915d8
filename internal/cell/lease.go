package cell

import (
	"sync"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/leaderlease"
)

const (
	// maxWitnesses is the maximum number of witnesses of a leader lease.
	maxWitnesses = 8
	// witnessCheckPeriod is the period at which the witnesses are selected again.
	witnessCheckPeriod = 250 * time.Millisecond
	// Once a leader lease has run for 1/witnessRenewalPart of its length, the witnesses are asked to
	// renew it, witnessRounds times in each such part. Each call may take as long as a part. Calls of
	// the store keep the lease younger while the store answers.
	witnessRenewalPart = 4
	witnessRounds      = 3
)

// serving reports whether the term has loaded the stored jobs and its leader lease has not
// expired.
func (l *leaderTerm) serving() bool {
	return l.ready.Load() && l.leaseLeft(clock.Now()) > 0
}

// leaseLeft returns the time until the leader lease expires unless it is renewed.
func (l *leaderTerm) leaseLeft(now time.Time) time.Duration {
	timing := l.node.opts.Timing.LeaderLease
	return min(timing.Lease-now.Sub(loadTime(&l.renewedAt)), timing.MaxLease-now.Sub(loadTime(&l.confirmedAt)))
}

// leaderLeaseLeft returns the time in seconds until the leader lease expires unless it is renewed,
// zero on members that are not the controller.
func (n *Node) leaderLeaseLeft() float64 {
	l := n.term.Load()
	if l == nil {
		return 0
	}
	return max(l.leaseLeft(clock.Now()).Seconds(), 0)
}

// loadTime returns a time that is stored in Unix nanoseconds.
func loadTime(at *atomic.Int64) time.Time { return time.Unix(0, at.Load()) }

// raiseTime stores a time in Unix nanoseconds unless a later one is stored.
func raiseTime(at *atomic.Int64, t time.Time) {
	for {
		before := at.Load()
		if t.UnixNano() <= before || at.CompareAndSwap(before, t.UnixNano()) {
			return
		}
	}
}

// confirmEpoch renews the leader lease: a call of the store sent at sent showed that the epoch was
// current.
func (l *leaderTerm) confirmEpoch(sent time.Time) {
	raiseTime(&l.confirmedAt, sent)
	raiseTime(&l.renewedAt, sent)
	l.post(func(time.Time) {}) // the next tick applies it
}

// recordLeaseChange records that the leader lease has lapsed, or is renewed after that.
func (l *leaderTerm) recordLeaseChange(now time.Time) {
	lapsed := l.leaseLeft(now) <= 0
	if lapsed == l.leaseLapsed {
		return
	}
	l.leaseLapsed = lapsed
	state := "renewed"
	if lapsed {
		state = "lapsed"
	}
	age := now.Sub(loadTime(&l.renewedAt))
	l.node.record(event.Event{Type: event.LeaseChanged, Epoch: l.epoch, State: state, AgeMs: age.Milliseconds()})
}

// confirmOnRequest reads the newest claim if ctl waits for a call of the store that shows its epoch to be
// current. The reads of followClaims wait for a new claim.
func (l *leaderTerm) confirmOnRequest() {
	if !l.ctl.AwaitsConfirmation() || !l.confirming.CompareAndSwap(false, true) {
		return
	}
	l.wg.Go(func() {
		defer l.confirming.Store(false)
		sent := clock.Now()
		if !l.node.refreshClaims() {
			l.node.sleep(takeOverRetryPause)
			return
		}
		if l.node.term.Load() == l { // no newer claim has ended the term
			l.confirmEpoch(sent)
		}
	})
}

// updateWitnesses selects the witnesses: those of before from which heartbeats have come lately, and
// others in their place.
func (l *leaderTerm) updateWitnesses(now time.Time) {
	if now.Before(l.witnessesDueAt) {
		return
	}
	l.witnessesDueAt = now.Add(witnessCheckPeriod)
	fresh := l.freshMembers(now)
	if len(fresh) == 0 && now.Sub(l.startedAt) < l.node.memberFreshness() {
		return // the first heartbeats are still to come
	}
	l.witnesses = leaderlease.SelectWitnesses(l.witnesses, fresh, maxWitnesses)
	l.ctl.SetWitnesses(l.witnesses)
}

// renewByWitnesses asks the witnesses to renew the leader lease while the store does not, until the
// term ends.
func (l *leaderTerm) renewByWitnesses() {
	part := l.node.opts.Timing.LeaderLease.Lease / witnessRenewalPart
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(part / witnessRounds):
		}
		if clock.Since(loadTime(&l.renewedAt)) >= part {
			l.askWitnesses(part)
		}
	}
}

// askWitnesses asks the witnesses once whether they follow this epoch.
func (l *leaderTerm) askWitnesses(timeout time.Duration) {
	witnesses, err := callControl(l.ctx, l, func(time.Time) []string { return l.ctl.Witnesses() })
	if err != nil {
		return // the term has ended
	}
	sent := clock.Now()
	follows := l.followers(witnesses, timeout)
	l.post(func(time.Time) {
		if l.ctl.RenewByWitnesses(sent, follows) {
			raiseTime(&l.renewedAt, sent)
		}
	})
}

// followers asks the members on some nodes at once which claim is the newest that they know, and
// returns the nodes whose members know none after that of this term.
func (l *leaderTerm) followers(nodes []string, timeout time.Duration) map[string]bool {
	var mu sync.Mutex
	var wg sync.WaitGroup
	follows := map[string]bool{}
	for _, node := range nodes {
		wg.Go(func() {
			resp, err := l.node.callHello(l.node.view.addrOf(node), timeout)
			if err != nil || resp.From.GetNode() != node || resp.Epoch != l.epoch {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			follows[node] = true
		})
	}
	wg.Wait()
	return follows
}
