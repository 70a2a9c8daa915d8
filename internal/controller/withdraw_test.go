package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestCancelledSubmissionIsWithdrawn guards against an accepted job that is lost: an earlier submission of it was
// cancelled and then withdrawn, and its final state was in a later batch that was in flight.
func TestCancelledSubmissionIsWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name           string
		resubmitBefore bool // before the later batch is stored
	}{{"resubmitted later", false}, {"resubmitted at once", true}} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulationWithController(t, 2, 4000)
			sim.advance(time.Second)
			ctl, now := sim.ctl, sim.nowOf(sim.ctl)
			store := func(b *Batch) {
				if b == nil {
					return
				}
				for _, r := range b.Records {
					sim.store[r.Key] = r.Value
					if r.Value == nil {
						delete(sim.store, r.Key)
					}
				}
				ctl.BatchStored(b, now)
			}
			submit := func() {
				if _, err := ctl.Submit(simpleJob("job", "batch", 1, 1000, nil), now); err != nil {
					t.Fatal(err)
				}
			}
			store(ctl.NextBatch())
			submit()
			first := ctl.NextBatch()
			ctl.Cancel("job", now)
			second := ctl.NextBatch()
			ctl.WithdrawSubmissions(first)
			if c.resubmitBefore {
				submit()
			}
			store(first)
			store(second)
			if !c.resubmitBefore {
				submit()
			}
			for range 3 {
				store(ctl.NextBatch())
			}
			if got, _ := ctl.JobState("job"); got != workload.JobQueued {
				t.Errorf("the job is %q", got)
			}
			sim.jobs["job"] = ctl.jobs["job"].spec
			sim.startController(true)
			sim.advance(10 * time.Second)
			if got := sim.state("job"); got != workload.JobCompleted {
				t.Errorf("the job is %q under the next controller", got)
			}
		})
	}
}
