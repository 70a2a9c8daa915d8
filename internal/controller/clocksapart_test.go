package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/leaderlease"
	"dotterelhitch/internal/workload"
)

// loadAhead returns a new controller that has loaded the store, on a machine whose time of day is ahead of
// that of the controllers before it. It also returns the time there.
func (sim *simulation) loadAhead(ahead time.Duration) (*Controller, time.Time) {
	sim.storeEpoch++
	now := sim.now.Add(ahead)
	ctl := New(sim.storeEpoch, sim.timing, sim.record)
	var records []Record
	for key, value := range sim.store {
		records = append(records, Record{Key: key, Value: value})
	}
	ctl.SetConfig(sim.config, now)
	ctl.Load(records, now)
	ctl.ConfirmEpoch(now)
	ctl.BoundPredecessors(leaderlease.Predecessor{Epoch: sim.storeEpoch - 1, UsesWitnesses: true}, now, now)
	ctl.PredecessorEnded(sim.storeEpoch-1, now)
	return ctl, now
}

// TestSuccessorsClockForgetsNoJob guards against jobs that are not known any more after a change of the
// controller, and run again if they are submitted again, because the times of day of the two machines differ by
// more than the time for which the state of an ended job is kept (LOST, TWICE).
func TestSuccessorsClockForgetsNoJob(t *testing.T) {
	for _, ahead := range []time.Duration{
		0, 2 * time.Second, -2 * time.Second, 100 * time.Second, 150 * time.Second, -150 * time.Second, time.Hour, -time.Hour,
	} {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			sim := newOneTaskSimulation(t, 2, time.Second)
			sim.advance(5 * time.Second)
			if state := sim.state("j1"); state != workload.JobCompleted {
				t.Fatalf("the job is %q", state)
			}
			ctl, now := sim.loadAhead(ahead)
			now = now.Add(time.Second)
			ctl.NextOrders(now)
			var dropped []string
			if b := ctl.NextBatch(); b != nil {
				for _, r := range b.Records {
					if r.Value == nil {
						dropped = append(dropped, r.Key)
					}
				}
			}
			if state, known := ctl.JobState("j1"); !known || state != workload.JobCompleted {
				t.Errorf("a job that ended some seconds ago is %q (known: %v)", state, known)
			}
			if slices.Contains(dropped, progressPrefix+"j1") {
				t.Errorf("its record is dropped: %q", dropped)
			}
		})
	}
}
