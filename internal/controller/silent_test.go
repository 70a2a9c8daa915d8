package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestSilentWorkerKeepsItsRuns has a worker go silent for less than its lease lasts, and its entry in the
// platform's list lapse meanwhile. Its tasks go on there: none may be started elsewhere, and none given
// up, also if the controller changes while the worker is silent.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	for name, changeController := range map[string]bool{"same controller": false, "next controller": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.addWorkers(3, 4000)
			sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
				return 8 * time.Second, workload.EndDone
			}
			sim.startController(true)
			sim.advance(100 * time.Millisecond)
			sim.submit(simpleJob("j1", "batch", 9, 1000, func(s *workload.Step) { s.EstimateMs = 8000 }))
			sim.advance(2 * time.Second)
			silent := sim.workers["i-aa"]
			running := len(silent.runs)
			if running == 0 {
				t.Fatal("no run on the worker that is to be silent")
			}
			silent.partitioned = true
			sim.advance(time.Second)
			silent.listed = false
			sim.ctl.UnlistWorker(silent.id, sim.now)
			if sim.startsSent != 9 {
				t.Errorf("%d tasks were started, want 9", sim.startsSent)
			}
			if changeController {
				sim.startController(false)
			}
			sim.startsSent = 0
			sim.advance(2 * time.Second)
			silent.partitioned = false
			silent.listed = true
			sim.ctl.SetWorker(silent.info(), sim.now)
			sim.advance(8 * time.Second)
			if sim.startsSent != 0 {
				t.Errorf("%d tasks were started again: those of the silent worker go on", sim.startsSent)
			}
			if got := sim.state("j1"); got != workload.JobCompleted {
				t.Errorf("the job is %q, want completed", got)
			}
		})
	}
}
