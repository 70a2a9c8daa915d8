package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestRefusedCopyOfStart guards against tasks that ran twice because a refused copy of a start ended
// the run although an earlier copy had started it: the first start is carried out without a response,
// a poll lists the run while the second start is on its way, and the worker refuses that one.
func TestRefusedCopyOfStart(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		name := "listed"
		if stopped {
			name = "listed and being stopped"
		}
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithController(t, 2, 4000)
			sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
				return 5 * time.Second, workload.EndDone
			}
			sim.submit(simpleJob("j1", "batch", 1, 4000, nil))
			sim.advance(40 * time.Millisecond)
			for _, w := range sim.ctl.workers {
				for id, r := range w.runs {
					r.inFlight = true
					sim.ctl.StartDone(w.info.ID, id, NoResponse, 0, sim.now, sim.now)
					r.inFlight = true // the second start
					f := sim.workers[w.info.ID]
					sim.ctl.PollDone(w.info.ID, f.pollResult(), sim.now, sim.now)
					if stopped {
						sim.ctl.StopDone(w.info.ID, id, CarriedOut, f.clock(), sim.now, sim.now)
						r.inFlight = true
					}
					sim.ctl.StartDone(w.info.ID, id, RefusedUnhealthy, f.clock(), sim.now, sim.now)
					if w.runs[id] == nil {
						t.Errorf("%s counts as ended while it works on %s", id, w.info.ID)
					}
				}
			}
			sim.advance(10 * time.Second)
		})
	}
}
