package agent

import (
	"testing"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/workload"
)

// TestResultsKeepAllEnds guards against a list of ends that an agent shortens: the controller tells by its length whether
// more ends may follow.
func TestResultsKeepAllEnds(t *testing.T) {
	const ends, runs = 500, 1600
	poll := &workload.PollResult{BootMs: 3, ClockMs: 7}
	for i := range int64(ends) {
		poll.Ended = append(poll.Ended, workload.EndedTask{Seq: i + 1, Run: testRun(i), Reason: workload.EndDone})
	}
	for i := range int64(runs) {
		poll.Running = append(poll.Running, workload.RunningTask{Run: testRun(ends + i)})
	}
	got := resultFromProto(resultToProto(1, Result{Code: controller.CarriedOut, Poll: poll}))
	if got.Poll == nil || len(got.Poll.Ended) != ends || len(got.Poll.Running) != runs {
		t.Fatalf("%+v, want %d ends and %d runs", got.Poll, ends, runs)
	}
	if last := got.Poll.Ended[ends-1]; last != poll.Ended[ends-1] {
		t.Errorf("the last end is %+v, want %+v", last, poll.Ended[ends-1])
	}
}
