package controller

import (
	"flag"
	"strings"
	"testing"
	"time"
)

// walkFaults are faults that a walk has beside its own ones. They are off in the simulation unless a walk sets them,
// and draw from a generator of their own, so that a seed has the same course of other faults with and without them.
type walkFaults struct {
	// heldAnswerShare is the share of answers that are held after the effect, for up to maxAnswerHold.
	heldAnswerShare float64
	// keptCallShare is the share of calls into a cut that arrive when it ends, also after their callers' time-out.
	keptCallShare float64
	// keptForLonger says that such a call may arrive later than maxOrderDelay after its sending, which is longer than
	// the controller reckons with.
	keptForLonger bool
	// restartsInCuts has workers that are cut off restart as the others do.
	restartsInCuts bool
	// oneWayCutShare is the share of the cuts in which the worker gets calls, and renews its leases, while no answer
	// comes back.
	oneWayCutShare float64
	// refusedStartsExtendLeases has a start that is refused as old, or whose run is there, extend the lease.
	refusedStartsExtendLeases bool
	// slowClocks has the clocks of boots run up to maxClockSlowness slow.
	slowClocks bool
	// bornStepsBack has the time of day of machines differ, so that a boot may seem to have started before the one that it
	// follows.
	bornStepsBack bool
	// lateList has the list show a boot up to maxListDelay after its start. The advisor knows the boot at once.
	lateList bool
}

// maxAnswerHold is the longest time for which an answer is held. One that is held past its caller's time-out is lost.
const maxAnswerHold = 900 * time.Millisecond

// addedFaults names the faults that all restart walks have beside their own ones, to compare which walks break.
var addedFaults = flag.String("walkfaults", "", "faults to add to the restart walks, by commas: "+strings.Join(walkFaultNames, ", "))

// walkFaultNames are the values of -walkfaults.
var walkFaultNames = []string{"answers", "cuts", "longcuts", "restarts", "oneway", "refused", "slow", "born", "list"}

// withAdded returns the faults with those that -walkfaults names.
func (faults walkFaults) withAdded(t testing.TB) walkFaults {
	t.Helper()
	if *addedFaults == "" {
		return faults
	}
	for name := range strings.SplitSeq(*addedFaults, ",") {
		faults.add(t, name)
	}
	return faults
}

// add turns on the fault of a name.
func (faults *walkFaults) add(t testing.TB, name string) {
	t.Helper()
	switch name {
	case "answers":
		faults.heldAnswerShare = 0.1
	case "cuts":
		faults.keptCallShare = 0.5
	case "longcuts":
		faults.keptCallShare = 0.5
		faults.keptForLonger = true
	case "restarts":
		faults.restartsInCuts = true
	case "oneway":
		faults.oneWayCutShare = 0.5
	case "refused":
		faults.refusedStartsExtendLeases = true
	case "slow":
		faults.slowClocks = true
	case "born":
		faults.bornStepsBack = true
	case "list":
		faults.lateList = true
	default:
		t.Fatalf("-walkfaults: unknown fault %q", name)
	}
}

// answerHold returns how long the next answer is held.
func (sim *simulation) answerHold() time.Duration {
	if sim.faults.heldAnswerShare == 0 || sim.faultRNG.Float64() >= sim.faults.heldAnswerShare {
		return 0
	}
	return between(sim.faultRNG, 0, maxAnswerHold)
}

// keepInCut has a call that was sent into a cut arrive when the cut ends, or drops it. Whatever boot is up then
// carries it out. Its caller hears of that if it still waits.
func (f *fakeWorker) keepInCut(c *call, deliver func(f *fakeWorker, c *call) func()) {
	sim := f.sim
	if sim.faults.keptCallShare == 0 || sim.faultRNG.Float64() >= sim.faults.keptCallShare {
		return
	}
	f.keptCalls = append(f.keptCalls, func() { f.takeKeptCall(c, deliver) })
}

// takeKeptCall has the worker carry out a call that was sent into a cut, unless it is down.
func (f *fakeWorker) takeKeptCall(c *call, deliver func(f *fakeWorker, c *call) func()) {
	overdue := f.sim.now.Sub(c.sent) > maxOrderDelay && !f.sim.faults.keptForLonger
	if !f.up || overdue {
		return
	}
	if f.partitioned {
		f.keptCalls = append(f.keptCalls, func() { f.takeKeptCall(c, deliver) })
		return
	}
	c.late, c.unheard = c.ended, c.ended
	if outcome := deliver(f, c); outcome != nil {
		c.respond(outcome)
	}
}

// reconnect ends the worker's cut.
func (f *fakeWorker) reconnect() {
	f.partitioned = false
	kept := f.keptCalls
	f.keptCalls = nil
	for _, arrive := range kept {
		f.sim.after(between(f.sim.faultRNG, 0, maxKeptCallDelay), arrive)
	}
}

// maxKeptCallDelay is how long after the end of a cut the calls that were sent into it arrive at the latest.
const maxKeptCallDelay = 200 * time.Millisecond

// cutAnswers cuts a worker's answers off for a time, and its entry from the platform's list. Calls still reach it.
func (sim *simulation) cutAnswers(f *fakeWorker, d time.Duration) {
	f.mute = true
	sim.after(entryTimeout, func() {
		if f.mute && !f.partitioned {
			sim.unlistWorker(f)
		}
	})
	sim.after(d, func() {
		f.mute = false
		if !f.replaced && !f.partitioned {
			sim.listWorker(f)
		}
	})
}

// maxBornError is how far the time of day of a machine is ahead or behind at most.
const maxBornError = time.Hour

// bornMs returns the Unix millisecond that a boot which starts now reports as its start.
func (sim *simulation) bornMs() int64 {
	born := sim.now.UnixMilli() + 1
	if sim.faults.bornStepsBack {
		born += between(sim.faultRNG, -maxBornError, maxBornError).Milliseconds()
	}
	return born
}

// clockRate returns the rate of the clock of the next boot.
func (sim *simulation) clockRate() float64 {
	if !sim.faults.slowClocks {
		return 1
	}
	return 1 - maxClockSlowness*sim.faultRNG.Float64()
}

// onClock returns how far the clock of the boot goes on in a time.
func (f *fakeWorker) onClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * f.rate)
}

// untilClock returns the time that passes while the clock of the boot goes on by a duration.
func (f *fakeWorker) untilClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / f.rate)
}

// takeLeaseOfRefusedStart extends the lease by the deadline of a start that is not carried out.
func (f *fakeWorker) takeLeaseOfRefusedStart(s *Start) {
	if f.sim.faults.refusedStartsExtendLeases {
		f.extendLease(s.LeaseDeadlineMs)
	}
}

// maxListDelay is how long after its start the platform's list shows a boot at the latest.
const maxListDelay = 1500 * time.Millisecond

// listBoot adds a boot that has just started to the platform's list, at once or late.
func (sim *simulation) listBoot(f *fakeWorker) {
	if !sim.faults.lateList {
		sim.listWorker(f)
		return
	}
	boot := f.boot
	sim.after(between(sim.faultRNG, 0, maxListDelay), func() {
		if f.boot == boot && !f.partitioned {
			sim.listWorker(f)
		}
	})
}

// TestHeldCallsAmongOtherFaults guards against two runs of one task at once, and against starts after an acknowledged end:
// calls and answers of a former boot arrive after the next one has begun, in each way that is not later than what the
// controller reckons with.
func TestHeldCallsAmongOtherFaults(t *testing.T) {
	restartWalk{heldCallShare: 1, faults: walkFaults{
		heldAnswerShare: 0.1, keptCallShare: 0.5, restartsInCuts: true, oneWayCutShare: 0.5,
		refusedStartsExtendLeases: true, slowClocks: true, bornStepsBack: true, lateList: true,
	}}.playSeeds(t)
}

// TestTicketsForABootThatIsNotListed guards against two runs of one task at once: the advisor issues tickets for a boot
// before the list shows it, and late polls for the former boot extend the leases there.
func TestTicketsForABootThatIsNotListed(t *testing.T) {
	restartWalk{heldCallShare: 0.5, delayedOrderShare: 0.1, gangs: true, ticketed: true, faults: walkFaults{lateList: true}}.playSeeds(t)
}
