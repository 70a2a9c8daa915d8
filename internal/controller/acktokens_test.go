package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestLongEpochKeepsStartingTasks guards against workers that take fewer starts the longer an epoch lasts: each
// acknowledgment without a response uses up one of its fencing tokens, and without one left a worker takes no start until
// that acknowledgment can't arrive any more.
func TestLongEpochKeepsStartingTasks(t *testing.T) {
	const (
		window   = time.Minute
		windows  = 40
		queue    = 40 // jobs that wait at any time
		minShare = 0.8
	)
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(4, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 500 * time.Millisecond, workload.EndDone
	}
	sim.startController(true)
	sim.advance(time.Second)
	sim.lostAnswerShare = 0.02
	submitted, done := 0, 0
	waiting := map[string]bool{}
	rates := make([]int, 0, windows)
	for range windows {
		before := done
		for end := sim.now.Add(window); sim.now.Before(end); sim.advance(20 * time.Millisecond) {
			for id := range waiting {
				if sim.state(id) == workload.JobCompleted {
					delete(waiting, id)
					done++
				}
			}
			for len(waiting) < queue {
				submitted++
				id := "j" + time.Duration(submitted).String()
				sim.submit(simpleJob(id, "gang", 1, 1000, nil))
				waiting[id] = true
			}
		}
		rates = append(rates, done-before)
	}
	t.Logf("tasks done in each minute: %v", rates)
	for id, w := range sim.ctl.workers {
		t.Logf("%s has used %d fencing tokens", id, w.fencingToken-sim.ctl.epoch)
	}
	if last := rates[windows-1]; float64(last) < minShare*float64(rates[0]) {
		t.Errorf("%d tasks are done in the last minute, %d in the first", last, rates[0])
	}
}
