package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestWorkerListedAtAnotherAddressIsNotAccountedFor guards against tasks that run twice: a new
// controller counted a worker as unused, without asking it, since the list has another address for it
// than the store.
func TestWorkerListedAtAnotherAddressIsNotAccountedFor(t *testing.T) {
	sim := newSimulationWithController(t, 3, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 4 * time.Second, workload.EndDone
	}
	sim.submit(simpleJob("j1", "batch", 6, 1000, nil))
	sim.advance(time.Second)
	silent := sim.workers["i-aa"]
	if len(silent.runs) == 0 {
		t.Fatal("no run on the worker that is to be silent")
	}
	silent.partitioned = true
	sim.ctl = nil
	sim.startController(true)
	info := silent.info()
	info.Addr = "other"
	sim.ctl.SetWorker(info, sim.now)
	sim.advance(500 * time.Millisecond)
	if sim.ctl.takeoverComplete {
		t.Error("the takeover is complete although the worker was not asked and its leases last")
	}
}
