package controller

import (
	"testing"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// TestUncountedRunIsNamedWithItsBoot guards against logs that do not tell a run that counts from one that a boot has by an
// order for the former boot (issue 53).
func TestUncountedRunIsNamedWithItsBoot(t *testing.T) {
	h, f := newHandDeliveryAfterOneEnd(t)
	events := h.sim.captureEvents()
	h.ctl.record = h.sim.record
	h.deliverFor(h.sim.timing.PollWait)
	h.submit(simpleJob("j1", "batch", 1, 1000, nil))
	start, _ := h.awaitStart(true)
	unknown := start
	unknown.Run.Number += 7
	f.startRun(start.FencingToken, &unknown)
	h.deliverFor(h.sim.timing.PollWait)
	found := ofTypes(*events, event.TaskUncounted)
	if len(found) != 1 {
		t.Fatalf("%d events name the run, want 1", len(found))
	}
	if e := found[0]; e.State != uncountedOtherRun || e.Worker != f.id || e.Boot != f.boot || e.Attempt != int(unknown.Run.Number) || e.Candidates != 1 {
		t.Errorf("the event is %+v", e)
	}
}

// TestUncountedReasons lists why a run does not count.
func TestUncountedReasons(t *testing.T) {
	ended := &job{state: workload.JobCompleted}
	open := &job{}
	of := func(j *job, t task) *task {
		t.step = &step{occ: &occurrence{job: j}}
		return &t
	}
	for want, task := range map[string]*task{
		uncountedUnknown:  nil,
		uncountedJobEnded: of(ended, task{}),
		uncountedTaskDone: of(open, task{done: true}),
		uncountedOtherRun: of(open, task{runs: []*run{{}}}),
		uncountedGang:     of(open, task{}),
	} {
		if got := uncountedReason(task); got != want {
			t.Errorf("the reason is %q, want %q", got, want)
		}
	}
}

// TestUnansweredAcknowledgmentIsNamed guards against logs that do not tell that a poll that acknowledges ends may still
// arrive (issue 53).
func TestUnansweredAcknowledgmentIsNamed(t *testing.T) {
	h, f, poll := newHandDeliveryWithAckDue(t)
	events := h.sim.captureEvents()
	h.ctl.record = h.sim.record
	h.ctl.PollFailed(f.id, NoResponse, h.sim.now)
	found := ofTypes(*events, event.AckUnanswered)
	if len(found) != 1 || found[0].Count != int(poll.AckedSeq) || found[0].Boot != f.boot || found[0].Detail != NoResponse.String() {
		t.Errorf("the events are %+v, want one for ends up to %d", found, poll.AckedSeq)
	}
}
