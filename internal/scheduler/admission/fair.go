package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fairRefreshInterval is the interval at which the slot shares of the classes are
	// recomputed.
	fairRefreshInterval = 100 * time.Millisecond
	// minSlotShare is the minimum share of the slots that is distributed to the classes
	// while the backlog exceeds its limit.
	minSlotShare = 0.5
	// recentRateWindow is the time constant of the recent request rates, which
	// determine the shares when they exceed the usual rates: a sudden overload must not
	// fill the queues before the usual rates show it.
	recentRateWindow = 200 * time.Millisecond
	// backlogLimitShare is the share of the shortest target that the backlog may reach
	// before slot shares are enforced, as long as the demand does not exceed the slots.
	backlogLimitShare = 0.5
)

// fairness distributes the slots to classes under overload by max-min fairness of work:
// a class whose demand is below an even share gets all of its demand, and the other
// classes share the rest. An overload of one class then takes nothing from a class with
// low demand, and classes with long targets do not crowd out classes with short ones.
// Shares are enforced only while the backlog exceeds its limit: the measured rates vary
// randomly, so that just below capacity they would cause refusals of requests that
// could be answered in time.
type fairness struct {
	lastRefresh time.Time
	// backlogLimit is the backlog above which the slot shares are enforced.
	backlogLimit time.Duration
}

// slotShare returns the share of the slots to distribute: 1 up to the backlog limit and
// less above it, so that the backlog shrinks. All slots remain in use meanwhile.
func (f *fairness) slotShare(backlog time.Duration) float64 {
	if backlog <= f.backlogLimit {
		return 1
	}
	return max(float64(f.backlogLimit)/float64(backlog), minSlotShare)
}

// countRequest adds an arriving request to the request rates of the class.
func (q *classQueue) countRequest(now time.Time) {
	q.requestRate.Add(now, 1)
	q.recentRequestRate.Add(now, 1)
}

// refresh recomputes the share of its requests that each class may have admitted, given
// the current backlog.
func (f *fairness) refresh(now time.Time, queues []*classQueue, slots int, backlog time.Duration) {
	if now.Sub(f.lastRefresh) < fairRefreshInterval {
		return
	}
	f.lastRefresh = now
	byDemand := slices.Clone(queues)
	for _, q := range byDemand {
		q.demandSlots = q.requestRate.PerSecond(now) * q.serviceTime.Mean().Seconds()
		q.peakDemandSlots = max(q.demandSlots, q.recentRequestRate.PerSecond(now)*q.serviceTime.Mean().Seconds())
	}
	f.backlogLimit = computeBacklogLimit(queues, slots)
	slices.SortStableFunc(byDemand, func(a, b *classQueue) int { return cmp.Compare(a.peakDemandSlots, b.peakDemandSlots) })
	slotsLeft := float64(slots) * f.slotShare(backlog)
	for i, q := range byDemand {
		granted := min(q.peakDemandSlots, slotsLeft/float64(len(byDemand)-i))
		slotsLeft -= granted
		q.admitShare = 1
		if q.peakDemandSlots > 0 {
			q.admitShare = granted / q.peakDemandSlots
		}
	}
}

// computeBacklogLimit returns a share of the shortest target of the classes with
// demand. The limit falls with the square of the overload: under overload, queues
// refill at once, so a longer backlog would increase the waits but not the rate of
// answers.
func computeBacklogLimit(queues []*classQueue, slots int) time.Duration {
	var shortest time.Duration
	demand := 0.0
	for _, q := range queues {
		demand += q.demandSlots
		if q.demandSlots > 0 && (shortest == 0 || q.target < shortest) {
			shortest = q.target
		}
	}
	overload := max(demand/float64(max(slots, 1)), 1)
	return time.Duration(backlogLimitShare * float64(shortest) / (overload * overload))
}

// spendAdmitCredit adds the class's admitShare to its credit and uses a credit of 1 to
// admit one request. It reports whether there was enough. Admissions of a class are
// thus evenly spaced.
func (q *classQueue) spendAdmitCredit() bool {
	q.admitCredit = min(q.admitCredit+q.admitShare, maxAdmitCredit)
	if q.admitCredit < 1 {
		return false
	}
	q.admitCredit--
	return true
}

// maxAdmitCredit bounds the credit accumulated while all requests are admitted.
const maxAdmitCredit = 2
