package controller

import (
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestPauseAfterAFailureIsTold has a long-running task that fails for ever.
func TestPauseAfterAFailureIsTold(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorkers(2, 4000)
	w.run = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 10 * time.Millisecond, workload.EndFailed
	}
	w.lead(true)
	w.play(100 * time.Millisecond)
	w.submit(simpleJob("j1", "batch", 1, 1000, func(s *workload.Step) { s.LongRunning = true }))
	w.play(10500 * time.Millisecond)
	s := w.ctl.step(workload.StepID{Job: "j1"})
	if got := w.ctl.whyWaiting(s, w.now); got.reason != WaitRetryBackoff {
		t.Errorf("it waits because %q, want %q", got.reason, WaitRetryBackoff)
	}
}

// TestWhyStepsWait asks why steps wait that can't start, each for another reason.
func TestWhyStepsWait(t *testing.T) {
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
			w := newWorld(t, 1)
			w.goodShare = c.good
			w.addWorkers(2, 4000)
			w.run = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
				return time.Hour, workload.EndDone
			}
			w.lead(true)
			w.play(100 * time.Millisecond)
			w.submit(simpleJob("j1", c.class, c.count, c.cpu, c.edit))
			w.play(time.Second)
			s := w.ctl.step(workload.StepID{Job: "j1"})
			if got := w.ctl.whyWaiting(s, w.now); got.reason != c.want {
				t.Errorf("it waits because %q, want %q", got.reason, c.want)
			}
		})
	}
}
