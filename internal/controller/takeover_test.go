package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// newSimulationWithLostWorker returns a simulation in which tasks that last run on three workers, one
// of which has crashed and left the list.
func newSimulationWithLostWorker(t *testing.T) *simulation {
	sim := newSimulationWithController(t, 3, 4000)
	sim.submit(simpleJob("j1", "batch", 9, 1000, func(s *workload.Step) { s.LongRunning = true }))
	sim.advance(time.Second)
	sim.workers["i-aa"].crash()
	sim.workers["i-aa"].listed = false
	return sim
}

// replaceControllers loses the controller and starts the next one, n times. Each lasts for a time.
func (sim *simulation) replaceControllers(n int, predecessorEnded bool, each time.Duration) {
	for range n {
		sim.ctl = nil
		sim.startController(predecessorEnded)
		sim.advance(each)
	}
}

// TestTakeoverAfterLossDuringTakeover guards against tasks that waited for another leader lease since
// a controller was lost before it could store that its predecessor had ended, although both are
// known to have ended.
func TestTakeoverAfterLossDuringTakeover(t *testing.T) {
	sim := newSimulationWithLostWorker(t)
	sim.replaceControllers(1, false, 4*time.Second)
	sim.replaceControllers(1, true, sim.timing.longestLease()+time.Second)
	if !sim.ctl.takeoverComplete {
		t.Error("the takeover is not complete after the longest lease, although all predecessors have ended")
	}
}

// TestTakeoversInARowKeepElapsedWait guards against tasks that waited for as long as controllers
// followed one another, since each of them waited for the leases of all before it from the start.
func TestTakeoversInARowKeepElapsedWait(t *testing.T) {
	for name, predecessorEnded := range map[string]bool{"ended": true, "not known to have ended": false} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithLostWorker(t)
			wait := sim.timing.longestLease()
			if !predecessorEnded {
				wait += sim.timing.LeaderLease.MaxLease
			}
			const each = 4 * time.Second
			changes := int(wait/each) + 3
			sim.replaceControllers(changes, predecessorEnded, each)
			if !sim.ctl.takeoverComplete {
				t.Errorf("the takeover is not complete %v after the first of %d changes", time.Duration(changes)*each, changes)
			}
		})
	}
}
