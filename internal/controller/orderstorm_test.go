package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestCrashedWorkerGetsFewStops guards against a storm of repeated stops that used up the
// controller's processor, so that nothing was started for 15 s: a crashed worker refuses connections
// at once, and the stops of its runs were sent again every 30 ms.
func TestCrashedWorkerGetsFewStops(t *testing.T) {
	sim := newSimulationWithController(t, 1, 64000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Minute, workload.EndDone
	}
	const runs = 50
	sim.submit(simpleJob("j1", "batch", runs, 1000, nil))
	sim.advance(500 * time.Millisecond)
	f := sim.workers["i-aa"]
	f.portClosed = true
	f.crash()
	sim.advance(100 * time.Millisecond)
	sim.ctl.Cancel("j1", sim.now)
	sim.advance(4 * time.Second)
	if sim.stopsSent > 2*runs {
		t.Errorf("%d stops were sent for %d runs on a crashed worker, want at most %d", sim.stopsSent, runs, 2*runs)
	}
	f.start()
	sim.listWorker(f)
	sim.advance(2 * time.Second)
	if n := len(sim.ctl.workers[f.id].runs); n != 0 {
		t.Errorf("%d runs are still counted on the restarted worker, want none", n)
	}
}
