package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestRetryBackoffIsReportedAsWaitReason runs a long-running task that always fails.
func TestRetryBackoffIsReportedAsWaitReason(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(2, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 10 * time.Millisecond, workload.EndFailed
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("j1", "batch", 1, 1000, func(s *workload.Step) { s.LongRunning = true }))
	sim.advance(10500 * time.Millisecond)
	s := sim.ctl.findStep(workload.StepID{Job: "j1"})
	if got := sim.ctl.waitCauseOf(s, sim.now); got.reason != WaitRetryBackoff {
		t.Errorf("wait reason %q, want %q", got.reason, WaitRetryBackoff)
	}
}

// TestWaitReasons checks the reported reason for steps that can't start.
func TestWaitReasons(t *testing.T) {
	for _, c := range []struct {
		name  string
		class string
		good  float64
		cpu   int64
		count int
		edit  func(*workload.Step)
		want  WaitReason
	}{
		{name: "full", class: "batch", cpu: 3000, count: 3, want: WaitCapacity},
		{name: "no label", class: "batch", cpu: 1000, count: 1, edit: func(s *workload.Step) { s.Label = "x" }, want: WaitNoLabel},
		{name: "too large", class: "batch", cpu: 9000, count: 1, want: WaitTooLarge},
		{name: "forbidden", class: "gang", cpu: 1000, count: 1, want: WaitAdvisorForbids},
		{name: "gang too wide", class: "gang", good: 1, cpu: 4000, count: 3, edit: func(s *workload.Step) { s.Gang = true }, want: WaitGangCapacity},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.allowedShare = c.good
			sim.addWorkers(2, 4000)
			sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
				return time.Hour, workload.EndDone
			}
			sim.startController(true)
			sim.advance(100 * time.Millisecond)
			sim.submit(simpleJob("j1", c.class, c.count, c.cpu, c.edit))
			sim.advance(time.Second)
			s := sim.ctl.findStep(workload.StepID{Job: "j1"})
			if got := sim.ctl.waitCauseOf(s, sim.now); got.reason != c.want {
				t.Errorf("wait reason %q, want %q", got.reason, c.want)
			}
		})
	}
}

// TestFullWorkersAreReportedBeforeTheAdvisor submits a job whose class needs the advisor while no
// worker has room for it: the advisor is not asked, and the reason is the missing room.
func TestFullWorkersAreReportedBeforeTheAdvisor(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(2, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Hour, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("fill", "batch", 2, 3500, nil))
	sim.advance(time.Second)
	sim.submit(simpleJob("j1", "gang", 1, 1000, nil))
	sim.advance(time.Second)
	s := sim.ctl.findStep(workload.StepID{Job: "j1"})
	if got := sim.ctl.waitCauseOf(s, sim.now); got.reason != WaitCapacity {
		t.Errorf("wait reason %q, want %q", got.reason, WaitCapacity)
	}
}
